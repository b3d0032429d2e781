package composer

import (
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/excluder"
	"github.com/dragonflypass/dragonflypass/core/throttler"
)

const (
	// coldOwners is the number of the first candidates for the owner of a shard that may grant permits for servers that are
	// warming up: they share the limit. Others grant permits only if these do not respond, and give such servers nothing.
	coldOwners = 2
	// warmupTolerance is the difference between two ends of a warm-up above which they are different ones. A server states the
	// remaining time, and its entry is read up to this time later.
	warmupTolerance = 500 * time.Millisecond
)

// composeThrottler builds the throttler. It applies the changes of the registry before the registrar does, so that no server
// is chosen before it is known to be warming up.
func (n *Relay) composeThrottler() {
	t := throttler.New()
	t.Timer, t.Meter, t.Logger, t.VMs, t.Loaded = n.Ports.Timer, n.Ports.Meter, n.Ports.Logger, n.Detector.FleetSize, n.Registry.Loaded
	t.Overshoot, t.Slack, t.Policy = max(1, n.Options.ColdOvershoot), n.Options.ColdSlack, n.warmupPolicy
	n.Registry.Subscribe(t.ApplyUpdates)
	n.Throttler = t
}

// connectThrottler connects the throttler to the components that choose servers.
func (n *Relay) connectThrottler() {
	t := n.Throttler
	n.Balancer.Throttler, n.Balancer.Meter, n.Allocator.Throttle = t, n.Ports.Meter, t
	n.Allocator.OwnerCandidate, n.Assessor.Reached = n.mayGrantCold, t.RecordReached
	n.Excluder.WarmupReported = func(instance excluder.Instance, left time.Duration) {
		t.RecordReport(instance.Server, instance.Address, left)
	}
	// The route table may be read after the registry.
	n.Routing.Subscribe(func([]dragonflypass.Update) { t.Refresh() })
}

// warmupPolicy returns the limit on requests to servers of the service that are warming up.
func (n *Relay) warmupPolicy(service dragonflypass.ServiceID) throttler.Policy {
	table := n.Router.Current()
	if table == nil || table.Services[service] == nil {
		return throttler.Policy{}
	}
	s := table.Services[service]
	return throttler.Policy{Rate: s.WarmupRate, Duration: s.WarmupTime, Granted: s.CostModel != nil}
}

// mayGrantCold reports whether this VM may grant permits of the shard for servers that are warming up.
func (n *Relay) mayGrantCold(shard dragonflypass.Shard) bool {
	if !n.Throttler.Active() {
		return true
	}
	candidates := n.ownerCandidates(shard)
	return slices.ContainsFunc(candidates[:min(coldOwners, len(candidates))], func(vm dragonflypass.VM) bool { return vm.ID == n.Options.Self.ID })
}

// equalServers reports whether two entries are equal. The remaining warm-up time, which changes all the time, counts only if
// requests to the servers are limited by it, and a warm-up has begun or ended.
func (n *Relay) equalServers(older, newer dragonflypass.Update) bool {
	if older.Server == nil || newer.Server == nil {
		return false
	}
	a, b := *older.Server, *newer.Server
	if n.warmupPolicy(b.Service).Rate > 0 {
		begun := b.WarmupTime > 0 && newer.ReadAt+b.WarmupTime > older.ReadAt+a.WarmupTime+warmupTolerance
		if begun || a.WarmupTime > 0 && b.WarmupTime == 0 {
			return false
		}
	}
	a.WarmupTime, b.WarmupTime = 0, 0
	return a == b
}
