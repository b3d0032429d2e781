package prober

import (
	"context"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/assessor"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// period is the time between two probes of a server that could not be reached.
	period = 300 * time.Millisecond
	// timeout bounds one probe; a connection takes a few milliseconds.
	timeout = 150 * time.Millisecond
)

// Servers tells of the backend servers.
type Servers interface {
	// All returns the servers that may be given work.
	All() []dragonflypass.ServerEntry
	// Server returns one of them.
	Server(id dragonflypass.ServerID) (dragonflypass.ServerEntry, bool)
}

// Prober probes servers.
type Prober struct {
	Timer    dragonflypass.Timer
	Pool     dragonflypass.Pool
	Backend  dragonflypass.Backend
	Servers  Servers
	Assessor *assessor.Assessor
	Meter    dragonflypass.Meter

	mutex locker.Mutex
	// probed is the instant of the last probe of each server.
	probed map[dragonflypass.ServerID]time.Time
}

// New returns a prober that has probed nothing.
func New() *Prober {
	return &Prober{mutex: locker.Mutex{Order: locker.Claims}, probed: make(map[dragonflypass.ServerID]time.Time)}
}

// Run probes the servers that could not be reached until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	stop := p.Timer.Every(dragonflypass.JobProbe, period, p.Tick)
	defer stop()
	<-ctx.Done()
}

// Tick probes the servers that could not be reached and forgets those that are gone.
func (p *Prober) Tick(context.Context) {
	entries := p.Servers.All()
	listed := make(map[dragonflypass.ServerID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
		if p.Assessor.Unreachable(entry.ID) {
			p.probe(entry)
		}
	}
	p.mutex.Lock()
	for id := range p.probed {
		if !listed[id] {
			delete(p.probed, id)
		}
	}
	p.mutex.Unlock()
	p.Assessor.Retain(listed)
}

// ProbeZone probes all servers of the zone, one of which could not be reached.
func (p *Prober) ProbeZone(zone dragonflypass.AvailabilityZone) {
	for _, entry := range p.Servers.All() {
		if entry.Zone == zone {
			p.probe(entry)
		}
	}
}

// ProbeServer probes the server.
func (p *Prober) ProbeServer(id dragonflypass.ServerID) {
	if entry, ok := p.Servers.Server(id); ok {
		p.probe(entry)
	}
}

// ProbeAll probes all servers, as when another VM fell silent.
func (p *Prober) ProbeAll() {
	for _, entry := range p.Servers.All() {
		p.probe(entry)
	}
}

// probe has a worker probe the server, unless that was done a moment ago.
func (p *Prober) probe(entry dragonflypass.ServerEntry) {
	now := p.Timer.Now()
	p.mutex.Lock()
	recent := now.Sub(p.probed[entry.ID]) < period*9/10
	if !recent {
		p.probed[entry.ID] = now
	}
	p.mutex.Unlock()
	if recent {
		return
	}
	p.Pool.Submit(dragonflypass.JobProbe, func(ctx context.Context) {
		ctx, cancel := p.Timer.WithDeadline(ctx, p.Timer.Now().Add(timeout))
		defer cancel()
		p.Meter.Add(dragonflypass.CountServerProbes, 1)
		p.Assessor.RecordProbe(entry.ID, p.Backend.Probe(ctx, entry.Address) == nil)
	})
}
