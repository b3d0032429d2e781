package evacuator_test

import (
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/evacuator"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// directory lists the servers by identifier.
type directory map[dragonflypass.ServerID]dragonflypass.ServerEntry

func (d directory) Server(id dragonflypass.ServerID) (dragonflypass.ServerEntry, bool) {
	entry, ok := d[id]
	return entry, ok
}

func (d directory) Servers(dragonflypass.ServiceID) []dragonflypass.ServerEntry {
	return slices.Collect(maps.Values(d))
}

// TestEvacuationLastsUntilItsRecordIsRemoved guards against a zone that stays evacuated, or returns to service, because of a
// record of another key or a repeated one.
func TestEvacuationLastsUntilItsRecordIsRemoved(t *testing.T) {
	c := qt.New(t)
	clock := fake.NewClock(time.Unix(1000, 0))
	e := evacuator.New()
	changes := 0
	e.Timer, e.Logger, e.Changed = clock, fake.Logger{}, func() { changes++ }
	e.ApplyUpdates([]dragonflypass.Update{{Key: "k-a", EvacuatedZone: "a"}, {Key: "k-b", EvacuatedZone: "b"}, {Key: "table", Table: &dragonflypass.RouteTable{}}})
	c.Check(changes, qt.Equals, 1)
	clock.Run(clock.Now().Add(time.Second))
	e.ApplyUpdates([]dragonflypass.Update{{Key: "k-a", EvacuatedZone: "a"}, {Key: "table"}, {Key: "k-c"}})
	c.Check(changes, qt.Equals, 1)
	c.Check(e.Zones(), qt.DeepEquals, []evacuator.Zone{{Zone: "a", Since: time.Unix(1000, 0)}, {Zone: "b", Since: time.Unix(1000, 0)}})
	e.ApplyUpdates([]dragonflypass.Update{{Key: "k-a"}})
	c.Check(changes, qt.Equals, 2)
	c.Check(e.Evacuated("a"), qt.IsFalse)
	c.Check(e.Evacuated("b"), qt.IsTrue)
}

// TestEvacuationOutlastsRestore guards against a zone that returns to service because the store was restored from a copy that is
// older than the evacuation, and against one that stays evacuated although nobody writes the record again.
func TestEvacuationOutlastsRestore(t *testing.T) {
	for _, rewritten := range []bool{true, false} {
		c := qt.New(t)
		clock := fake.NewClock(time.Unix(1000, 0))
		e := evacuator.New()
		e.Timer, e.Logger = clock, fake.Logger{}
		record := dragonflypass.Update{Key: "k-a", EvacuatedZone: "a"}
		e.ApplyUpdates([]dragonflypass.Update{record})
		restoredAt := clock.Uptime()
		e.StoreRecoveredAt = func() time.Duration { return restoredAt }
		e.ApplyUpdates([]dragonflypass.Update{{Key: "k-a"}})
		clock.Run(clock.Now().Add(time.Second))
		c.Check(e.Evacuated("a"), qt.IsTrue)
		if rewritten {
			e.ApplyUpdates([]dragonflypass.Update{record})
		}
		clock.Run(clock.Now().Add(5 * time.Second))
		c.Check(e.Evacuated("a"), qt.Equals, rewritten)
	}
}

// TestUnknownServerCountsAsEvacuated guards against a request that reaches an evacuated zone because the owner of the permit
// knows the server, or its new address, before this VM does.
func TestUnknownServerCountsAsEvacuated(t *testing.T) {
	c := qt.New(t)
	address, other := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	e := evacuator.New()
	e.Timer, e.Logger = fake.NewClock(time.Unix(1000, 0)), fake.Logger{}
	e.Servers = directory{"s-a": {ID: "s-a", Zone: "a", Address: address}, "s-b": {ID: "s-b", Zone: "b", Address: address}}
	c.Check(e.ServerEvacuated("unknown", address), qt.IsFalse)
	c.Check(e.EvacuatedServers("m"), qt.HasLen, 0)
	e.ApplyUpdates([]dragonflypass.Update{{Key: "k-a", EvacuatedZone: "a"}})
	c.Check(e.ServerEvacuated("unknown", address), qt.IsTrue)
	c.Check(e.ServerEvacuated("s-a", address), qt.IsTrue)
	c.Check(e.ServerEvacuated("s-b", address), qt.IsFalse)
	c.Check(e.ServerEvacuated("s-b", other), qt.IsTrue)
	c.Check(e.EvacuatedServers("m"), qt.DeepEquals, []dragonflypass.ServerID{"s-a"})
}
