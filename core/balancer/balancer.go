package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/assessor"
	"github.com/dragonflypass/dragonflypass/core/excluder"
	"github.com/dragonflypass/dragonflypass/core/locker"
	"github.com/dragonflypass/dragonflypass/core/throttler"
)

const (
	// loadReportTTL is the time for which a server's load report is used.
	loadReportTTL = 200 * time.Millisecond
	// serverLimit is the number of tracked servers from which idle servers are removed before another one is added.
	serverLimit = 256
	// idleTTL is the time after its last selection at which a server without requests in flight may be removed.
	idleTTL = time.Minute
	// maxTieBreakCost is the maximum random part of a server's cost, in requests; it keeps the VMs from all selecting
	// the same server.
	maxTieBreakCost = 0.2
	// otherZoneCost is added, in requests, for a server in another availability zone.
	otherZoneCost = 0.3
	// ejectedCost is added, in requests, for an unhealthy server, so that it is only selected if there is no healthy
	// one.
	ejectedCost = 1000
)

// Balancer selects servers and tracks the load of each.
type Balancer struct {
	Zone     dragonflypass.AvailabilityZone
	Timer    dragonflypass.Timer
	Meter    dragonflypass.Meter
	Assessor *assessor.Assessor
	Excluder *excluder.Excluder
	// Throttler limits the requests to servers that are warming up.
	Throttler *throttler.Throttler
	// Evacuated reports whether the servers of the zone must receive no new requests.
	Evacuated func(zone dragonflypass.AvailabilityZone) bool
	// BodyLimit is the maximum size in bytes of the request bodies that this VM has in flight at one server, zero for no limit.
	BodyLimit int64

	mutex   locker.Mutex
	servers map[dragonflypass.ServerID]*serverLoad
}

// serverLoad is the load of one server.
type serverLoad struct {
	// inFlight is the number of requests that this VM has in flight at the server.
	inFlight int
	// bodyBytes is the size of their bodies.
	bodyBytes int64
	// othersInFlight is the number of requests from other VMs, according to the server's last load report, and
	// reportedAt is the time of that report.
	othersInFlight int
	reportedAt     time.Time
	// pickedAt is the time at which the server was last selected.
	pickedAt time.Time
}

// New returns a balancer that tracks no servers.
func New() *Balancer {
	return &Balancer{
		Evacuated: func(dragonflypass.AvailabilityZone) bool { return false },
		mutex:     locker.Mutex{Order: locker.Servers}, servers: make(map[dragonflypass.ServerID]*serverLoad),
	}
}

// Pick selects the server with the lowest cost and counts the request, with a body of that size, as in flight there; ok is
// false if all servers are excluded, expect no new requests, are in evacuated zones, hold too many bytes, or may receive no
// request yet because they are warming up.
func (b *Balancer) Pick(entries []dragonflypass.ServerEntry, excluded []dragonflypass.ServerID, bodyBytes int64) (best dragonflypass.ServerEntry, ok bool) {
	now := b.Timer.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var lowestCost float64
	throttled := false
	for i := range entries {
		if b.Evacuated(entries[i].Zone) || slices.Contains(excluded, entries[i].ID) || b.Excluder.Excluded(entries[i].ID, entries[i].Address) || b.full(entries[i].ID, bodyBytes) {
			continue
		}
		if !b.Throttler.MayPick(entries[i]) {
			throttled = true
			continue
		}
		if cost := b.cost(&entries[i], now); !ok || cost < lowestCost {
			best, lowestCost, ok = entries[i], cost, true
		}
	}
	if !ok {
		if throttled {
			b.Meter.Add(dragonflypass.CountRequestThrottled, 1)
		}
		return best, false
	}
	b.Throttler.RecordSent(best)
	s := b.loadOf(best.ID)
	s.inFlight++
	s.bodyBytes += bodyBytes
	s.pickedAt = now
	b.Assessor.RecordSelection(best.ID)
	return best, true
}

// full reports whether the server would hold too many bytes with the body. The caller must hold the mutex.
func (b *Balancer) full(id dragonflypass.ServerID, bodyBytes int64) bool {
	s, ok := b.servers[id]
	return ok && b.BodyLimit > 0 && s.bodyBytes > 0 && s.bodyBytes+bodyBytes > b.BodyLimit
}

// cost returns the number of requests at the server, plus penalties and a random part that breaks ties. The caller
// must hold the mutex.
func (b *Balancer) cost(entry *dragonflypass.ServerEntry, now time.Time) float64 {
	cost := maxTieBreakCost * rand.Float64()
	if entry.Zone != b.Zone {
		cost += otherZoneCost
	}
	if !b.Assessor.Healthy(entry.ID) {
		cost += ejectedCost
	}
	s, ok := b.servers[entry.ID]
	if !ok {
		return cost
	}
	cost += float64(s.inFlight)
	if now.Sub(s.reportedAt) < loadReportTTL {
		cost += float64(s.othersInFlight)
	}
	return cost
}

// loadOf returns the server's load and starts tracking the server if needed. The caller must hold the mutex.
func (b *Balancer) loadOf(id dragonflypass.ServerID) *serverLoad {
	s, ok := b.servers[id]
	if !ok {
		b.evictIdle()
		s = &serverLoad{}
		b.servers[id] = s
	}
	return s
}

// RecordOutcome records the end of a request with a body of that size at the server. load is the server's load report, or nil.
func (b *Balancer) RecordOutcome(id dragonflypass.ServerID, outcome assessor.Outcome, load *dragonflypass.LoadReport, bodyBytes int64) {
	b.Assessor.RecordOutcome(id, outcome)
	now := b.Timer.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.loadOf(id)
	s.inFlight = max(0, s.inFlight-1)
	s.bodyBytes = max(0, s.bodyBytes-bodyBytes)
	if load != nil {
		// The report includes the request that it came with, which is no longer in flight.
		s.othersInFlight = max(0, load.Running+load.Queued-s.inFlight-1)
		s.reportedAt = now
	}
}

// evictIdle removes idle servers once too many servers are tracked. The caller must hold the mutex.
func (b *Balancer) evictIdle() {
	if len(b.servers) < serverLimit {
		return
	}
	now := b.Timer.Now()
	for id, s := range b.servers {
		if s.inFlight == 0 && now.Sub(s.pickedAt) > idleTTL {
			delete(b.servers, id)
		}
	}
}
