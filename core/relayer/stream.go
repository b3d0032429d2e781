package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
)

// serveStream serves an exchange whose response is a stream of events.
func (r *Relayer) serveStream(ctx context.Context, j *job) error {
	for {
		request := r.permitRequest(j)
		permit, err := r.Permits.Acquire(ctx, request)
		if err != nil {
			return r.refuseWithoutPermit(ctx, j, err)
		}
		err = r.attempt(ctx, j, request, permit)
		if err == nil {
			return nil
		}
		j.excluded = append(j.excluded, permit.Server)
		if errors.Is(err, errCallerDisconnected) {
			return r.refuse(ctx, j, dragonflypass.ReasonCancelled, 0, err.Error())
		}
		if !r.shouldTryAnother(ctx, j, err) {
			return r.refuse(ctx, j, dragonflypass.ReasonBroken, defaultRetryAfter, "the backend servers interrupted the response")
		}
		if j.eventCount > 0 {
			r.Meter.Add(dragonflypass.CountResumed, 1)
		}
	}
}

// refuseWithoutPermit returns the error of an exchange that was not granted a permit.
func (r *Relayer) refuseWithoutPermit(ctx context.Context, j *job, err error) error {
	if refusal, ok := dragonflypass.AsRefusal(err); ok {
		return r.refuse(ctx, j, refusal.Reason, refusal.RetryAfter, refusal.Detail)
	}
	return r.refuse(ctx, j, dragonflypass.ReasonNoServer, defaultRetryAfter, err.Error())
}

// permitRequest returns the permit request for the next attempt.
func (r *Relayer) permitRequest(j *job) dragonflypass.PermitRequest {
	e := j.exchange
	shape := e.Prompt
	if shape == nil {
		shape = &dragonflypass.PromptShape{}
	}
	return dragonflypass.PermitRequest{
		Stream: dragonflypass.StreamID{VM: r.Self.ID, Incarnation: r.Incarnation, Sequence: r.sequence.Add(1)},
		ID:     e.ID, Account: j.match.Account, Model: shape.Model, Service: j.service, Priority: j.match.Priority,
		PromptTokens: shape.Tokens, OutputTokens: shape.OutputTokens, ExpectedTokens: shape.ExpectedTokens,
		MaxEventGap: j.route.MaxEventGap, ExcludedServers: j.excluded, Deadline: j.deadline, FirstTokenDeadline: e.Arrived.Add(j.route.LatencyObjective),
		Fingerprint: fingerprintOf(j.match, e),
	}
}

// attempt runs the request at the permit's server and releases the permit in all cases.
func (r *Relayer) attempt(ctx context.Context, j *job, request dragonflypass.PermitRequest, permit dragonflypass.Permit) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	open := r.register(j, request, permit, cancel)
	start := r.Timer.Now()
	err := r.forward(ctx, j, permit, open)
	r.unregister(permit.Stream)
	cause := context.Cause(ctx)
	j.abandoned = errors.Is(cause, errStalled) || errors.Is(cause, errServerUnreachable)
	if j.abandoned {
		err = cause
	}
	j.attemptHistory = append(j.attemptHistory, fmt.Sprintf("%s %s owner %s helpers %d predicted %s", permit.Server,
		describeAttempt(nil, err, r.Timer.Now().Sub(start)), permit.Owner, len(permit.Helpers), permit.TimeToFirstToken.Round(time.Millisecond)))
	r.checkForCrash(ctx, j, permit.Server, err)
	r.Permits.Release(permit, dragonflypass.PermitRelease{
		Stream: permit.Stream, Server: permit.Server, Outcome: outcomeOf(ctx, err), FaultyHelper: faultyHelper(permit, err),
	})
	return err
}

// faultyHelper returns the helper that caused the failure, empty if none did.
func faultyHelper(permit dragonflypass.Permit, err error) dragonflypass.ServerID {
	var refusal *dragonflypass.ServerRefusal
	if !errors.As(err, &refusal) || !refusal.FaultyHelper.IsValid() {
		return ""
	}
	for _, h := range permit.Helpers {
		if h.Address == refusal.FaultyHelper {
			return h.Server
		}
	}
	return ""
}

// outcomeOf returns the outcome of the stream to report to the permit's owner.
func outcomeOf(ctx context.Context, err error) dragonflypass.StreamOutcome {
	switch {
	case err == nil:
		return dragonflypass.OutcomeDone
	case errors.Is(err, dragonflypass.ErrRefused):
		return dragonflypass.OutcomeRefused
	case ctx.Err() != nil && !errors.Is(err, errStalled) && !errors.Is(err, errServerUnreachable):
		return dragonflypass.OutcomeCancelled
	case errors.Is(err, dragonflypass.ErrUnavailable):
		return dragonflypass.OutcomeUnsent
	case errors.Is(err, errCallerDisconnected):
		return dragonflypass.OutcomeCancelled
	}
	return dragonflypass.OutcomeLost
}

