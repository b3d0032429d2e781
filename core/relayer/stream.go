package relayer

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
)

// serveStream serves an exchange whose response is a stream of events.
func (r *Relayer) serveStream(ctx context.Context, j *job) error {
	var next *attempt
	for {
		a := next
		if a == nil {
			var err error
			if a, err = r.begin(ctx, j); err != nil {
				return r.refuseWithoutPermit(ctx, j, err)
			}
		}
		s := r.newSuccession(ctx, a, j)
		err := r.forward(a, j)
		if err == nil || errors.Is(err, errCallerDisconnected) {
			if successor := s.drop(); successor != nil {
				_ = r.end(successor, s.job, errSuperseded)
			}
			return r.concludeStream(ctx, j, r.end(a, j, err))
		}
		err = r.end(a, j, err)
		next = s.finish()
		j.abandoned = isAbandonment(err)
		s.mergeInto(j)
		if next == nil && !r.shouldTryAnother(ctx, j, err) {
			return r.refuse(ctx, j, dragonflypass.ReasonBroken, r.retryAfter(j), "the backend servers interrupted the response")
		}
		if j.eventCount > 0 {
			r.Meter.Add(dragonflypass.CountResumed, 1)
		}
	}
}

// concludeStream returns the error of an exchange whose response was forwarded completely, or whose caller has disconnected.
func (r *Relayer) concludeStream(ctx context.Context, j *job, err error) error {
	if err == nil {
		return nil
	}
	return r.refuse(ctx, j, dragonflypass.ReasonCancelled, 0, err.Error())
}

