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
	// loadHalfLife is the time in which short prompts once granted count half in the observed load.
	loadHalfLife = 1500 * time.Millisecond
	// shortOccupancy is the part of a server's slots that short streams are to fill.
	shortOccupancy = 0.75
	// shortLoad is the part of a server's time that the processing of short prompts is to take.
	shortLoad = 0.35
	// shrinkEvery is the shortest time between two reductions of the servers kept for short prompts.
	shrinkEvery = 500 * time.Millisecond
)

// cell is the servers of one service.
type cell struct {
	service dragonflypass.ServiceID
	law     *dragonflypass.EngineLaw
	servers map[dragonflypass.ServerID]*server
	// ranked holds the servers in a fixed order; the first of them are kept for short prompts.
	ranked  []*server
	waiting []*waiting

	// shorts is the number of permits of short prompts.
	shorts int
	// kept is the number of servers kept for short prompts, at least 1.
	kept     int
	shrunk   time.Time
	load     float64
	loadFrom time.Time
	wake     func()

	// options is kept for its memory.
	options []option
}

// server is the accounting of one model server.
type server struct {
	entry  dragonflypass.ServerEntry
	engine *predictor.Engine
	// outlook is what the server has before it, as of the grants of the last dispatch.
	outlook predictor.Outlook
	// rank is the server's place in the fixed order.
	rank int
	// reserved is the memory of the permits in tokens.
	reserved int
	streams  int
}

func (s *server) free(law *dragonflypass.EngineLaw) int { return law.Memory - s.reserved }

// cell returns the cell of the service with its newest servers; it is called with the mutex held.
func (a *Allocator) cell(service dragonflypass.ServiceID) *cell {
	c, ok := a.cells[service]
	if !ok {
		law := a.Law(service)
		if law == nil {
			return nil
		}
		c = &cell{service: service, law: law, servers: make(map[dragonflypass.ServerID]*server), kept: 1}
		a.cells[service] = c
		a.refresh(c)
	}
	return c
}

// refresh takes the registry's newest entries; it is called with the mutex held.
func (a *Allocator) refresh(c *cell) {
	if law := a.Law(c.service); law != nil && *law != *c.law {
		c.law = law
		for _, s := range c.servers {
			s.engine.Law = law
		}
	}
	entries := a.Servers(c.service)
	listed := make(map[dragonflypass.ServerID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
		old, ok := c.servers[entry.ID]
		if ok && old.entry.Address == entry.Address && old.entry.Born == entry.Born {
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

// noteShort counts the processing of a short prompt in the observed load.
func (c *cell) noteShort(reading time.Duration, now time.Time) {
	c.load = c.loadAt(now) + reading.Seconds()
	c.loadFrom = now
}

// loadAt is the decayed sum of what was noted.
func (c *cell) loadAt(now time.Time) float64 {
	return c.load * math.Exp2(-now.Sub(c.loadFrom).Seconds()/loadHalfLife.Seconds())
}

// resize sets the number of servers kept for short prompts by the short streams and the observed load.
func (c *cell) resize(now time.Time) {
	perSecond := c.loadAt(now) * math.Ln2 / loadHalfLife.Seconds()
	wanted := max(
		int(math.Ceil(float64(c.shorts)/(shortOccupancy*float64(c.law.Slots)))),
		int(math.Ceil(perSecond/shortLoad)),
		1,
	)
	wanted = min(wanted, max(1, len(c.ranked)-1))
	switch {
	case wanted > c.kept:
		c.kept = wanted
	case wanted < c.kept && now.Sub(c.shrunk) > shrinkEvery:
		c.kept--
		c.shrunk = now
	}
	c.kept = min(c.kept, max(1, len(c.ranked)-1))
}
