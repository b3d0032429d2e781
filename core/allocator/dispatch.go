package allocator

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/arbiter"
)

const (
	// dispatchInterval is the time between two dispatches while requests are queued.
	dispatchInterval = 15 * time.Millisecond
	// minDispatchInterval is the minimum time between two dispatches that leave requests queued. Without it, each event of a
	// server made the owner try all queued requests again: with 60 of them it took longer than 150 ms to answer, and the
	// other VMs took over its shard.
	minDispatchInterval = 4 * time.Millisecond
	// longAttemptsPerDispatch and shortAttemptsPerDispatch are the numbers of long and short prompts that a dispatch may fail
	// to place before it leaves the others queued.
	longAttemptsPerDispatch  = 6
	shortAttemptsPerDispatch = 4
	// longRetryInterval is the time until a prompt that has to be divided and could not be placed is tried again: an attempt
	// compares all servers for all numbers of parts, and the prompts behind it are to be tried too.
	longRetryInterval = 30 * time.Millisecond
	// startMargin is the share of the time between the arrival of a short prompt and its first-token deadline by which its
	// latest start is brought forward, because the end of a pass is predicted inexactly.
	startMargin = 0.15
	// retryShare is the share of their remaining time that callers wait at most before they return.
	retryShare = 1.0 / 3
	// lateHalfLife is the half-life of the observed rate of late short prompts, which counts once requests have been queued
	// for as long. minLateShare is the share of the rate of all
	// short prompts that is assumed for them at least.
	lateHalfLife = time.Second
	minLateShare = 0.05
)

// attempts limits the placements that one dispatch tries in vain.
type attempts struct{ short, long int }

// left returns the counter for the class.
func (l *attempts) left(short bool) *int {
	if short {
		return &l.short
	}
	return &l.long
}

// dispatch grants or refuses the queued requests that can be decided now; the mutex must be held.
func (a *Allocator) dispatch(c *cluster, now time.Time) (results []permitResult) {
	if len(c.queue) == 0 {
		return nil
	}
	if c.blocked && now.Sub(c.dispatchedAt) < minDispatchInterval {
		a.scheduleDispatch(c, c.dispatchedAt.Add(minDispatchInterval))
		return nil
	}
	c.dispatchedAt = now
	arrival := now.Add(transitTime)
	for _, s := range c.serverList {
		s.engine.Advance(arrival)
		s.backlog = s.engine.Backlog(arrival)
	}
	a.updateThrottled(c, now)
	c.resize(now)
	capacity := c.arrange(now)
	if a.Throttle.Active() {
		// Servers that warm up take more from moment to moment.
		capacity.LateRate = 0
	}
	c.available = a.availableServers(c, c.available[:0])
	left := attempts{short: shortAttemptsPerDispatch, long: longAttemptsPerDispatch}
	lateAhead := 0
	remaining := c.scratch[:0]
	for i := range c.arranged {
		p := &c.arranged[i]
		q := c.queue[p.Index]
		if arbiter.Unservable(p, lateAhead, capacity, now) {
			results = append(results, permitResult{queued: q, err: a.overloadRefusal(q, now)})
			continue
		}
		result, ok := a.tryGrant(c, q, &left, now)
		if !ok {
			remaining = append(remaining, q)
			if p.Class() == arbiter.ShortLate {
				lateAhead++
			}
			continue
		}
		if result.err == nil && p.Short {
			c.recordShortGrant(p.Class() == arbiter.ShortLate, now)
		}
		results = append(results, result)
	}
	clear(c.queue)
	c.queue, c.scratch = remaining, c.queue[:0]
	if !c.blocked {
		c.blockedSince = now
	}
	c.blocked = len(remaining) > 0
	a.scheduleDispatch(c, now.Add(dispatchInterval))
	return results
}

// arrange puts the queued requests in the order in which they are tried, and returns the capacity that they compete for.
func (c *cluster) arrange(now time.Time) arbiter.Capacity {
	capacity := arbiter.Capacity{LongServers: max(1, len(c.serverList)-c.shortServers)}
	for _, s := range c.serverList {
		if s.position >= c.shortServers {
			capacity.LongBacklog += s.engine.PendingTime() / time.Duration(capacity.LongServers)
		}
	}
	total := 0
	for _, q := range c.queue {
		total += q.request.PromptTokens
	}
	mean := float64(total) / float64(max(1, len(c.queue)))
	c.arranged = c.arranged[:0]
	for i, q := range c.queue {
		c.arranged = append(c.arranged, arbiter.Prompt{
			Index: i, Short: c.isShort(q), Work: q.prefillTime, Value: fixedValue*mean + float64(q.request.PromptTokens),
			QueuedAt: q.queuedAt, LatestStart: c.latestStart(q), Expires: c.expiry(q),
		})
	}
	arbiter.Arrange(c.arranged, capacity, now)
	capacity.LateRate = c.lateRate(now)
	return capacity
}

// lateRate returns the rate at which late short prompts are expected to be served, zero if it is not known yet.
func (c *cluster) lateRate(now time.Time) float64 {
	blockedTime := now.Sub(c.blockedSince)
	if !c.blocked || blockedTime < lateHalfLife {
		return 0
	}
	// The decaying sums have only seen a part of the requests so far.
	observed := 1 - math.Exp2(-blockedTime.Seconds()/lateHalfLife.Seconds())
	if !slices.ContainsFunc(c.arranged, func(p arbiter.Prompt) bool { return p.Class() == arbiter.ShortOnTime }) {
		return c.shortGrants.rate(now) / observed
	}
	return max(c.lateGrants.rate(now), minLateShare*c.shortGrants.rate(now)) / observed
}

