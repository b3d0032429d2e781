package allocator

import (
	"context"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/assessor"
	"github.com/dragonflypass/dragonflypass/core/locker"
	"github.com/dragonflypass/dragonflypass/core/predictor"
)

const (
	// transitTime is the time from the grant of a permit until the request arrives at its server, and from an event at
	// the server until its report arrives here: two links between zones and the processing on two VMs.
	transitTime = 2 * time.Millisecond
	// leaseTime is how long a permit or a queued request stays valid without a heartbeat from its entry VM. A permit also
	// expires leaseTime after the deadline of its request.
	leaseTime = 4 * time.Second
	// overdueDelay is how long after its predicted end an unfinished prefill counts as overdue. Its remaining time is then
	// predicted as overdueFraction of the time since the grant, but at least overdueDelay.
	overdueDelay    = 100 * time.Millisecond
	overdueFraction = 0.25
	// minLoggedDeviation is the difference between the predicted and the actual time of a first token above which the
	// difference is logged.
	minLoggedDeviation = 200 * time.Millisecond
	// ownerIdleTime is the time without permit requests after which this VM counts as a new owner. A new owner grants no
	// permits for long prompts for takeoverDelay, until the other VMs have reported their open streams.
	ownerIdleTime = 2 * time.Second
	takeoverDelay = 250 * time.Millisecond
	// heartbeatGrace is how long after its grant a permit may be missing from the heartbeats of its entry VM.
	heartbeatGrace = time.Second
	// heartbeatRetention is how long the time of a VM's last heartbeat is kept.
	heartbeatRetention = time.Minute
	// sweepInterval is the time between two sweeps of queued requests and permits.
	sweepInterval = 100 * time.Millisecond
	// defaultRetryAfter is the time after which a refused client may retry.
	defaultRetryAfter = 200 * time.Millisecond
)

// Allocator grants permits for model servers.
type Allocator struct {
	Self     dragonflypass.VMID
	Timer    dragonflypass.Timer
	Meter    dragonflypass.Meter
	Logger   dragonflypass.Logger
	Assessor *assessor.Assessor
	// ServerUnreachable is called with a server that could not be reached.
	ServerUnreachable func(server dragonflypass.ServerID)
	// CostModel returns the cost model of the service's engines, nil if it is unknown.
	CostModel func(service dragonflypass.ServiceID) *dragonflypass.EngineCostModel
	// Servers returns the servers of the shard that may receive new requests.
	Servers func(shard dragonflypass.Shard) []dragonflypass.ServerEntry
	// RegistryLoaded reports whether the servers are known. Until then, requests are queued although there is no server.
	RegistryLoaded func() bool
	// Leaving reports whether the server has said that it leaves, and RecordLeaving records that another VM was told so.
	Leaving       func(server dragonflypass.ServerEntry) bool
	RecordLeaving func(server dragonflypass.ServerEntry)
	// Evacuated reports whether the servers of the zone must receive no new requests. Their running streams stay accounted for.
	Evacuated func(zone dragonflypass.AvailabilityZone) bool
	// Throttle limits the permits for servers that are warming up, and OwnerCandidate reports whether this VM may own the shard.
	Throttle       Throttle
	OwnerCandidate func(shard dragonflypass.Shard) bool
	// Pace returns the factor by which the server is slower than its cost model, by default 1. RecordPace records how much
	// longer than predicted at a pace of 1 something took at the server, and the share of the observation that concerns it.
	Pace       func(entry *dragonflypass.ServerEntry) float64
	RecordPace func(entry *dragonflypass.ServerEntry, ratio, share float64)
	// Balancer moves requests to other shards; nil if each service has a single one.
	Balancer Balancer

	mutex    locker.Mutex
	clusters map[dragonflypass.Shard]*cluster
	permits  map[dragonflypass.StreamID]*permit
	// permitsByVM holds the permits of each entry VM.
	permitsByVM map[dragonflypass.VMID]map[dragonflypass.StreamID]*permit
	// lastHeartbeats holds the time of the last heartbeat from each entry VM.
	lastHeartbeats map[dragonflypass.VMID]time.Time
}

var _ dragonflypass.Owner = (*Allocator)(nil)

// permit is a granted permit with its servers and predictions.
type permit struct {
	request dragonflypass.PermitRequest
	cluster *cluster
	server  *server
	helpers []*server
	parts   int
	// tokens is the memory that the request needs, in tokens. helperMemory is the share of it that is reserved at each
	// helper, nil if all of it is at the server.
	tokens       int
	helperMemory []int
	grantedAt    time.Time
	// firstToken is the predicted time of the first token, and initialFirstToken the prediction at the time of the grant.
	firstToken        time.Time
	initialFirstToken time.Time
	// short is set if the prompt counts as short.
	short bool
	// prefilled is set once the prompt is known to be processed.
	prefilled bool
	pace      paceObservation
	// lastReported is the time of the last heartbeat that listed the stream, or of the grant before the first one.
	lastReported time.Time
}

