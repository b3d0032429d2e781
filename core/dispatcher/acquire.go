package dispatcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/waiter"
)

const (
	// ownerChoices is the number of owners among which a request is placed; the
	// same request has the same choices on every entry VM, so that copies of one
	// that crashes its server reach no more owners than these.
	ownerChoices = 3
	// suspectChoices is that number for a request that may have crashed a server.
	suspectChoices = 1
	// spareChoices is the number of further owners for the case that a choice cannot serve at all.
	spareChoices = 2
	// spareDelay is the time before a further owner is asked, in which word of a crash gets round.
	spareDelay = 50 * time.Millisecond
	// serverWait is the time for which a request waits while no owner has a server for it, as after an owner's death;
	// one whose answer has begun waits as long as it can still end in time.
	serverWait = 5 * time.Second
	// serverCheck is the time between two looks for such an owner.
	serverCheck = 100 * time.Millisecond
)

// OwnerTimeout is the time for which a request waits at one owner while there is another to ask.
const OwnerTimeout = 250 * time.Millisecond

// acquire gets a permit from one of the owners, looking for others a while when none of them can serve.
func (d *Dispatcher) acquire(ctx context.Context, j *job) (dragonflypass.Permit, error) {
	request := d.permitRequest(j)
	until := d.Timer.Now().Add(serverWait)
	if request.LatestStart.Before(until) || j.tokens > 0 {
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
	owners := d.RankOwners(request)
	var err error = dragonflypass.Refuse(dragonflypass.ReasonNoServer, time.Second, "no backend server that fits is up for model %q", request.Model)
	spares := 0
	for i := range owners {
		if !d.mayAsk(ctx, request, i, spares) {
			break
		}
		last := i+1 >= min(len(owners), d.choices(request)+spares)
		var permit dragonflypass.Permit
		permit, err = d.askFor(ctx, owners[i], *request, last)
		if err == nil || ctx.Err() != nil {
			return permit, err
		}
		if cannotServe(err) {
			spares++
		}
		request.Stream = d.nextStream()
	}
	return dragonflypass.Permit{}, err
}

// mayAsk reports whether the owner with the index may be asked, a spare one after spareDelay.
// The choices are counted anew each time: a copy of the request may have crashed a server while this one waited.
func (d *Dispatcher) mayAsk(ctx context.Context, request *dragonflypass.PermitRequest, index, spares int) bool {
	choices := d.choices(request)
	if index < choices {
		return true
	}
	if index >= choices+spares || !waiter.Wait(ctx, d.Timer, spareDelay) {
		return false
	}
	return index < d.choices(request)+spares
}

// askFor waits for a permit of one owner, with Patience where there is another owner to ask.
func (d *Dispatcher) askFor(ctx context.Context, owner dragonflypass.VM, request dragonflypass.PermitRequest, last bool) (dragonflypass.Permit, error) {
	if last || dragonflypass.ClassOf(request.PromptTokens) >= dragonflypass.ClassLong {
		return d.ask(ctx, owner, request)
	}
	limited, cancel := d.Timer.WithDeadline(ctx, d.Timer.Now().Add(OwnerTimeout))
	defer cancel()
	return d.ask(limited, owner, request)
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
		if server.KVCapacity >= request.Tokens() && !slices.Contains(request.ExcludedServers, server.ID) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) nextStream() dragonflypass.StreamID {
	return dragonflypass.StreamID{VM: d.Self.ID, Incarnation: d.Incarnation, Sequence: d.sequence.Add(1)}
}

func (d *Dispatcher) permitRequest(j *job) dragonflypass.PermitRequest {
	r := j.request
	current := d.Current()
	return dragonflypass.PermitRequest{
		Stream:             d.nextStream(),
		Account:            r.Account,
		Weight:             j.weight,
		Model:              r.Model,
		Rank:               r.Rank,
		PromptTokens:       r.PromptTokens + j.tokens,
		OutputTokens:       max(1, r.OutputTokens-j.tokens),
		ExpectedTokens:     max(1, r.ExpectedTokens-j.tokens),
		TimePerToken:       d.Estimator.TimePerToken(r.Model),
		Fingerprint:        r.Fingerprint,
		Deadline:           r.Deadline,
		LatestStart:        d.latestStart(j, current),
		FirstTokenDeadline: FirstTokenDeadline(r, current.Ranks[r.Rank]),
		StreamFailures:     j.breaks,
		ExcludedServers:    j.exclude,
	}
}

// ask waits for a permit of one owner; whatever comes of an unanswered question is returned to it.
func (d *Dispatcher) ask(ctx context.Context, owner dragonflypass.VM, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	if owner.ID == d.Self.ID {
		return d.Local.Acquire(ctx, request)
	}
	for _, member := range d.Owners.Others() {
		if member.VM.ID == owner.ID {
			d.place(owner.ID, member.LastHeartbeat, request.PromptTokens)
		}
	}
	attended, cancel := d.Owners.AliveContext(ctx, owner.ID)
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
