package sharder_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/sharder"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// newSharder returns the sharder of a VM in zone b with the given number of servers in zones a, b and c.
func newSharder(servers int) (*sharder.Sharder, *fake.Clock) {
	clock := fake.NewClock(time.Unix(1000, 0))
	s := sharder.New()
	s.Zone, s.Timer = "b", clock
	var entries []dragonflypass.ServerEntry
	for i := range servers {
		entries = append(entries, dragonflypass.ServerEntry{ID: dragonflypass.ServerID(fmt.Sprint(i)), Zone: dragonflypass.AvailabilityZone(string(rune('a' + i%3)))})
	}
	s.Servers = func(dragonflypass.ServiceID) []dragonflypass.ServerEntry { return entries }
	return s, clock
}

func load(zone dragonflypass.AvailabilityZone, streams int, wait time.Duration) dragonflypass.ShardLoad {
	return dragonflypass.ShardLoad{Shard: dragonflypass.Shard{Service: "m", Part: dragonflypass.ShardPart{Zone: zone}}, Servers: 20, Slots: 200, Streams: streams, Backlog: 20 * wait}
}

func TestPartsOfServices(t *testing.T) {
	c := qt.New(t)
	small, _ := newSharder(18)
	c.Check(small.PartsToAsk("m"), qt.DeepEquals, []dragonflypass.ShardPart{{}})
	c.Check(small.ShardServers(dragonflypass.Shard{Service: "m"}), qt.HasLen, 18)
	large, _ := newSharder(60)
	c.Check(large.PartsToAsk("m"), qt.DeepEquals, []dragonflypass.ShardPart{{Zone: "b"}, {Zone: "c"}, {Zone: "a"}})
	c.Check(large.ShardServers(dragonflypass.Shard{Service: "m", Part: dragonflypass.ShardPart{Zone: "a"}}), qt.HasLen, 20)

	huge, _ := newSharder(3000)
	c.Check(huge.PartsToAsk("m"), qt.HasLen, 3)
	servers := 0
	for _, part := range huge.Parts("m") {
		size := len(huge.ShardServers(dragonflypass.Shard{Service: "m", Part: part}))
		c.Check(size > 10 && size < 64, qt.IsTrue, qt.Commentf("%s: %d servers", part, size))
		servers += size
	}
	c.Check(servers, qt.Equals, 3000)
}

// TestBurstIsSpreadOverShards moves the short prompts of a burst in one zone. They must be spread over the other shards
// although no new summary arrives meanwhile, and stay where they are once all shards are equally loaded.
func TestBurstIsSpreadOverShards(t *testing.T) {
	c := qt.New(t)
	s, clock := newSharder(60)
	s.RecordLoads([]dragonflypass.ShardLoad{load("a", 40, 0), load("c", 80, 0)})
	own, moved := load("b", 150, 0), make(map[dragonflypass.AvailabilityZone]int)
	for range 200 {
		part, ok := s.Move(own, true, 10*time.Millisecond)
		moved[part.Zone]++
		if !ok {
			own.Streams++
		}
	}
	c.Check(moved["a"]-moved["c"], qt.Equals, 40)
	c.Check(40+moved["a"] <= own.Streams, qt.IsTrue, qt.Commentf("%v", moved))
	// Old summaries are not used.
	clock.Run(clock.Now().Add(5 * time.Second))
	_, ok := s.Move(load("b", 200, 0), true, 10*time.Millisecond)
	c.Check(ok, qt.IsFalse)
}

func TestLongPromptsMoveToTheShortestWait(t *testing.T) {
	c := qt.New(t)
	s, _ := newSharder(60)
	s.RecordLoads([]dragonflypass.ShardLoad{load("a", 0, 2*time.Second), load("c", 150, 100*time.Millisecond)})
	part, ok := s.Move(load("b", 0, 3*time.Second), false, time.Second)
	c.Check(ok, qt.IsTrue)
	c.Check(part, qt.Equals, dragonflypass.ShardPart{Zone: "c"})
	_, ok = s.Move(load("b", 0, 200*time.Millisecond), false, time.Second)
	c.Check(ok, qt.IsFalse)
	part, ok = s.MoveAway(dragonflypass.Shard{Service: "m", Part: dragonflypass.ShardPart{Zone: "b"}}, true, time.Second)
	c.Check(ok, qt.IsTrue)
	c.Check(part, qt.Equals, dragonflypass.ShardPart{Zone: "a"})
}

// TestEvacuatedZonesAreNotAsked guards against requests that are sent or moved to shards which take none, whose low load makes
// them look best.
func TestEvacuatedZonesAreNotAsked(t *testing.T) {
	c := qt.New(t)
	s, _ := newSharder(60)
	evacuated := map[dragonflypass.AvailabilityZone]bool{"a": true}
	s.Evacuated = func(zone dragonflypass.AvailabilityZone) bool { return evacuated[zone] }
	c.Check(s.PartsToAsk("m"), qt.DeepEquals, []dragonflypass.ShardPart{{Zone: "b"}, {Zone: "c"}})
	s.RecordLoads([]dragonflypass.ShardLoad{load("a", 0, 0), load("c", 80, 0)})
	part, ok := s.Move(load("b", 190, 0), true, 10*time.Millisecond)
	c.Check(ok && part.Zone == "c", qt.IsTrue, qt.Commentf("%v %t", part, ok))
	evacuated["a"], evacuated["b"] = false, true
	first := make(map[dragonflypass.AvailabilityZone]int)
	for range 200 {
		first[s.PartsToAsk("m")[0].Zone]++
	}
	c.Check(first["a"] > 50 && first["c"] > 50 && first["a"]+first["c"] == 200, qt.IsTrue, qt.Commentf("%v", first))
	evacuated["a"], evacuated["c"] = true, true
	c.Check(s.PartsToAsk("m"), qt.HasLen, 3)
	_, ok = s.MoveAway(dragonflypass.Shard{Service: "m", Part: dragonflypass.ShardPart{Zone: "b"}}, true, time.Millisecond)
	c.Check(ok, qt.IsFalse)
}
