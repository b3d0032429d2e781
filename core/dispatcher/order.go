package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/detector"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
)

// placed is the prompt tokens sent to an owner since its digest of the instant.
type placed struct {
	heard  time.Time
	tokens int
}

// warmTime is the time after its start from which a VM counts as warm in any case.
const warmTime = 5 * time.Second

// Ready reports whether every model with servers has an owner with one that is up, or that there was time enough to find one.
func (d *Dispatcher) Ready() bool {
	if d.Timer.Now().Sub(time.Unix(0, d.started.Load())) > warmTime {
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

// RankOwners returns the owners of servers that may run the request, in the order in which to ask them:
// the first few that rendezvous hashing gives the request, those among which to choose in the placement policy's order.
func (d *Dispatcher) RankOwners(request *dragonflypass.PermitRequest) []dragonflypass.VM {
	current := d.Current()
	choices := d.choices(request)
	vms := make(map[string]dragonflypass.VM, choices+spareChoices)
	candidates := make([]dragonflypass.Candidate, 0, choices+spareChoices)
	others := d.Owners.Others()
	for _, o := range d.ranked(request, others) {
		var member dragonflypass.Member
		if o.index == self {
			member = dragonflypass.Member{VM: d.Self, Loads: d.Local.Loads()}
		} else {
			member = others[o.index]
		}
		if candidate, ok := d.candidate(request, current, member.VM, member.LastHeartbeat, member.Loads); ok {
			candidates = append(candidates, candidate)
			vms[candidate.Name] = member.VM
		}
		if len(candidates) == choices+spareChoices {
			break
		}
	}
	d.Placement.Sort(candidates[:min(choices, len(candidates))])
	owners := make([]dragonflypass.VM, len(candidates))
	for i := range candidates {
		owners[i] = vms[candidates[i].Name]
	}
	return owners
}

// option is a live VM, by its place in the table of others, with its score for one request.
type option struct {
	score uint64
	// index is self for this VM.
	index int
}

// self stands for this VM among the options.
const self = -1

// ranked returns the live VMs in the order that rendezvous hashing gives the request.
func (d *Dispatcher) ranked(request *dragonflypass.PermitRequest, others []dragonflypass.Member) []option {
	key := string(request.Fingerprint.Body[:])
	options := make([]option, 0, len(others)+1)
	options = append(options, option{score: detector.Score(key, d.Self.ID), index: self})
	for i := range others {
		if others[i].State == dragonflypass.MemberLive {
			options = append(options, option{score: detector.Score(key, others[i].VM.ID), index: i})
		}
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Compare(b.score, a.score) })
	return options
}

// choices is the number of owners among which the request is placed.
func (d *Dispatcher) choices(request *dragonflypass.PermitRequest) int {
	if request.StreamFailures > 0 || d.Quarantiner.Check(request.Fingerprint) != quarantiner.Allowed {
		return suspectChoices
	}
	return ownerChoices
}

// candidate sums an owner's digests up; ok is false when none of its servers may run the request.
func (d *Dispatcher) candidate(request *dragonflypass.PermitRequest, current *dragonflypass.Configuration, vm dragonflypass.VM, heard time.Time, loads []dragonflypass.ServerLoad) (c dragonflypass.Candidate, ok bool) {
	class := dragonflypass.ClassOf(request.PromptTokens)
	prefill := 0.0
	for i := range loads {
		server := current.Servers[loads[i].Server]
		if server == nil || !serves(server, &loads[i], request.Model) || server.KVCapacity < request.Tokens() || slices.Contains(request.ExcludedServers, server.ID) {
			continue
		}
		prefill += server.PrefillRate
		wait := loads[i].Wait[class]
		if loads[i].Free < request.Tokens() {
			wait += fullWait
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
	c.Wait += time.Duration(float64(d.placedSince(vm.ID, heard)) / prefill * float64(time.Second))
	return c, true
}

// serves reports whether the server has the model loaded.
func serves(server *dragonflypass.BackendServer, load *dragonflypass.ServerLoad, model dragonflypass.ModelID) bool {
	if len(load.Models) == 0 {
		return server.Serves(model)
	}
	return slices.Contains(load.Models, model)
}

// fullWait is added to the predicted wait at a server without free memory.
const fullWait = time.Second

// placedSince returns the prompt tokens sent to the owner since its digest of the instant.
func (d *Dispatcher) placedSince(owner dragonflypass.VMID, heard time.Time) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p := d.placed[owner]
	if !p.heard.Equal(heard) {
		delete(d.placed, owner)
		return 0
	}
	return p.tokens
}

func (d *Dispatcher) place(owner dragonflypass.VMID, heard time.Time, tokens int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p := d.placed[owner]
	if !p.heard.Equal(heard) {
		p = placed{heard: heard}
	}
	p.tokens += tokens
	d.placed[owner] = p
}
