package balancer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/assessor"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// BenchmarkPick picks one of seven plain servers.
func BenchmarkPick(b *testing.B) {
	vm := newEntryVM(fake.NewClock(time.Unix(1000, 0)), rand.New(rand.NewPCG(1, 2)), "a")
	entries := newEntries(7)
	for i := range entries {
		vm.pacer.Record(&entries[i], 1, 1)
	}
	report := &dragonflypass.LoadReport{Running: 3, Slots: replaySlots}
	b.ReportAllocs()
	for b.Loop() {
		choice, _ := vm.balancer.Pick(entries, nil, 30*time.Millisecond, 0)
		vm.balancer.RecordOutcome(choice, assessor.Answered, report)
	}
}

// TestUnknownWorkCountsRequests guards against a choice that differs from the fewest requests in flight while nothing has been
// learned.
func TestUnknownWorkCountsRequests(t *testing.T) {
	c := qt.New(t)
	vm := newEntryVM(fake.NewClock(time.Unix(1000, 0)), rand.New(rand.NewPCG(1, 2)), "a")
	entries := newEntries(3)
	counts := make(map[dragonflypass.ServerID]int)
	for range 30 {
		choice, ok := vm.balancer.Pick(entries, nil, 0, 0)
		c.Assert(ok, qt.IsTrue)
		counts[choice.Entry.ID]++
	}
	for id, count := range counts {
		c.Check(count, qt.Equals, 10, qt.Commentf("%s", id))
	}
}
