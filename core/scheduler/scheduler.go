package scheduler

import (
	"context"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
)

const (
	// sweepInterval is the interval between two checks for expired requests and permits.
	sweepInterval = 100 * time.Millisecond
	// cancelTimeout is the time limit for one cancellation at a server.
	cancelTimeout = 2 * time.Second
	// minRetryAfter is the shortest delay after which a refused client may retry.
	minRetryAfter = time.Second
)

// Scheduler grants permits for the backend servers that this VM owns.
//
// It acquires its locks in the order servers, queues, permits.
type Scheduler struct {
	Self        dragonflypass.VMID
	Timer       dragonflypass.Timer
	Pool        dragonflypass.Pool
	Engine      dragonflypass.Engine
	Meter       dragonflypass.Meter
	Quarantiner *quarantiner.Quarantiner
	Queue       dragonflypass.Queue
	Placement   dragonflypass.Placement
	Current     func() *dragonflypass.Configuration
	// Lease is the time without a heartbeat from an entry VM after which its permits expire.
	Lease time.Duration
	// Lag is the maximum delay of a server's report.
	Lag time.Duration
	// Leaving reports whether this VM is shutting down.
	Leaving func() bool
	// SilentSince returns the time of the last heartbeat of a VM that is silent, and now for any other VM.
	SilentSince func(vm dragonflypass.VMID, now time.Time) time.Time
	// StreamBroken is called when a stream at the server breaks.
	StreamBroken func(dragonflypass.ServerID)

	serversLock locker.Mutex
	servers     map[dragonflypass.ServerID]*server
	grantRates  map[dragonflypass.ModelID]*grantRate

	queuesLock locker.Mutex

	permitsLock locker.Mutex
	permits     map[dragonflypass.StreamID]*permit
	// byFingerprint indexes the permits by fingerprint.
	byFingerprint map[dragonflypass.Fingerprint][]*permit
	// releasedAt holds the release times of recent streams, so that a late heartbeat does not add a released stream again.
	releasedAt map[dragonflypass.StreamID]time.Time

	// nextDispatch is when dispatch runs next, because a server then accepts another prompt.
	// It is protected by serversLock.
	nextDispatch       time.Time
	cancelNextDispatch func()
}

// New returns a scheduler that owns no servers.
func New() *Scheduler {
	return &Scheduler{
		serversLock:   locker.Mutex{Order: locker.Servers},
		queuesLock:    locker.Mutex{Order: locker.Queues},
		permitsLock:   locker.Mutex{Order: locker.Permits},
		servers:       make(map[dragonflypass.ServerID]*server),
		grantRates:    make(map[dragonflypass.ModelID]*grantRate),
		permits:       make(map[dragonflypass.StreamID]*permit),
		byFingerprint: make(map[dragonflypass.Fingerprint][]*permit),
		releasedAt:    make(map[dragonflypass.StreamID]time.Time),
	}
}

// Run sweeps the tables periodically until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	stop := s.Timer.Every(dragonflypass.JobSweep, sweepInterval, s.Sweep)
	defer stop()
	<-ctx.Done()
}

// acquireResult is the result of a permit request.
type acquireResult struct {
	permit dragonflypass.Permit
	err    error
}

// Acquire waits for a permit; the request is withdrawn if ctx ends first.
func (s *Scheduler) Acquire(ctx context.Context, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	results := make(chan acquireResult, 1)
	withdraw := s.RequestPermit(request, func(p dragonflypass.Permit, err error) { results <- acquireResult{permit: p, err: err} })
	select {
	case result := <-results:
		return result.permit, result.err
	case <-ctx.Done():
		withdraw()
		return dragonflypass.Permit{}, context.Cause(ctx)
	}
}

// RequestPermit queues a request and calls done once with the result; withdraw removes the request from the queue,
// or releases its permit if it has been granted.
func (s *Scheduler) RequestPermit(request dragonflypass.PermitRequest, done func(dragonflypass.Permit, error)) (withdraw func()) {
	queuedRequest := &dragonflypass.QueuedRequest{Request: request, QueuedAt: s.Timer.Now(), Done: done}
	s.Enqueue(queuedRequest)
	return func() {
		if !s.Withdraw(queuedRequest) {
			s.Release(dragonflypass.PermitRelease{Stream: request.Stream, Outcome: dragonflypass.OutcomeUnsent})
		}
	}
}

// Enqueue queues a request, or refuses it immediately if it cannot start in time.
func (s *Scheduler) Enqueue(queuedRequest *dragonflypass.QueuedRequest) {
	now := s.Timer.Now()
	if refusal := s.admit(queuedRequest, now); refusal != nil {
		s.Meter.Add(dragonflypass.CountPermitRefused, 1)
		queuedRequest.Done(dragonflypass.Permit{}, refusal)
		return
	}
	s.dispatch()
}

