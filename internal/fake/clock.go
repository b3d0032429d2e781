package fake

import (
	"container/heap"
	"context"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Clock is a timer service and pool in virtual time: one goroutine runs the events in their order.
type Clock struct {
	now    time.Time
	events eventHeap
	order  uint64
}

type event struct {
	when    time.Time
	order   uint64
	job     func(context.Context)
	stopped bool
}

var (
	_ dragonflypass.Timer = (*Clock)(nil)
	_ dragonflypass.Pool  = (*Clock)(nil)
)

// NewClock returns a clock at the instant.
func NewClock(start time.Time) *Clock { return &Clock{now: start} }

// Now returns the virtual instant.
func (c *Clock) Now() time.Time { return c.now }

// Uptime returns the virtual time since 1970.
func (c *Clock) Uptime() time.Duration { return time.Duration(c.now.UnixNano()) }

// After runs the job once the span has passed.
func (c *Clock) After(span time.Duration, job func()) {
	c.schedule(c.now.Add(span), func(context.Context) { job() })
}

func (c *Clock) schedule(when time.Time, job func(context.Context)) *event {
	c.order++
	e := &event{when: when, order: c.order, job: job}
	heap.Push(&c.events, e)
	return e
}

// At runs the job at the instant.
func (c *Clock) At(_ dragonflypass.JobKind, when time.Time, job func(context.Context)) (stop func()) {
	e := c.schedule(when, job)
	return func() { e.stopped = true }
}

// Every runs the job each period.
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

// Submit runs the job as the next event of this instant.
func (c *Clock) Submit(_ dragonflypass.JobKind, job func(context.Context)) bool {
	c.schedule(c.now, job)
	return true
}

// WithDeadline returns a context that does not end by itself.
func (c *Clock) WithDeadline(ctx context.Context, _ time.Time) (context.Context, context.CancelFunc) {
	return context.WithCancel(ctx)
}

// Run runs the events up to the instant.
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
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event for container/heap.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

// Pop removes the last event for container/heap.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