// queuedRequest is a request that waits for a permit.
type queuedRequest struct {
	request  dragonflypass.PermitRequest
	queuedAt time.Time
	done     func(dragonflypass.Permit, error)
	// prefillTime is the time to process the whole prompt on one server.
	prefillTime time.Duration
	// retryAt is the time before which a long prompt is not tried again.
	retryAt time.Time
}

// New returns an allocator without permits and queued requests.
func New() *Allocator {
	return &Allocator{
		RegistryLoaded: func() bool { return true },
		Leaving:        func(dragonflypass.ServerEntry) bool { return false },
		RecordLeaving:  func(dragonflypass.ServerEntry) {},
		Evacuated:      func(dragonflypass.AvailabilityZone) bool { return false },
		OwnerCandidate: func(dragonflypass.Shard) bool { return true },
		Throttle:       noThrottle{},
		Pace:           func(*dragonflypass.ServerEntry) float64 { return 1 },
		RecordPace:     func(*dragonflypass.ServerEntry, float64, float64) {},
		mutex:          locker.Mutex{Order: locker.Servers},
		clusters:       make(map[dragonflypass.Shard]*cluster),
		permits:        make(map[dragonflypass.StreamID]*permit),
		permitsByVM:    make(map[dragonflypass.VMID]map[dragonflypass.StreamID]*permit),
		lastHeartbeats: make(map[dragonflypass.VMID]time.Time),
	}
}

// Run sweeps the queued requests and the permits at regular intervals until ctx ends.
func (a *Allocator) Run(ctx context.Context) {
	stop := a.Timer.Every(dragonflypass.JobSweep, sweepInterval, a.Sweep)
	defer stop()
	<-ctx.Done()
}

// permitResult is the permit or the refusal for a queued request.
type permitResult struct {
	queued *queuedRequest
	permit dragonflypass.Permit
	err    error
}

// notify passes the results to the callbacks of their requests; no lock may be held.
func (a *Allocator) notify(results []permitResult) {
	for _, r := range results {
		if r.err != nil {
			a.Meter.Add(dragonflypass.CountPermitRefused, 1)
			request := r.queued.request
			a.Logger.Info("permit refused", "id", request.ID, "service", request.Service, "waited", a.Timer.Now().Sub(r.queued.queuedAt),
				"left", request.Deadline.Sub(a.Timer.Now()), "prompt", request.PromptTokens, "excluded", request.ExcludedServers, "error", r.err)
		}
		r.queued.done(r.permit, r.err)
	}
}

// RequestPermit queues a request for a permit; done is called once unless withdraw is called before.
func (a *Allocator) RequestPermit(request dragonflypass.PermitRequest, done func(dragonflypass.Permit, error)) (withdraw func()) {
	now, ownerCandidate := a.Timer.Now(), a.OwnerCandidate(request.Shard())
	q := &queuedRequest{request: request, queuedAt: now, done: done}
	a.mutex.Lock()
	c := a.cluster(request.Shard())
	if c == nil {
		a.mutex.Unlock()
		refusal := dragonflypass.Refuse(dragonflypass.ReasonNoServer, defaultRetryAfter, "the engine cost model of service %s is not known", request.Service)
		a.notify([]permitResult{{queued: q, err: refusal}})
		return func() {}
	}
	if now.Sub(c.lastRequest) > ownerIdleTime {
		// This VM has not acted as the owner recently, so it may not know all open streams yet.
		c.longGrantsFrom, c.ownerSince = now.Add(takeoverDelay), now
	}
	c.lastRequest, c.ownerCandidate = now, ownerCandidate
	q.prefillTime = c.costModel.PrefillTime(request.PromptTokens)
	if refusal := a.moveToOtherShard(c, q, now); refusal != nil {
		a.mutex.Unlock()
		done(dragonflypass.Permit{}, refusal)
		return func() {}
	}
	c.queue = append(c.queue, q)
	if c.isShort(q) {
		c.shortLoad.add(q.prefillTime, now)
	} else {
		c.longLoad.add(q.prefillTime, now)
	}
	results := a.dispatch(c, now)
	a.mutex.Unlock()
	a.notify(results)
	return func() { a.withdraw(c, q) }
}

func (a *Allocator) withdraw(c *cluster, q *queuedRequest) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	c.dequeue(q)
}