// admit adds the request to the queue or returns the reason for its refusal.
func (s *Scheduler) admit(queuedRequest *dragonflypass.QueuedRequest, now time.Time) *dragonflypass.Refusal {
	request := &queuedRequest.Request
	if s.Leaving() {
		return s.refuseLeaving()
	}
	s.serversLock.Lock()
	defer s.serversLock.Unlock()
	s.queuesLock.Lock()
	defer s.queuesLock.Unlock()
	// This check runs under the queues lock. RejectUnservable, which runs after a crash report, thus finds every
	// request that was queued before the report.
	if refusal := s.checkQuarantine(request, quarantiner.Delayed); refusal != nil {
		return refusal
	}
	if refusal := s.checkServable(request, now); refusal != nil {
		return refusal
	}
	wait := s.Queue.PredictWait(request, s.serviceRate(request.Model, now), now)
	if excess := now.Add(wait).Sub(request.LatestStart); excess > 0 {
		retryAfter := max(minRetryAfter, excess.Round(time.Second))
		return dragonflypass.Refuse(dragonflypass.ReasonBusy, retryAfter, "the predicted wait is %s too long for rank %s", excess.Round(time.Millisecond), request.Rank)
	}
	s.Queue.Push(queuedRequest, now)
	return nil
}

// checkServable refuses the request if no owned server can ever run it; the servers lock must be held.
func (s *Scheduler) checkServable(request *dragonflypass.PermitRequest, now time.Time) *dragonflypass.Refusal {
	isServed, fits := false, false
	for _, srv := range s.servers {
		if !srv.isEligible(request) || srv.refusesLong(request) {
			continue
		}
		isServed = true
		fits = fits || (srv.config.KVCapacity >= request.Tokens() && !srv.mayOverlapMaintenance(request, now))
	}
	switch {
	case !isServed:
		return dragonflypass.Refuse(dragonflypass.ReasonNoServer, minRetryAfter, "VM %s has no backend server for model %s", s.Self, request.Model)
	case !fits:
		return dragonflypass.Refuse(dragonflypass.ReasonNoServer, minRetryAfter, "no backend server of VM %s can hold %d tokens and finish before its next maintenance window", s.Self, request.Tokens())
	}
	return nil
}

// Withdraw removes a request from the queue and reports whether it was still queued.
func (s *Scheduler) Withdraw(queuedRequest *dragonflypass.QueuedRequest) bool {
	s.queuesLock.Lock()
	defer s.queuesLock.Unlock()
	return s.Queue.Remove(queuedRequest)
}

// grant is a queued request with the permit granted to it.
type grant struct {
	queuedRequest *dragonflypass.QueuedRequest
	permit        dragonflypass.Permit
}

// dispatch grants permits to the queued requests that fit and calls their callbacks without holding a lock.
func (s *Scheduler) dispatch() {
	for _, g := range s.grantAll() {
		s.Meter.Add(dragonflypass.CountPermitGranted, 1)
		class := dragonflypass.ClassOf(g.queuedRequest.Request.PromptTokens)
		s.Meter.Observe(dragonflypass.MeasureQueue, g.queuedRequest.Request.Rank, class, s.Timer.Now().Sub(g.queuedRequest.QueuedAt))
		g.queuedRequest.Done(g.permit, nil)
	}
}

func (s *Scheduler) grantAll() []grant {
	now := s.Timer.Now()
	s.serversLock.Lock()
	defer s.serversLock.Unlock()
	s.queuesLock.Lock()
	defer s.queuesLock.Unlock()
	s.permitsLock.Lock()
	defer s.permitsLock.Unlock()
	var grants []grant
	for s.Queue.Len() > 0 && s.hasAcceptingServer(now) {
		var srv *server
		reservedFor := make(map[dragonflypass.ServerID]dragonflypass.Rank)
		queuedRequest := s.Queue.Pop(now, func(w *dragonflypass.QueuedRequest) bool {
			srv = s.selectServer(w, now, reservedFor)
			return srv != nil
		})
		if queuedRequest == nil {
			break
		}
		grants = append(grants, grant{queuedRequest: queuedRequest, permit: s.grantPermit(queuedRequest, srv, now)})
	}
	s.scheduleDispatch(now)
	return grants
}

