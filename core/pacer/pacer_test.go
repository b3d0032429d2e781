package pacer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/pacer"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// lines counts the log lines.
type lines map[any]int

// Info counts the line.
func (l lines) Info(message any, _ ...any) { l[message]++ }

// Warn counts the line.
func (l lines) Warn(message any, _ ...any) { l[message]++ }

func newPacer(n int) (*pacer.Pacer, *fake.Clock, lines, []dragonflypass.ServerEntry) {
	p, clock, logged := pacer.New(), fake.NewClock(time.Unix(1000, 0)), lines{}
	p.Timer, p.Logger = clock, logged
	entries := make([]dragonflypass.ServerEntry, n)
	for i := range entries {
		entries[i] = dragonflypass.ServerEntry{ID: dragonflypass.ServerID(fmt.Sprint(i)), Service: "s", Zone: "a", StartedAt: 1}
	}
	return p, clock, logged, entries
}

// observe records the ratio of each server, once every 100 ms.
func observe(p *pacer.Pacer, clock *fake.Clock, entries []dragonflypass.ServerEntry, rounds int, ratio func(server int) float64) {
	for range rounds {
		for i := range entries {
			p.Record(&entries[i], ratio(i), 1)
		}
		clock.Run(clock.Now().Add(100 * time.Millisecond))
	}
}

// TestSlowServer guards against a slow server that stays unknown, is slow for ever, or stays slow after a restart.
func TestSlowServer(t *testing.T) {
	c := qt.New(t)
	p, clock, logged, entries := newPacer(7)
	slow := func(server int) float64 {
		if server == 0 {
			return 4
		}
		return 1.1
	}
	c.Check(p.Pace(&entries[0]), qt.Equals, 1.0)
	observe(p, clock, entries, 15, slow)
	c.Check(p.Pace(&entries[0]) > 2.5, qt.IsTrue, qt.Commentf("%v", p.Pace(&entries[0])))
	c.Check(p.Pace(&entries[1]), qt.Equals, 1.0)
	c.Check(p.SlowServers(), qt.HasLen, 1)
	restarted := entries[0]
	restarted.StartedAt = 2
	c.Check(p.Pace(&restarted), qt.Equals, 1.0)
	clock.Run(clock.Now().Add(time.Minute))
	p.Sweep(context.Background())
	c.Check(p.Pace(&entries[0]), qt.Equals, 1.0)
	c.Check(logged, qt.DeepEquals, lines{"backend server slow": 1, "backend server no longer slow": 1})
}

// TestOddObservationMovesLittle guards against a server that counts as slow because of one odd observation.
func TestOddObservationMovesLittle(t *testing.T) {
	c := qt.New(t)
	p, clock, logged, entries := newPacer(3)
	observe(p, clock, entries, 10, func(int) float64 { return 1 })
	p.Record(&entries[0], 100, 1)
	c.Check(p.Pace(&entries[0]) < 1.3, qt.IsTrue)
	p.Record(&entries[0], -1, 1)
	c.Check(logged, qt.HasLen, 0)
}

// TestSeldomObservedServer guards against a slow server that is forgotten between two observations.
func TestSeldomObservedServer(t *testing.T) {
	c := qt.New(t)
	p, clock, _, entries := newPacer(1)
	for range 20 {
		p.Record(&entries[0], 4, 1)
		clock.Run(clock.Now().Add(12 * time.Second))
	}
	c.Check(p.Pace(&entries[0]) > 3, qt.IsTrue, qt.Commentf("%v", p.Pace(&entries[0])))
}

// TestServersSlowTogether guards against an overloaded zone that looks usual because all of its servers are slow.
func TestServersSlowTogether(t *testing.T) {
	c := qt.New(t)
	p, clock, _, entries := newPacer(5)
	observe(p, clock, entries, 20, func(int) float64 { return 3 })
	for i := range entries {
		c.Check(p.Pace(&entries[i]) > 2, qt.IsTrue, qt.Commentf("%v", p.Pace(&entries[i])))
	}
	observe(p, clock, entries, 20, func(int) float64 { return 1.2 })
	c.Check(p.Pace(&entries[0]), qt.Equals, 1.0)
}

// TestReportsOfOtherVMs guards against a slow server that each VM finds slow only after many requests of its own, and against a
// server that one odd request of another VM makes slow.
func TestReportsOfOtherVMs(t *testing.T) {
	c := qt.New(t)
	a, clock, logged, entries := newPacer(2)
	b := pacer.New()
	b.Timer, b.Logger = clock, fake.Logger{}
	b.Shared = func(dragonflypass.ServiceID) bool { return true }
	b.Record(&entries[0], 8, 1)
	b.Record(&entries[1], 1, 1)
	a.Merge("vm-1", b.Reports())
	c.Check(a.Pace(&entries[0]) < pacer.SlowPace+0.1, qt.IsTrue, qt.Commentf("%v", a.Pace(&entries[0])))
	for i := range 20 {
		a.Merge(dragonflypass.VMID(fmt.Sprint(i)), b.Reports())
	}
	c.Check(a.Pace(&entries[0]) > 2.5, qt.IsTrue, qt.Commentf("%v", a.Pace(&entries[0])))
	c.Check(a.Pace(&entries[1]), qt.Equals, 1.0)
	clock.Run(clock.Now().Add(10 * time.Second))
	a.Sweep(context.Background())
	c.Check(a.Pace(&entries[0]), qt.Equals, 1.0)
	c.Check(logged, qt.DeepEquals, lines{"backend server slow": 1, "backend server no longer slow": 1})
}

// BenchmarkPace looks up the pace of a server.
func BenchmarkPace(b *testing.B) {
	p, clock, _, entries := newPacer(78)
	observe(p, clock, entries, 5, func(server int) float64 { return 1 + float64(server%3) })
	b.ReportAllocs()
	for b.Loop() {
		p.Pace(&entries[2])
	}
}
