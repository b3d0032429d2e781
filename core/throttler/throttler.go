package throttler

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// window is the time over which the limit of a second is applied. It is longer than a second because requests that were
	// sent evenly arrive up to 100 ms apart from that: they wait for connections and for memory at helpers.
	window = 1100 * time.Millisecond
	// PredecessorTime is the time after a change of owner in which the predecessor's requests count as using the whole limit.
	PredecessorTime = window
	// ownerCount is the number of VMs that may grant permits for a server at the same time: in a partition, or while some VMs
	// consider the owner unresponsive, two do. Each gets an equal share of the limit.
	ownerCount = 2
	// rampTime is the time after the warm-up over which the interval between requests shrinks to nothing. What a server says
	// about its warm-up is somewhat old, and its queue should not fill at once.
	rampTime = time.Second
	// maxReported limits the warm-up time that a server may report, as a multiple of the configured one.
	maxReported = 10
	// fleetTime is the time from the start of this VM until it knows the number of VMs: they exchange heartbeats each 300 ms.
	fleetTime = 2 * time.Second
	// sweepInterval is the time between two refreshes.
	sweepInterval = time.Second
	// registryTime is the time within which a server that has restarted is registered again, and all VMs have read its entry.
	registryTime = 1500 * time.Millisecond
	// retention is how long the record of a server that is no longer listed is kept, so that a server that is missing from the
	// registry for a time does not count as just started.
	retention = time.Hour
)

// Policy is the limit of a service.
type Policy struct {
	// Rate is the number of requests per second that a server tolerates while it warms up, zero for no limit.
	Rate float64
	// Duration is the time from the start of a server until it has warmed up.
	Duration time.Duration
	// Granted is set if owners grant permits for the servers; otherwise each VM chooses a server for its requests.
	Granted bool
}

// Throttler knows which servers are warming up and when they may receive the next request from this VM.
type Throttler struct {
	Timer  dragonflypass.Timer
	Meter  dragonflypass.Meter
	Logger dragonflypass.Logger
	// Policy returns the limit of the service. It is called with the mutex held.
	Policy func(service dragonflypass.ServiceID) Policy
	// Overshoot and Slack extend the limit over a second to Rate*Overshoot + Slack, which holds for all VMs together.
	Overshoot float64
	Slack     float64
	// VMs returns the number of entry VMs.
	VMs func() int
	// Loaded reports whether the registry has been read: servers that are listed then have not just started.
	Loaded func() bool

	mutex   locker.Mutex
	servers map[dragonflypass.ServerID]*record
	// vms is the number of entry VMs, and pickFrom the time from which it is known well enough to share a limit by it.
	vms      int
	pickFrom time.Time
	// activeUntil is the latest end of a warm-up with its ramp, in nanoseconds since 1970. No lock is taken after it.
	activeUntil atomic.Int64
}

// record is what this VM knows of one server.
type record struct {
	id        dragonflypass.ServerID
	service   dragonflypass.ServiceID
	address   netip.AddrPort
	startedAt int64
	// firstSeen is the time from which the warm-up is counted if the server reports nothing.
	firstSeen time.Time
	// reportedUntil is the latest end of the warm-up that the server has reported, zero if it has reported none.
	reportedUntil time.Time
	// suspectedUntil is the time until which the server may have restarted without a new entry in the registry.
	suspectedUntil time.Time
	// removedAt is the time at which the server was removed from the registry, zero while it is listed.
	removedAt time.Time
	// sentAt is the time of the last request that this VM has sent while the server warms up, or the offset of the first one.
	sentAt time.Time
	// knownUntil is the end of the warm-up when it was last logged.
	knownUntil time.Time
}

// New returns a throttler that knows no server.
func New() *Throttler {
	return &Throttler{
		Overshoot: 1, VMs: func() int { return 1 }, Loaded: func() bool { return true }, vms: 1,
		mutex: locker.Mutex{Order: locker.Suspects}, servers: make(map[dragonflypass.ServerID]*record),
	}
}

// Run refreshes what is derived from the fleet and the route table periodically until ctx ends.
func (t *Throttler) Run(ctx context.Context) {
	t.mutex.Lock()
	t.pickFrom = t.Timer.Now().Add(fleetTime)
	t.mutex.Unlock()
	stop := t.Timer.Every(dragonflypass.JobSweep, sweepInterval, func(context.Context) { t.Refresh() })
	defer stop()
	<-ctx.Done()
}

