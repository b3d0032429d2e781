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
	// maxOwnerCandidates is the number of owners among which a request is placed. The same request has the same
	// candidates on every entry VM, so that copies of a request that crashes its server reach no more owners than these.
	maxOwnerCandidates = 3
	// maxSuspectCandidates replaces maxOwnerCandidates for a request that may have crashed a server.
	maxSuspectCandidates = 1
	// maxFallbackOwners is the number of further owners to try when a candidate cannot serve the request at all.
	maxFallbackOwners = 2
	// fallbackDelay is the time before a fallback owner is tried; it lets reports of a crash reach the other VMs first.
	fallbackDelay = 50 * time.Millisecond
	// serverWaitTimeout is the time for which a request waits while no owner has a server for it, for example after an
	// owner has failed. A request whose answer has begun waits until it can no longer finish in time.
	serverWaitTimeout = 5 * time.Second
	// serverPollInterval is the time between two searches for such an owner.
	serverPollInterval = 100 * time.Millisecond
)

// OwnerTimeout is the time for which a request waits at one owner while there is another one to try.
const OwnerTimeout = 250 * time.Millisecond

// acquire gets a permit from one of the owners. While none of them can serve the request, it tries again for a limited time.
func (d *Dispatcher) acquire(ctx context.Context, j *job) (dragonflypass.Permit, error) {
	request := d.newPermitRequest(j)
	giveUpAt := d.Timer.Now().Add(serverWaitTimeout)
	if request.LatestStart.Before(giveUpAt) || j.deliveredTokens > 0 {
		giveUpAt = request.LatestStart
	}
	for {
		permit, err := d.acquireOnce(ctx, &request)
		if err == nil || ctx.Err() != nil || !cannotServe(err) {
			return permit, err
		}
		if !d.Timer.Now().Before(giveUpAt) || !d.anyServerFits(&request) || !waiter.Wait(ctx, d.Timer, serverPollInterval) {
			return dragonflypass.Permit{}, err
		}
	}
}

// acquireOnce requests a permit from the owners in order.
func (d *Dispatcher) acquireOnce(ctx context.Context, request *dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	owners := d.RankOwners(request)
	var err error = dragonflypass.Refuse(dragonflypass.ReasonNoServer, time.Second, "no suitable backend server is available for model %q", request.Model)
	fallbacks := 0
	for i := range owners {
		if !d.mayTryOwner(ctx, request, i, fallbacks) {
			break
		}
		lastOwner := i+1 >= min(len(owners), d.candidateLimit(request)+fallbacks)
		var permit dragonflypass.Permit
		permit, err = d.requestPermitWithTimeout(ctx, owners[i], *request, lastOwner)
		if err == nil || ctx.Err() != nil {
			return permit, err
		}
		if cannotServe(err) {
			fallbacks++
		}
		request.Stream = d.nextStreamID()
	}
	return dragonflypass.Permit{}, err
}

// mayTryOwner reports whether the owner at the index may be tried; before a fallback owner it waits for fallbackDelay.
// The candidate limit is computed again each time, because a copy of the request may have crashed a server during a wait.
func (d *Dispatcher) mayTryOwner(ctx context.Context, request *dragonflypass.PermitRequest, index, fallbacks int) bool {
	candidates := d.candidateLimit(request)
	if index < candidates {
		return true
	}
	if index >= candidates+fallbacks || !waiter.Wait(ctx, d.Timer, fallbackDelay) {
		return false
	}
	return index < d.candidateLimit(request)+fallbacks
}

// requestPermitWithTimeout requests a permit from one owner. The wait is limited to OwnerTimeout, except at
// the last owner and for long prompts.
func (d *Dispatcher) requestPermitWithTimeout(ctx context.Context, owner dragonflypass.VM, request dragonflypass.PermitRequest, lastOwner bool) (dragonflypass.Permit, error) {
	if lastOwner || dragonflypass.ClassOf(request.PromptTokens) >= dragonflypass.ClassLong {
		return d.requestPermit(ctx, owner, request)
	}
	limitedCtx, cancel := d.Timer.WithDeadline(ctx, d.Timer.Now().Add(OwnerTimeout))
	defer cancel()
	return d.requestPermit(limitedCtx, owner, request)
}

// cannotServe reports whether the error means that an owner cannot serve the request at all, as opposed to a busy owner.
func cannotServe(err error) bool {
	refusal, ok := dragonflypass.AsRefusal(err)
	return !ok && !errors.Is(err, context.DeadlineExceeded) ||
		ok && (refusal.Reason == dragonflypass.ReasonNoServer || refusal.Reason == dragonflypass.ReasonLeaving)
}

// anyServerFits reports whether any configured server that is not excluded has enough memory for the request.
func (d *Dispatcher) anyServerFits(request *dragonflypass.PermitRequest) bool {
	for _, server := range d.Current().ServersOf(request.Model) {
		if server.KVCapacity >= request.Tokens() && !slices.Contains(request.ExcludedServers, server.ID) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) nextStreamID() dragonflypass.StreamID {
	return dragonflypass.StreamID{VM: d.Self.ID, Incarnation: d.Incarnation, Sequence: d.sequence.Add(1)}
}

func (d *Dispatcher) newPermitRequest(j *job) dragonflypass.PermitRequest {
	r := j.request
	current := d.Current()
	return dragonflypass.PermitRequest{
		Stream:             d.nextStreamID(),
		Account:            r.Account,
		Weight:             j.weight,
		Model:              r.Model,
		Rank:               r.Rank,
		PromptTokens:       r.PromptTokens + j.deliveredTokens,
		OutputTokens:       max(1, r.OutputTokens-j.deliveredTokens),
		ExpectedTokens:     max(1, r.ExpectedTokens-j.deliveredTokens),
		TimePerToken:       d.Estimator.TimePerToken(r.Model),
		Fingerprint:        r.Fingerprint,
		Parts:              r.Parts,
		Deadline:           r.Deadline,
		LatestStart:        d.latestStart(j, current),
		FirstTokenDeadline: FirstTokenDeadline(r, current.Ranks[r.Rank]),
		StreamFailures:     j.streamFailures,
		Begun:              j.deliveredTokens > 0,
		ExcludedServers:    j.excludedServers,
	}
}

// requestPermit requests a permit from one owner. If no response arrives, it releases the permit that the owner may have granted.
func (d *Dispatcher) requestPermit(ctx context.Context, owner dragonflypass.VM, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	if owner.ID == d.Self.ID {
		return d.LocalOwner.Acquire(ctx, request)
	}
	for _, member := range d.Members.Others() {
		if member.VM.ID == owner.ID {
			d.recordSentTokens(owner.ID, member.LastHeartbeat, request.PromptTokens)
		}
	}
	aliveCtx, cancel := d.Members.AliveContext(ctx, owner.ID)
	defer cancel()
	permit, err := d.Peers.Acquire(aliveCtx, owner, request)
	if err == nil {
		return permit, nil
	}
	if _, refused := dragonflypass.AsRefusal(err); !refused {
		release := dragonflypass.PermitRelease{Stream: request.Stream, Outcome: dragonflypass.OutcomeUnsent}
		d.releasePermit(owner.ID, release)
	}
	return dragonflypass.Permit{}, err
}
