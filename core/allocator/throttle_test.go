package allocator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/throttler"
)

// coldThrottle allows permits for its server unless they are denied while it warms up, and those for others always.
type coldThrottle struct{ cold dragonflypass.ServerID }

func (t coldThrottle) Active() bool { return true }

func (t coldThrottle) MayGrant(server dragonflypass.ServerEntry, denied bool) bool {
	return server.ID != t.cold || !denied
}

func (t coldThrottle) RecordSent(dragonflypass.ServerEntry) {}

// TestColdServerOfNewOwner guards against permits for a server that is warming up, as the only server or a helper, by a new owner
// that does not know its predecessor's, or by a VM that grants permits in place of the owners.
func TestColdServerOfNewOwner(t *testing.T) {
	for _, candidate := range []bool{true, false} {
		c := qt.New(t)
		o := newOwner(1)
		o.Throttle, o.OwnerCandidate = coldThrottle{cold: "s-0"}, func(dragonflypass.Shard) bool { return candidate }
		id, _ := o.request("vm-1", 500, time.Second, 30*time.Second)
		o.advance(throttler.PredecessorTime - 20*time.Millisecond)
		c.Check(o.results[id], qt.Equals, 0)
		o.advance(100 * time.Millisecond)
		_, granted := o.permits[id]
		c.Check(granted, qt.Equals, candidate)
		c.Check(o.refusals, qt.HasLen, 0)
	}
	c := qt.New(t)
	o := newOwner(4)
	o.Throttle = coldThrottle{cold: "s-2"}
	id, _ := o.request("vm-1", 60_000, time.Second, 30*time.Second)
	o.advance(500 * time.Millisecond)
	permit, ok := o.permits[id]
	c.Assert(ok && permit.Server != "s-2" && len(permit.Helpers) > 0, qt.IsTrue)
	for _, h := range permit.Helpers {
		c.Check(h.Server, qt.Not(qt.Equals), dragonflypass.ServerID("s-2"))
	}
}
