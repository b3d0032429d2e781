package balancer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/assessor"
	"github.com/dragonflypass/dragonflypass/core/balancer"
	"github.com/dragonflypass/dragonflypass/core/excluder"
	"github.com/dragonflypass/dragonflypass/core/throttler"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

func newBalancer() *balancer.Balancer {
	clock := fake.NewClock(time.Unix(1_000_000, 0))
	a, x := assessor.New(), excluder.New()
	a.Timer, a.Meter, a.Logger = clock, fake.NewMeter(), fake.Logger{}
	x.Timer, x.Meter, x.Logger = clock, fake.NewMeter(), fake.Logger{}
	b := balancer.New()
	b.Timer, b.Assessor, b.Excluder, b.Meter, b.Throttler = clock, a, x, fake.NewMeter(), throttler.New()
	b.Throttler.Timer = clock
	return b
}

// TestServersWithManyBytesArePassedOver sends large bodies to two servers. Neither may get more bytes at once than the limit, except for a
// single body that exceeds it.
func TestServersWithManyBytesArePassedOver(t *testing.T) {
	c := qt.New(t)
	b := newBalancer()
	b.BodyLimit = 100
	entries := []dragonflypass.ServerEntry{{ID: "one"}, {ID: "two"}}
	held := make(map[dragonflypass.ServerID]int64)
	for range 4 {
		entry, ok := b.Pick(entries, nil, 50)
		c.Assert(ok, qt.IsTrue)
		held[entry.ID] += 50
	}
	c.Check(held, qt.DeepEquals, map[dragonflypass.ServerID]int64{"one": 100, "two": 100})
	_, ok := b.Pick(entries, nil, 1)
	c.Check(ok, qt.IsFalse)
	b.RecordOutcome("two", assessor.Answered, nil, 50)
	entry, ok := b.Pick(entries, nil, 50)
	c.Check(ok, qt.IsTrue)
	c.Check(entry.ID, qt.Equals, dragonflypass.ServerID("two"))
	for _, id := range []dragonflypass.ServerID{"one", "one", "two", "two"} {
		b.RecordOutcome(id, assessor.Answered, nil, 50)
	}
	_, ok = b.Pick(entries, nil, 1000)
	c.Check(ok, qt.IsTrue)
}
