package allocator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/predictor"
)

const (
	// shortHalfLife and longHalfLife are the times in which prompts once granted count half in the observed loads.
	shortHalfLife = 1500 * time.Millisecond
	longHalfLife  = 8 * time.Second
	// shortOccupancy is the largest part of a server's slots that short streams are to fill.
	shortOccupancy = 0.75
	// shortLoad and longLoad are the largest parts of a server's time that prompts of each length are to take.
	shortLoad = 0.35
	longLoad  = 0.5
	// longFloor is the least part of the servers that is left to long prompts while short ones need no more.
	longFloor = 0.35
	// backlogTime is the time in which the long prompts that wait are to be worked off.
	backlogTime = 4 * time.Second
	// shrinkEvery is the shortest time between two reductions of the servers kept for short prompts.
	shrinkEvery = 50 * time.Millisecond
)

// load is a decaying sum of processing time.
type load struct {
	half time.Duration
	sum  float64
	at   time.Time
}

// add counts the processing time of a prompt.
func (l *load) add(reading time.Duration, now time.Time) {
	l.sum = l.decayed(now) + reading.Seconds()
	l.at = now
}

func (l *load) decayed(now time.Time) float64 {
	return l.sum * math.Exp2(-now.Sub(l.at).Seconds()/l.half.Seconds())
}

// rate is the processing time that came in each second.
func (l *load) rate(now time.Time) float64 { return l.decayed(now) * math.Ln2 / l.half.Seconds() }

// cell is the servers of one service.
type cell struct {
	service dragonflypass.ServiceID
	law     *dragonflypass.EngineCostModel
	servers map[dragonflypass.ServerID]*server
	// ranked holds the servers in a fixed order; the first of them are kept for short prompts.
	ranked  []*server
	waiting []*waiting

	// shorts is the number of permits of short prompts.
	shorts int
	// kept is the number of servers kept for short prompts, at least 1.
	kept                int
	shrunk              time.Time
	shortLoad, longLoad load
	wake                func()
	// asked is the instant of the last request, and calm the one up to which no long prompt is granted.
	asked time.Time
	calm  time.Time

	// options is kept for its memory.
	options []option
}

// server is the accounting of one model server.
type server struct {
	entry  dragonflypass.ServerEntry
	engine *predictor.Engine
	// outlook is what the server has before it, as of the grants of the last dispatch.
	outlook predictor.Backlog
	// rank is the server's place in the fixed order.
	rank int
	// reserved is the memory of the permits in tokens.
	reserved int
	streams  int
	// pending are the permits whose prompts the server processes, in whole or in part.
	pending []*permit
}

// settle takes the permit out of those whose prompts the server processes.
func (s *server) settle(p *permit) {
	s.pending = slices.DeleteFunc(s.pending, func(other *permit) bool { return other == p })
}

// postpone moves the predictions of the prompts that the permit's part goes before.
func (s *server) postpone(p *permit) {
	if p.parts == 1 {
		return
	}
	for _, other := range s.pending {
		if at, ok := s.engine.PrefillEnd(other.request.Stream); ok && other != p && at.After(other.first) {
			other.first = at
			other.server.engine.DelayDecode(other.request.Stream, at)
		}
	}
}

// delays returns the number of prompts at the server that would no longer be on time if a part went before them.
func (s *server) delays(span time.Duration) float64 {
	delayed := 0.0
	for _, p := range s.pending {
		target := p.request.FirstTokenDeadline
		if at, ok := s.engine.PrefillEnd(p.request.Stream); ok && !p.first.After(target) && at.Add(span).After(target) {
			delayed++
		}
	}
	return delayed
}

func (s *server) free(law *dragonflypass.EngineCostModel) int { return law.KVCapacity - s.reserved }

