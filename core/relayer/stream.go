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

// streamed serves an exchange whose answer is a series of events.
func (r *Relayer) streamed(ctx context.Context, j *job) error {
	for {
		request := r.request(j)
		permit, err := r.Permits.Acquire(ctx, request)
		if err != nil {
			return r.denied(ctx, j, err)
		}
		err = r.attempt(ctx, j, request, permit)
		if err == nil {
			return nil
		}
		j.exclude = append(j.exclude, permit.Server)
		if errors.Is(err, errCaller) {
			return r.refusal(ctx, j, dragonflypass.ReasonCancelled, 0, err.Error())
		}
		if !r.goOn(ctx, j, err) {
			return r.refusal(ctx, j, dragonflypass.ReasonBroken, soonRetry, "the servers broke off the answer")
		}
		if j.events > 0 {
			r.Meter.Add(dragonflypass.CountResumed, 1)
		}
	}
}

// denied ends an exchange that got no permit.
func (r *Relayer) denied(ctx context.Context, j *job, err error) error {
	if known, ok := dragonflypass.AsRefusal(err); ok {
		return r.refusal(ctx, j, known.Reason, known.RetryAfter, known.Detail)
	}
	return r.refusal(ctx, j, dragonflypass.ReasonNoServer, soonRetry, err.Error())
}

// request asks for a permit.
func (r *Relayer) request(j *job) dragonflypass.PermitRequest {
	e := j.exchange
	shape := e.Prompt
	if shape == nil {
		shape = &dragonflypass.PromptShape{}
	}
	return dragonflypass.PermitRequest{
		Stream: dragonflypass.StreamID{VM: r.Self.ID, Incarnation: r.Incarnation, Sequence: r.sequence.Add(1)},
		ID:     e.ID, Account: j.found.Account, Model: shape.Model, Service: j.service, Priority: j.found.Priority,
		PromptTokens: shape.Tokens, OutputTokens: shape.OutputTokens, ExpectedTokens: shape.ExpectedTokens,
		MaxEventGap: j.route.MaxEventGap, ExcludedServers: j.exclude, Deadline: j.deadline, FirstTokenDeadline: e.Arrived.Add(j.route.LatencyObjective),
		Fingerprint: print(j.found, e),
	}
}

// attempt runs the request at the permit's server and returns the permit on every path.
func (r *Relayer) attempt(ctx context.Context, j *job, request dragonflypass.PermitRequest, permit dragonflypass.Permit) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	open := r.hold(j, request, permit, cancel)
	began := r.Timer.Now()
	err := r.run(ctx, j, permit, open)
	r.unhold(permit.Stream)
	if errors.Is(context.Cause(ctx), errStalled) {
		err = errStalled
	}
	j.trail = append(j.trail, fmt.Sprintf("%s %s owner %s helpers %d predicted %s", permit.Server,
		describe(nil, err, r.Timer.Now().Sub(began)), permit.Owner, len(permit.Helpers), permit.TimeToFirstToken.Round(time.Millisecond)))
	r.suspect(ctx, j, permit.Server, err)
	r.Permits.Release(permit, dragonflypass.PermitRelease{
		Stream: permit.Stream, Server: permit.Server, Outcome: outcomeOf(ctx, err), FaultyHelper: culprit(permit, err),
	})
	return err
}

