package relayer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
)

// attempt is one attempt to serve a stream at a backend server. The permit, the memory reserved at helpers and the
// response are held until end is called.
type attempt struct {
	permit dragonflypass.Permit
	open   *openStream
	// ctx ends with the exchange, or when the attempt is cancelled.
	ctx       context.Context
	cancel    context.CancelCauseFunc
	startedAt time.Time
	// response is nil until the head of the response has arrived.
	response dragonflypass.BackendResponse
	// eventCount is the number of events read.
	eventCount int
	// firstChunk is the first event if it was read before the attempt took over from another one, else nil.
	firstChunk *dragonflypass.Chunk
	// failedHelper is the helper that refused to reserve memory, empty if none did.
	failedHelper dragonflypass.ServerID
	// freeMemory frees the memory reserved at helpers; it is nil if none is reserved.
	freeMemory func()
}

// begin waits for a permit and begins an attempt. It returns a Refusal if the request must not be sent, also if that becomes
// known while it waits.
func (r *Relayer) begin(ctx context.Context, j *job) (*attempt, error) {
	if refusal := r.refusalToSend(j); refusal != nil {
		return nil, refusal
	}
	waitCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	waiting := *j
	defer context.AfterFunc(r.accepting, func() {
		if !r.mayStart(&waiting) {
			cancel(errLeaving)
		}
	})()
	request := r.permitRequest(j)
	permit, err := r.Permits.Acquire(waitCtx, request)
	for err == nil && r.returnExcluded(j, permit) {
		request = r.permitRequest(j)
		permit, err = r.Permits.Acquire(waitCtx, request)
	}
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(waitCtx), errLeaving) {
		return nil, leavingRefusal()
	}
	if err != nil {
		return nil, err
	}
	a := &attempt{permit: permit, startedAt: r.Timer.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.open = r.register(j, request, permit, a.cancel)
	if refusal := r.refusalToSend(j); refusal != nil {
		r.returnUnused(a)
		return nil, refusal
	}
	return a, nil
}

// refusalToSend returns the reason why the request must not be sent to a server, or nil.
func (r *Relayer) refusalToSend(j *job) *dragonflypass.Refusal {
	if !r.mayStart(j) {
		return leavingRefusal()
	}
	return r.Quarantiner.Refuses(j.fingerprint(), j.exchange.SharedParts)
}

// sendStream reserves the memory at the helpers, sends the request and waits for the head of the response. It counts the attempt
// or the refusal.
func (r *Relayer) sendStream(a *attempt, j *job) error {
	freeMemory, failedHelper, err := r.Reserver.Reserve(a.ctx, a.permit.Helpers, a.open.prefilled.Load, func() { r.replaceUnbegun(a.open) })
	a.freeMemory = freeMemory
	if evacuated := r.checkEvacuated(j, a.permit); evacuated != nil {
		return evacuated
	}
	if err != nil {
		a.failedHelper = failedHelper.Server
		return errors.Join(errNoHelperMemory, eris.Wrapf(dragonflypass.ErrRefused, "no memory reserved at %s: %v", failedHelper.Server, err))
	}
	request := j.backendRequest(a.permit.Server)
	request.Address, request.Helpers, request.Urgency = a.permit.Address, a.permit.Helpers, a.permit.Priority
	response, err := r.sendRequest(a.ctx, request)
	if errors.Is(err, dragonflypass.ErrUnavailable) {
		return err
	}
	if errors.Is(err, dragonflypass.ErrRefused) {
		j.refusals++
		return err
	}
	j.attemptCount++
	j.maybeExecuted = true
	if err != nil {
		return err
	}
	a.response = response
	if !response.Head().Signed {
		return eris.Wrap(dragonflypass.ErrBroken, "response without a signature")
	}
	return nil
}

// end ends the attempt with the given error: nil if its response was forwarded completely, errSuperseded if it is not needed.
// It returns the cause if this VM cancelled the attempt, else the error.
func (r *Relayer) end(a *attempt, j *job, err error) error {
	if cause := context.Cause(a.ctx); err != nil && isAbandonment(cause) {
		err = cause
	}
	if a.response != nil {
		a.response.Close()
	}
	if a.freeMemory != nil {
		a.freeMemory()
	}
	r.unregister(a.permit.Stream)
	j.attemptHistory = append(j.attemptHistory, fmt.Sprintf("%s %s owner %s helpers %d predicted %s", a.permit.Server,
		describeAttempt(nil, err, r.Timer.Now().Sub(a.startedAt)), a.permit.Owner, len(a.permit.Helpers), a.permit.TimeToFirstToken.Round(time.Millisecond)))
	switch {
	case a.failedHelper != "":
		// The server itself has not been asked.
		j.excluded = append(j.excluded, a.failedHelper)
	case !errors.Is(err, errSuperseded):
		j.excluded = append(j.excluded, a.permit.Server)
	}
	r.checkForCrash(a.ctx, j, a.permit.Server, a.startedAt, a.open.prefilled.Load(), err)
	r.Permits.Release(a.permit, dragonflypass.PermitRelease{
		Stream: a.permit.Stream, Server: a.permit.Server, Outcome: outcomeOf(a.ctx, err), FaultyHelper: faultyHelper(a.permit, err),
		OutputTokens: r.generatedTokens(a, j),
		Leaving:      permitServers(a.permit, r.Excluder.Leaving),
	})
	a.cancel(nil)
	return err
}

// returnUnused ends an attempt that has sent nothing to its server. The server may be tried again.
func (r *Relayer) returnUnused(a *attempt) {
	r.unregister(a.permit.Stream)
	r.Permits.Release(a.permit, dragonflypass.PermitRelease{
		Stream: a.permit.Stream, Server: a.permit.Server, Outcome: dragonflypass.OutcomeCancelled,
		Leaving: permitServers(a.permit, r.Excluder.Leaving),
	})
	a.cancel(nil)
}

// isAbandonment reports whether this VM cancelled the attempt although its server had not failed.
func isAbandonment(cause error) bool {
	return errors.Is(cause, errStalled) || errors.Is(cause, errServerUnreachable)
}

// faultyHelper returns the helper that caused the failure, empty if none did.
func faultyHelper(permit dragonflypass.Permit, err error) dragonflypass.ServerID {
	var refusal *dragonflypass.ServerRefusal
	if !errors.As(err, &refusal) || !refusal.FaultyHelper.IsValid() {
		return ""
	}
	i := slices.IndexFunc(permit.Helpers, func(h dragonflypass.Helper) bool { return h.Address == refusal.FaultyHelper })
	if i < 0 {
		return ""
	}
	return permit.Helpers[i].Server
}

// outcomeOf returns the outcome of the attempt to report to the permit's owner.
func outcomeOf(ctx context.Context, err error) dragonflypass.StreamOutcome {
	switch {
	case err == nil:
		return dragonflypass.OutcomeDone
	case errors.Is(err, dragonflypass.ErrRefused), errors.Is(err, errEvacuated):
		return dragonflypass.OutcomeRefused
	case errors.Is(err, errSuperseded), ctx.Err() != nil && !isAbandonment(err):
		return dragonflypass.OutcomeCancelled
	case errors.Is(err, dragonflypass.ErrUnavailable):
		return dragonflypass.OutcomeUnsent
	case errors.Is(err, errCallerDisconnected):
		return dragonflypass.OutcomeCancelled
	}
	return dragonflypass.OutcomeLost
}
