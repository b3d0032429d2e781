package composer_test

import (
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

const rareModel = dragonflypass.ModelID("rare")

// declare has the servers with the indexes run the rare model besides.
func declare(c *qt.C, s *fake.Site, servers ...int) {
	c.Helper()
	current := s.Nodes[0].Configurer.Current()
	model := dragonflypass.Item{Model: &dragonflypass.Model{ID: rareModel, Version: "1", Limit: 100_000}}
	edits := []dragonflypass.Edit{{Key: dragonflypass.ItemKey{Section: dragonflypass.SectionModel, Name: string(rareModel)}, Item: &model}}
	for _, i := range servers {
		changed := *current.Servers[s.Servers[i].ID]
		changed.Models = append(slices.Clone(changed.Models), rareModel)
		key := dragonflypass.ItemKey{Section: dragonflypass.SectionServer, Name: string(changed.ID)}
		edits = append(edits, dragonflypass.Edit{Key: key, BaseVersion: s.Base(0, key), Item: &dragonflypass.Item{Server: &changed}})
	}
	verdict, err := s.Apply(0, "declare", edits...)
	c.Assert(err, qt.IsNil)
	c.Assert(verdict.Accepted, qt.IsTrue)
}

// runsRare reports whether the server has the rare model loaded.
func runsRare(s *fake.Site, server int) bool {
	return slices.Contains(s.Servers[server].Loaded(), rareModel)
}

func TestDeclaredModelIsLoaded(t *testing.T) {
	withSite(t, 3, 3, func(c *qt.C, s *fake.Site) {
		declare(c, s, 1)
		time.Sleep(10 * time.Second)
		c.Check(runsRare(s, 1), qt.IsTrue)
		c.Check(runsRare(s, 0), qt.IsFalse)
	})
}

// TestStaleOrderIsUndone has an owner that was paused wake and give an order it no longer may.
func TestStaleOrderIsUndone(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(map[bool]string{true: "server checks numbers", false: "server ignores numbers"}[fenced], func(t *testing.T) {
			prepare := func(s *fake.Site) { s.Servers[0].Fenced = fenced }
			synctestSite(t, 3, 1, prepare, func(c *qt.C, s *fake.Site) {
				declare(c, s, 0)
				time.Sleep(20 * time.Second)
				c.Assert(runsRare(s, 0), qt.IsTrue)
				address := s.Nodes[0].Configurer.Current().Servers[s.Servers[0].ID].Address
				stale := dragonflypass.Order{Model: rareModel, Unload: true, Fence: 0}
				err := s.Engines.Order(s.Context, address, stale)
				c.Check(errors.Is(err, dragonflypass.ErrFenced), qt.Equals, fenced)
				c.Check(runsRare(s, 0), qt.Equals, fenced)
				time.Sleep(10 * time.Second)
				c.Check(runsRare(s, 0), qt.IsTrue)
			})
		})
	}
}

// TestNewOwnerHasANewerNumber has the owner die and its successor give an order to a server that checks.
func TestNewOwnerHasANewerNumber(t *testing.T) {
	prepare := func(s *fake.Site) {
		for _, server := range s.Servers {
			server.Fenced = true
		}
	}
	synctestSite(t, 6, 1, prepare, func(c *qt.C, s *fake.Site) {
		declare(c, s, 0)
		time.Sleep(10 * time.Second)
		owner := slices.IndexFunc(s.Nodes, func(n *fake.SiteNode) bool { return len(n.Scheduler.Owned()) == 1 })
		before := s.Servers[0].Fence()
		s.Kill(owner)
		time.Sleep(15 * time.Second)
		s.Servers[0].Unload(rareModel)
		time.Sleep(15 * time.Second)
		c.Check(runsRare(s, 0), qt.IsTrue)
		c.Check(s.Servers[0].Fence() > before, qt.IsTrue)
	})
}

func TestOrdersWaitForTheLog(t *testing.T) {
	withSite(t, 3, 3, func(c *qt.C, s *fake.Site) {
		declare(c, s, 0, 1, 2)
		s.Log.SetDown(true)
		time.Sleep(20 * time.Second)
		for i := range s.Servers {
			c.Check(runsRare(s, i), qt.IsFalse)
		}
		s.Log.SetDown(false)
		time.Sleep(90 * time.Second)
		for i := range s.Servers {
			c.Check(runsRare(s, i), qt.IsTrue)
		}
	})
}

// store is a weight store that serves one read in each span and refuses the others.
type store struct {
	mutex   sync.Mutex
	next    time.Time
	refused int
}

func (s *store) read(dragonflypass.ModelID) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Now().Before(s.next) {
		s.refused++
		return errors.New("too many reads")
	}
	s.next = time.Now().Add(3 * time.Second)
	return nil
}

// TestWeightStoreRefuses has nine servers load a model from a store that serves one of them each 3 s.
func TestWeightStoreRefuses(t *testing.T) {
	weights := &store{}
	prepare := func(s *fake.Site) {
		for _, server := range s.Servers {
			server.Weights = weights.read
		}
	}
	synctestSite(t, 3, 9, prepare, func(c *qt.C, s *fake.Site) {
		declare(c, s, 0, 1, 2, 3, 4, 5, 6, 7, 8)
		time.Sleep(4 * time.Minute)
		for i := range s.Servers {
			c.Check(runsRare(s, i), qt.IsTrue, qt.Commentf("server %d", i))
		}
		c.Check(weights.refused <= 60, qt.IsTrue, qt.Commentf("%d reads refused", weights.refused))
	})
}

// TestLastServerOfAModelInAWindow has the model loaded elsewhere before its only server is taken down.
func TestLastServerOfAModelInAWindow(t *testing.T) {
	withSite(t, 3, 3, func(c *qt.C, s *fake.Site) {
		declare(c, s, 0)
		time.Sleep(20 * time.Second)
		start := time.Now().Add(5 * time.Minute)
		putSheet(c, s, "2000-01-01", window("server-1", start, time.Hour))
		time.Sleep(time.Minute)
		c.Check(runsRare(s, 1) != runsRare(s, 2), qt.IsTrue)
		time.Sleep(time.Until(start.Add(time.Hour + time.Minute)))
		c.Check(runsRare(s, 1) || runsRare(s, 2), qt.IsFalse)
	})
}
