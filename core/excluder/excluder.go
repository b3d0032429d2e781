package excluder

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
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

	mutex   locker.Mutex
	records map[dragonflypass.ServerID]*record
}

// record holds what a server has said.
type record struct {
	instance Instance
	leaving  bool
	// obsoleteSince is the time at which the instance was first found not to be listed, zero while it is listed.
	obsoleteSince time.Time
}

// New returns an excluder without notices.
func New() *Excluder {
	return &Excluder{mutex: locker.Mutex{Order: locker.Suspects}, records: make(map[dragonflypass.ServerID]*record)}
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
	if !notice.Leaving {
		return
	}
	e.mutex.Lock()
	r, ok := e.records[instance.Server]
	if !ok {
		r = &record{}
		e.records[instance.Server] = r
	}
	known := r.leaving && r.instance == instance
	r.instance, r.leaving = instance, true
	e.mutex.Unlock()
	if !known {
		e.Meter.Add(dragonflypass.CountServerLeaving, 1)
		e.Logger.Info("backend server leaving", "server", instance.Server, "address", instance.Address, "born", instance.StartedAt)
	}
}

// Leaving reports whether the server at the address has said that it leaves, and has not restarted since.
func (e *Excluder) Leaving(id dragonflypass.ServerID, address netip.AddrPort) bool {
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
	return e.Leaving(id, address)
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

// Sweep removes the notices of instances that have not been listed for some time.
func (e *Excluder) Sweep(context.Context) {
	now := e.Timer.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for id, r := range e.records {
		entry, listed := e.Servers.Server(id)
		switch {
		case listed && InstanceOf(entry) == r.instance:
			r.obsoleteSince = time.Time{}
		case r.obsoleteSince.IsZero():
			r.obsoleteSince = now
		case now.Sub(r.obsoleteSince) > retention:
			delete(e.records, id)
		}
	}
}

// ServerState is what a backend server has said, for a state dump.
type ServerState struct {
	Server    dragonflypass.ServerID
	Address   netip.AddrPort
	StartedAt int64
	Leaving   bool
}

// State returns what the servers have said, sorted by identifier.
func (e *Excluder) State() []ServerState {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	states := make([]ServerState, 0, len(e.records))
	for id, r := range e.records {
		states = append(states, ServerState{Server: id, Address: r.instance.Address, StartedAt: r.instance.StartedAt, Leaving: r.leaving})
	}
	slices.SortFunc(states, func(x, y ServerState) int { return cmp.Compare(x.Server, y.Server) })
	return states
}
