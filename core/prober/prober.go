package prober

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// smallFleet is the number of VMs up to which each of them probes at the full rate. Above it, the interval of a VM
	// that is not responsible for the server grows with the fleet, up to maxProbeInterval.
	smallFleet       = 16
	maxProbeInterval = 5 * time.Second
	// sampleBudget is the number of probes that one failure may cause in the fleet if all VMs notice it.
	sampleBudget = 64
	// sampleInterval is the minimum time between two samples of the same zone in a fleet that is not small.
	sampleInterval = 2 * time.Second
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
	// FleetSize returns the number of VMs, which share the work of probing.
	FleetSize func() int
	// Responsible reports whether this VM must find out quickly when the server is reachable again.
	Responsible func(server dragonflypass.ServerEntry) bool

	mutex locker.Mutex
	// lastProbes holds the time of the last probe of each server.
	lastProbes map[dragonflypass.ServerID]time.Time
	// lastSamples holds the time of the last sample of each zone.
	lastSamples map[dragonflypass.AvailabilityZone]time.Time
}

// New returns a prober without any recorded probes.
func New() *Prober {
	return &Prober{
		FleetSize: func() int { return 1 }, Responsible: func(dragonflypass.ServerEntry) bool { return true },
		mutex: locker.Mutex{Order: locker.Claims}, lastProbes: make(map[dragonflypass.ServerID]time.Time),
		lastSamples: make(map[dragonflypass.AvailabilityZone]time.Time),
	}
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
			p.submitProbe(entry, p.interval(entry))
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

// ProbeSample probes servers of the zone, in random order; it is called when one of them or a VM there could not be
// reached, which may be the failure of the whole zone. The number of probes shrinks as the fleet grows.
func (p *Prober) ProbeSample(zone dragonflypass.AvailabilityZone) {
	entries := slices.DeleteFunc(p.Servers.All(), func(entry dragonflypass.ServerEntry) bool { return entry.Zone != zone })
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	fleet := max(1, p.FleetSize())
	if fleet > smallFleet && !p.startSample(zone) {
		return
	}
	limit := max(1, sampleBudget/fleet)
	for _, entry := range entries[:min(limit, len(entries))] {
		p.submitProbe(entry, probeInterval)
	}
}

// startSample reports whether a sample of the zone may start, and records its start.
func (p *Prober) startSample(zone dragonflypass.AvailabilityZone) bool {
	now := p.Timer.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if now.Sub(p.lastSamples[zone]) < sampleInterval {
		return false
	}
	p.lastSamples[zone] = now
	return true
}

// ProbeServer probes one server and ignores an unknown ID.
func (p *Prober) ProbeServer(id dragonflypass.ServerID) {
	if entry, ok := p.Servers.Server(id); ok {
		p.submitProbe(entry, probeInterval)
	}
}

// interval returns the time between two probes of an unreachable server.
func (p *Prober) interval(entry dragonflypass.ServerEntry) time.Duration {
	fleet := p.FleetSize()
	if fleet <= smallFleet || p.Responsible(entry) {
		return probeInterval
	}
	return min(maxProbeInterval, probeInterval*time.Duration(fleet)/smallFleet)
}

// submitProbe queues a probe of the server unless the last one started less than 0.9 intervals ago.
func (p *Prober) submitProbe(entry dragonflypass.ServerEntry, interval time.Duration) {
	now := p.Timer.Now()
	p.mutex.Lock()
	recent := now.Sub(p.lastProbes[entry.ID]) < interval*9/10
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
