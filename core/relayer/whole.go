package relayer

import (
	"context"
	"errors"
	"fmt"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/assessor"
)

// serverFault is the lowest status by which a server says that it failed.
const serverFault = 500

// answer is a whole answer of a plain service.
type answer struct {
	head dragonflypass.AnswerHead
	body []byte
}

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
		a, outcome, err := r.call(ctx, j, entry)
		r.Balancer.Done(entry.ID, outcome, loadOf(a))
		j.exclude = append(j.exclude, entry.ID)
		if err == nil {
			last = a
		}
		if err == nil && (a.head.Status < serverFault || !r.mayRetry(ctx, j)) {
			return r.pass(ctx, j, a)
		}
		if err != nil && !r.goOn(ctx, j, err) {
			if last != nil {
				return r.pass(ctx, j, last)
			}
			return r.refusal(ctx, j, dragonflypass.ReasonBroken, soonRetry, "the servers did not answer")
		}
	}
}

// goOn reports whether another server is tried after the error.
func (r *Relayer) goOn(ctx context.Context, j *job, err error) bool {
	if errors.Is(err, dragonflypass.ErrUnavailable) {
		return ctx.Err() == nil
	}
	return r.mayRetry(ctx, j)
}

// call sends the request to the server and reads the whole answer.
func (r *Relayer) call(ctx context.Context, j *job, entry dragonflypass.ServerEntry) (*answer, assessor.Outcome, error) {
	began := r.Timer.Now()
	delivery := j.delivery(entry.ID)
	delivery.Address = entry.Address
	a, err := r.exchange(ctx, delivery)
	j.trail = append(j.trail, fmt.Sprintf("%s %s", entry.ID, describe(a, err, r.Timer.Now().Sub(began))))
	switch {
	case err == nil:
		j.attempts++
		j.ran = true
		return a, assessor.Answered, nil
	case errors.Is(err, dragonflypass.ErrUnavailable):
		if ctx.Err() == nil {
			r.Unreached(entry.ID)
		}
		return nil, assessor.Unjudged, err
	case errors.Is(err, dragonflypass.ErrRefused):
		j.declined++
		return nil, assessor.Declined, err
	}
	j.attempts++
	j.ran = true
	r.suspect(ctx, j, entry.ID, err)
	return nil, judged(ctx, assessor.Failed), err
}

// judged returns the outcome unless the request was ended from this side.
func judged(ctx context.Context, outcome assessor.Outcome) assessor.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return assessor.Unjudged
	}
	return outcome
}

// exchange makes one call; an answer without the server's signature is none.
func (r *Relayer) exchange(ctx context.Context, delivery dragonflypass.Delivery) (*answer, error) {
	reply, err := r.Backend.Send(ctx, delivery)
	if err != nil {
		return nil, err
	}
	defer reply.Close()
	a := &answer{head: reply.Head()}
	if !a.head.Sealed {
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
	if j.to.Begin(a.head) != nil || j.to.Pass(dragonflypass.Piece{Data: a.body}) != nil {
		return r.refusal(ctx, j, dragonflypass.ReasonCancelled, 0, errCaller.Error())
	}
	return nil
}
