package relayer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/assessor"
)

// serverFault is the lowest status by which a server says that it failed.
const serverFault = 500

// answer is a whole answer of a plain service.
type answer struct {
	head dragonflypass.ResponseHead
	body []byte
}

// result is the end of one sending of a request to a plain service.
type result struct {
	entry dragonflypass.ServerEntry
	// answer is nil when there was none.
	answer *answer
	err    error
	span   time.Duration
}

// good reports whether the result may be passed on without another try.
func (s *result) good() bool { return s.err == nil && s.answer.head.Status < serverFault }

// whole serves an exchange whose answer is passed on in one piece, once it is proved whole.
func (r *Relayer) whole(ctx context.Context, j *job) error {
	// last is the newest answer of a server, which says that it failed.
	var last *answer
	for {
		entry, ok := r.Balancer.Pick(r.Directory.Servers(j.service), j.exclude)
		if !ok && last != nil {
			return r.pass(ctx, j, last)
		}
		if !ok {
			return r.refusal(ctx, j, dragonflypass.ReasonNoServer, soonRetry, "no server of the service is known")
		}
		var end result
		for _, end = range r.hedged(ctx, j, entry) {
			j.take(&end)
			if end.err == nil {
				last = end.answer
			}
			if end.good() {
				break
			}
		}
		switch {
		case end.good():
			return r.pass(ctx, j, end.answer)
		case r.goOn(ctx, j, end.err):
		case last != nil:
			return r.pass(ctx, j, last)
		default:
			return r.refusal(ctx, j, dragonflypass.ReasonBroken, soonRetry, "the servers did not answer")
		}
	}
}

// goOn reports whether another server is tried after an answer that says the server failed, or after the error.
func (r *Relayer) goOn(ctx context.Context, j *job, err error) bool {
	if errors.Is(err, dragonflypass.ErrUnavailable) {
		return ctx.Err() == nil
	}
	return r.mayRetry(ctx, j)
}

// take counts the result among the attempts of the request.
func (j *job) take(s *result) {
	j.trail = append(j.trail, fmt.Sprintf("%s %s", s.entry.ID, describe(s.answer, s.err, s.span)))
	j.exclude = append(j.exclude, s.entry.ID)
	switch {
	case errors.Is(s.err, dragonflypass.ErrUnavailable):
	case errors.Is(s.err, dragonflypass.ErrRefused):
		j.declined++
	default:
		j.attempts++
		j.ran = true
	}
}

// ask sends the request to the server, reads the whole answer and tells the balancer of it.
func (r *Relayer) ask(ctx context.Context, j *job, entry dragonflypass.ServerEntry) result {
	began := r.Timer.Now()
	delivery := j.delivery(entry.ID)
	delivery.Address = entry.Address
	a, err := r.exchange(ctx, delivery)
	outcome := assessor.Answered
	var declined *dragonflypass.ServerRefusal
	switch {
	case err == nil && a.head.Status >= serverFault:
		outcome = assessor.Failed
	case err == nil:
	case errors.Is(err, dragonflypass.ErrUnavailable):
		outcome = assessor.Inconclusive
		if ctx.Err() == nil {
			r.ServerUnreachable(entry.ID)
		}
	case errors.As(err, &declined) && declined.Invalid:
		outcome = assessor.InvalidRequest
	case errors.Is(err, dragonflypass.ErrRefused):
		outcome = assessor.Failed
	default:
		outcome = judged(ctx, assessor.Failed)
		r.suspect(ctx, j, entry.ID, err)
	}
	r.Balancer.RecordOutcome(entry.ID, outcome, loadOf(a))
	return result{entry: entry, answer: a, err: err, span: r.Timer.Now().Sub(began)}
}

// judged returns the outcome unless the request was ended from this side, and not because another server was faster.
func judged(ctx context.Context, outcome assessor.Outcome) assessor.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), errOvertaken) {
		return assessor.Inconclusive
	}
	return outcome
}

// exchange makes one call; an answer without the server's signature is none.
func (r *Relayer) exchange(ctx context.Context, delivery dragonflypass.BackendRequest) (*answer, error) {
	reply, err := r.Backend.Send(ctx, delivery)
	if err != nil {
		return nil, err
	}
	defer reply.Close()
	a := &answer{head: reply.Head()}
	if !a.head.Signed {
		return nil, dragonflypass.ErrBroken
	}
	piece, err := reply.Next()
	if err != nil {
		return nil, err
	}
	a.body = piece.Data
	a.head.Length = int64(len(a.body))
	return a, nil
}

func loadOf(a *answer) *dragonflypass.LoadReport {
	if a == nil {
		return nil
	}
	return a.head.Load
}

// pass gives the caller the answer.
func (r *Relayer) pass(ctx context.Context, j *job, a *answer) error {
	j.first = r.Timer.Now()
	j.status = a.head.Status
	j.begun = true
	if j.to.WriteHead(a.head) != nil || j.to.WriteChunk(dragonflypass.Chunk{Data: a.body}) != nil {
		return r.refusal(ctx, j, dragonflypass.ReasonCancelled, 0, errCaller.Error())
	}
	return nil
}
