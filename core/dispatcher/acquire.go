package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/detector"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
	"github.com/dragonflypass/dragonflypass/core/waiter"
)

const (
	// ownerChoices is the number of owners among which a request is placed; the
	// same request has the same choices on every entry VM, so that copies of one
	// that crashes its server reach no more owners than these.
	ownerChoices = 3
	// spareChoices is the number of further owners for the case that a choice cannot serve at all.
	spareChoices = 2
	// patienceMin is the shortest time for which a request waits at one owner.
	patienceMin = 250 * time.Millisecond
	// suspectChoices is that number for a request that may have crashed a server.
	suspectChoices = 1
)

// placed is the prompt tokens sent to an owner since its digest of the instant.
type placed struct {
	heard  time.Time
	tokens int
}

const (
	// serverWait is the time for which a request waits while no owner has a server for it, as after an owner's death.
	serverWait = 5 * time.Second
	// serverCheck is the time between two looks for such an owner.
	serverCheck = 100 * time.Millisecond
)

// acquire gets a permit from one of the owners, looking for others a while when none of them can serve.
func (d *Dispatcher) acquire(ctx context.Context, j *job) (dragonflypass.Permit, error) {
	request := d.permitRequest(j)
	until := d.Timer.Now().Add(serverWait)
	if request.LatestStart.Before(until) {
		until = request.LatestStart
	}
	for {
		permit, err := d.acquireOnce(ctx, &request)
		if err == nil || ctx.Err() != nil || !cannotServe(err) {
			return permit, err
		}
		if !d.Timer.Now().Before(until) || !d.fits(&request) || !waiter.Wait(ctx, d.Timer, serverCheck) {
			return dragonflypass.Permit{}, err
		}
	}
}

// acquireOnce asks the owners in order for a permit.
func (d *Dispatcher) acquireOnce(ctx context.Context, request *dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	owners := d.Order(request)
	var err error = dragonflypass.Refuse(dragonflypass.ReasonNoServer, time.Second, "no backend server that fits is up for model %q", request.Model)
	choices := d.choices(request)
	for i := 0; i < len(owners) && i < choices; i++ {
		last := i+1 >= min(len(owners), choices)
		var permit dragonflypass.Permit
		permit, err = d.askFor(ctx, owners[i], *request, last)
		if err == nil || ctx.Err() != nil {
			return permit, err
		}
		if cannotServe(err) {
			choices++
		}
		request.Stream = d.nextStream()
	}
	return dragonflypass.Permit{}, err
}

// askFor waits for a permit of one owner, until the first token is due where there is another owner to ask.
func (d *Dispatcher) askFor(ctx context.Context, owner dragonflypass.VM, request dragonflypass.PermitRequest, last bool) (dragonflypass.Permit, error) {
	if last || dragonflypass.ClassOf(request.PromptTokens) >= dragonflypass.ClassLong {
		return d.ask(ctx, owner, request)
	}
	limited, cancel := d.Timer.WithDeadline(ctx, Patience(d.Timer.Now(), &request))
	defer cancel()
	return d.ask(limited, owner, request)
}

// Patience is the instant up to which a request waits at one owner while there is another:
// that at which its first token is due, but not less than patienceMin from now.
func Patience(now time.Time, request *dragonflypass.PermitRequest) time.Time {
	if least := now.Add(patienceMin); request.Target.Before(least) {
		return least
	}
	return request.Target
}

// cannotServe reports whether an owner was no choice at all, as opposed to a busy one.
func cannotServe(err error) bool {
	refusal, ok := dragonflypass.AsRefusal(err)
	return !ok && !errors.Is(err, context.DeadlineExceeded) ||
		ok && (refusal.Reason == dragonflypass.ReasonNoServer || refusal.Reason == dragonflypass.ReasonLeaving)
}

// fits reports whether a declared server could run the request at all.
func (d *Dispatcher) fits(request *dragonflypass.PermitRequest) bool {
	for _, server := range d.Current().ServersOf(request.Model) {
		if server.Memory >= request.Tokens() && !slices.Contains(request.Exclude, server.ID) {
			return true
		}
	}
	return false
}

