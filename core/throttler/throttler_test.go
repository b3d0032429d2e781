package throttler_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/throttler"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

const (
	rate      = 17
	overshoot = 1.5
	slack     = 5
	bound     = rate*overshoot + slack
	warmup    = 3 * time.Second
)

var entry = dragonflypass.ServerEntry{ID: "s-1", Service: "m", Address: netip.MustParseAddrPort("10.0.0.1:80"), StartedAt: 1}

// newThrottlers returns the throttlers of several VMs that know the server as one that started long ago.
func newThrottlers(count int, policy throttler.Policy) ([]*throttler.Throttler, *fake.Clock) {
	clock := fake.NewClock(time.Unix(1_000_000, 0))
	var all []*throttler.Throttler
	for range count {
		t, loaded := throttler.New(), false
		t.Timer, t.Meter, t.Logger, t.Overshoot, t.Slack = clock, fake.NewMeter(), fake.Logger{}, overshoot, slack
		t.Policy = func(dragonflypass.ServiceID) throttler.Policy { return policy }
		t.VMs, t.Loaded = func() int { return count }, func() bool { return loaded }
		t.Refresh()
		t.ApplyUpdates([]dragonflypass.Update{{Key: "s-1", Server: &entry, ReadAt: clock.Uptime()}})
		loaded = true
		all = append(all, t)
	}
	return all, clock
}

// run sends as many requests as the throttlers allow for the duration, and returns their times.
func run(all []*throttler.Throttler, clock *fake.Clock, duration time.Duration, server dragonflypass.ServerEntry, may func(*throttler.Throttler) bool) (sent []time.Time) {
	for end := clock.Now().Add(duration); clock.Now().Before(end); clock.Run(clock.Now().Add(time.Millisecond)) {
		for _, t := range all {
			if may(t) {
				t.RecordSent(server)
				sent = append(sent, clock.Now())
			}
		}
	}
	return sent
}

// highest returns the largest number of times within any second.
func highest(times []time.Time) (count int) {
	for i, start := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[start]) > time.Second {
			start++
		}
		count = max(count, i-start+1)
	}
	return count
}

// TestLimitHoldsOverAllVMs guards against a server that crashes in its warm-up because two owners, or many VMs without an owner,
// send it more than the bound together. It must still get a useful number of requests, spread over the time. The offsets of VMs
// without an owner are random, so that only several rounds together show how they are spread.
func TestLimitHoldsOverAllVMs(t *testing.T) {
	for _, test := range []struct {
		vms     int
		granted bool
		rounds  int
		minimum int
	}{{1, true, 1, 3 * 12}, {2, true, 1, 3 * 24}, {20, false, 10, 3 * 8}, {62, false, 10, 3 * 8}} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			c := qt.New(t)
			total, first := 0, 0
			for range test.rounds {
				all, clock := newThrottlers(test.vms, throttler.Policy{Rate: rate, Duration: warmup, Granted: test.granted})
				restarted, start := entry, clock.Now()
				restarted.StartedAt++
				for _, t := range all {
					c.Check(t.Active(), qt.IsFalse)
					t.ApplyUpdates([]dragonflypass.Update{{Key: "s-1", Server: &restarted, ReadAt: clock.Uptime()}})
				}
				sent := run(all, clock, warmup, restarted, func(t *throttler.Throttler) bool {
					if test.granted {
						return t.MayGrant(restarted, false)
					}
					return t.MayPick(restarted)
				})
				c.Check(float64(highest(sent)) <= bound, qt.IsTrue, qt.Commentf("%d", highest(sent)))
				total += len(sent)
				for _, at := range sent {
					if at.Sub(start) < warmup/2 {
						first++
					}
				}
			}
			c.Check(total >= test.rounds*test.minimum, qt.IsTrue, qt.Commentf("%d", total))
			c.Check(first > total/3 && first < total*2/3, qt.IsTrue, qt.Commentf("%d of %d in the first half", first, total))
		})
	}
}

// TestWarmupTimeIsCountedFromItsReport guards against servers that turn cold without a restart and are not limited, against
// reports that are counted from the wrong time, and against a limit that ends at once.
func TestWarmupTimeIsCountedFromItsReport(t *testing.T) {
	c := qt.New(t)
	all, clock := newThrottlers(1, throttler.Policy{Rate: rate, Duration: warmup, Granted: true})
	throttle, cold := all[0], entry
	cold.WarmupTime = 2 * time.Second
	start := clock.Now()
	throttle.ApplyUpdates([]dragonflypass.Update{{Key: "s-1", Server: &cold, ReadAt: clock.Uptime() - 500*time.Millisecond}})
	c.Assert(throttle.State(), qt.HasLen, 1)
	c.Check(throttle.State()[0].Until, qt.Equals, start.Add(1500*time.Millisecond))
	c.Check(throttle.MayGrant(entry, true), qt.IsFalse, qt.Commentf("a VM that is no owner gives it nothing"))
	throttle.RecordReport("s-1", netip.MustParseAddrPort("10.0.0.9:80"), time.Minute)
	throttle.RecordReport("s-1", entry.Address, 2*time.Second)
	c.Check(throttle.State()[0].Until, qt.Equals, start.Add(2*time.Second))
	var counts []int
	for range 15 {
		counts = append(counts, len(run(all, clock, 200*time.Millisecond, entry, func(t *throttler.Throttler) bool { return t.MayGrant(entry, false) })))
	}
	// The warm-up takes 2 s, and the ramp a second.
	c.Check(counts[9] <= 3 && counts[10] <= 4 && counts[12] > counts[9] && counts[12] < 15 && counts[14] > counts[12], qt.IsTrue, qt.Commentf("%v", counts))
	c.Check(throttle.Active(), qt.IsFalse)
	c.Check(throttle.State(), qt.HasLen, 0)
	throttle.RecordReport("s-1", entry.Address, 24*time.Hour)
	c.Check(throttle.State()[0].Until.Sub(clock.Now()), qt.Equals, 10*warmup, qt.Commentf("a server may not state any time"))
}

// TestServicesWithoutLimitAreNotThrottled guards against a change of behaviour where the operators have configured no limit.
func TestServicesWithoutLimitAreNotThrottled(t *testing.T) {
	c := qt.New(t)
	all, clock := newThrottlers(1, throttler.Policy{Duration: warmup, Granted: true})
	cold := entry
	cold.StartedAt, cold.WarmupTime = 2, warmup
	all[0].ApplyUpdates([]dragonflypass.Update{{Key: "s-1", Server: &cold, ReadAt: clock.Uptime()}})
	c.Check(all[0].Active(), qt.IsFalse)
	c.Check(all[0].MayGrant(cold, true) && all[0].MayPick(cold), qt.IsTrue)
	c.Check(all[0].State(), qt.HasLen, 0)
}