// fixedValue is the part of the value of an answer that does not depend on the length of its prompt, as a multiple of the
// value that the mean prompt has for its length.
const fixedValue = 0.4

// recordShortGrant counts a granted short prompt for the observed rates.
func (c *cluster) recordShortGrant(late bool, now time.Time) {
	c.shortGrants.add(time.Second, now)
	if late {
		c.lateGrants.add(time.Second, now)
	}
}

// latestStart returns the time after which the first token of a prompt cannot be on time.
func (c *cluster) latestStart(q *queuedRequest) time.Time {
	deadline := q.request.FirstTokenDeadline
	if c.isShort(q) {
		margin := time.Duration(startMargin * float64(deadline.Sub(q.queuedAt)))
		return deadline.Add(-q.prefillTime - c.costModel.PassTime(c.costModel.Slots, 0) - margin)
	}
	parts := max(1, min(len(c.serverList)-c.shortServers, maxParts))
	return deadline.Add(-q.prefillTime / time.Duration(parts))
}

// expiry returns the time after which the request cannot be served: it could not end by its deadline, or its caller would
// have left before the first token. A latency objective that no number of servers could have met does not tell how long the
// caller waits.
func (c *cluster) expiry(q *queuedRequest) time.Time {
	prefillTime := q.prefillTime / time.Duration(max(1, min(len(c.serverList), maxParts)))
	latest := q.request.Deadline.Add(-c.minDecodeTime(q))
	attainable := q.request.FirstTokenDeadline.Sub(q.queuedAt) >= prefillTime
	if at := q.request.AbandonedAt; attainable && !at.IsZero() && at.Before(latest) {
		latest = at
	}
	return latest.Add(-prefillTime)
}

// tryGrant grants or refuses the request, or returns false if it stays queued. left holds the numbers of prompts that this
// dispatch may still fail to place.
func (a *Allocator) tryGrant(c *cluster, q *queuedRequest, left *attempts, now time.Time) (permitResult, bool) {
	usable := withoutExcluded(c.available, q.request.ExcludedServers)
	if len(usable) == 0 && !a.RegistryLoaded() {
		return permitResult{}, false
	}
	if len(usable) == 0 {
		return permitResult{queued: q, err: dragonflypass.Refuse(dragonflypass.ReasonNoServer, defaultRetryAfter, "no server of the service can run the request")}, true
	}
	if now.Add(q.prefillTime/time.Duration(min(len(usable), maxParts)) + c.minDecodeTime(q)).After(q.request.Deadline) {
		return permitResult{queued: q, err: dragonflypass.Refuse(dragonflypass.ReasonTimeout, 0, "no server can end the request by its deadline")}, true
	}
	if now.After(c.expiry(q)) {
		return permitResult{queued: q, err: a.overloadRefusal(q, now)}, true
	}
	short := c.isShort(q)
	if *left.left(short) <= 0 || !short && now.Before(c.longGrantsFrom) || now.Before(q.retryAt) || !c.hasFreeSlot(usable) {
		return permitResult{}, false
	}
	best, ok := c.bestPlacement(q, usable, short, now)
	if !ok || best.firstToken.Add(c.minDecodeTime(q)).After(q.request.Deadline) || !a.acceptable(c, q, best, short, now) {
		*left.left(short)--
		if !short || q.prefillTime > maxShortPartTime {
			q.retryAt = now.Add(longRetryInterval)
		}
		return permitResult{}, false
	}
	return permitResult{queued: q, permit: a.grant(c, q, best, now)}, true
}

// overloadRefusal returns the refusal of a request whose caller would leave before the first token.
func (a *Allocator) overloadRefusal(q *queuedRequest, now time.Time) *dragonflypass.Refusal {
	a.Meter.Add(dragonflypass.CountPermitShed, 1)
	limit := time.Duration(retryShare * float64(q.request.Deadline.Sub(now)))
	return dragonflypass.Refuse(dragonflypass.ReasonBusy, arbiter.RetryAfter(limit, rand.Float64()), "the first token would come after the caller has left")
}

// hasFreeSlot reports whether one of the servers has a free slot and may receive a request now.
func (c *cluster) hasFreeSlot(servers []*server) bool {
	return slices.ContainsFunc(servers, func(s *server) bool { return s.streams < c.costModel.Slots && !s.throttled })
}

// acceptable reports whether to grant the placement rather than wait for a better one.
func (a *Allocator) acceptable(c *cluster, q *queuedRequest, best placement, short bool, now time.Time) bool {
	if short {
		return best.delayedStreams == 0 || (best.delayedStreams <= maxDelayedStreams && now.Sub(q.queuedAt) >= maxShortWait)
	}
	if c.occupiesTooLong(q, 1+len(best.helpers)) && c.shorterQueued(q) {
		return false
	}
	return best.delayedStreams == 0 || (best.value > 0 && c.startDue(q, now))
}

// scheduleDispatch schedules a dispatch at the given time if requests are queued and none is scheduled before; the mutex
// must be held.
func (a *Allocator) scheduleDispatch(c *cluster, at time.Time) {
	if len(c.queue) == 0 || c.cancelDispatch != nil && !at.Before(c.dispatchAt) {
		return
	}
	if c.cancelDispatch != nil {
		c.cancelDispatch()
	}
	c.dispatchAt = at
	c.cancelDispatch = a.Timer.At(dragonflypass.JobSweep, at, func(context.Context) {
		now := a.Timer.Now()
		a.mutex.Lock()
		// A dispatch that was scheduled anew may still run at the earlier time.
		if c.dispatchAt.Equal(at) {
			c.cancelDispatch = nil
		}
		results := a.dispatch(c, now)
		a.mutex.Unlock()
		a.notify(results)
	})
}