// Refresh reads the number of VMs and the policies anew, and removes the records of servers that have not been listed for long.
func (t *Throttler) Refresh() {
	now, vms := t.Timer.Now(), t.VMs()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.vms = max(1, vms)
	for id, r := range t.servers {
		if !r.removedAt.IsZero() && now.Sub(r.removedAt) > retention {
			delete(t.servers, id)
			continue
		}
		t.activate(r, now)
	}
}

// ApplyUpdates applies changes of the registry. It must be called before the servers of the changes are chosen.
func (t *Throttler) ApplyUpdates(updates []dragonflypass.Update) {
	now, uptime, loaded := t.Timer.Now(), t.Timer.Uptime(), t.Loaded()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, update := range updates {
		if update.Server == nil {
			if r, ok := t.servers[dragonflypass.ServerID(update.Key)]; ok {
				r.removedAt = now
			}
			continue
		}
		r := t.recordOf(update.Server, now, loaded)
		// The entry is at least as old as the read that returned it.
		t.report(r, now.Add(update.ReadAt-uptime), update.Server.WarmupTime)
		t.activate(r, now)
	}
}

// recordOf returns the record of the listed server, which is a new one if the server has started again. The mutex must be held.
func (t *Throttler) recordOf(server *dragonflypass.ServerEntry, now time.Time, loaded bool) *record {
	r, ok := t.servers[server.ID]
	if ok && r.address == server.Address && r.startedAt == server.StartedAt {
		r.removedAt = time.Time{}
		return r
	}
	old := r
	r = &record{id: server.ID, service: server.Service, address: server.Address, startedAt: server.StartedAt, firstSeen: now}
	if ok {
		// The server may have been suspected to have restarted, and have received requests since.
		r.sentAt, r.knownUntil = old.sentAt, old.knownUntil
	}
	if startedAt := time.UnixMilli(server.StartedAt); !loaded && startedAt.Before(now) {
		// This VM has just started, not the server. The clock of the server may differ, but nothing better is known.
		r.firstSeen = startedAt
	}
	t.servers[server.ID] = r
	return r
}

// report records the remaining warm-up time that the server stated at the given time. The mutex must be held.
func (t *Throttler) report(r *record, at time.Time, left time.Duration) {
	if left <= 0 {
		return
	}
	if usual := t.Policy(r.service).Duration; usual > 0 {
		left = min(left, maxReported*usual)
	}
	if until := at.Add(left); until.After(r.reportedUntil) {
		r.reportedUntil = until
	}
}

// RecordReport records the remaining warm-up time that a response of the server at the address states.
func (t *Throttler) RecordReport(id dragonflypass.ServerID, address netip.AddrPort, left time.Duration) {
	if left <= 0 {
		return
	}
	now := t.Timer.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if r, ok := t.servers[id]; ok && r.address == address {
		t.report(r, now, left)
		t.activate(r, now)
	}
}

// RecordReached records that the server is reachable again. It may have restarted, which the registry says some time later.
func (t *Throttler) RecordReached(id dragonflypass.ServerID) {
	now := t.Timer.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if r, ok := t.servers[id]; ok {
		r.suspectedUntil = now.Add(registryTime)
		t.activate(r, now)
	}
}

// activate extends the time in which the records are looked up by the warm-up of the server, and logs the warm-up once. The
// mutex must be held.
func (t *Throttler) activate(r *record, now time.Time) {
	p := t.Policy(r.service)
	until := r.coldUntil(p)
	if p.Rate <= 0 || !now.Before(until) {
		return
	}
	if end := until.Add(rampTime).UnixNano(); end > t.activeUntil.Load() {
		t.activeUntil.Store(end)
	}
	if until.Sub(r.knownUntil) < rampTime {
		return
	}
	if !now.Before(r.knownUntil) {
		r.sentAt = time.Time{}
		t.Logger.Info("backend server warming up", "server", r.id, "service", r.service, "span", until.Sub(now), "interval", t.interval(p))
	}
	r.knownUntil = until
}

// coldUntil returns the end of the server's warm-up, which may be in the past.
func (r *record) coldUntil(p Policy) time.Time {
	until := r.reportedUntil
	if until.IsZero() {
		until = r.firstSeen.Add(p.Duration)
	}
	if r.suspectedUntil.After(until) {
		return r.suspectedUntil
	}
	return until
}