// Prefilled records that the permit's prompt has been processed.
func (a *Allocator) Prefilled(stream dragonflypass.StreamID) {
	now := a.Timer.Now()
	a.mutex.Lock()
	p, ok := a.permits[stream]
	if !ok || p.prefilled {
		a.mutex.Unlock()
		return
	}
	p.prefilled = true
	if deviation := now.Sub(p.initialFirstToken); deviation.Abs() > minLoggedDeviation {
		a.Logger.Info("first token time mispredicted", "id", p.request.ID, "server", p.server.entry.ID, "helpers", len(p.helpers), "off", deviation,
			"tokens", p.request.PromptTokens)
	}
	at := now.Add(-transitTime)
	for _, s := range p.servers() {
		s.engine.Advance(at)
		s.engine.FinishPrefill(stream)
		s.removePending(p)
	}
	p.server.engine.AlignPass(at)
	p.server.engine.AddDecode(p.decodeTask(at), now)
	a.observePrefill(p, at)
	results := a.dispatch(p.cluster, now)
	a.mutex.Unlock()
	a.notify(results)
}

// Release removes a permit; a second release of the same stream has no effect.
func (a *Allocator) Release(release dragonflypass.PermitRelease) {
	now := a.Timer.Now()
	a.mutex.Lock()
	p, ok := a.permits[release.Stream]
	if !ok {
		a.mutex.Unlock()
		return
	}
	a.observeRelease(p, release, now.Add(-transitTime))
	a.removePermit(p, now)
	for _, s := range p.servers() {
		if slices.Contains(release.Leaving, s.entry.ID) {
			a.RecordLeaving(s.entry)
		}
	}
	if release.Outcome == dragonflypass.OutcomeDone {
		p.server.engine.AlignPass(now.Add(-transitTime))
	}
	results := a.dispatch(p.cluster, now)
	a.mutex.Unlock()
	a.recordOutcome(release)
	a.notify(results)
}

// recordOutcome reports what the outcome of a permit's stream shows about the health of its servers.
func (a *Allocator) recordOutcome(release dragonflypass.PermitRelease) {
	switch {
	case release.FaultyHelper != "":
		a.ServerUnreachable(release.FaultyHelper)
	case release.Outcome == dragonflypass.OutcomeUnsent:
		a.ServerUnreachable(release.Server)
	case release.Outcome == dragonflypass.OutcomeLost:
		a.Assessor.RecordOutcome(release.Server, assessor.Failed)
	case release.Outcome == dragonflypass.OutcomeDone:
		a.Assessor.RecordOutcome(release.Server, assessor.Answered)
	}
}

// addPermit adds the permit to the tables of permits; the mutex must be held.
func (a *Allocator) addPermit(p *permit) {
	stream := p.request.Stream
	a.permits[stream] = p
	if a.permitsByVM[stream.VM] == nil {
		a.permitsByVM[stream.VM] = make(map[dragonflypass.StreamID]*permit)
	}
	a.permitsByVM[stream.VM][stream] = p
}

// removePermit removes the permit from all tables; the mutex must be held.
func (a *Allocator) removePermit(p *permit, now time.Time) {
	stream := p.request.Stream
	delete(a.permits, stream)
	delete(a.permitsByVM[stream.VM], stream)
	if len(a.permitsByVM[stream.VM]) == 0 {
		delete(a.permitsByVM, stream.VM)
	}
	for _, s := range p.servers() {
		s.engine.Advance(now)
		s.engine.Remove(p.request.Stream)
		s.removePending(p)
	}
	a.adjustReserved(p, -1)
	p.server.streams--
	if p.short {
		p.cluster.shortPermits--
	}
}

// MovedRefusal returns the refusal that redirects a request to the VM that has taken over.
func MovedRefusal() *dragonflypass.Refusal {
	return dragonflypass.Refuse(dragonflypass.ReasonMoved, defaultRetryAfter, "the owner is leaving")
}

// Leave redirects the queued requests to the VM that takes over from this one.
func (a *Allocator) Leave() {
	a.mutex.Lock()
	var results []permitResult
	for _, c := range a.clusters {
		for _, q := range c.queue {
			results = append(results, permitResult{queued: q, err: MovedRefusal()})
		}
		c.queue = nil
	}
	a.mutex.Unlock()
	a.notify(results)
}

// RejectUnservable updates the servers of all services, moves the queued requests of evacuated shards to others, and refuses
// those whose service has no usable server left.
func (a *Allocator) RejectUnservable() {
	now := a.Timer.Now()
	a.mutex.Lock()
	var moved, results []permitResult
	for _, c := range a.clusters {
		a.refresh(c)
		moved = append(moved, a.moveEvacuated(c)...)
		results = append(results, a.dispatch(c, now)...)
	}
	a.mutex.Unlock()
	redirect(moved)
	a.notify(results)
}