// cell returns the cell of the service with its newest servers; it is called with the mutex held.
func (a *Allocator) cell(service dragonflypass.ServiceID) *cell {
	c, ok := a.cells[service]
	if !ok {
		law := a.CostModel(service)
		if law == nil {
			return nil
		}
		c = &cell{service: service, law: law, servers: make(map[dragonflypass.ServerID]*server), kept: 1}
		c.shortLoad.half, c.longLoad.half = shortHalfLife, longHalfLife
		a.cells[service] = c
		a.refresh(c)
	}
	return c
}

// refresh takes the registry's newest entries; it is called with the mutex held.
func (a *Allocator) refresh(c *cell) {
	if law := a.CostModel(c.service); law != nil && *law != *c.law {
		c.law = law
		for _, s := range c.servers {
			s.engine.CostModel = law
		}
	}
	entries := a.Servers(c.service)
	listed := make(map[dragonflypass.ServerID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
		old, ok := c.servers[entry.ID]
		if ok && old.entry.Address == entry.Address && old.entry.StartedAt == entry.StartedAt {
			old.entry = entry
			continue
		}
		// What ran before a restart is given up with its permits.
		c.servers[entry.ID] = &server{entry: entry, engine: predictor.New(c.law)}
	}
	for id := range c.servers {
		if !listed[id] {
			delete(c.servers, id)
		}
	}
	c.ranked = c.ranked[:0]
	for _, s := range c.servers {
		c.ranked = append(c.ranked, s)
	}
	slices.SortFunc(c.ranked, func(x, y *server) int {
		return cmp.Or(cmp.Compare(place(x.entry.ID), place(y.entry.ID)), cmp.Compare(x.entry.ID, y.entry.ID))
	})
	for i, s := range c.ranked {
		s.rank = i
	}
}

// place spreads the servers over the fixed order, whatever their zone.
func place(id dragonflypass.ServerID) uint64 { return xxhash.Sum64String(string(id)) }

func (c *cell) remove(w *waiting) {
	c.waiting = slices.DeleteFunc(c.waiting, func(other *waiting) bool { return other == w })
}

// resize sets the number of servers kept for short prompts: those that the long ones do not need, but at least
// what the short ones do.
func (c *cell) resize(now time.Time) {
	backlog := time.Duration(0)
	for _, w := range c.waiting {
		if !c.short(w) {
			backlog += w.reading
		}
	}
	long := int(math.Ceil(c.longLoad.rate(now)/longLoad+backlog.Seconds()/backlogTime.Seconds())) + 1
	short := max(
		int(math.Ceil(float64(c.shorts)/(shortOccupancy*float64(c.law.Slots)))),
		int(math.Ceil(c.shortLoad.rate(now)/shortLoad)),
	)
	long = max(long, int(longFloor*float64(len(c.ranked))))
	wanted := max(1, min(max(short, len(c.ranked)-long), len(c.ranked)-1))
	switch {
	case wanted > c.kept:
		c.kept = wanted
	case wanted < c.kept && now.Sub(c.shrunk) > shrinkEvery:
		c.kept--
		c.shrunk = now
	}
	c.kept = max(1, min(c.kept, len(c.ranked)-1))
}

// ServerState is the accounting of one model server in a dump.
type ServerState struct {
	Service dragonflypass.ServiceID
	Server  dragonflypass.ServerID
	// Streams is the number of permits for streams at the server, and Pending that of prompts it processes, in whole or part.
	Streams int
	Pending int
	// Reserved is the memory of the permits in tokens.
	Reserved int
	// ShortPromptsOnly is set when the server is kept for short prompts.
	ShortPromptsOnly bool
}

// State returns the accounting for a dump, and the number of requests that wait.
func (a *Allocator) State() (rows []ServerState, waiting int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, c := range a.cells {
		waiting += len(c.waiting)
		for _, s := range c.ranked {
			rows = append(rows, ServerState{
				Service: c.service, Server: s.entry.ID, Streams: s.streams, Pending: len(s.pending), Reserved: s.reserved, ShortPromptsOnly: s.rank < c.kept,
			})
		}
	}
	slices.SortFunc(rows, func(x, y ServerState) int { return cmp.Compare(x.Server, y.Server) })
	return rows, waiting
}
