package relayer

import (
	"cmp"
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

// successionInterval is the time between the end of a failed preparation of a successor and the start of the next one.
const successionInterval = time.Second

// succession prepares the successor of an attempt that has stalled. The attempt goes on meanwhile and is only cancelled
// once the successor has received an event, so that the stream goes on if the retry budget is spent or no other server
// runs the request.
type succession struct {
	relayer *Relayer
	// ctx ends with the exchange, or when the attempt has ended and needs no successor.
	ctx         context.Context
	cancel      context.CancelFunc
	predecessor *attempt
	// job is a copy of the exchange's job, as it will be when the attempt has failed after the head. It is used by the
	// preparation, and by the exchange after finish.
	job *job
	// before is the job before the first preparation.
	before job

	mutex locker.Mutex
	// running is closed at the end of the preparation in progress; it is nil if there is none.
	running chan struct{}
	// retryAt is the time before which no further preparation starts.
	retryAt   time.Time
	successor *attempt
	finished  bool
}

// newSuccession returns the succession of the attempt and lets Sweep start it.
func (r *Relayer) newSuccession(ctx context.Context, a *attempt, j *job) *succession {
	next := *j
	next.excluded = append(slices.Clone(j.excluded), a.permit.Server)
	next.attemptHistory = nil
	if a.response == nil {
		next.attemptCount++
	}
	next.maybeExecuted, next.headWritten = true, true
	s := &succession{relayer: r, predecessor: a, job: &next, before: next, mutex: locker.Mutex{Order: locker.Permits}}
	s.ctx, s.cancel = context.WithCancel(ctx)
	a.open.succession.Store(s)
	return s
}

// start starts a preparation, unless one is running, the last one has just failed, or the attempt has ended.
func (s *succession) start() {
	now := s.relayer.Timer.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.finished || s.running != nil || s.successor != nil || now.Before(s.retryAt) {
		return
	}
	running := make(chan struct{})
	s.running = running
	go func() {
		defer close(running)
		s.conclude(s.prepare())
	}()
}

// prepare makes attempts at other servers until one of them has received an event. It returns nil if none has.
func (s *succession) prepare() *attempt {
	r, j := s.relayer, s.job
	stallsAt := s.predecessor.open.stallsAt.Load()
	for r.mayRetry(s.ctx, j) {
		for {
			lastEventID := s.predecessor.open.lastEventID.Load()
			if lastEventID == nil {
				r.Budgets.Refund(j.service)
				return nil
			}
			j.lastEventID = *lastEventID
			a, err := r.begin(s.ctx, j)
			if err == nil && s.predecessor.open.stallsAt.Load() != stallsAt {
				// The predecessor has received an event while this attempt waited for its permit.
				r.returnUnused(a)
				err = errSuperseded
			}
			if err != nil {
				r.Budgets.Refund(j.service)
				return nil
			}
			successor, err := r.awaitFirstEvent(s.ctx, a, j)
			if successor != nil {
				return successor
			}
			if !nothingSent(err) {
				break
			}
		}
	}
	return nil
}

// awaitFirstEvent sends the request of the attempt and returns the attempt, or its own successor, once that has received an
// event or the end of the stream. On an error, the attempt has been ended.
func (r *Relayer) awaitFirstEvent(ctx context.Context, a *attempt, j *job) (*attempt, error) {
	s := r.newSuccession(ctx, a, j)
	err := r.sendStream(a, j)
	if err == nil {
		err = r.readFirstEvent(a, j)
	}
	if err == nil && s.drop() == nil {
		s.await()
		s.mergeInto(j)
		return a, nil
	}
	err = r.end(a, j, cmp.Or(err, errStalled))
	successor := s.finish()
	s.mergeInto(j)
	return successor, err
}

// readFirstEvent waits for the first event of the attempt, which must continue those that the caller has received, or the end
// of the stream.
func (r *Relayer) readFirstEvent(a *attempt, j *job) error {
	if !isEventStream(a.response) {
		return dragonflypass.ErrBroken
	}
	for {
		chunk, err := r.nextEvent(a, j)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case chunk.Comment:
		case j.lastEventID != "" && !j.mayContinueWith(chunk):
			return dragonflypass.ErrBroken
		default:
			a.firstChunk = &chunk
			return nil
		}
	}
}

// conclude records the result of a preparation and cancels the predecessor if there is a successor.
func (s *succession) conclude(successor *attempt) {
	s.mutex.Lock()
	s.running, s.retryAt = nil, s.relayer.Timer.Now().Add(successionInterval)
	dropped := s.ctx.Err() != nil
	if !dropped {
		s.successor = successor
	}
	s.mutex.Unlock()
	switch {
	case successor == nil:
	case dropped:
		s.relayer.end(successor, s.job, errSuperseded)
	default:
		s.predecessor.cancel(errStalled)
	}
}

// close keeps further preparations from starting and returns the channel of the one in progress, nil if there is none.
func (s *succession) close() chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.finished = true
	return s.running
}

// finish waits for the preparation in progress when the attempt has failed and been ended. It returns the successor, nil if
// there is none.
func (s *succession) finish() *attempt {
	s.await()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.successor
}

// drop ends the preparation when the attempt needs no successor. If the attempt has been cancelled in favor of a successor
// before, it returns that one.
func (s *succession) drop() *attempt {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.finished = true
	if s.successor == nil {
		s.cancel()
	}
	return s.successor
}

// await waits for the end of a preparation in progress.
func (s *succession) await() {
	if running := s.close(); running != nil {
		<-running
	}
}

// mergeInto adds the attempts of the preparations, which must have ended, to the exchange's job.
func (s *succession) mergeInto(j *job) {
	j.maybeExecuted = j.maybeExecuted || s.job.attemptCount > s.before.attemptCount
	j.attemptCount += s.job.attemptCount - s.before.attemptCount
	j.refusals += s.job.refusals - s.before.refusals
	j.excluded = append(j.excluded, s.job.excluded[len(s.before.excluded):]...)
	j.attemptHistory = append(j.attemptHistory, s.job.attemptHistory...)
}