// hasAcceptingServer reports whether any server accepts any request now; the servers lock must be held.
func (s *Scheduler) hasAcceptingServer(now time.Time) bool {
	for _, srv := range s.servers {
		if srv.reachable && srv.streams < srv.slots && srv.acceptsAnyPrefill(now) {
			return true
		}
	}
	return false
}

// selectServer returns the server to run the request now, nil if there is none.
//
// If the request only lacks memory and is past its first-token deadline, selectServer reserves the server with the
// most free memory for it: requests of the same or a less urgent rank skip that server. At most half of the
// eligible servers, but at least one, can be reserved.
func (s *Scheduler) selectServer(queuedRequest *dragonflypass.QueuedRequest, now time.Time, reservedFor map[dragonflypass.ServerID]dragonflypass.Rank) *server {
	request := &queuedRequest.Request
	suspect, allowed := s.checkSuspect(request)
	if !allowed {
		return nil
	}
	var candidates []dragonflypass.Candidate
	var freest *server
	eligible := 0
	for _, srv := range s.servers {
		if !srv.isEligible(request) || srv.mayOverlapMaintenance(request, now) || (suspect && srv.suspects > 0) {
			continue
		}
		eligible++
		if rank, isReserved := reservedFor[srv.config.ID]; isReserved && request.Rank >= rank {
			continue
		}
		switch {
		case srv.refusesLong(request):
		case !srv.hasCapacity(request):
			if srv.config.KVCapacity >= request.Tokens() && srv.hasMoreFree(freest) {
				freest = srv
			}
		case srv.acceptsPrefill(queuedRequest, now):
			candidates = append(candidates, srv.candidate(queuedRequest, now))
		}
	}
	if len(candidates) > 0 {
		s.Placement.Sort(candidates)
		return s.servers[dragonflypass.ServerID(candidates[0].Name)]
	}
	if freest != nil && now.After(request.FirstTokenDeadline) && len(reservedFor) < max(1, eligible/2) {
		reservedFor[freest.config.ID] = request.Rank
	}
	return nil
}

// scheduleDispatch schedules the next run of dispatch for when a server accepts another prompt; all locks must be held.
func (s *Scheduler) scheduleDispatch(now time.Time) {
	if s.Queue.Len() == 0 {
		return
	}
	var next time.Time
	for _, srv := range s.servers {
		at := srv.nextAcceptTime(now)
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if next.IsZero() {
		return
	}
	if s.nextDispatch.After(now) && !next.Before(s.nextDispatch) {
		return
	}
	if s.cancelNextDispatch != nil {
		s.cancelNextDispatch()
	}
	s.nextDispatch = next
	s.cancelNextDispatch = s.Timer.At(dragonflypass.JobSweep, next, func(context.Context) { s.dispatch() })
}

// Sweep refuses requests whose latest start has passed, expires permits and grants new ones.
func (s *Scheduler) Sweep(context.Context) {
	now := s.Timer.Now()
	s.queuesLock.Lock()
	expired := s.Queue.PopExpired(now)
	s.queuesLock.Unlock()
	for _, w := range expired {
		s.Meter.Add(dragonflypass.CountPermitRefused, 1)
		w.Done(dragonflypass.Permit{}, dragonflypass.Refuse(dragonflypass.ReasonBusy, minRetryAfter, "no backend server became free in time for rank %s", w.Request.Rank))
	}
	s.expirePermits(now)
	s.dispatch()
}

// RejectUnservable refuses queued requests that no owned server can run any longer, and
// cancels copies of requests that crashed a server elsewhere.
func (s *Scheduler) RejectUnservable() {
	s.cancelCopies()
	now := s.Timer.Now()
	leaving := s.Leaving()
	refusals := make(map[*dragonflypass.QueuedRequest]*dragonflypass.Refusal)
	s.serversLock.Lock()
	s.queuesLock.Lock()
	refused := s.Queue.Filter(func(w *dragonflypass.QueuedRequest) bool {
		refusal := s.checkQuarantine(&w.Request, quarantiner.Delayed, quarantiner.AllowedAlone)
		if leaving {
			refusal = s.refuseLeaving()
		}
		if refusal == nil {
			refusal = s.checkServable(&w.Request, now)
		}
		refusals[w] = refusal
		return refusal == nil
	})
	s.queuesLock.Unlock()
	s.serversLock.Unlock()
	for _, w := range refused {
		s.Meter.Add(dragonflypass.CountPermitRefused, 1)
		w.Done(dragonflypass.Permit{}, refusals[w])
	}
}

func (s *Scheduler) refuseLeaving() *dragonflypass.Refusal {
	return dragonflypass.Refuse(dragonflypass.ReasonLeaving, minRetryAfter, "VM %s is leaving", s.Self)
}
