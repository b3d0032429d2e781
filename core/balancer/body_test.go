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
	var choices []balancer.Choice
	for range 4 {
		choice, ok := b.Pick(entries, nil, 0, 50)
		c.Assert(ok, qt.IsTrue)
		held[choice.Entry.ID] += 50
		choices = append(choices, choice)
	}
	c.Check(held, qt.DeepEquals, map[dragonflypass.ServerID]int64{"one": 100, "two": 100})
	_, ok := b.Pick(entries, nil, 0, 1)
	c.Check(ok, qt.IsFalse)
	b.RecordOutcome(choices[0], assessor.Answered, nil)
	choice, ok := b.Pick(entries, nil, 0, 50)
	c.Check(ok, qt.IsTrue)
	c.Check(choice.Entry.ID, qt.Equals, choices[0].Entry.ID)
	for _, choice := range append(choices[1:], choice) {
		b.RecordOutcome(choice, assessor.Answered, nil)
	}
	_, ok = b.Pick(entries, nil, 0, 1000)
	c.Check(ok, qt.IsTrue)
}
