package allocator

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/throttler"
)

// Throttle limits the permits for servers that are warming up.
type Throttle interface {
	// Active reports whether any server is warming up or was until recently; the other methods limit nothing otherwise.
	Active() bool
	// MayGrant reports whether a permit for the server may be granted now. If denied is set, none may while it warms up.
	MayGrant(server dragonflypass.ServerEntry, denied bool) bool
	// RecordSent records a permit for the server.
	RecordSent(server dragonflypass.ServerEntry)
}

// noThrottle limits nothing.
type noThrottle struct{}

func (noThrottle) Active() bool { return false }

func (noThrottle) MayGrant(dragonflypass.ServerEntry, bool) bool { return true }

func (noThrottle) RecordSent(dragonflypass.ServerEntry) {}

// updateThrottled determines which servers may receive no request now because they are warming up. The requests of the
// predecessor of a new owner count as using the whole limit for a time, and a VM that grants permits in place of the owners gives
// such servers nothing. The mutex must be held.
func (a *Allocator) updateThrottled(c *cluster, now time.Time) {
	active := a.Throttle.Active()
	denied := !c.ownerCandidate || now.Sub(c.ownerSince) < throttler.PredecessorTime
	for _, s := range c.serverList {
		s.throttled = active && !a.Throttle.MayGrant(s.entry, denied)
	}
}

// recordThrottled counts the permit at its servers. The mutex must be held.
func (a *Allocator) recordThrottled(p *permit) {
	if !a.Throttle.Active() {
		return
	}
	for _, s := range p.servers() {
		a.Throttle.RecordSent(s.entry)
		s.throttled = !a.Throttle.MayGrant(s.entry, false)
	}
}
