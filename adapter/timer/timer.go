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

// Service hands jobs to the pool of workers when their time has come.
type Service struct {
	Pool dragonflypass.Pool
	// Boot returns the time since the VM was started, the time in which it stood still included.
	Boot func() time.Duration

	mutex sync.Mutex
	queue subscriptions
	// wake has room for one signal that the first subscription has changed.
	wake chan struct{}
}

type subscription struct {
	kind    dragonflypass.JobKind
	when    time.Time
	period  time.Duration
	job     func(context.Context)
	index   int
	stopped atomic.Bool
	running atomic.Bool
}

var _ dragonflypass.Timer = (*Service)(nil)

// New returns a timer service that runs its jobs on the pool.
func New(pool dragonflypass.Pool) *Service {
	return &Service{Pool: pool, Boot: bootTime, wake: make(chan struct{}, 1)}
}

// bootTime reads the system's clock that counts suspension.
func bootTime() time.Duration {
	var spec unix.Timespec
	// The clock is always there on Linux, the only system that the program runs on.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		panic(err)
	}
	return time.Duration(spec.Nano())
}

// Uptime returns the time since the VM was started, the time in which it stood still included.
func (s *Service) Uptime() time.Duration { return s.Boot() }

// Now returns the current instant.
func (s *Service) Now() time.Time { return time.Now() }

// Every runs the job each period until stop is called; a run that is still going on when the next is due is not repeated.
func (s *Service) Every(kind dragonflypass.JobKind, period time.Duration, job func(context.Context)) (stop func()) {
	return s.subscribe(&subscription{kind: kind, when: s.Now().Add(period), period: period, job: job})
}

// At runs the job once at the instant unless stop is called before.
func (s *Service) At(kind dragonflypass.JobKind, when time.Time, job func(context.Context)) (stop func()) {
	return s.subscribe(&subscription{kind: kind, when: when, job: job})
}

// WithDeadline returns a context that ends at the instant.
func (s *Service) WithDeadline(ctx context.Context, when time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, when)
}

// Run serves the subscriptions until ctx ends.
func (s *Service) Run(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		alarm.Reset(s.fire())
		select {
		case <-ctx.Done():
			return
		case <-alarm.C:
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
		s.signal()
	}
	return func() { s.remove(sub) }
}

func (s *Service) signal() {
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

// fire submits what is due and returns the time to the next subscription.
func (s *Service) fire() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for len(s.queue) > 0 {
		now := s.Now()
		next := s.queue[0]
		if wait := next.when.Sub(now); wait > 0 {
			return wait
		}
		if next.period == 0 {
			heap.Pop(&s.queue)
			s.submitOnce(next, now)
			continue
		}
		next.when = now.Add(next.period)
		heap.Fix(&s.queue, 0)
		s.submitPeriodic(next)
	}
	return time.Hour
}

// retryAfter is the time after which a job that found no room in the pool is submitted again.
const retryAfter = 10 * time.Millisecond

// submitOnce is called with the mutex held.
func (s *Service) submitOnce(sub *subscription, now time.Time) {
	ran := s.Pool.Submit(sub.kind, func(ctx context.Context) {
		if !sub.stopped.Load() {
			sub.job(ctx)
		}
	})
	if !ran {
		sub.when = now.Add(retryAfter)
		heap.Push(&s.queue, sub)
	}
}

func (s *Service) submitPeriodic(sub *subscription) {
	if !sub.running.CompareAndSwap(false, true) {
		return
	}
	ran := s.Pool.Submit(sub.kind, func(ctx context.Context) {
		defer sub.running.Store(false)
		if !sub.stopped.Load() {
			sub.job(ctx)
		}
	})
	if !ran {
		sub.running.Store(false)
	}
}

type subscriptions []*subscription

func (q subscriptions) Len() int           { return len(q) }
func (q subscriptions) Less(i, j int) bool { return q[i].when.Before(q[j].when) }
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
