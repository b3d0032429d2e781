package fake

import (
	"container/heap"
	"context"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Clock is a timer and worker pool in virtual time. The goroutine that calls Run runs all jobs,
// ordered by time; jobs with the same time run in the order in which they were scheduled.
type Clock struct {
	now          time.Time
	events       eventHeap
	lastSequence uint64
}

type event struct {
	when     time.Time
	sequence uint64
	job      func(context.Context)
	stopped  bool
}

var (
	_ dragonflypass.Timer = (*Clock)(nil)
	_ dragonflypass.Pool  = (*Clock)(nil)
)

// NewClock returns a clock that starts at the given time.
func NewClock(start time.Time) *Clock { return &Clock{now: start} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// Uptime returns the virtual time since 1970.
func (c *Clock) Uptime() time.Duration { return time.Duration(c.now.UnixNano()) }

// After schedules the job to run after the delay.
func (c *Clock) After(delay time.Duration, job func()) {
	c.schedule(c.now.Add(delay), func(context.Context) { job() })
}

func (c *Clock) schedule(when time.Time, job func(context.Context)) *event {
	c.lastSequence++
	e := &event{when: when, sequence: c.lastSequence, job: job}
	heap.Push(&c.events, e)
	return e
}

// At schedules the job to run at the given time.
func (c *Clock) At(_ dragonflypass.JobKind, when time.Time, job func(context.Context)) (stop func()) {
	e := c.schedule(when, job)
	return func() { e.stopped = true }
}

// Every schedules the job to run once per period.
func (c *Clock) Every(_ dragonflypass.JobKind, period time.Duration, job func(context.Context)) (stop func()) {
	stopped := false
	var next func(context.Context)
	next = func(ctx context.Context) {
		if stopped {
			return
		}
		job(ctx)
		c.schedule(c.now.Add(period), next)
	}
	c.schedule(c.now.Add(period), next)
	return func() { stopped = true }
}

// Submit schedules the job for the current virtual time, after the jobs already scheduled for it.
func (c *Clock) Submit(_ dragonflypass.JobKind, job func(context.Context)) bool {
	c.schedule(c.now, job)
	return true
}

// WithDeadline ignores the deadline and returns a context that ends only when it is cancelled.
func (c *Clock) WithDeadline(ctx context.Context, _ time.Time) (context.Context, context.CancelFunc) {
	return context.WithCancel(ctx)
}

// Run runs all jobs due by the given time and then sets the clock to it.
func (c *Clock) Run(until time.Time) {
	for len(c.events) > 0 && !c.events[0].when.After(until) {
		e := heap.Pop(&c.events).(*event)
		if e.when.After(c.now) {
			c.now = e.when
		}
		if !e.stopped {
			e.job(context.Background())
		}
	}
	c.now = until
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].when.Equal(h[j].when) {
		return h[i].when.Before(h[j].when)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
