package scheduler

import (
	"context"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
)

const (
	// sweepEvery is the time between two looks for requests that wait in vain and permits that lapsed.
	sweepEvery = 100 * time.Millisecond
	// cancelTimeout bounds one cancellation at a server.
	cancelTimeout = 2 * time.Second
	// retryMin is the shortest time after which a refused request is told to come back.
	retryMin = time.Second
)

// Scheduler grants permits for the backend servers that this VM owns.
//
// Its tables are locked in the order servers, queues, permits.
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
	// Lease is the time without word from an entry VM after which its permits lapse.
	Lease time.Duration
	// Lag is the longest time by which a server's report trails.
	Lag time.Duration
	// Leaving reports whether this VM's shutdown has begun.
	Leaving func() bool
	// SilentSince returns the instant at which the VM was last heard if it is silent now, else the given one.
	SilentSince func(vm dragonflypass.VMID, now time.Time) time.Time
	// StreamBroken is called when a stream broke at a server.
	StreamBroken func(dragonflypass.ServerID)

	serversLock locker.Mutex
	servers     map[dragonflypass.ServerID]*server
	rates       map[dragonflypass.ModelID]*rate

	queuesLock locker.Mutex

	permitsLock locker.Mutex
	permits     map[dragonflypass.StreamID]*permit
	// prints finds the permits of a fingerprint.
	prints map[dragonflypass.Fingerprint][]*permit
	// released holds the streams whose release came lately, so that a late claim does not revive them.
	released map[dragonflypass.StreamID]time.Time

	// wakeAt is when dispatch runs again for a server whose prompt processing has room then; the servers' lock protects it.
	wakeAt   time.Time
	wakeStop func()
}

// New returns a scheduler that owns no server.
func New() *Scheduler {
	return &Scheduler{
		serversLock: locker.Mutex{Order: locker.Servers},
		queuesLock:  locker.Mutex{Order: locker.Queues},
		permitsLock: locker.Mutex{Order: locker.Permits},
		servers:     make(map[dragonflypass.ServerID]*server),
		rates:       make(map[dragonflypass.ModelID]*rate),
		permits:     make(map[dragonflypass.StreamID]*permit),
		prints:      make(map[dragonflypass.Fingerprint][]*permit),
		released:    make(map[dragonflypass.StreamID]time.Time),
	}
}

// Run sweeps the tables until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	stop := s.Timer.Every(dragonflypass.JobSweep, sweepEvery, s.Sweep)
	defer stop()
	<-ctx.Done()
}

// outcome is what a waiting request is told.
type outcome struct {
	permit dragonflypass.Permit
	err    error
}

// Acquire waits for a permit; when ctx ends first the request is withdrawn.
func (s *Scheduler) Acquire(ctx context.Context, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	told := make(chan outcome, 1)
	withdraw := s.RequestPermit(request, func(p dragonflypass.Permit, err error) { told <- outcome{permit: p, err: err} })
	select {
	case o := <-told:
		return o.permit, o.err
	case <-ctx.Done():
		withdraw()
		return dragonflypass.Permit{}, context.Cause(ctx)
	}
}

// RequestPermit queues a request and tells its outcome once; withdraw takes the request, or the permit it was given, back.
func (s *Scheduler) RequestPermit(request dragonflypass.PermitRequest, told func(dragonflypass.Permit, error)) (withdraw func()) {
	waiting := &dragonflypass.QueuedRequest{Request: request, QueuedAt: s.Timer.Now(), Done: told}
	s.Enqueue(waiting)
	return func() {
		if !s.Withdraw(waiting) {
			s.Release(dragonflypass.PermitRelease{Stream: request.Stream, Outcome: dragonflypass.OutcomeUnsent})
		}
	}
}

