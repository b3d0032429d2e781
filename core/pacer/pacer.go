package pacer

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// MinPace and MaxPace bound the pace of a server.
	MinPace = 0.5
	MaxPace = 8
	// unusedPace is the pace down to which, and up to whose reciprocal, a server counts as having the usual speed: predictions
	// are off by that much at servers without any fault.
	unusedPace = 1.15
	// weight is the weight of an observation, and shiftedWeight the weight from shiftCount successive observations on that all
	// show a slower, or a faster, server than known.
	weight        = 0.15
	shiftedWeight = 0.4
	shiftCount    = 3
	// maxStep bounds the difference between an observation and what is known, in powers of two, so that a single odd one does
	// not make a server slow.
	maxStep = 1.5
	// minShift is the difference, in powers of two, from which successive observations count as a shift.
	minShift = 0.4
	// A pace is kept without an observation for newsIntervals of the usual time between two observations, but at least
	// minNewsTime and at most maxNewsTime; after that it halves, in powers of two, every halfLife, so that a server that is
	// avoided because it was slow is tried again. An entry VM of a large fleet sends a plain server a request every ten seconds.
	newsIntervals = 3
	minNewsTime   = 5 * time.Second
	maxNewsTime   = 45 * time.Second
	halfLife      = 10 * time.Second
	// retention is the time after which a server that is no longer observed is forgotten.
	retention = 5 * time.Minute
	// referenceInterval is the time between two calculations of the usual pace of a service, and referenceServers the number
	// of recently observed servers that it needs. The usual pace corrects predictions that are off for all servers alike, by
	// at most maxReference in powers of two: beyond that, the servers are slow together, as in an overloaded zone.
	referenceInterval = 500 * time.Millisecond
	referenceServers  = 3
	referenceAge      = time.Minute
	maxReference      = 0.32
	// SlowPace is the pace from which a server is logged as slow, and recoveredPace that below which it no longer is.
	SlowPace      = 1.5
	recoveredPace = 1.2
	// sweepInterval is the time between two checks for servers that have aged back to the usual pace.
	sweepInterval = time.Second
)

// Pacer keeps the paces of the servers. The pace of a server is the factor by which it is slower than predicted.
type Pacer struct {
	Timer  dragonflypass.Timer
	Logger dragonflypass.Logger
	// Shared reports whether other VMs send requests to the servers of the service too, so that the paces are reported to them.
	Shared func(service dragonflypass.ServiceID) bool

	mutex    locker.Mutex
	servers  map[dragonflypass.ServerID]*pace
	services map[dragonflypass.ServiceID]*reference
	// buffer is reused to calculate medians.
	buffer []float64
}

// pace is the pace of one server, in powers of two.
type pace struct {
	service   dragonflypass.ServiceID
	zone      dragonflypass.AvailabilityZone
	startedAt int64
	value     float64
	updatedAt time.Time
	// interval is the usual time between two observations.
	interval time.Duration
	// shifted is the number of successive observations above the value, negative if below.
	shifted int
	// slow is set while the server is logged as slow.
	slow bool
	// recent are this VM's latest observations, and shares those that other VMs have reported.
	recent recentPace
	shares []share
	// shared is the sum of the shares, as of some time ago.
	shared recentPace
}

// reference is the usual pace of the servers of a service, in powers of two.
type reference struct {
	value        float64
	calculatedAt time.Time
	// deviation is the mean deviation of single observations from the pace of their server.
	deviation float64
}

// New returns a pacer that knows of no server.
func New() *Pacer {
	return &Pacer{
		Shared: func(dragonflypass.ServiceID) bool { return false },
		mutex:  locker.Mutex{Order: locker.Loads}, servers: make(map[dragonflypass.ServerID]*pace), services: make(map[dragonflypass.ServiceID]*reference),
	}
}

// Run checks the paces at regular intervals until ctx ends.
func (p *Pacer) Run(ctx context.Context) {
	stop := p.Timer.Every(dragonflypass.JobSweep, sweepInterval, p.Sweep)
	defer stop()
	<-ctx.Done()
}

// aged returns the value of this VM's own observations as of now, which returns to zero without any.
func (s *pace) aged(now time.Time) float64 {
	age := now.Sub(s.updatedAt) - max(minNewsTime, min(maxNewsTime, newsIntervals*s.interval))
	if age <= 0 {
		return s.value
	}
	return s.value * math.Exp2(-age.Seconds()/halfLife.Seconds())
}

// Pace returns the factor by which the server is slower than predicted, 1 if nothing is known.
func (p *Pacer) Pace(entry *dragonflypass.ServerEntry) float64 {
	p.mutex.Lock()
	s, ok := p.servers[entry.ID]
	if !ok || s.startedAt != entry.StartedAt {
		p.mutex.Unlock()
		return 1
	}
	factor := p.factor(s, p.Timer.Now())
	p.mutex.Unlock()
	return factor
}

// factor returns the pace of the server. The mutex must be held.
func (p *Pacer) factor(s *pace, now time.Time) float64 {
	r := p.reference(s.service)
	factor := math.Exp2(s.combined(r, now) - r.value)
	if factor < unusedPace && factor > 1/unusedPace {
		return 1
	}
	return max(MinPace, min(MaxPace, factor))
}

