package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/elector"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
)

// sentTokens is the number of prompt tokens sent to an owner since the heartbeat with its last load summary.
type sentTokens struct {
	// heartbeatAt is the time of the heartbeat that carried the load summary.
	heartbeatAt  time.Time
	promptTokens int
}

// readyTimeout is the time after the start of Run at which the VM counts as ready even if owners are missing.
const readyTimeout = 5 * time.Second

// Ready reports whether every model with servers has an owner with a server that is up, or readyTimeout has passed since Run began.
func (d *Dispatcher) Ready() bool {
	if d.Timer.Now().Sub(time.Unix(0, d.startedAt.Load())) > readyTimeout {
		return true
	}
	for model := range d.Current().Models {
		if len(d.Current().ServersOf(model)) == 0 {
			continue
		}
		request := &dragonflypass.PermitRequest{Model: model}
		if len(d.RankOwners(request)) == 0 {
			return false
		}
	}
	return true
}

// RankOwners returns the owners of servers that may run the request, in the order in which to try them.
// Rendezvous hashing selects them. The first ones are the candidates, sorted by the placement policy; fallback owners follow.
func (d *Dispatcher) RankOwners(request *dragonflypass.PermitRequest) []dragonflypass.VM {
	current := d.Current()
	limit := d.candidateLimit(request)
	vms := make(map[string]dragonflypass.VM, limit+maxFallbackOwners)
	candidates := make([]dragonflypass.Candidate, 0, limit+maxFallbackOwners)
	others := d.Members.Others()
	for _, entry := range d.rankByHash(request, others) {
		var member dragonflypass.Member
		if entry.index == selfIndex {
			member = dragonflypass.Member{VM: d.Self, Loads: d.LocalOwner.Loads()}
		} else {
			member = others[entry.index]
		}
		if candidate, ok := d.summarizeOwner(request, current, member.VM, member.LastHeartbeat, member.Loads); ok {
			candidates = append(candidates, candidate)
			vms[candidate.Name] = member.VM
		}
		if len(candidates) == limit+maxFallbackOwners {
			break
		}
	}
	d.Placement.Sort(candidates[:min(limit, len(candidates))])
	owners := make([]dragonflypass.VM, len(candidates))
	for i := range candidates {
		owners[i] = vms[candidates[i].Name]
	}
	return owners
}

// scoredVM is a live VM with its rendezvous score for one request.
type scoredVM struct {
	score uint64
	// index is the VM's index in the list of the other VMs, or selfIndex for this VM.
	index int
}

// selfIndex is the index of this VM.
const selfIndex = -1

// rankByHash returns the live VMs in the order of their rendezvous scores for the request.
func (d *Dispatcher) rankByHash(request *dragonflypass.PermitRequest, others []dragonflypass.Member) []scoredVM {
	key := string(request.Fingerprint.Body[:])
	scored := make([]scoredVM, 0, len(others)+1)
	scored = append(scored, scoredVM{score: elector.Score(key, d.Self.ID), index: selfIndex})
	for i := range others {
		if others[i].State == dragonflypass.MemberLive {
			scored = append(scored, scoredVM{score: elector.Score(key, others[i].VM.ID), index: i})
		}
	}
	slices.SortFunc(scored, func(a, b scoredVM) int { return cmp.Compare(b.score, a.score) })
	return scored
}

// candidateLimit returns the number of owners among which the request is placed.
func (d *Dispatcher) candidateLimit(request *dragonflypass.PermitRequest) int {
	if request.StreamFailures > 0 || d.Quarantiner.Check(request.Fingerprint) != quarantiner.Allowed {
		return maxSuspectCandidates
	}
	return maxOwnerCandidates
}

// summarizeOwner combines the load summaries of an owner; ok is false if none of its servers may run the request.
func (d *Dispatcher) summarizeOwner(request *dragonflypass.PermitRequest, current *dragonflypass.Configuration, vm dragonflypass.VM, heartbeatAt time.Time, loads []dragonflypass.ServerLoad) (c dragonflypass.Candidate, ok bool) {
	class := dragonflypass.ClassOf(request.PromptTokens)
	prefill := 0.0
	for i := range loads {
		server := current.Servers[loads[i].Server]
		if server == nil || !servesModel(server, &loads[i], request.Model) || server.KVCapacity < request.Tokens() || slices.Contains(request.ExcludedServers, server.ID) {
			continue
		}
		prefill += server.PrefillRate
		wait := loads[i].Wait[class]
		if loads[i].Free < request.Tokens() {
			wait += fullServerPenalty
		}
		if !ok || wait < c.Wait {
			c.Wait = wait
		}
		c.Free = max(c.Free, loads[i].Free)
		c.InFlight += loads[i].Streams
		ok = true
	}
	if !ok {
		return c, false
	}
	c.Name = string(vm.ID)
	if vm.Zone != d.Self.Zone {
		c.NetworkDelay = d.ZoneDelay
	}
	c.Wait += time.Duration(float64(d.sentTokensSince(vm.ID, heartbeatAt)) / prefill * float64(time.Second))
	return c, true
}

// servesModel reports whether the server has the model loaded.
func servesModel(server *dragonflypass.BackendServer, load *dragonflypass.ServerLoad, model dragonflypass.ModelID) bool {
	if len(load.Models) == 0 {
		return server.Serves(model)
	}
	return slices.Contains(load.Models, model)
}

// fullServerPenalty is added to the predicted wait at a server without enough free memory.
const fullServerPenalty = time.Second

// sentTokensSince returns the prompt tokens sent to the owner since its heartbeat at the given time.
func (d *Dispatcher) sentTokensSince(owner dragonflypass.VMID, heartbeatAt time.Time) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	sent := d.sentTokens[owner]
	if !sent.heartbeatAt.Equal(heartbeatAt) {
		delete(d.sentTokens, owner)
		return 0
	}
	return sent.promptTokens
}

// recordSentTokens counts prompt tokens sent to the owner since its heartbeat at the given time.
func (d *Dispatcher) recordSentTokens(owner dragonflypass.VMID, heartbeatAt time.Time, tokens int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	sent := d.sentTokens[owner]
	if !sent.heartbeatAt.Equal(heartbeatAt) {
		sent = sentTokens{heartbeatAt: heartbeatAt}
	}
	sent.promptTokens += tokens
	d.sentTokens[owner] = sent
}