// interval returns the time between two requests of this VM to a server that warms up. It leaves each of ownerCount owners,
// or each of ownerCount parts of a divided fleet, an equal share of the limit. The mutex must be held.
func (t *Throttler) interval(p Policy) time.Duration {
	share := min(p.Rate, (p.Rate*t.Overshoot+t.Slack)/ownerCount)
	if share >= 1 {
		share = math.Floor(share)
	}
	// A window of whole intervals contains one request more than intervals if it includes both of its ends.
	interval := time.Duration(float64(window)/share) + time.Millisecond
	if !p.Granted {
		interval *= time.Duration(t.vms)
	}
	return interval
}

// Active reports whether any server is warming up or was until recently.
func (t *Throttler) Active() bool { return t.Timer.Now().UnixNano() < t.activeUntil.Load() }

// MayGrant reports whether the owner on this VM may grant a permit for the server now. If denied is set, it may not while the
// server warms up.
func (t *Throttler) MayGrant(server dragonflypass.ServerEntry, denied bool) bool {
	return !t.Active() || t.wait(&server, func(Policy, time.Time) bool { return denied }) <= 0
}

// MayPick reports whether this VM may send a request without a permit to the server now.
func (t *Throttler) MayPick(server dragonflypass.ServerEntry) bool {
	return !t.Active() || t.wait(&server, t.pickDenied) <= 0
}

// pickDenied reports whether this VM may send no requests without permits to a server that warms up: the owners of servers
// with permits use their whole limit. The mutex must be held.
func (t *Throttler) pickDenied(p Policy, now time.Time) bool {
	return p.Granted || now.Before(t.pickFrom)
}

// Wait returns the time until this VM may send a request without a permit to one of the servers, zero if it may now.
func (t *Throttler) Wait(servers []dragonflypass.ServerEntry) (shortest time.Duration) {
	if !t.Active() {
		return 0
	}
	for i := range servers {
		wait := max(0, t.wait(&servers[i], t.pickDenied))
		if i == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// wait returns the time until the server may receive a request from this VM, zero or less if it may now.
func (t *Throttler) wait(server *dragonflypass.ServerEntry, denied func(Policy, time.Time) bool) time.Duration {
	now := t.Timer.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r, ok := t.servers[server.ID]
	if !ok || r.address != server.Address {
		return 0
	}
	p := t.Policy(r.service)
	if p.Rate <= 0 {
		return 0
	}
	sinceEnd := now.Sub(r.coldUntil(p))
	switch {
	case sinceEnd >= rampTime:
		return 0
	case sinceEnd < 0 && denied(p, now):
		return -sinceEnd
	}
	interval := t.interval(p)
	if r.sentAt.IsZero() && !p.Granted {
		// The VMs learn of the start at the same time. Without an offset, each would send its first request at once.
		r.sentAt = now.Add(-rand.N(interval))
	}
	if sinceEnd > 0 {
		interval = time.Duration(float64(interval) * (1 - float64(sinceEnd)/float64(rampTime)))
	}
	return r.sentAt.Add(interval).Sub(now)
}

// RecordSent records that a request is about to be sent to the server.
func (t *Throttler) RecordSent(server dragonflypass.ServerEntry) {
	if !t.Active() {
		return
	}
	now := t.Timer.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r, ok := t.servers[server.ID]
	if !ok || r.address != server.Address {
		return
	}
	r.sentAt = now
	if p := t.Policy(r.service); p.Rate > 0 && now.Before(r.coldUntil(p)) {
		t.Meter.Add(dragonflypass.CountColdRequest, 1)
	}
}

// ServerState is a server that warms up, for a state dump.
type ServerState struct {
	Server dragonflypass.ServerID
	// Until is the end of the warm-up as far as this VM knows.
	Until time.Time
}

// State returns the servers that are warming up, sorted by identifier.
func (t *Throttler) State() []ServerState {
	now := t.Timer.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var states []ServerState
	for _, r := range t.servers {
		if p := t.Policy(r.service); p.Rate > 0 && now.Before(r.coldUntil(p)) {
			states = append(states, ServerState{Server: r.id, Until: r.coldUntil(p)})
		}
	}
	slices.SortFunc(states, func(x, y ServerState) int { return cmp.Compare(x.Server, y.Server) })
	return states
}