// Enqueue queues a request, or refuses it at once when it cannot end in time.
func (s *Scheduler) Enqueue(waiting *dragonflypass.QueuedRequest) {
	now := s.Timer.Now()
	if refusal := s.admit(waiting, now); refusal != nil {
		s.Meter.Add(dragonflypass.CountPermitRefused, 1)
		waiting.Done(dragonflypass.Permit{}, refusal)
		return
	}
	s.dispatch()
}

// admit puts the request into the queue or returns why not.
func (s *Scheduler) admit(waiting *dragonflypass.QueuedRequest, now time.Time) *dragonflypass.Refusal {
	request := &waiting.Request
	if s.Leaving() {
		return s.refuseLeaving()
	}
	s.serversLock.Lock()
	defer s.serversLock.Unlock()
	s.queuesLock.Lock()
	defer s.queuesLock.Unlock()
	// Under the queues' lock, so that RejectUnservable after news of a crash finds what was let in before it.
	if refusal := s.guarded(request, quarantiner.Delayed); refusal != nil {
		return refusal
	}
	if refusal := s.possible(request, now); refusal != nil {
		return refusal
	}
	wait := s.Queue.PredictWait(request, s.rateOf(request.Model, now), now)
	if late := now.Add(wait).Sub(request.LatestStart); late > 0 {
		retry := max(retryMin, late.Round(time.Second))
		return dragonflypass.Refuse(dragonflypass.ReasonBusy, retry, "the queue is %s too long for rank %s", late.Round(time.Millisecond), request.Rank)
	}
	s.Queue.Push(waiting, now)
	return nil
}

// possible tells whether any owned server could ever run the request; it is called with the servers locked.
func (s *Scheduler) possible(request *dragonflypass.PermitRequest, now time.Time) *dragonflypass.Refusal {
	serving, fitting := false, false
	for _, srv := range s.servers {
		if !srv.mayServe(request) || srv.refusesLong(request) {
			continue
		}
		serving = true
		fitting = fitting || (srv.declared.KVCapacity >= request.Tokens() && !srv.closes(request, now))
	}
	switch {
	case !serving:
		return dragonflypass.Refuse(dragonflypass.ReasonNoServer, retryMin, "VM %s has no backend server for model %s", s.Self, request.Model)
	case !fitting:
		return dragonflypass.Refuse(dragonflypass.ReasonNoServer, retryMin, "no backend server of VM %s fits %d tokens before its next window", s.Self, request.Tokens())
	}
	return nil
}

// Withdraw takes a waiting request out and reports whether it was still waiting.
func (s *Scheduler) Withdraw(waiting *dragonflypass.QueuedRequest) bool {
	s.queuesLock.Lock()
	defer s.queuesLock.Unlock()
	return s.Queue.Remove(waiting)
}

// grant is a permit on its way to the request that waited for it.
type grant struct {
	waiting *dragonflypass.QueuedRequest
	permit  dragonflypass.Permit
}

