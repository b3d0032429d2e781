package relayer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/assessor"
	"github.com/dragonflypass/dragonflypass/core/balancer"
)

// serverErrorStatus is the lowest status with which a server reports its own failure.
const serverErrorStatus = 500

// response is a complete response of a plain service.
type response struct {
	head dragonflypass.ResponseHead
	body []byte
}

// result is the result of one attempt at a server of a plain service.
type result struct {
	entry dragonflypass.ServerEntry
	// response is nil if the server sent none.
	response *response
	err      error
	duration time.Duration
}

// succeeded reports whether the response may be forwarded without another attempt.
func (s *result) succeeded() bool { return s.err == nil && s.response.head.Status < serverErrorStatus }

// serveBuffered serves an exchange whose response is forwarded as a unit, once it is verified as complete.
func (r *Relayer) serveBuffered(ctx context.Context, j *job) error {
	// lastResponse is the latest response that reported a failure.
	var lastResponse *response
	for {
		refusal := r.refusalToSend(j)
		if refusal != nil && lastResponse == nil {
			return r.refuse(ctx, j, refusal.Reason, refusal.RetryAfter, refusal.Detail)
		}
		choice, ok := r.pick(j, j.excluded)
		if (!ok || refusal != nil) && lastResponse != nil {
			return r.writeResponse(ctx, j, lastResponse)
		}
		if !ok {
			return r.refuse(ctx, j, dragonflypass.ReasonNoServer, r.retryAfter(j), "no backend server of the service is available")
		}
		var res result
		for _, res = range r.sendHedged(ctx, j, choice) {
			j.recordResult(&res)
			if res.err == nil {
				lastResponse = res.response
			}
			if res.succeeded() {
				break
			}
		}
		switch {
		case res.succeeded():
			return r.writeResponse(ctx, j, res.response)
		case r.shouldTryAnother(ctx, j, res.err):
		case lastResponse != nil:
			return r.writeResponse(ctx, j, lastResponse)
		default:
			return r.refuse(ctx, j, dragonflypass.ReasonBroken, r.retryAfter(j), "the backend servers did not respond")
		}
	}
}

// shouldTryAnother reports whether another server is tried after the error, or after a response that reported a
// failure if err is nil.
func (r *Relayer) shouldTryAnother(ctx context.Context, j *job, err error) bool {
	if nothingSent(err) {
		return ctx.Err() == nil
	}
	if errors.Is(err, errNoHelperMemory) && j.unreserved < maxUnreserved {
		j.unreserved++
		return ctx.Err() == nil
	}
	return r.mayRetry(ctx, j)
}

// nothingSent reports whether the attempt that ended with the error has sent nothing to its server, so that it uses neither
// an attempt of the route nor the retry budget.
func nothingSent(err error) bool {
	return errors.Is(err, dragonflypass.ErrUnavailable) || errors.Is(err, errEvacuated)
}

// recordResult adds the result to the attempt history, excludes the server from further attempts, and counts the attempt
// or the refusal.
func (j *job) recordResult(res *result) {
	j.attemptHistory = append(j.attemptHistory, fmt.Sprintf("%s %s", res.entry.ID, describeAttempt(res.response, res.err, res.duration)))
	j.excluded = append(j.excluded, res.entry.ID)
	switch {
	case errors.Is(res.err, dragonflypass.ErrUnavailable):
	case errors.Is(res.err, dragonflypass.ErrRefused):
		j.refusals++
	default:
		j.attemptCount++
		j.maybeExecuted = true
	}
}

// send sends the request to the server, reads the complete response and reports the outcome to the balancer.
func (r *Relayer) send(ctx context.Context, j *job, choice balancer.Choice) result {
	start, entry := r.Timer.Now(), choice.Entry
	request := j.backendRequest(entry.ID)
	request.Address = entry.Address
	resp, err := r.call(ctx, request)
	outcome := assessor.Answered
	var refusal *dragonflypass.ServerRefusal
	switch {
	case err == nil && resp.head.Status >= serverErrorStatus:
		outcome = assessor.Failed
	case err == nil:
		r.Quarantiner.RecordSuccess(j.fingerprint())
		r.Quarantiner.RecordBegun(j.fingerprint().Model, j.exchange.SharedParts)
	case errors.Is(err, dragonflypass.ErrUnavailable):
		outcome = assessor.Inconclusive
		if ctx.Err() == nil {
			r.ServerUnreachable(entry.ID)
		}
	case errors.As(err, &refusal) && refusal.Invalid:
		outcome = assessor.InvalidRequest
	case errors.Is(err, dragonflypass.ErrRefused):
		outcome = assessor.Failed
	default:
		outcome = outcomeUnlessCancelled(ctx, assessor.Failed)
		r.checkForCrash(ctx, j, entry.ID, start, false, err)
	}
	r.Balancer.RecordOutcome(choice, outcome, loadOf(resp))
	elapsed := r.Timer.Now().Sub(start)
	r.recordWork(ctx, j, choice, resp, elapsed)
	return result{entry: entry, response: resp, err: err, duration: elapsed}
}

// outcomeUnlessCancelled returns Inconclusive if this VM cancelled the request, else the outcome. A request that was
// cancelled because another server responded first keeps its outcome.
func outcomeUnlessCancelled(ctx context.Context, outcome assessor.Outcome) assessor.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), errSuperseded) {
		return assessor.Inconclusive
	}
	return outcome
}

// call sends one request and reads the response; it returns ErrBroken for a response without the server's
// signature.
func (r *Relayer) call(ctx context.Context, request dragonflypass.BackendRequest) (*response, error) {
	backendResponse, err := r.sendRequest(ctx, request)
	if err != nil {
		return nil, err
	}
	defer backendResponse.Close()
	resp := &response{head: backendResponse.Head()}
	if !resp.head.Signed {
		return nil, dragonflypass.ErrBroken
	}
	chunk, err := backendResponse.Next()
	if err != nil {
		return nil, err
	}
	resp.body = chunk.Data
	resp.head.Length = int64(len(resp.body))
	return resp, nil
}

func loadOf(resp *response) *dragonflypass.LoadReport {
	if resp == nil {
		return nil
	}
	return resp.head.Load
}

// writeResponse forwards the response to the caller.
func (r *Relayer) writeResponse(ctx context.Context, j *job, resp *response) error {
	j.firstChunkAt = r.Timer.Now()
	j.status = resp.head.Status
	j.headWritten = true
	if j.writer.WriteHead(resp.head) != nil || j.writer.WriteChunk(dragonflypass.Chunk{Data: resp.body}) != nil {
		return r.refuse(ctx, j, dragonflypass.ReasonCancelled, 0, errCallerDisconnected.Error())
	}
	return nil
}