// refuseWithoutPermit returns the error of an exchange that was not granted a permit.
func (r *Relayer) refuseWithoutPermit(ctx context.Context, j *job, err error) error {
	if refusal, ok := dragonflypass.AsRefusal(err); ok {
		if refusal.Reason == dragonflypass.ReasonNoServer {
			return r.refuse(ctx, j, refusal.Reason, max(refusal.RetryAfter, r.retryAfter(j)), refusal.Detail)
		}
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
	var abandonedAt time.Time
	if !j.headWritten {
		abandonedAt = e.Arrived.Add(j.route.CallerTimeout())
	}
	output, _ := r.Appraiser.Output(j.costKey(), shape.ExpectedTokens, shape.OutputTokens)
	return dragonflypass.PermitRequest{
		AbandonedAt: abandonedAt, ExpectedOutput: output, Stream: dragonflypass.StreamID{VM: r.Self.ID, Incarnation: r.Incarnation, Sequence: r.sequence.Add(1)},
		ID: e.ID, Account: j.match.Account, Model: shape.Model, Service: j.service, Priority: j.match.Priority,
		PromptTokens: shape.Tokens, OutputTokens: shape.OutputTokens, ExpectedTokens: shape.ExpectedTokens,
		MaxEventGap: j.route.MaxEventGap, ExcludedServers: slices.Concat(j.excluded, r.Excluder.ExcludedServers(j.service)), Deadline: j.deadline, FirstTokenDeadline: e.Arrived.Add(j.route.LatencyObjective),
		Fingerprint: j.fingerprint(),
	}
}

// forward sends the request of the attempt, unless that has been done, and forwards the response.
func (r *Relayer) forward(a *attempt, j *job) error {
	if a.response == nil {
		if err := r.sendStream(a, j); err != nil {
			return err
		}
	}
	if !isEventStream(a.response) {
		return r.forwardWhole(j, a.response)
	}
	return r.forwardEvents(a, j)
}

// statusOK is the status of a response that is a stream of events.
const statusOK = 200

// isEventStream reports whether the response is a stream of events.
func isEventStream(response dragonflypass.BackendResponse) bool {
	head := response.Head()
	return head.Status == statusOK && head.EventStream
}

// forwardWhole forwards a response that is not a stream of events, such as a server's error, unless another server may be
// tried or the caller has received a part of a stream.
func (r *Relayer) forwardWhole(j *job, response dragonflypass.BackendResponse) error {
	if j.headWritten || j.route.Retryable() && j.attemptCount < j.route.MaxAttempts {
		return eris.Wrapf(dragonflypass.ErrBroken, "status %d, no event stream", response.Head().Status)
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
func (r *Relayer) forwardEvents(a *attempt, j *job) error {
	if !j.headWritten {
		if !a.open.head.CompareAndSwap(headPending, headForwarded) {
			return errStalled
		}
		head := a.response.Head()
		head.Length = -1
		j.headWritten, j.status = true, head.Status
		if j.writer.WriteHead(head) != nil {
			return errCallerDisconnected
		}
	}
	// continues is set until the first event of a response that continues another server's stream.
	for continues := j.eventCount > 0; ; {
		chunk, err := r.nextEvent(a, j)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		a.open.recordProgress(r.Timer.Now())
		if chunk.Comment {
			if j.writer.WriteChunk(chunk) != nil {
				return errCallerDisconnected
			}
			continue
		}
		if continues && !j.mayContinueWith(chunk) {
			return eris.Wrapf(dragonflypass.ErrBroken, "event %q may not follow %q of another server", chunk.ID, j.lastEventID)
		}
		continues = false
		a.open.stallsAt.Store(r.Timer.Now().Add(max(minStallTimeout, gapFactor*j.route.MaxEventGap)).UnixNano())
		if err := r.forwardEvent(j, chunk); err != nil {
			return err
		}
		a.open.lastEventID.Store(j.resumeFrom())
	}
}

// resumeFrom returns the identifier of the last event that the caller has received, empty for none. It returns nil if the
// events have no identifiers from which another server could go on.
func (j *job) resumeFrom() *string {
	if j.eventCount > 0 && (j.lastEventID == "" || j.endsUnnamed) {
		return nil
	}
	lastEventID := j.lastEventID
	return &lastEventID
}

// mayContinueWith reports whether the event of another server may follow the events that the caller has received.
func (j *job) mayContinueWith(chunk dragonflypass.Chunk) bool {
	return chunk.ID != "" && j.lastEventID != "" && !j.endsUnnamed && compareEventIDs(j.lastEventID, chunk.ID) != eventUnrelated
}

// nextEvent returns the next event of the attempt's response. It reports the first one to the owner of the permit and to the
// quarantiner.
func (r *Relayer) nextEvent(a *attempt, j *job) (dragonflypass.Chunk, error) {
	if chunk := a.firstChunk; chunk != nil {
		a.firstChunk = nil
		return *chunk, nil
	}
	chunk, err := a.response.Next()
	if err == nil && !chunk.Comment {
		a.eventCount++
	}
	if err == nil && !chunk.Comment && a.open.prefilled.CompareAndSwap(false, true) {
		r.Permits.Prefilled(a.permit)
		r.Quarantiner.RecordBegun(j.fingerprint().Model, j.exchange.SharedParts)
	}
	return chunk, err
}

// forwardEvent forwards one event. It drops an event that the caller has already received, and returns ErrBroken
// if events are missing before this one.
func (r *Relayer) forwardEvent(j *job, chunk dragonflypass.Chunk) error {
	switch compareEventIDs(j.lastEventID, chunk.ID) {
	case eventDuplicate:
		r.Meter.Add(dragonflypass.CountFrameDropped, 1)
		return nil
	case eventUnrelated:
		return eris.Wrapf(dragonflypass.ErrBroken, "event %q after %q", chunk.ID, j.lastEventID)
	}
	start := r.Timer.Now()
	if err := j.writer.WriteChunk(chunk); err != nil {
		return errCallerDisconnected
	}
	now := r.Timer.Now()
	j.writeTime += now.Sub(start)
	if j.eventCount == 0 {
		j.firstChunkAt = now
		r.Meter.Observe(dragonflypass.MeasureFirstToken, rankOf(j.match.Priority), classOf(j.exchange.Prompt), now.Sub(j.exchange.Arrived))
	} else {
		j.longestGap = max(j.longestGap, now.Sub(j.lastChunkAt))
	}
	j.lastChunkAt = now
	j.eventCount++
	j.endsUnnamed = chunk.ID == ""
	if !j.endsUnnamed {
		j.lastEventID = chunk.ID
	}
	return nil
}

// eventOrder is the position of an event relative to the previous one.
type eventOrder uint8

const (
	eventNext eventOrder = iota
	eventDuplicate
	// eventUnrelated means that events are missing before this one, or that it belongs to another stream.
	eventUnrelated
)

// compareEventIDs compares the identifiers of two consecutive events. An event without an identifier follows any other;
// after a number only the next number does.
func compareEventIDs(lastID, id string) eventOrder {
	if lastID == "" || id == "" {
		return eventNext
	}
	if lastID == id {
		return eventDuplicate
	}
	lastNumber, err := strconv.ParseUint(lastID, 10, 64)
	if err != nil {
		return eventNext
	}
	number, err := strconv.ParseUint(id, 10, 64)
	switch {
	case err != nil:
		return eventUnrelated
	case number <= lastNumber:
		return eventDuplicate
	case number > lastNumber+1:
		return eventUnrelated
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
	case errors.Is(err, errSuperseded):
		outcome = "not-needed"
	default:
		outcome = "broken"
	}
	return outcome + " " + duration.Round(100*time.Microsecond).String()
}