// dispatch grants what fits and tells the requests outside the locks.
func (s *Scheduler) dispatch() {
	for _, g := range s.grantAll() {
		s.Meter.Add(dragonflypass.CountPermitGranted, 1)
		class := dragonflypass.ClassOf(g.waiting.Request.PromptTokens)
		s.Meter.Observe(dragonflypass.MeasureQueue, g.waiting.Request.Rank, class, s.Timer.Now().Sub(g.waiting.QueuedAt))
		g.waiting.Done(g.permit, nil)
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
	for s.Queue.Len() > 0 && s.room(now) {
		var chosen *server
		holds := make(map[dragonflypass.ServerID]dragonflypass.Rank)
		waiting := s.Queue.Pop(now, func(w *dragonflypass.QueuedRequest) bool {
			chosen = s.fit(w, now, holds)
			return chosen != nil
		})
		if waiting == nil {
			break
		}
		grants = append(grants, grant{waiting: waiting, permit: s.give(waiting, chosen, now)})
	}
	s.wakeLater(now)
	return grants
}

// room reports whether any server takes any request now; it is called with the servers locked.
func (s *Scheduler) room(now time.Time) bool {
	for _, srv := range s.servers {
		if srv.reachable && srv.streams < srv.slots && srv.takesAny(now) {
			return true
		}
	}
	return false
}

// fit returns the server that runs the request now, nil when none does.
// A request past its target that only lacks memory keeps the freest server from its equals and inferiors.
func (s *Scheduler) fit(w *dragonflypass.QueuedRequest, now time.Time, holds map[dragonflypass.ServerID]dragonflypass.Rank) *server {
	request := &w.Request
	suspect, may := s.cleared(request)
	if !may {
		return nil
	}
	var candidates []dragonflypass.Candidate
	var freest *server
	serving := 0
	for _, srv := range s.servers {
		if !srv.mayServe(request) || srv.closes(request, now) || (suspect && srv.suspects > 0) {
			continue
		}
		serving++
		if rank, held := holds[srv.declared.ID]; held && request.Rank >= rank {
			continue
		}
		switch {
		case srv.refusesLong(request):
		case !srv.holds(request):
			if srv.declared.KVCapacity >= request.Tokens() && srv.freer(freest) {
				freest = srv
			}
		case srv.open(w, now):
			candidates = append(candidates, srv.candidate(w, now))
		}
	}
	if len(candidates) > 0 {
		s.Placement.Sort(candidates)
		return s.servers[dragonflypass.ServerID(candidates[0].Name)]
	}
	if freest != nil && now.After(request.FirstTokenDeadline) && len(holds) < max(1, serving/2) {
		holds[freest.declared.ID] = request.Rank
	}
	return nil
}

// wakeLater has dispatch run again when the next server's prompt processing has room; it is called with the tables locked.
func (s *Scheduler) wakeLater(now time.Time) {
	if s.Queue.Len() == 0 {
		return
	}
	var next time.Time
	for _, srv := range s.servers {
		at := srv.opens(now)
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if next.IsZero() {
		return
	}
	if s.wakeAt.After(now) && !next.Before(s.wakeAt) {
		return
	}
	if s.wakeStop != nil {
		s.wakeStop()
	}
	s.wakeAt = next
	s.wakeStop = s.Timer.At(dragonflypass.JobSweep, next, func(context.Context) { s.dispatch() })
}

// Sweep refuses requests that wait in vain, takes back permits that lapsed and grants what fits.
func (s *Scheduler) Sweep(context.Context) {
	now := s.Timer.Now()
	s.queuesLock.Lock()
	expired := s.Queue.PopExpired(now)
	s.queuesLock.Unlock()
	for _, w := range expired {
		s.Meter.Add(dragonflypass.CountPermitRefused, 1)
		w.Done(dragonflypass.Permit{}, dragonflypass.Refuse(dragonflypass.ReasonBusy, retryMin, "no backend server came free in time for rank %s", w.Request.Rank))
	}
	s.lapse(now)
	s.dispatch()
}

// RejectUnservable refuses waiting requests that no owned server can run any more, and
// stops copies of a request that crashed a server elsewhere.
func (s *Scheduler) RejectUnservable() {
	s.stopCopies()
	now := s.Timer.Now()
	leaving := s.Leaving()
	refusals := make(map[*dragonflypass.QueuedRequest]*dragonflypass.Refusal)
	s.serversLock.Lock()
	s.queuesLock.Lock()
	refused := s.Queue.Filter(func(w *dragonflypass.QueuedRequest) bool {
		refusal := s.guarded(&w.Request, quarantiner.Delayed, quarantiner.AllowedAlone)
		if leaving {
			refusal = s.refuseLeaving()
		}
		if refusal == nil {
			refusal = s.possible(&w.Request, now)
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
	return dragonflypass.Refuse(dragonflypass.ReasonLeaving, retryMin, "VM %s is leaving", s.Self)
}