// forward sends the request to the server and forwards the events as they arrive.
func (r *Relayer) forward(ctx context.Context, j *job, permit dragonflypass.Permit, open *openStream) error {
	release, failedHelper, err := r.Reserver.Reserve(ctx, permit.Helpers)
	if err != nil {
		return eris.Wrapf(dragonflypass.ErrRefused, "no memory reserved at %s: %v", failedHelper.Server, err)
	}
	defer release()
	request := j.backendRequest(permit.Server)
	request.Address, request.Helpers, request.Urgency = permit.Address, permit.Helpers, permit.Priority
	response, err := r.Backend.Send(ctx, request)
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
	defer response.Close()
	head := response.Head()
	switch {
	case !head.Signed:
		return eris.Wrap(dragonflypass.ErrBroken, "response without a signature")
	case head.Status != statusOK:
		return r.forwardFailure(j, response)
	}
	return r.forwardEvents(j, permit, open, response)
}

// statusOK is the status of a response that is a stream of events.
const statusOK = 200

// forwardFailure forwards a server's error response, unless another server may be tried.
func (r *Relayer) forwardFailure(j *job, response dragonflypass.BackendResponse) error {
	if j.headWritten || j.route.Retryable() && j.attemptCount < j.route.MaxAttempts {
		return eris.Wrapf(dragonflypass.ErrBroken, "status %d", response.Head().Status)
	}
	chunk, err := response.Next()
	if err != nil {
		return err
	}
	head := response.Head()
	head.Length = int64(len(chunk.Data))
	j.headWritten, j.status = true, head.Status
	if j.writer.WriteHead(head) != nil || j.writer.WriteChunk(chunk) != nil {
		return errCallerDisconnected
	}
	return nil
}

// forwardEvents forwards the events until the response ends.
func (r *Relayer) forwardEvents(j *job, permit dragonflypass.Permit, open *openStream, response dragonflypass.BackendResponse) error {
	if !j.headWritten {
		head := response.Head()
		head.Length = -1
		j.headWritten, j.status = true, head.Status
		if j.writer.WriteHead(head) != nil {
			return errCallerDisconnected
		}
	}
	for first := true; ; first = false {
		chunk, err := response.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if first {
			open.prefilled.Store(true)
			r.Permits.Prefilled(permit)
		}
		open.recordProgress(r.Timer.Now())
		open.stallsAt.Store(r.Timer.Now().Add(max(minStallTimeout, gapFactor*j.route.MaxEventGap)).UnixNano())
		if err := r.forwardEvent(j, chunk); err != nil {
			return err
		}
	}
}

// forwardEvent forwards one event. It drops an event that the caller has already received, and returns ErrBroken
// if events are missing before this one.
func (r *Relayer) forwardEvent(j *job, chunk dragonflypass.Chunk) error {
	switch compareEventIDs(j.lastEventID, chunk.ID) {
	case eventDuplicate:
		r.Meter.Add(dragonflypass.CountFrameDropped, 1)
		return nil
	case eventAfterGap:
		return eris.Wrapf(dragonflypass.ErrBroken, "event %s after %s", chunk.ID, j.lastEventID)
	}
	if err := j.writer.WriteChunk(chunk); err != nil {
		return errCallerDisconnected
	}
	now := r.Timer.Now()
	if j.eventCount == 0 {
		j.firstChunkAt = now
		r.Meter.Observe(dragonflypass.MeasureFirstToken, rankOf(j.match.Priority), classOf(j.exchange.Prompt), now.Sub(j.exchange.Arrived))
	} else {
		j.longestGap = max(j.longestGap, now.Sub(j.lastChunkAt))
	}
	j.lastChunkAt = now
	j.eventCount++
	if chunk.ID != "" {
		j.lastEventID = chunk.ID
	}
	return nil
}

// eventOrder is the position of an event relative to the previous one.
type eventOrder uint8

const (
	eventNext eventOrder = iota
	eventDuplicate
	eventAfterGap
)

// compareEventIDs compares the identifiers of two consecutive events. Identifiers that are not numbers are always
// accepted.
func compareEventIDs(lastID, id string) eventOrder {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return eventNext
	}
	lastNumber, err := strconv.ParseUint(lastID, 10, 64)
	switch {
	case lastID != "" && err != nil:
		return eventNext
	case number <= lastNumber && lastID != "":
		return eventDuplicate
	case number > lastNumber+1 && lastID != "":
		return eventAfterGap
	}
	return eventNext
}

// rankOf maps a priority to a rank of the metrics.
func rankOf(priority int) dragonflypass.Rank {
	return dragonflypass.Rank(max(0, min(priority, dragonflypass.RankCount-1)))
}

func classOf(shape *dragonflypass.PromptShape) dragonflypass.LengthClass {
	if shape == nil {
		return dragonflypass.ClassShort
	}
	return dragonflypass.ClassOf(shape.Tokens)
}

// describeAttempt returns the outcome and the duration of an attempt for the log.
func describeAttempt(resp *response, err error, duration time.Duration) string {
	outcome := "ended"
	var refusal *dragonflypass.ServerRefusal
	switch {
	case resp != nil:
		outcome = strconv.Itoa(resp.head.Status)
	case err == nil:
	case errors.As(err, &refusal):
		outcome = "declined-" + strconv.Itoa(refusal.Status)
	case errors.Is(err, dragonflypass.ErrUnavailable):
		outcome = "unreachable"
	case errors.Is(err, dragonflypass.ErrUncertain):
		outcome = "unanswered"
	case errors.Is(err, errStalled):
		outcome = "stalled"
	case errors.Is(err, errServerUnreachable):
		outcome = "server-unreachable"
	case errors.Is(err, errCallerDisconnected):
		outcome = "caller-gone"
	default:
		outcome = "broken"
	}
	return outcome + " " + duration.Round(100*time.Microsecond).String()
}