// Sweep removes expired permits and queued requests, corrects overdue predictions, and dispatches the remaining queued
// requests.
func (a *Allocator) Sweep(context.Context) {
	now := a.Timer.Now()
	a.mutex.Lock()
	for _, p := range a.permits {
		if now.Sub(p.lastReported) > leaseTime || now.After(p.request.Deadline.Add(leaseTime)) {
			a.removePermit(p, now)
			a.Meter.Add(dragonflypass.CountPermitExpired, 1)
		}
	}
	for _, p := range a.permits {
		a.extendOverdue(p, now)
	}
	a.updatePaces()
	results := a.expireQueued(now)
	for _, c := range a.clusters {
		if len(c.queue) > 0 {
			results = append(results, a.dispatch(c, now)...)
		}
	}
	a.mutex.Unlock()
	a.notify(results)
}

// expireQueued refuses the queued requests whose deadline has passed, and those whose VM has sent no heartbeat for so
// long that it may have failed before it could withdraw them. It also removes old heartbeat times. The mutex must be
// held.
func (a *Allocator) expireQueued(now time.Time) (results []permitResult) {
	for _, c := range a.clusters {
		c.queue = slices.DeleteFunc(c.queue, func(q *queuedRequest) bool {
			lastHeartbeat := a.lastHeartbeats[q.request.Stream.VM]
			if lastHeartbeat.Before(q.queuedAt) {
				lastHeartbeat = q.queuedAt
			}
			switch {
			case now.After(q.request.Deadline):
				results = append(results, permitResult{queued: q, err: dragonflypass.Refuse(dragonflypass.ReasonTimeout, 0, "no permit was granted before the deadline of the request")})
			case now.Sub(lastHeartbeat) > leaseTime:
				results = append(results, permitResult{queued: q, err: dragonflypass.Refuse(dragonflypass.ReasonCancelled, 0, "no heartbeats from the entry VM of the request")})
			default:
				return false
			}
			return true
		})
	}
	for id, at := range a.lastHeartbeats {
		if now.Sub(at) > heartbeatRetention {
			delete(a.lastHeartbeats, id)
		}
	}
	return results
}

// extendOverdue predicts further prefill time for a prompt that was not reported as processed by its predicted time; the
// mutex must be held.
func (a *Allocator) extendOverdue(p *permit, now time.Time) {
	if p.prefilled || now.Sub(p.firstToken) < overdueDelay {
		return
	}
	remaining := max(overdueDelay, time.Duration(overdueFraction*float64(now.Sub(p.grantedAt))))
	p.pace.keepDue(p.firstToken)
	p.firstToken = now.Add(remaining)
	for _, s := range p.servers() {
		s.engine.Advance(now)
		if !s.engine.Prefilling(p.request.Stream) {
			s.engine.AddPrefill(predictor.PrefillTask{Stream: p.request.Stream, Tokens: p.request.PromptTokens, Parts: p.parts}, now)
			s.engine.TrimPrefill(p.request.Stream, remaining)
		}
	}
	p.server.engine.AddDecode(p.decodeTask(p.firstToken), now)
}

// addToServers adds the permit to the state and the predictions of its servers; the mutex must be held.
func (a *Allocator) addToServers(p *permit, arrival time.Time) {
	a.adjustReserved(p, 1)
	p.server.streams++
	if !p.prefilled {
		for _, s := range p.servers() {
			s.engine.AddPrefill(predictor.PrefillTask{Stream: p.request.Stream, Tokens: p.request.PromptTokens, Parts: p.parts}, arrival)
			s.pending = append(s.pending, p)
		}
		for _, s := range p.servers() {
			s.postponePending(p)
		}
	}
	p.server.engine.AddDecode(p.decodeTask(p.firstToken), arrival)
}

// adjustReserved adds the permit's memory to the reserved memory of its servers, or subtracts it if sign is -1.
func (a *Allocator) adjustReserved(p *permit, sign int) {
	remaining := p.tokens
	for i, s := range p.helpers {
		s.reservedTokens += sign * p.helperTokens(i)
		remaining -= p.helperTokens(i)
	}
	p.server.reservedTokens += sign * remaining
}

// helperTokens returns the memory that is reserved at the helper with the given index, in tokens.
func (p *permit) helperTokens(i int) int {
	if p.helperMemory == nil {
		return 0
	}
	return p.helperMemory[i]
}

// servers returns the permit's server and its helpers.
func (p *permit) servers() []*server { return append([]*server{p.server}, p.helpers...) }

// decodeTask returns the decode task of the permit's stream, which starts at from.
func (p *permit) decodeTask(from time.Time) predictor.DecodeTask {
	return predictor.DecodeTask{Stream: p.request.Stream, Context: p.tokens, MaxEventGap: p.request.MaxEventGap, Priority: p.request.Priority, From: from}
}