// Record adds an observation of the server: ratio is the time that something took there, divided by the time predicted
// for a server of the usual speed. share is the share of the observation that concerns this server: less than 1 if others took part.
func (p *Pacer) Record(entry *dragonflypass.ServerEntry, ratio, share float64) {
	if ok := ratio > 0 && !math.IsInf(ratio, 1); !ok {
		return
	}
	now := p.Timer.Now()
	p.mutex.Lock()
	s, ok := p.servers[entry.ID]
	if !ok || s.startedAt != entry.StartedAt {
		// A restarted server starts anew. If the earlier instance was slow, its recovery is logged.
		s = &pace{service: entry.Service, zone: entry.Zone, startedAt: entry.StartedAt, updatedAt: now, slow: ok && s.slow}
		p.servers[entry.ID] = s
	}
	if share >= 1 {
		// Under overload, doubtful observations that all VMs share make them all avoid the same server at the same time.
		s.recent.add(math.Log2(ratio), now)
		r := p.reference(s.service)
		deviation := min(maxObserved, math.Abs(math.Log2(ratio)-s.combined(r, now)))
		r.deviation += deviationWeight * (deviation - r.deviation)
	}
	s.record(math.Log2(ratio), share, now)
	p.updateReference(s.service, now)
	line := p.checkSlow(entry.ID, s, now)
	p.mutex.Unlock()
	p.log(line)
}

// record adds an observation in powers of two.
func (s *pace) record(value, share float64, now time.Time) {
	s.value = s.aged(now)
	s.interval += time.Duration(weight * float64(min(maxNewsTime, now.Sub(s.updatedAt))-s.interval))
	s.updatedAt = now
	deviation := value - s.value
	switch {
	case deviation >= minShift:
		s.shifted = max(0, s.shifted) + 1
	case deviation <= -minShift:
		s.shifted = min(0, s.shifted) - 1
	default:
		s.shifted = 0
	}
	w := weight
	if s.shifted >= shiftCount || s.shifted <= -shiftCount {
		w = shiftedWeight
	}
	s.value += share * w * max(-maxStep, min(maxStep, deviation))
	limit := math.Log2(MaxPace) + maxReference
	s.value = max(-limit, min(limit, s.value))
}

// reference returns the reference of the service. The mutex must be held.
func (p *Pacer) reference(service dragonflypass.ServiceID) *reference {
	r, ok := p.services[service]
	if !ok {
		r = &reference{deviation: initialDeviation}
		p.services[service] = r
	}
	return r
}

// updateReference calculates the usual pace of the service if that is due. The mutex must be held.
func (p *Pacer) updateReference(service dragonflypass.ServiceID, now time.Time) {
	r := p.reference(service)
	if !r.calculatedAt.IsZero() && now.Sub(r.calculatedAt) < referenceInterval {
		return
	}
	r.calculatedAt = now
	values := p.buffer[:0]
	for _, s := range p.servers {
		if s.service == service && now.Sub(s.updatedAt) < referenceAge {
			values = append(values, s.combined(r, now))
		}
	}
	p.buffer = values
	r.value = 0
	if len(values) >= referenceServers {
		slices.Sort(values)
		r.value = max(-maxReference, min(maxReference, values[(len(values)-1)/2]))
	}
}

// ServerPace is the pace of a slow server.
type ServerPace struct {
	Server  dragonflypass.ServerID
	Service dragonflypass.ServiceID
	Zone    dragonflypass.AvailabilityZone
	Pace    float64
	// Slow is set while the server is slow, and not set when it has recovered.
	Slow bool
}

// checkSlow returns a line for the log if the server has become slow or has recovered, else nil. The mutex must be held.
func (p *Pacer) checkSlow(id dragonflypass.ServerID, s *pace, now time.Time) *ServerPace {
	factor := p.factor(s, now)
	if slow := factor >= SlowPace; s.slow == slow || s.slow && factor > recoveredPace {
		return nil
	}
	s.slow = !s.slow
	return &ServerPace{Server: id, Service: s.service, Zone: s.zone, Pace: factor, Slow: s.slow}
}

// log logs the line; no lock may be held.
func (p *Pacer) log(line *ServerPace) {
	switch {
	case line == nil:
	case line.Slow:
		p.Logger.Info("backend server slow", "server", line.Server, "service", line.Service, "zone", line.Zone, "pace", line.Pace)
	default:
		p.Logger.Info("backend server no longer slow", "server", line.Server, "service", line.Service, "zone", line.Zone, "pace", line.Pace)
	}
}

// Sweep forgets servers that are no longer observed, and logs those whose pace has aged back.
func (p *Pacer) Sweep(context.Context) {
	now := p.Timer.Now()
	var lines []*ServerPace
	p.mutex.Lock()
	for id, s := range p.servers {
		if line := p.checkSlow(id, s, now); line != nil {
			lines = append(lines, line)
		}
		if now.Sub(s.updatedAt) > retention {
			delete(p.servers, id)
		}
	}
	p.mutex.Unlock()
	for _, line := range lines {
		p.log(line)
	}
}

// SlowServers returns the servers that are slow now, sorted by identifier.
func (p *Pacer) SlowServers() []ServerPace {
	now := p.Timer.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var slow []ServerPace
	for id, s := range p.servers {
		if s.slow {
			slow = append(slow, ServerPace{Server: id, Service: s.service, Zone: s.zone, Pace: p.factor(s, now), Slow: true})
		}
	}
	slices.SortFunc(slow, func(x, y ServerPace) int { return cmp.Compare(x.Server, y.Server) })
	return slow
}
