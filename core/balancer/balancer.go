package balancer

import (
	"cmp"
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
	// Pace returns the factor by which the server is slower than others, 1 by default.
	Pace func(entry *dragonflypass.ServerEntry) float64
	// Random returns a random number in [0, 1).
	Random func() float64

	mutex    locker.Mutex
	servers  map[dragonflypass.ServerID]*serverLoad
	sequence uint64
}

// serverLoad is the load of one server.
type serverLoad struct {
	// requests are the requests that this VM has in flight at the server.
	requests []inFlight
	// bodyBytes is the size of their bodies.
	bodyBytes int64
	// othersInFlight is the number of requests from other VMs, according to the server's last load report, slots the number of
	// requests that the server runs at a time, zero if it has not reported it, and reportedAt the time of that report.
	othersInFlight int
	slots          int
	reportedAt     time.Time
	// pickedAt is the time at which the server was last selected.
	pickedAt time.Time
}

// Choice is a selected server, with what was predicted for the request there.
type Choice struct {
	Entry dragonflypass.ServerEntry
	// Work is the appraised processing time at a server of the usual speed, zero if it is not known.
	Work time.Duration
	// Pace is the factor by which the server is slower, and Wait the predicted wait until it starts the request.
	Pace float64
	Wait time.Duration

	sequence  uint64
	bodyBytes int64
}

// New returns a balancer that tracks no servers.
func New() *Balancer {
	return &Balancer{
		Pace:      func(*dragonflypass.ServerEntry) float64 { return 1 },
		Random:    rand.Float64,
		Evacuated: func(dragonflypass.AvailabilityZone) bool { return false },
		mutex:     locker.Mutex{Order: locker.Servers}, servers: make(map[dragonflypass.ServerID]*serverLoad),
	}
}

// Pick selects the server with the lowest cost for a request of the appraised processing time, zero if it is not known, and counts
// the request, with a body of that size, as in flight there; ok is false if all servers are excluded, expect no new requests, are in
// evacuated zones, hold too many bytes, or may receive no request yet because they are warming up.
func (b *Balancer) Pick(entries []dragonflypass.ServerEntry, excluded []dragonflypass.ServerID, work time.Duration, bodyBytes int64) (best Choice, ok bool) {
	now := b.Timer.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var lowest time.Duration
	chosen, throttled := -1, false
	for i := range entries {
		if b.Evacuated(entries[i].Zone) || slices.Contains(excluded, entries[i].ID) || b.Excluder.Excluded(entries[i].ID, entries[i].Address) || b.full(entries[i].ID, bodyBytes) {
			continue
		}
		if !b.Throttler.MayPick(entries[i]) {
			throttled = true
			continue
		}
		candidate := b.predict(&entries[i], work, now)
		if chosen < 0 || candidate.cost < lowest {
			chosen, lowest = i, candidate.cost
			best.Pace, best.Wait = candidate.pace, candidate.wait
		}
	}
	if chosen < 0 {
		if throttled {
			b.Meter.Add(dragonflypass.CountRequestThrottled, 1)
		}
		return Choice{}, false
	}
	b.Throttler.RecordSent(entries[chosen])
	b.sequence++
	best.Entry, best.Work, best.sequence, best.bodyBytes = entries[chosen], work, b.sequence, bodyBytes
	s := b.loadOf(best.Entry.ID)
	s.requests = append(s.requests, inFlight{sequence: b.sequence, startedAt: now, work: scale(cmp.Or(work, unknownWork), best.Pace)})
	s.bodyBytes += bodyBytes
	s.pickedAt = now
	b.Assessor.RecordSelection(best.Entry.ID)
	return best, true
}

// full reports whether the server would hold too many bytes with the body. The caller must hold the mutex.
func (b *Balancer) full(id dragonflypass.ServerID, bodyBytes int64) bool {
	s, ok := b.servers[id]
	return ok && b.BodyLimit > 0 && s.bodyBytes > 0 && s.bodyBytes+bodyBytes > b.BodyLimit
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

// RecordOutcome records the end of a request at the chosen server. load is the server's load report, or nil.
func (b *Balancer) RecordOutcome(choice Choice, outcome assessor.Outcome, load *dragonflypass.LoadReport) {
	b.Assessor.RecordOutcome(choice.Entry.ID, outcome)
	now := b.Timer.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.loadOf(choice.Entry.ID)
	s.end(choice.sequence)
	s.bodyBytes = max(0, s.bodyBytes-choice.bodyBytes)
	if load != nil {
		// The report includes the request that it came with, which is no longer in flight.
		s.othersInFlight = max(0, load.Running+load.Queued-len(s.requests)-1)
		s.slots = load.Slots
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
		if len(s.requests) == 0 && now.Sub(s.pickedAt) > idleTTL {
			delete(b.servers, id)
		}
	}
}
