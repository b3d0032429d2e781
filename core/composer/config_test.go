package composer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/composer"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

var modelKey = dragonflypass.ItemKey{Section: dragonflypass.SectionModel, Name: string(fake.SiteModel)}

// modelEdit returns an edit that sets the model's version.
func modelEdit(base dragonflypass.Offset, version string) dragonflypass.Edit {
	item := dragonflypass.Item{Model: &dragonflypass.Model{ID: fake.SiteModel, Version: version, Limit: 1_000_000}}
	return dragonflypass.Edit{Key: modelKey, BaseVersion: base, Item: &item}
}

func rankEdit(name string, minShare float64) dragonflypass.Edit {
	key := dragonflypass.ItemKey{Section: dragonflypass.SectionRank, Name: name}
	item := dragonflypass.Item{Rank: &dragonflypass.RankPolicy{FirstTokenTarget: time.Second, Timeout: time.Minute, MinShare: minShare}}
	return dragonflypass.Edit{Key: key, Item: &item}
}

// modelVersion returns the version of the model that is in effect on the node.
func modelVersion(s *fake.Site, node int) string {
	return s.Nodes[node].Configurer.Current().Models[fake.SiteModel].Version
}

// awaitVersion waits until the version is in effect on the nodes and returns how long that took. The test fails after
// the limit.
func awaitVersion(c *qt.C, s *fake.Site, wanted string, limit time.Duration, nodes ...int) time.Duration {
	c.Helper()
	start := time.Now()
	for {
		lagging := -1
		for _, node := range nodes {
			if modelVersion(s, node) != wanted {
				lagging = node
			}
		}
		if lagging < 0 {
			return time.Since(start)
		}
		c.Assert(time.Since(start) <= limit, qt.IsTrue, qt.Commentf("not in effect on node %d after %s", lagging, limit))
		time.Sleep(50 * time.Millisecond)
	}
}

func allNodes(s *fake.Site) []int {
	nodes := make([]int, len(s.Nodes))
	for i := range nodes {
		nodes[i] = i
	}
	return nodes
}

// applyConcurrently submits the edits of two operators at the same time.
func applyConcurrently(s *fake.Site, first, second dragonflypass.Edit) (a, b dragonflypass.ChangeResult) {
	var wg sync.WaitGroup
	wg.Go(func() { a, _ = s.Apply(0, "a", first) })
	wg.Go(func() { b, _ = s.Apply(1, "b", second) })
	wg.Wait()
	return a, b
}

func TestConcurrentEditsOfOneItem(t *testing.T) {
	withSite(t, 3, 1, func(c *qt.C, s *fake.Site) {
		base := s.ItemVersion(0, modelKey)
		a, b := applyConcurrently(s, modelEdit(base, "a"), modelEdit(base, "b"))
		c.Assert(a.Accepted != b.Accepted, qt.IsTrue, qt.Commentf("%+v %+v", a, b))
		winner, loser, wanted := a, b, "a"
		if b.Accepted {
			winner, loser, wanted = b, a, "b"
		}
		c.Check(loser.Conflict, qt.Equals, modelKey)
		c.Check(loser.WinningOffset, qt.Equals, winner.Offset)
		awaitVersion(c, s, wanted, 5*time.Second, allNodes(s)...)
	})
}

func TestConcurrentEditsOfDifferentItems(t *testing.T) {
	withSite(t, 3, 1, func(c *qt.C, s *fake.Site) {
		a, b := applyConcurrently(s, modelEdit(s.ItemVersion(0, modelKey), "a"), rankEdit("bulk", 0.3))
		accepted := time.Now()
		c.Check(a.Accepted, qt.IsTrue)
		c.Check(b.Accepted, qt.IsTrue)
		awaitVersion(c, s, "a", 5*time.Second, allNodes(s)...)
		// The other change is a separate log entry. A node may read it later, but within the same time limit.
		minShare := func(node int) float64 {
			return s.Nodes[node].Configurer.Current().Ranks[dragonflypass.RankBulk].MinShare
		}
		for node := range s.Nodes {
			for minShare(node) != 0.3 && time.Since(accepted) < 5*time.Second {
				time.Sleep(50 * time.Millisecond)
			}
			c.Check(minShare(node), qt.Equals, 0.3)
			c.Check(modelVersion(s, node), qt.Equals, "a")
		}
	})
}

func TestAppendResponseLost(t *testing.T) {
	withSite(t, 3, 1, func(c *qt.C, s *fake.Site) {
		s.Log.LoseResponses(3)
		result, err := s.Apply(0, "lost", modelEdit(s.ItemVersion(0, modelKey), "2"))
		c.Assert(err, qt.IsNil)
		c.Check(result.Accepted, qt.IsTrue)
		awaitVersion(c, s, "2", 5*time.Second, allNodes(s)...)
		c.Check(s.ItemVersion(1, modelKey), qt.Equals, result.Offset)
	})
}

