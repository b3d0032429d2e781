package timer

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dragonflypass/dragonflypass"
)

// Service submits jobs to the pool of workers when they are due.
type Service struct {
	Pool dragonflypass.Pool
	// TimeSinceBoot returns the time since the VM was started, including time in which it was suspended.
	TimeSinceBoot func() time.Duration

	mutex sync.Mutex
	queue subscriptions
	// wake signals that the earliest subscription has changed; its buffer has room for one signal.
	wake chan struct{}
}

type subscription struct {
	kind    dragonflypass.JobKind
	due     time.Time
	period  time.Duration
	job     func(context.Context)
	index   int
	stopped atomic.Bool
	running atomic.Bool
}

var _ dragonflypass.Timer = (*Service)(nil)

// New returns a timer service that runs its jobs on the pool.
func New(pool dragonflypass.Pool) *Service {
	return &Service{Pool: pool, TimeSinceBoot: timeSinceBoot, wake: make(chan struct{}, 1)}
}

// timeSinceBoot reads the system clock that continues to run while the VM is suspended.
func timeSinceBoot() time.Duration {
	var spec unix.Timespec
	// Linux, the only supported system, always has this clock.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		panic(err)
	}
	return time.Duration(spec.Nano())
}

// Uptime returns the time since the VM was started, including time in which it was suspended.
func (s *Service) Uptime() time.Duration { return s.TimeSinceBoot() }

// Now returns the current time.
func (s *Service) Now() time.Time { return time.Now() }

// Every runs the job each period until stop is called; a run is skipped if the previous one has not ended.
func (s *Service) Every(kind dragonflypass.JobKind, period time.Duration, job func(context.Context)) (stop func()) {
	return s.subscribe(&subscription{kind: kind, due: s.Now().Add(period), period: period, job: job})
}

// At runs the job once at the given time, unless stop is called before.
func (s *Service) At(kind dragonflypass.JobKind, when time.Time, job func(context.Context)) (stop func()) {
	return s.subscribe(&subscription{kind: kind, due: when, job: job})
}

// WithDeadline returns a context that ends at the given time.
func (s *Service) WithDeadline(ctx context.Context, when time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, when)
}

// Run submits the jobs of the subscriptions until ctx ends.
func (s *Service) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(s.submitDue())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.wake:
		}
	}
}

func (s *Service) subscribe(sub *subscription) (stop func()) {
	s.mutex.Lock()
	heap.Push(&s.queue, sub)
	first := sub.index == 0
	s.mutex.Unlock()
	if first {
		s.wakeUp()
	}
	return func() { s.remove(sub) }
}

func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) remove(sub *subscription) {
	sub.stopped.Store(true)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if sub.index >= 0 {
		heap.Remove(&s.queue, sub.index)
	}
}

// submitDue submits the jobs that are due and returns the time until the next one.
func (s *Service) submitDue() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for len(s.queue) > 0 {
		now := s.Now()
		next := s.queue[0]
		if wait := next.due.Sub(now); wait > 0 {
			return wait
		}
		if next.period == 0 {
			heap.Pop(&s.queue)
			s.submitOnce(next, now)
			continue
		}
		next.due = now.Add(next.period)
		heap.Fix(&s.queue, 0)
		s.submitPeriodic(next)
	}
	return time.Hour
}

// resubmitDelay is the time after which a job is submitted again if the queue of the pool was full.
const resubmitDelay = 10 * time.Millisecond

// submitOnce submits a job that runs once; the caller must hold the mutex.
func (s *Service) submitOnce(sub *subscription, now time.Time) {
	submitted := s.Pool.Submit(sub.kind, func(ctx context.Context) {
		if !sub.stopped.Load() {
			sub.job(ctx)
		}
	})
	if !submitted {
		sub.due = now.Add(resubmitDelay)
		heap.Push(&s.queue, sub)
	}
}

func (s *Service) submitPeriodic(sub *subscription) {
	if !sub.running.CompareAndSwap(false, true) {
		return
	}
	submitted := s.Pool.Submit(sub.kind, func(ctx context.Context) {
		defer sub.running.Store(false)
		if !sub.stopped.Load() {
			sub.job(ctx)
		}
	})
	if !submitted {
		sub.running.Store(false)
	}
}

type subscriptions []*subscription

func (q subscriptions) Len() int           { return len(q) }
func (q subscriptions) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q subscriptions) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds a subscription for container/heap.
func (q *subscriptions) Push(x any) {
	sub := x.(*subscription)
	sub.index = len(*q)
	*q = append(*q, sub)
}

// Pop removes the last subscription for container/heap.
func (q *subscriptions) Pop() any {
	old := *q
	sub := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	sub.index = -1
	return sub
}
