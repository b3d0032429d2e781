package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// unknownWork stands for the processing time of a request that is not known.
	unknownWork = 50 * time.Millisecond
	// maxTieBreakCost is the maximum random part of a server's cost, in requests; it keeps the VMs from all selecting
	// the same server.
	maxTieBreakCost = 0.2
	// otherZoneCost is added, in requests, for a server in another availability zone.
	otherZoneCost = 0.3
	// ejectedCost is added for an unhealthy server, so that it is only selected if there is no healthy one.
	ejectedCost = time.Hour
	// minRemaining is the smallest remaining share of the work of a request in flight: one that takes longer than appraised
	// still occupies its server.
	minRemaining = 0.25
	// occupancyCost is the cost of each request at a server, as a share of its work, also while the server has free slots: other
	// VMs may fill them.
	occupancyCost = 0.25
	// queuedShare is the share of an observation that concerns the speed of the server if the request may have waited there.
	queuedShare = 0.3
)

// inFlight is a request at a server; work is its predicted processing time there.
type inFlight struct {
	sequence  uint64
	startedAt time.Time
	work      time.Duration
}

// remaining returns the predicted time until the request ends, if it does not wait.
func (r *inFlight) remaining(now time.Time) time.Duration {
	return max(scale(r.work, minRemaining), r.work-now.Sub(r.startedAt))
}

// end removes a request that has ended.
func (s *serverLoad) end(sequence uint64) {
	s.requests = slices.DeleteFunc(s.requests, func(r inFlight) bool { return r.sequence == sequence })
}

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(duration))
}

// prediction is what is predicted for a request at a server.
type prediction struct {
	pace float64
	wait time.Duration
	// cost is compared between servers.
	cost time.Duration
}

// predict predicts the completion of a request at the server. The caller must hold the mutex.
func (b *Balancer) predict(entry *dragonflypass.ServerEntry, work time.Duration, now time.Time) prediction {
	p := prediction{pace: b.Pace(entry)}
	unit := cmp.Or(work, unknownWork)
	p.cost = scale(unit, maxTieBreakCost*b.Random())
	if entry.Zone != b.Zone {
		p.cost += scale(unit, otherZoneCost)
	}
	if !b.Assessor.Healthy(entry.ID) {
		p.cost += ejectedCost
	}
	own, others, slots := 0, 0, entry.Slots
	remaining := time.Duration(0)
	if s, ok := b.servers[entry.ID]; ok {
		own = len(s.requests)
		for i := range s.requests {
			remaining += s.requests[i].remaining(now)
		}
		if now.Sub(s.reportedAt) < loadReportTTL {
			others, slots = s.othersInFlight, cmp.Or(s.slots, slots)
			remaining += scale(unit, p.pace*float64(others)/2)
		}
	}
	if work == 0 {
		p.cost += scale(unit, float64(own+others)+p.pace-1)
		return p
	}
	if own+others >= slots {
		p.wait = remaining / time.Duration(max(1, slots))
	}
	// What is known of the load is seldom current. The random factor, which has an exponential
	// distribution with a mean of 1, keeps the VMs from all choosing the server that their last
	// reports show as the least loaded, which made them serve callers worse than a choice between two random servers.
	load := p.wait + scale(unit, p.pace*occupancyCost*float64(own+others))
	p.cost += scale(work, p.pace) + scale(load, -math.Log1p(-b.Random()))
	return p
}

// MayHaveWaited reports whether the request may have waited at the server. load is the load report of the response, or nil.
func (c *Choice) MayHaveWaited(load *dragonflypass.LoadReport) bool {
	return c.Wait > 0 || load != nil && (load.Queued > 0 || load.Slots > 0 && load.Running >= load.Slots)
}

// Ratio returns how much longer than predicted for a server of the usual speed the response took, and the share of the
// observation that concerns the speed of the server, zero if nothing was predicted. load is the load report of the response, or nil.
func (c *Choice) Ratio(elapsed time.Duration, load *dragonflypass.LoadReport) (ratio, share float64) {
	if c.Work == 0 {
		return 0, 0
	}
	predicted := c.Wait + scale(c.Work, c.Pace)
	share = 1
	if c.MayHaveWaited(load) {
		share = queuedShare
	}
	return c.Pace * float64(elapsed) / float64(predicted), share
}
