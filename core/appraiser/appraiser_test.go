package appraiser_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/appraiser"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

var key = dragonflypass.CostKey{Level: dragonflypass.CostOfPart, Service: "plain", Route: "read", Account: "bank", Part: "p"}

func newAppraiser() (*appraiser.Appraiser, *fake.Clock) {
	a, clock := appraiser.New(), fake.NewClock(time.Unix(1000, 0))
	a.Timer = clock
	return a, clock
}

// record records n requests with the processing time, one every 100 ms.
func record(a *appraiser.Appraiser, clock *fake.Clock, key dragonflypass.CostKey, n int, duration time.Duration) {
	for range n {
		a.Record(key, appraiser.Observation{Time: duration})
		clock.Run(clock.Now().Add(100 * time.Millisecond))
	}
}

// TestOddRequestMovesLittle guards against an estimate that one odd request spoils, or that does not follow a real change.
func TestOddRequestMovesLittle(t *testing.T) {
	c := qt.New(t)
	a, clock := newAppraiser()
	_, ok := a.Time(key)
	c.Check(ok, qt.IsFalse)
	record(a, clock, key, 50, 30*time.Millisecond)
	record(a, clock, key, 1, 3*time.Second)
	estimate, ok := a.Time(key)
	c.Check(ok, qt.IsTrue)
	c.Check(estimate.Mean < 33*time.Millisecond, qt.IsTrue, qt.Commentf("%v", estimate))
	record(a, clock, key, 6, 120*time.Millisecond)
	estimate, _ = a.Time(key)
	c.Check(estimate.Mean > 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", estimate))
}

// TestLessSpecificKeysAndExpiry guards against estimates of the wrong requests: a new account has those of its route until it
// has its own, and requests that are no longer seen are forgotten.
func TestLessSpecificKeysAndExpiry(t *testing.T) {
	c := qt.New(t)
	a, clock := newAppraiser()
	record(a, clock, key, 20, 30*time.Millisecond)
	other := key
	other.Account, other.Part = "shop", ""
	estimate, ok := a.Time(other)
	c.Check(ok, qt.IsTrue)
	c.Check(estimate.Mean.Round(time.Millisecond), qt.Equals, 30*time.Millisecond)
	record(a, clock, other, 10, 90*time.Millisecond)
	estimate, _ = a.Time(other)
	c.Check(estimate.Mean.Round(time.Millisecond), qt.Equals, 90*time.Millisecond)
	estimate, _ = a.Time(key)
	c.Check(estimate.Mean.Round(time.Millisecond), qt.Equals, 30*time.Millisecond)
	clock.Run(clock.Now().Add(11 * time.Minute))
	_, ok = a.Time(key)
	c.Check(ok, qt.IsFalse)
	c.Check(a.Keys(), qt.Equals, 0)
}

// TestKeysAreBounded guards against a table that grows with the parts that callers name.
func TestKeysAreBounded(t *testing.T) {
	c := qt.New(t)
	a, _ := newAppraiser()
	for i := range 10_000 {
		k := key
		k.Part = dragonflypass.SharedPart(fmt.Sprint(i))
		a.Record(k, appraiser.Observation{Time: time.Millisecond})
	}
	c.Check(a.Keys() <= 2048, qt.IsTrue)
	_, ok := a.Time(key)
	c.Check(ok, qt.IsTrue, qt.Commentf("the estimate of the route was evicted"))
}

// TestReportsCountOnce guards against evidence that grows as VMs pass on what they have learned from each other.
func TestReportsCountOnce(t *testing.T) {
	c := qt.New(t)
	a, clock := newAppraiser()
	b := appraiser.New()
	b.Timer = clock
	record(a, clock, key, 20, 30*time.Millisecond)
	reports := a.Reports("b")
	c.Check(len(reports) > 0 && len(reports) <= 24, qt.IsTrue)
	c.Check(a.Reports("b"), qt.IsNil)
	for range 100 {
		b.Merge("a", reports)
	}
	estimate, ok := b.Time(key)
	c.Check(ok, qt.IsTrue)
	c.Check(estimate.Mean.Round(time.Millisecond), qt.Equals, 30*time.Millisecond)
	c.Check(b.Reports("a"), qt.HasLen, 0)
	// Its own requests outweigh the reports, however often those came.
	record(b, clock, key, 60, 60*time.Millisecond)
	estimate, _ = b.Time(key)
	c.Check(estimate.Mean > 44*time.Millisecond, qt.IsTrue, qt.Commentf("%v", estimate))
}

// TestHintsCountAsMuchAsTheyWereRight guards against expected outputs that follow callers' estimates that are far off, or
// ignore those that are right.
func TestHintsCountAsMuchAsTheyWereRight(t *testing.T) {
	c := qt.New(t)
	for _, right := range []bool{false, true} {
		a, _ := newAppraiser()
		for i := range 100 {
			output := 200 + 800*(i%2)
			hint := output
			if !right {
				hint = 50 + 4000*(i/2%2)
			}
			a.Record(key, appraiser.Observation{Output: output, Hint: hint})
		}
		small, ok := a.Output(key, 200, 2000)
		c.Assert(ok, qt.IsTrue)
		none, _ := a.Output(key, 0, 2000)
		c.Check(none.Mean > 450 && none.Mean < 750, qt.IsTrue, qt.Commentf("%v", none))
		c.Check(none.High > 1000 && none.High <= 2000, qt.IsTrue, qt.Commentf("%v", none))
		c.Check(small.Mean < 300, qt.Equals, right, qt.Commentf("%v", small))
		capped, _ := a.Output(key, 0, 100)
		c.Check(capped, qt.Equals, dragonflypass.OutputEstimate{Mean: 100, High: 100})
	}
}

// BenchmarkTime appraises a request.
func BenchmarkTime(b *testing.B) {
	a, clock := newAppraiser()
	record(a, clock, key, 20, 30*time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		a.Time(key)
	}
}

// BenchmarkRecord records the observation of a request.
func BenchmarkRecord(b *testing.B) {
	a, _ := newAppraiser()
	b.ReportAllocs()
	for b.Loop() {
		a.Record(key, appraiser.Observation{Time: 30 * time.Millisecond})
	}
}