// warmTime is the time after its start from which a VM counts as warm in any case.
const warmTime = 5 * time.Second

// Warm reports whether every model has an owner with a server that is up, or that there was time enough to find one.
func (d *Dispatcher) Warm() bool {
	if d.Timer.Now().Sub(time.Unix(0, d.started.Load())) > warmTime {
		return true
	}
	for model := range d.Current().Models {
		request := &dragonflypass.PermitRequest{Model: model}
		if len(d.Order(request)) == 0 {
			return false
		}
	}
	return true
}

func (d *Dispatcher) nextStream() dragonflypass.StreamID {
	return dragonflypass.StreamID{VM: d.Self.ID, Incarnation: d.Incarnation, Sequence: d.sequence.Add(1)}
}

func (d *Dispatcher) permitRequest(j *job) dragonflypass.PermitRequest {
	r := j.request
	current := d.Current()
	return dragonflypass.PermitRequest{
		Stream:         d.nextStream(),
		Account:        r.Account,
		Weight:         j.weight,
		Model:          r.Model,
		Rank:           r.Rank,
		PromptTokens:   r.PromptTokens + j.tokens,
		OutputTokens:   max(1, r.OutputTokens-j.tokens),
		ExpectedTokens: max(1, r.ExpectedTokens-j.tokens),
		Pace:           d.Estimator.Pace(r.Model),
		Fingerprint:    r.Fingerprint,
		Deadline:       r.Deadline,
		LatestStart:    d.latestStart(j, current),
		Target:         Target(r, current.Ranks[r.Rank]),
		Breaks:         j.breaks,
		Exclude:        j.exclude,
	}
}

// Order returns the owners of servers that may run the request, in the order in which to ask them:
// the first few that rendezvous hashing gives the request, those among which to choose in the placement policy's order.
func (d *Dispatcher) Order(request *dragonflypass.PermitRequest) []dragonflypass.VM {
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
		if candidate, ok := d.candidate(request, current, member.VM, member.Heard, member.Loads); ok {
			candidates = append(candidates, candidate)
			vms[candidate.Name] = member.VM
		}
		if len(candidates) == choices+spareChoices {
			break
		}
	}
	d.Placement.Order(candidates[:min(choices, len(candidates))])
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
	if request.Breaks > 0 || d.Guard.Check(request.Fingerprint) != quarantiner.Clear {
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
		if server == nil || !serves(server, &loads[i], request.Model) || server.Memory < request.Tokens() || slices.Contains(request.Exclude, server.ID) {
			continue
		}
		prefill += server.Prefill
		wait := loads[i].Wait[class]
		if loads[i].Free < request.Tokens() {
			wait += fullWait
		}
		if !ok || wait < c.Wait {
			c.Wait = wait
		}
		c.Free = max(c.Free, loads[i].Free)
		c.Outstanding += loads[i].Streams
		ok = true
	}
	if !ok {
		return c, false
	}
	c.Name = string(vm.ID)
	if vm.Zone != d.Self.Zone {
		c.Delay = d.ZoneDelay
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

// ask waits for a permit of one owner; whatever comes of an unanswered question is returned to it.
func (d *Dispatcher) ask(ctx context.Context, owner dragonflypass.VM, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	if owner.ID == d.Self.ID {
		return d.Local.Acquire(ctx, request)
	}
	for _, member := range d.Owners.Others() {
		if member.VM.ID == owner.ID {
			d.place(owner.ID, member.Heard, request.PromptTokens)
		}
	}
	attended, cancel := d.Owners.Attend(ctx, owner.ID)
	defer cancel()
	permit, err := d.Peers.Acquire(attended, owner, request)
	if err == nil {
		return permit, nil
	}
	if _, refused := dragonflypass.AsRefusal(err); !refused {
		release := dragonflypass.PermitRelease{Stream: request.Stream, Outcome: dragonflypass.OutcomeUnsent}
		d.release(owner.ID, release)
	}
	return dragonflypass.Permit{}, err
}