// culprit returns the helper that is at fault, empty when none is.
func culprit(permit dragonflypass.Permit, err error) dragonflypass.ServerID {
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

// outcomeOf tells the permit's owner how the stream ended at its server.
func outcomeOf(ctx context.Context, err error) dragonflypass.StreamOutcome {
	switch {
	case err == nil:
		return dragonflypass.OutcomeDone
	case errors.Is(err, dragonflypass.ErrRefused):
		return dragonflypass.OutcomeRefused
	case ctx.Err() != nil && !errors.Is(err, errStalled):
		return dragonflypass.OutcomeCancelled
	case errors.Is(err, dragonflypass.ErrUnavailable):
		return dragonflypass.OutcomeUnsent
	case errors.Is(err, errCaller):
		return dragonflypass.OutcomeCancelled
	}
	return dragonflypass.OutcomeLost
}

// run sends the request and passes the events on as they come.
func (r *Relayer) run(ctx context.Context, j *job, permit dragonflypass.Permit, open *openStream) error {
	free, failed, err := r.Reserver.Reserve(ctx, permit.Helpers)
	if err != nil {
		return eris.Wrapf(dragonflypass.ErrRefused, "no memory at %s: %v", failed.Server, err)
	}
	defer free()
	delivery := j.delivery(permit.Server)
	delivery.Address, delivery.Helpers, delivery.Urgency = permit.Address, permit.Helpers, permit.Priority
	reply, err := r.Backend.Send(ctx, delivery)
	if errors.Is(err, dragonflypass.ErrUnavailable) {
		return err
	}
	if errors.Is(err, dragonflypass.ErrRefused) {
		j.declined++
		return err
	}
	j.attempts++
	j.ran = true
	if err != nil {
		return err
	}
	defer reply.Close()
	head := reply.Head()
	switch {
	case !head.Signed:
		return eris.Wrap(dragonflypass.ErrBroken, "an answer without a signature")
	case head.Status != statusOK:
		return r.failed(j, reply)
	}
	return r.events(j, permit, open, reply)
}

// statusOK is the status of an answer that is a series of events.
const statusOK = 200

// failed passes a server's own failure on, unless another server may be tried.
func (r *Relayer) failed(j *job, reply dragonflypass.BackendResponse) error {
	if j.begun || j.route.Repeatable() && j.attempts < j.route.MaxAttempts {
		return eris.Wrapf(dragonflypass.ErrBroken, "status %d", reply.Head().Status)
	}
	piece, err := reply.Next()
	if err != nil {
		return err
	}
	head := reply.Head()
	head.Length = int64(len(piece.Data))
	j.begun, j.status = true, head.Status
	if j.to.WriteHead(head) != nil || j.to.WriteChunk(piece) != nil {
		return errCaller
	}
	return nil
}

// events passes the events on.
func (r *Relayer) events(j *job, permit dragonflypass.Permit, open *openStream, reply dragonflypass.BackendResponse) error {
	if !j.begun {
		head := reply.Head()
		head.Length = -1
		j.begun, j.status = true, head.Status
		if j.to.WriteHead(head) != nil {
			return errCaller
		}
	}
	for first := true; ; first = false {
		piece, err := reply.Next()
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
		open.stalls.Store(r.Timer.Now().Add(max(pausePatience, pauseFactor*j.route.MaxEventGap)).UnixNano())
		if err := r.event(j, piece); err != nil {
			return err
		}
	}
}

// event passes one event on; one that the caller has is dropped, and a gap breaks the answer.
func (r *Relayer) event(j *job, piece dragonflypass.Chunk) error {
	switch follows(j.last, piece.ID) {
	case repeated:
		r.Meter.Add(dragonflypass.CountFrameDropped, 1)
		return nil
	case skipped:
		return eris.Wrapf(dragonflypass.ErrBroken, "event %s after %s", piece.ID, j.last)
	}
	if err := j.to.WriteChunk(piece); err != nil {
		return errCaller
	}
	now := r.Timer.Now()
	if j.events == 0 {
		j.first = now
		r.Meter.Observe(dragonflypass.MeasureFirstToken, rankOf(j.found.Priority), classOf(j.exchange.Prompt), now.Sub(j.exchange.Arrived))
	} else {
		j.pause = max(j.pause, now.Sub(j.passed))
	}
	j.passed = now
	j.events++
	if piece.ID != "" {
		j.last = piece.ID
	}
	return nil
}

// order is how an event stands to the one before it.
type order uint8

const (
	next order = iota
	repeated
	skipped
)

// follows compares the identifiers of two events in a row; those that are no numbers are not judged.
func follows(last, id string) order {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return next
	}
	before, err := strconv.ParseUint(last, 10, 64)
	switch {
	case last != "" && err != nil:
		return next
	case number <= before && last != "":
		return repeated
	case number > before+1 && last != "":
		return skipped
	}
	return next
}

// rankOf maps a priority to the ranks of the metrics.
func rankOf(priority int) dragonflypass.Rank {
	return dragonflypass.Rank(max(0, min(priority, dragonflypass.RankCount-1)))
}

func classOf(shape *dragonflypass.PromptShape) dragonflypass.LengthClass {
	if shape == nil {
		return dragonflypass.ClassShort
	}
	return dragonflypass.ClassOf(shape.Tokens)
}

// describe sums an attempt up for the log.
func describe(a *answer, err error, took time.Duration) string {
	outcome := "ended"
	var declined *dragonflypass.ServerRefusal
	switch {
	case a != nil:
		outcome = strconv.Itoa(a.head.Status)
	case err == nil:
	case errors.As(err, &declined):
		outcome = "declined-" + strconv.Itoa(declined.Status)
	case errors.Is(err, dragonflypass.ErrUnavailable):
		outcome = "unreachable"
	case errors.Is(err, dragonflypass.ErrUncertain):
		outcome = "unanswered"
	case errors.Is(err, errStalled):
		outcome = "stalled"
	case errors.Is(err, errCaller):
		outcome = "caller-gone"
	default:
		outcome = "broken"
	}
	return outcome + " " + took.Round(100*time.Microsecond).String()
}
