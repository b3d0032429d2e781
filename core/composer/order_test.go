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

// configureRareModel adds the rare model to the configuration of the servers with the given indexes.
func configureRareModel(c *qt.C, s *fake.Site, servers ...int) {
	c.Helper()
	current := s.Nodes[0].Configurer.Current()
	model := dragonflypass.Item{Model: &dragonflypass.Model{ID: rareModel, Version: "1", Limit: 100_000}}
	edits := []dragonflypass.Edit{{Key: dragonflypass.ItemKey{Section: dragonflypass.SectionModel, Name: string(rareModel)}, Item: &model}}
	for _, i := range servers {
		server := *current.Servers[s.Servers[i].ID]
		server.Models = append(slices.Clone(server.Models), rareModel)
		key := dragonflypass.ItemKey{Section: dragonflypass.SectionServer, Name: string(server.ID)}
		edits = append(edits, dragonflypass.Edit{Key: key, BaseVersion: s.ItemVersion(0, key), Item: &dragonflypass.Item{Server: &server}})
	}
	result, err := s.Apply(0, "declare", edits...)
	c.Assert(err, qt.IsNil)
	c.Assert(result.Accepted, qt.IsTrue)
}

// rareModelLoaded reports whether the server has the rare model loaded.
func rareModelLoaded(s *fake.Site, server int) bool {
	return slices.Contains(s.Servers[server].Loaded(), rareModel)
}

func TestConfiguredModelIsLoaded(t *testing.T) {
	withSite(t, 3, 3, func(c *qt.C, s *fake.Site) {
		configureRareModel(c, s, 1)
		time.Sleep(10 * time.Second)
		c.Check(rareModelLoaded(s, 1), qt.IsTrue)
		c.Check(rareModelLoaded(s, 0), qt.IsFalse)
	})
}

// TestStaleOrderIsReversed sends an order with an old fencing number, like an owner that resumes after a
// suspension. A server that ignores the number executes the order, and the current owner must reverse it.
func TestStaleOrderIsReversed(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(map[bool]string{true: "server checks fencing numbers", false: "server ignores fencing numbers"}[fenced], func(t *testing.T) {
			prepare := func(s *fake.Site) { s.Servers[0].Fenced = fenced }
			withPreparedSite(t, 3, 1, prepare, func(c *qt.C, s *fake.Site) {
				configureRareModel(c, s, 0)
				time.Sleep(20 * time.Second)
				c.Assert(rareModelLoaded(s, 0), qt.IsTrue)
				address := s.Nodes[0].Configurer.Current().Servers[s.Servers[0].ID].Address
				stale := dragonflypass.Order{Model: rareModel, Unload: true, Fence: 0}
				err := s.Engines.Order(s.Context, address, stale)
				c.Check(errors.Is(err, dragonflypass.ErrFenced), qt.Equals, fenced)
				c.Check(rareModelLoaded(s, 0), qt.Equals, fenced)
				time.Sleep(10 * time.Second)
				c.Check(rareModelLoaded(s, 0), qt.IsTrue)
			})
		})
	}
}

// TestNewOwnerUsesHigherFencingNumber kills the owner. Its successor must be able to send an order to a server that
// checks fencing numbers.
func TestNewOwnerUsesHigherFencingNumber(t *testing.T) {
	prepare := func(s *fake.Site) {
		for _, server := range s.Servers {
			server.Fenced = true
		}
	}
	withPreparedSite(t, 6, 1, prepare, func(c *qt.C, s *fake.Site) {
		configureRareModel(c, s, 0)
		time.Sleep(10 * time.Second)
		owner := slices.IndexFunc(s.Nodes, func(n *fake.SiteNode) bool { return len(n.Scheduler.Owned()) == 1 })
		fenceBefore := s.Servers[0].Fence()
		s.Kill(owner)
		time.Sleep(15 * time.Second)
		s.Servers[0].Unload(rareModel)
		time.Sleep(15 * time.Second)
		c.Check(rareModelLoaded(s, 0), qt.IsTrue)
		c.Check(s.Servers[0].Fence() > fenceBefore, qt.IsTrue)
	})
}

func TestOrdersWaitForTheLog(t *testing.T) {
	withSite(t, 3, 3, func(c *qt.C, s *fake.Site) {
		configureRareModel(c, s, 0, 1, 2)
		s.Log.SetDown(true)
		time.Sleep(20 * time.Second)
		for i := range s.Servers {
			c.Check(rareModelLoaded(s, i), qt.IsFalse)
		}
		s.Log.SetDown(false)
		time.Sleep(90 * time.Second)
		for i := range s.Servers {
			c.Check(rareModelLoaded(s, i), qt.IsTrue)
		}
	})
}

// throttledStore is a weight store that serves one read every 3 s and refuses all others.
type throttledStore struct {
	mutex        sync.Mutex
	nextRead     time.Time
	refusedReads int
}

func (s *throttledStore) read(dragonflypass.ModelID) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Now().Before(s.nextRead) {
		s.refusedReads++
		return errors.New("too many reads")
	}
	s.nextRead = time.Now().Add(3 * time.Second)
	return nil
}

// TestModelLoadsFromThrottledWeightStore has nine servers load a model from a store that serves one read every 3 s. All
// must succeed in the end, with few refused reads.
func TestModelLoadsFromThrottledWeightStore(t *testing.T) {
	weights := &throttledStore{}
	prepare := func(s *fake.Site) {
		for _, server := range s.Servers {
			server.Weights = weights.read
		}
	}
	withPreparedSite(t, 3, 9, prepare, func(c *qt.C, s *fake.Site) {
		configureRareModel(c, s, 0, 1, 2, 3, 4, 5, 6, 7, 8)
		time.Sleep(4 * time.Minute)
		for i := range s.Servers {
			c.Check(rareModelLoaded(s, i), qt.IsTrue, qt.Commentf("server %d", i))
		}
		c.Check(weights.refusedReads <= 60, qt.IsTrue, qt.Commentf("%d reads refused", weights.refusedReads))
	})
}

// TestModelIsLoadedElsewhereBeforeMaintenance checks that a model is loaded on another server before its only server goes
// down for maintenance, and unloaded there afterwards.
func TestModelIsLoadedElsewhereBeforeMaintenance(t *testing.T) {
	withSite(t, 3, 3, func(c *qt.C, s *fake.Site) {
		configureRareModel(c, s, 0)
		time.Sleep(20 * time.Second)
		start := time.Now().Add(5 * time.Minute)
		applySheet(c, s, "2000-01-01", window("server-1", start, time.Hour))
		time.Sleep(time.Minute)
		c.Check(rareModelLoaded(s, 1) != rareModelLoaded(s, 2), qt.IsTrue)
		time.Sleep(time.Until(start.Add(time.Hour + time.Minute)))
		c.Check(rareModelLoaded(s, 1) || rareModelLoaded(s, 2), qt.IsFalse)
	})
}
