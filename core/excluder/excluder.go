package excluder

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// sweepInterval is the time between two sweeps of the notices.
	sweepInterval = time.Second
	// retention is how long the notice of a server that is no longer listed, or has restarted, is kept: the owner of a
	// permit may read the registry later than this VM.
	retention = time.Minute
)

// Servers lists the backend servers.
type Servers interface {
	// All returns the servers that are eligible for requests.
	All() []dragonflypass.ServerEntry
	// Server returns the server with the ID and whether it is listed.
	Server(id dragonflypass.ServerID) (dragonflypass.ServerEntry, bool)
}

// Instance is one run of a backend server's process: after a restart, the start time or the address differs.
type Instance struct {
	Server dragonflypass.ServerID
	// Service is empty and StartedAt zero if the server was not listed.
	Service   dragonflypass.ServiceID
	Address   netip.AddrPort
	StartedAt int64
}

// InstanceOf returns the instance that the registry entry describes.
func InstanceOf(entry dragonflypass.ServerEntry) Instance {
	return Instance{Server: entry.ID, Service: entry.Service, Address: entry.Address, StartedAt: entry.StartedAt}
}

// Excluder keeps the notices of the backend servers.
type Excluder struct {
	Timer   dragonflypass.Timer
	Servers Servers
	Meter   dragonflypass.Meter
	Logger  dragonflypass.Logger
	// WarmupReported is called with the remaining warm-up time that an instance has stated, with no lock held.
	WarmupReported func(instance Instance, left time.Duration)

	mutex   locker.Mutex
	records map[dragonflypass.ServerID]*record
	// count is the number of records: usually there is none, and no lock is taken for each server that is considered.
	count atomic.Int64
}

// record holds what a server has said.
type record struct {
	// instance is the one that leaves if leaving is set, else the one that gave the first notice.
	instance Instance
	leaving  bool
	// deferredUntil is the end of the time for which the server wants no requests, also after a restart.
	deferredUntil time.Time
	// obsoleteSince is the time at which the instance was first found not to be listed, zero while it is listed.
	obsoleteSince time.Time
}

// New returns an excluder without notices.
func New() *Excluder {
	return &Excluder{
		WarmupReported: func(Instance, time.Duration) {},
		mutex:          locker.Mutex{Order: locker.Suspects}, records: make(map[dragonflypass.ServerID]*record),
	}
}

// Run removes obsolete notices periodically until ctx ends.
func (e *Excluder) Run(ctx context.Context) {
	stop := e.Timer.Every(dragonflypass.JobSweep, sweepInterval, e.Sweep)
	defer stop()
	<-ctx.Done()
}

// Instance returns the instance of the server that is reached at the address now. It is determined before a request is
// sent, since the server may have restarted by the time of the response.
func (e *Excluder) Instance(id dragonflypass.ServerID, address netip.AddrPort) Instance {
	if entry, ok := e.Servers.Server(id); ok && entry.Address == address {
		return InstanceOf(entry)
	}
	return Instance{Server: id, Address: address}
}

// InstanceAt returns the listed server with the address, and whether there is one.
func (e *Excluder) InstanceAt(address netip.AddrPort) (Instance, bool) {
	for _, entry := range e.Servers.All() {
		if entry.Address == address {
			return InstanceOf(entry), true
		}
	}
	return Instance{}, false
}

// Record records the notice of the instance.
func (e *Excluder) Record(instance Instance, notice dragonflypass.ServerNotice) {
	if notice.WarmupTime > 0 {
		e.WarmupReported(instance, notice.WarmupTime)
	}
	if !notice.Leaving && notice.RetryAfter <= 0 {
		return
	}
	now := e.Timer.Now()
	e.mutex.Lock()
	r, ok := e.records[instance.Server]
	if !ok {
		r = &record{instance: instance}
		e.records[instance.Server] = r
		e.count.Add(1)
	}
	if until := now.Add(notice.RetryAfter); until.After(r.deferredUntil) {
		r.deferredUntil = until
	}
	// A late response of an earlier run does not hide that the present one leaves.
	newlyLeaving := notice.Leaving && !(r.leaving && (r.instance == instance || e.listed(r.instance)))
	if newlyLeaving {
		r.instance, r.leaving = instance, true
	}
	e.mutex.Unlock()
	if notice.RetryAfter > 0 {
		e.Meter.Add(dragonflypass.CountServerDeferred, 1)
		e.Logger.Info("backend server defers requests", "server", instance.Server, "span", notice.RetryAfter)
	}
	if newlyLeaving {
		e.Meter.Add(dragonflypass.CountServerLeaving, 1)
		e.Logger.Info("backend server leaving", "server", instance.Server, "address", instance.Address, "born", instance.StartedAt)
	}
}

