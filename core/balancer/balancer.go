package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// failLimit is the number of failures in a row after which a server is left out.
	failLimit = 2
	// firstOut is how long a server is left out at first; the time doubles with each further failure.
	firstOut = 500 * time.Millisecond
	// longestOut bounds the time for which a server is left out.
	longestOut = 8 * time.Second
	// loadTime is how long what a server said of its load counts.
	loadTime = 200 * time.Millisecond
	// forgetTime is how long an unused server is remembered.
	forgetTime = time.Minute
)

// Outcome is how a request at a server ended, as far as it tells of the server.
type Outcome uint8

// The outcomes.
const (
	// Answered means that the server's own answer came, whatever it was.
	Answered Outcome = iota
	// Failed means that the server could not be reached, broke off or did not answer in time.
	Failed
	// Declined means that the server stated that it did not run the request.
	Declined
	// Unjudged means that the end tells nothing of the server, as when the caller went away.
	Unjudged
)

// Balancer keeps the table of what the servers were sent.
type Balancer struct {
	Zone   dragonflypass.AvailabilityZone
	Timer  dragonflypass.Timer
	Meter  dragonflypass.Meter
	Logger dragonflypass.Logger

	mutex   locker.Mutex
	servers map[dragonflypass.ServerID]*server
}

type server struct {
	// sent is the number of requests under way.
	sent  int
	fails int
	// out is the instant up to which the server is left out.
	out time.Time
	// trying is set while one request tries a server whose time out has passed.
	trying bool
	// reported is the number of requests that the server said to have beside those sent from here.
	reported int
	heard    time.Time
	used     time.Time
}

// New returns a balancer to which all servers are sound.
func New() *Balancer {
	return &Balancer{mutex: locker.Mutex{Order: locker.Servers}, servers: make(map[dragonflypass.ServerID]*server)}
}

// Pick chooses a server for a request and counts it as sent there; ok is false when all are excluded.
func (b *Balancer) Pick(entries []dragonflypass.ServerEntry, exclude []dragonflypass.ServerID) (best dragonflypass.ServerEntry, ok bool) {
	now := b.Timer.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var lowest float64
	for _, entry := range entries {
		if slices.Contains(exclude, entry.ID) {
			continue
		}
		if cost := b.cost(&entry, now); !ok || cost < lowest {
			best, lowest, ok = entry, cost, true
		}
	}
	if !ok {
		return best, false
	}
	s := b.server(best.ID)
	s.sent++
	s.used = now
	s.trying = s.trying || (s.fails >= failLimit && !now.Before(s.out))
	return best, true
}

// outCost is added to the cost of a server that is left out, so that it is chosen only where there is no other.
const outCost = 1000

// cost is the number of requests before a further one, with a part that breaks ties; it is called with the mutex held.
func (b *Balancer) cost(entry *dragonflypass.ServerEntry, now time.Time) float64 {
	cost := 0.2 * rand.Float64()
	if entry.Zone != b.Zone {
		cost += 0.3
	}
	s, ok := b.servers[entry.ID]
	if !ok {
		return cost
	}
	cost += float64(s.sent)
	if now.Sub(s.heard) < loadTime {
		cost += float64(s.reported)
	}
	if now.Before(s.out) || s.trying {
		cost += outCost
	}
	return cost
}

// server is called with the mutex held.
func (b *Balancer) server(id dragonflypass.ServerID) *server {
	s, ok := b.servers[id]
	if !ok {
		s = &server{}
		b.servers[id] = s
	}
	return s
}

// Done notes the end of a request at the server; load is what the server said of itself, nil for nothing.
func (b *Balancer) Done(id dragonflypass.ServerID, outcome Outcome, load *dragonflypass.LoadReport) {
	now := b.Timer.Now()
	b.mutex.Lock()
	s := b.server(id)
	s.sent = max(0, s.sent-1)
	s.trying = false
	if load != nil {
		s.reported = max(0, load.Running+load.Waiting-s.sent-1)
		s.heard = now
	}
	out := time.Duration(0)
	switch outcome {
	case Answered:
		s.fails = 0
	case Failed:
		s.fails++
		if s.fails >= failLimit {
			out = min(longestOut, firstOut<<min(s.fails-failLimit, 8))
			s.out = now.Add(out)
		}
	}
	b.forget(now)
	b.mutex.Unlock()
	if out > 0 {
		b.Meter.Add(dragonflypass.CountServerLeftOut, 1)
		b.Logger.Info("backend server left out", "server", id, "span", out)
	}
}

// forget drops servers that were not used for long; it is called with the mutex held.
func (b *Balancer) forget(now time.Time) {
	const enough = 64
	if len(b.servers) < enough {
		return
	}
	for id, s := range b.servers {
		if s.sent == 0 && now.Sub(s.used) > forgetTime {
			delete(b.servers, id)
		}
	}
}
