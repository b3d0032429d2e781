package prober

import (
	"context"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/assessor"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// probeInterval is the time between two probes of an unreachable server.
	probeInterval = 300 * time.Millisecond
	// probeTimeout bounds one probe; connecting normally takes a few milliseconds.
	probeTimeout = 150 * time.Millisecond
)

// Servers lists the backend servers.
type Servers interface {
	// All returns the servers that are eligible for requests.
	All() []dragonflypass.ServerEntry
	// Server returns the server with the ID and whether it is listed.
	Server(id dragonflypass.ServerID) (dragonflypass.ServerEntry, bool)
}

// Prober probes backend servers that may be unreachable.
type Prober struct {
	Timer    dragonflypass.Timer
	Pool     dragonflypass.Pool
	Backend  dragonflypass.Backend
	Servers  Servers
	Assessor *assessor.Assessor
	Meter    dragonflypass.Meter

	mutex locker.Mutex
	// lastProbes holds the time of the last probe of each server.
	lastProbes map[dragonflypass.ServerID]time.Time
}

// New returns a prober without any recorded probes.
func New() *Prober {
	return &Prober{mutex: locker.Mutex{Order: locker.Claims}, lastProbes: make(map[dragonflypass.ServerID]time.Time)}
}

// Run probes unreachable servers periodically until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	stop := p.Timer.Every(dragonflypass.JobProbe, probeInterval, p.Tick)
	defer stop()
	<-ctx.Done()
}

// Tick probes the unreachable servers and removes the state of servers that are no longer listed.
func (p *Prober) Tick(context.Context) {
	entries := p.Servers.All()
	listed := make(map[dragonflypass.ServerID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
		if p.Assessor.Unreachable(entry.ID) {
			p.submitProbe(entry)
		}
	}
	p.mutex.Lock()
	for id := range p.lastProbes {
		if !listed[id] {
			delete(p.lastProbes, id)
		}
	}
	p.mutex.Unlock()
	p.Assessor.Retain(listed)
}

// ProbeZone probes all servers of the zone; it is called when one of them could not be reached.
func (p *Prober) ProbeZone(zone dragonflypass.AvailabilityZone) {
	for _, entry := range p.Servers.All() {
		if entry.Zone == zone {
			p.submitProbe(entry)
		}
	}
}

// ProbeServer probes one server and ignores an unknown ID.
func (p *Prober) ProbeServer(id dragonflypass.ServerID) {
	if entry, ok := p.Servers.Server(id); ok {
		p.submitProbe(entry)
	}
}

// ProbeAll probes all servers; it is called when another VM does not respond.
func (p *Prober) ProbeAll() {
	for _, entry := range p.Servers.All() {
		p.submitProbe(entry)
	}
}

// submitProbe queues a probe of the server unless the last one started less than 0.9 probe intervals ago.
func (p *Prober) submitProbe(entry dragonflypass.ServerEntry) {
	now := p.Timer.Now()
	p.mutex.Lock()
	recent := now.Sub(p.lastProbes[entry.ID]) < probeInterval*9/10
	if !recent {
		p.lastProbes[entry.ID] = now
	}
	p.mutex.Unlock()
	if recent {
		return
	}
	p.Pool.Submit(dragonflypass.JobProbe, func(ctx context.Context) {
		ctx, cancel := p.Timer.WithDeadline(ctx, p.Timer.Now().Add(probeTimeout))
		defer cancel()
		p.Meter.Add(dragonflypass.CountServerProbes, 1)
		p.Assessor.RecordProbe(entry.ID, p.Backend.Probe(ctx, entry.Address) == nil)
	})
}
