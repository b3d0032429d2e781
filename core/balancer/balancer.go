package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/assessor"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// loadTime is how long what a server said of its load counts.
	loadTime = 200 * time.Millisecond
	// rowLimit is the number of servers that are remembered before unused ones are dropped.
	rowLimit = 256
	// forgetTime is how long an unused server is remembered.
	forgetTime = time.Minute
	// tieCost is the largest random part of a server's cost, in requests, so that VMs do not all choose the same one.
	tieCost = 0.2
	// zoneCost is added, in requests, for a server of another zone.
	zoneCost = 0.3
	// outCost is added, in requests, for a server that is left out, so that it is chosen only where there is no other.
	outCost = 1000
)

// Balancer keeps the table of what the servers were sent.
type Balancer struct {
	Zone     dragonflypass.AvailabilityZone
	Timer    dragonflypass.Timer
	Assessor *assessor.Assessor

	mutex   locker.Mutex
	servers map[dragonflypass.ServerID]*server
}

type server struct {
	// sent is the number of requests under way.
	sent int
	// reported is the number of requests that the server said to have beside those sent from here.
	reported int
	heard    time.Time
	used     time.Time
}

// New returns a balancer that has sent nothing.
func New() *Balancer {
	return &Balancer{mutex: locker.Mutex{Order: locker.Servers}, servers: make(map[dragonflypass.ServerID]*server)}
}

// Pick chooses a server for a request and counts it as sent there; ok is false when all are excluded.
func (b *Balancer) Pick(entries []dragonflypass.ServerEntry, exclude []dragonflypass.ServerID) (best dragonflypass.ServerEntry, ok bool) {
	now := b.Timer.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var lowest float64
	for i := range entries {
		if slices.Contains(exclude, entries[i].ID) {
			continue
		}
		if cost := b.cost(&entries[i], now); !ok || cost < lowest {
			best, lowest, ok = entries[i], cost, true
		}
	}
	if !ok {
		return best, false
	}
	s := b.server(best.ID)
	s.sent++
	s.used = now
	b.Assessor.RecordSelection(best.ID)
	return best, true
}

// cost is the number of requests before a further one, with parts that break ties; it is called with the mutex held.
func (b *Balancer) cost(entry *dragonflypass.ServerEntry, now time.Time) float64 {
	cost := tieCost * rand.Float64()
	if entry.Zone != b.Zone {
		cost += zoneCost
	}
	if !b.Assessor.Healthy(entry.ID) {
		cost += outCost
	}
	s, ok := b.servers[entry.ID]
	if !ok {
		return cost
	}
	cost += float64(s.sent)
	if now.Sub(s.heard) < loadTime {
		cost += float64(s.reported)
	}
	return cost
}

// server is called with the mutex held.
func (b *Balancer) server(id dragonflypass.ServerID) *server {
	s, ok := b.servers[id]
	if !ok {
		b.forget()
		s = &server{}
		b.servers[id] = s
	}
	return s
}

// RecordOutcome notes the end of a request at the server; load is what the server said of itself, nil for nothing.
func (b *Balancer) RecordOutcome(id dragonflypass.ServerID, outcome assessor.Outcome, load *dragonflypass.LoadReport) {
	b.Assessor.RecordOutcome(id, outcome)
	now := b.Timer.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.server(id)
	s.sent = max(0, s.sent-1)
	if load != nil {
		// The report counts the request that it came with.
		s.reported = max(0, load.Running+load.Waiting-s.sent-1)
		s.heard = now
	}
}

// forget drops servers that were not used for long; it is called with the mutex held.
func (b *Balancer) forget() {
	if len(b.servers) < rowLimit {
		return
	}
	now := b.Timer.Now()
	for id, s := range b.servers {
		if s.sent == 0 && now.Sub(s.used) > forgetTime {
			delete(b.servers, id)
		}
	}
}