// listed reports whether the instance is listed.
func (e *Excluder) listed(instance Instance) bool {
	entry, ok := e.Servers.Server(instance.Server)
	return ok && InstanceOf(entry) == instance
}

// Leaving reports whether the server at the address has said that it leaves, and has not restarted since.
func (e *Excluder) Leaving(id dragonflypass.ServerID, address netip.AddrPort) bool {
	if e.count.Load() == 0 {
		return false
	}
	entry, listed := e.Servers.Server(id)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r, ok := e.records[id]
	if !ok || !r.leaving || r.instance.Address != address {
		return false
	}
	return !listed || entry.Address != address || entry.StartedAt == r.instance.StartedAt
}

// Excluded reports whether no new request may be sent to the server at the address.
func (e *Excluder) Excluded(id dragonflypass.ServerID, address netip.AddrPort) bool {
	return e.Deferred(id) > 0 || e.Leaving(id, address)
}

// Deferred returns the time for which the server wants no further requests, zero or less if it accepts them.
func (e *Excluder) Deferred(id dragonflypass.ServerID) time.Duration {
	if e.count.Load() == 0 {
		return 0
	}
	now := e.Timer.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r, ok := e.records[id]
	if !ok {
		return 0
	}
	return r.deferredUntil.Sub(now)
}

// Wait returns the time until one of the servers accepts requests, zero or less if one does now or all of them leave.
func (e *Excluder) Wait(entries []dragonflypass.ServerEntry) time.Duration {
	var shortest time.Duration
	found := false
	for _, entry := range entries {
		if e.Leaving(entry.ID, entry.Address) {
			continue
		}
		if wait := e.Deferred(entry.ID); !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest
}

// ExcludedServers returns the servers of the service that may receive no new request, sorted by identifier.
func (e *Excluder) ExcludedServers(service dragonflypass.ServiceID) []dragonflypass.ServerID {
	var excluded []dragonflypass.ServerID
	for _, instance := range e.instances() {
		entry, listed := e.Servers.Server(instance.Server)
		if !listed {
			entry.Service, entry.Address = instance.Service, instance.Address
		}
		if entry.Service == service && e.Excluded(instance.Server, entry.Address) {
			excluded = append(excluded, instance.Server)
		}
	}
	slices.Sort(excluded)
	return excluded
}

func (e *Excluder) instances() []Instance {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	instances := make([]Instance, 0, len(e.records))
	for _, r := range e.records {
		instances = append(instances, r.instance)
	}
	return instances
}

// Sweep removes the notices whose time has ended, and those of instances that have not been listed for some time.
func (e *Excluder) Sweep(context.Context) {
	now := e.Timer.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for id, r := range e.records {
		switch {
		case now.Before(r.deferredUntil):
		case !r.leaving:
			delete(e.records, id)
			e.count.Add(-1)
		case e.listed(r.instance):
			r.obsoleteSince = time.Time{}
		case r.obsoleteSince.IsZero():
			r.obsoleteSince = now
		case now.Sub(r.obsoleteSince) > retention:
			delete(e.records, id)
			e.count.Add(-1)
		}
	}
}

// ServerState is what a backend server has said, for a state dump.
type ServerState struct {
	Server    dragonflypass.ServerID
	Address   netip.AddrPort
	StartedAt int64
	Leaving   bool
	// DeferredUntil is the end of the time for which the server wants no requests.
	DeferredUntil time.Time
}

// State returns what the servers have said, sorted by identifier.
func (e *Excluder) State() []ServerState {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	states := make([]ServerState, 0, len(e.records))
	for id, r := range e.records {
		states = append(states, ServerState{Server: id, Address: r.instance.Address, StartedAt: r.instance.StartedAt, Leaving: r.leaving, DeferredUntil: r.deferredUntil})
	}
	slices.SortFunc(states, func(x, y ServerState) int { return cmp.Compare(x.Server, y.Server) })
	return states
}