// TestChangeAppendedTwice delays an append until after its retry. The second copy of the change must not count as a
// conflict.
func TestChangeAppendedTwice(t *testing.T) {
	withSite(t, 3, 1, func(c *qt.C, s *fake.Site) {
		s.Log.DelayNextAppend(5 * time.Second)
		result, err := s.Apply(0, "twice", modelEdit(s.ItemVersion(0, modelKey), "2"))
		c.Assert(err, qt.IsNil)
		c.Check(result.Accepted, qt.IsTrue)
		time.Sleep(20 * time.Second)
		c.Check(s.Log.Appends(), qt.Equals, 3)
		for i := range s.Nodes {
			c.Check(modelVersion(s, i), qt.Equals, "2")
			history := s.Nodes[i].Configurer.History()
			c.Check(history, qt.HasLen, 2)
			c.Check(history[1].Accepted, qt.IsTrue)
		}
	})
}

func TestLogUnavailableAtNodeStart(t *testing.T) {
	withSite(t, 4, 1, func(c *qt.C, s *fake.Site) {
		_, err := s.Apply(0, "second", modelEdit(s.ItemVersion(0, modelKey), "2"))
		c.Assert(err, qt.IsNil)
		awaitVersion(c, s, "2", 5*time.Second, allNodes(s)...)
		s.Kill(3)
		s.Log.SetDown(true)
		s.StartNode(3)
		time.Sleep(5 * time.Second)
		c.Check(modelVersion(s, 3), qt.Equals, "2")
		_, err = s.Apply(0, "third", modelEdit(s.ItemVersion(0, modelKey), "3"))
		c.Check(err, qt.ErrorMatches, ".*did not reach the log.*")
		s.Log.SetDown(false)
	})
}

func TestZoneDisconnectedFromLog(t *testing.T) {
	withSite(t, 6, 1, func(c *qt.C, s *fake.Site) {
		s.Nodes[2].LogAccess.SetDisconnected(true)
		s.Nodes[5].LogAccess.SetDisconnected(true)
		result, err := s.Apply(0, "second", modelEdit(s.ItemVersion(0, modelKey), "2"))
		c.Assert(err, qt.IsNil)
		c.Check(result.Accepted, qt.IsTrue)
		awaitVersion(c, s, "2", 5*time.Second, allNodes(s)...)
	})
}

func TestStaleLogReplicaRevertsNothing(t *testing.T) {
	withSite(t, 2, 1, func(c *qt.C, s *fake.Site) {
		_, err := s.Apply(0, "second", modelEdit(s.ItemVersion(0, modelKey), "2"))
		c.Assert(err, qt.IsNil)
		s.Log.SetReplicaLag(1)
		time.Sleep(5 * time.Second)
		c.Check(modelVersion(s, 0), qt.Equals, "2")
		s.Log.SetReplicaLag(0)
		_, err = s.Apply(1, "third", modelEdit(s.ItemVersion(0, modelKey), "3"))
		c.Assert(err, qt.IsNil)
		awaitVersion(c, s, "3", 5*time.Second, 0, 1)
	})
}

// TestConfigurationSurvivesLogRetention lets the log drop all records except snapshots, and starts a node from them.
func TestConfigurationSurvivesLogRetention(t *testing.T) {
	const retention = time.Hour
	withPreparedSite(t, 3, 0, func(s *fake.Site) {
		s.Log.Retention = retention
		s.Options = func(o *composer.Options) {
			o.LogRetention, o.HeartbeatInterval, o.LogPollInterval = retention, 5*time.Second, 5*time.Second
		}
	}, func(c *qt.C, s *fake.Site) {
		_, err := s.Apply(0, "second", modelEdit(s.ItemVersion(0, modelKey), "2"))
		c.Assert(err, qt.IsNil)
		for range 6 {
			time.Sleep(retention / 2)
		}
		page, err := s.Log.Read(context.Background(), dragonflypass.LogStreamConfig, 1, 10)
		c.Assert(err, qt.Equals, dragonflypass.ErrTrimmed)
		c.Assert(page.FirstOffset > 2, qt.IsTrue)
		for i := range s.Nodes {
			s.Kill(i)
		}
		s.StartNode(2)
		time.Sleep(10 * time.Second)
		c.Check(modelVersion(s, 2), qt.Equals, "2")
		result, err := s.Apply(2, "third", modelEdit(s.ItemVersion(2, modelKey), "3"))
		c.Assert(err, qt.IsNil)
		c.Check(result.Accepted, qt.IsTrue)
	})
}

func TestInForceOnNineNodes(t *testing.T) {
	withSite(t, 9, 9, func(c *qt.C, s *fake.Site) {
		for i := range 5 {
			wanted := fmt.Sprintf("v%d", i)
			_, err := s.Apply(i, wanted, modelEdit(s.ItemVersion(i, modelKey), wanted))
			c.Assert(err, qt.IsNil)
			awaitVersion(c, s, wanted, 5*time.Second, allNodes(s)...)
		}
	})
}

func TestInForceOnManyNodes(t *testing.T) {
	if testing.Short() {
		t.Skip("410 nodes are too slow under the race detector; make test runs them without it")
	}
	prepare := func(s *fake.Site) { s.Zones = []dragonflypass.AvailabilityZone{"a", "b", "c", "d", "e", "f"} }
	withPreparedSite(t, 410, 0, prepare, func(c *qt.C, s *fake.Site) {
		_, err := s.Apply(7, "many", modelEdit(s.ItemVersion(7, modelKey), "many"))
		c.Assert(err, qt.IsNil)
		elapsed := awaitVersion(c, s, "many", 16*time.Second, allNodes(s)...)
		c.Logf("in effect on %d nodes after %s", len(s.Nodes), elapsed)
	})
}
