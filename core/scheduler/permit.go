package scheduler

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// permit is a live permit, or a stream without one whose memory is not back yet.
type permit struct {
	held    dragonflypass.OpenStream
	weight  float64
	charged int
	group   uint64
	granted time.Time
	// due is the instant at which the prompt is predicted to be processed, zero for long prompts.
	due time.Time
	// heard is the instant at which the entry VM last said that it uses the stream.
	heard time.Time
	// orphan is set when the stream is to be cancelled until the server no longer reports it.
	orphan bool
	// since is the instant at which the stream became an orphan.
	since time.Time
	// strange is set while the stream is known from the server's report alone.
	strange bool
	// suspect is set when the request runs as a suspect.
	suspect bool
}

// keep puts the permit into the table; it is called with the permits locked.
func (s *Scheduler) keep(p *permit) {
	s.permits[p.held.Stream] = p
	s.prints[p.held.Fingerprint] = append(s.prints[p.held.Fingerprint], p)
}

// discard takes the permit out of the table; it is called with the permits locked.
func (s *Scheduler) discard(p *permit) {
	delete(s.permits, p.held.Stream)
	rest := slices.DeleteFunc(s.prints[p.held.Fingerprint], func(other *permit) bool { return other == p })
	if len(rest) == 0 {
		delete(s.prints, p.held.Fingerprint)
		return
	}
	s.prints[p.held.Fingerprint] = rest
}

// chargeAhead is the largest number of output tokens charged at the grant.
const chargeAhead = 256

// give makes the permit; it is called with all tables locked.
func (s *Scheduler) give(w *dragonflypass.QueuedRequest, srv *server, now time.Time) dragonflypass.Permit {
	request := &w.Request
	charged := min(request.ExpectedTokens, chargeAhead)
	p := &permit{
		held: dragonflypass.OpenStream{
			Stream: request.Stream, Server: srv.declared.ID, Tokens: request.Tokens(),
			Fingerprint: request.Fingerprint, Rank: request.Rank, Account: request.Account, Deadline: request.Deadline,
		},
		weight:  request.Weight,
		group:   request.Group,
		charged: charged,
		granted: now,
		heard:   now,
		suspect: request.StreamFailures > 0 || s.Quarantiner.Check(request.Fingerprint) != 0,
	}
	s.keep(p)
	srv.start(w, now, s.Queue.BelowMinShare)
	if !isLong(request.PromptTokens) {
		p.due = srv.levels[levelOf(w)]
	}
	if p.suspect {
		srv.suspects++
	}
	s.Queue.Charge(request.Rank, request.Account, request.Weight, request.PromptTokens+charged, now)
	s.noteGrant(request, now)
	return dragonflypass.Permit{
		Stream: request.Stream, Owner: s.Self, Server: srv.declared.ID, Address: srv.declared.Address,
		Priority: levelOf(w),
	}
}

func (s *Scheduler) noteGrant(request *dragonflypass.PermitRequest, now time.Time) {
	r := s.rate(request.Model)
	r.decay(now)
	r.granted += float64(request.PromptTokens)
	if s.Queue.Backlog(request.Model, dragonflypass.RankBulk) == 0 {
		r.backlog = now
	}
}

func (s *Scheduler) rate(model dragonflypass.ModelID) *rate {
	r, ok := s.rates[model]
	if !ok {
		r = &rate{}
		s.rates[model] = r
	}
	return r
}

func (r *rate) decay(now time.Time) {
	if span := now.Sub(r.at); span > 0 {
		r.granted *= math.Exp2(-span.Seconds() / rateHalfLife.Seconds())
		r.at = now
	}
}

// rateOf returns the prompt tokens a second that the model's queue is served
// with: as observed while requests waited, else as declared.
func (s *Scheduler) rateOf(model dragonflypass.ModelID, now time.Time) float64 {
	declared := 0.0
	for _, srv := range s.servers {
		if srv.reachable && srv.serves(model) {
			declared += srv.declared.PrefillRate
		}
	}
	r := s.rate(model)
	if s.Queue.Backlog(model, dragonflypass.RankBulk) == 0 {
		r.backlog = now
	}
	if now.Sub(r.backlog) < rateSettles {
		return declared
	}
	r.decay(now)
	return min(declared, max(r.granted*math.Ln2/rateHalfLife.Seconds(), declared/100))
}

// Release takes a permit back; a second release of the same stream changes nothing.
func (s *Scheduler) Release(release dragonflypass.PermitRelease) {
	now := s.Timer.Now()
	s.serversLock.Lock()
	s.queuesLock.Lock()
	s.permitsLock.Lock()
	p, ok := s.permits[release.Stream]
	if ok && !p.orphan {
		s.settle(p, release, now)
	}
	s.released[release.Stream] = now
	s.permitsLock.Unlock()
	s.queuesLock.Unlock()
	s.serversLock.Unlock()
	if !ok {
		return
	}
	s.Meter.Add(dragonflypass.CountPermitReleased, 1)
	if release.Outcome == dragonflypass.OutcomeDone {
		s.Quarantiner.RecordSuccess(p.held.Fingerprint)
	}
	if release.Outcome == dragonflypass.OutcomeLost {
		s.cancelLater(release.Server, release.Stream)
		s.StreamBroken(release.Server)
	}
	s.dispatch()
}

// settle ends a permit; it is called with all tables locked.
func (s *Scheduler) settle(p *permit, release dragonflypass.PermitRelease, now time.Time) {
	extra := max(0, release.OutputTokens-p.charged)
	s.Queue.Charge(p.held.Rank, p.held.Account, p.weight, extra, now)
	if release.Outcome == dragonflypass.OutcomeLost {
		s.orphan(p, now)
		return
	}
	s.drop(p)
}

// orphan keeps the permit's memory accounted until the server no longer reports the stream.
func (s *Scheduler) orphan(p *permit, now time.Time) {
	p.orphan = true
	p.since = now
}

// drop returns the permit's memory.
func (s *Scheduler) drop(p *permit) {
	s.discard(p)
	srv, ok := s.servers[p.held.Server]
	if !ok {
		return
	}
	srv.stop(p.held.Stream, p.held.Tokens)
	if p.suspect {
		srv.suspects--
	}
}

// HandleHeartbeat notes the streams that an entry VM has open at owned servers, and
// adopts those that were granted by an earlier owner.
func (s *Scheduler) HandleHeartbeat(beat dragonflypass.Heartbeat) {
	now := s.Timer.Now()
	s.serversLock.Lock()
	defer s.serversLock.Unlock()
	s.permitsLock.Lock()
	defer s.permitsLock.Unlock()
	for _, sequence := range beat.GrantedStreams {
		id := dragonflypass.StreamID{VM: beat.From.ID, Incarnation: beat.Incarnation, Sequence: sequence}
		if p, ok := s.permits[id]; ok {
			p.heard = now
		}
	}
	for _, held := range beat.InheritedStreams {
		s.claim(held, now)
	}
}

// claim is called with the servers and permits locked.
func (s *Scheduler) claim(held dragonflypass.OpenStream, now time.Time) {
	if p, ok := s.permits[held.Stream]; ok {
		p.heard = now
		if p.strange {
			s.adopt(p, held)
		}
		return
	}
	srv, ok := s.servers[held.Server]
	if _, gone := s.released[held.Stream]; !ok || !srv.reported || gone {
		return
	}
	s.keep(&permit{held: held, weight: 1, granted: now, heard: now})
	srv.reserved += held.Tokens
	srv.streams++
}

// adopt completes a stream that was known from the server's report alone.
func (s *Scheduler) adopt(p *permit, held dragonflypass.OpenStream) {
	if srv, ok := s.servers[p.held.Server]; ok {
		srv.reserved += held.Tokens - p.held.Tokens
	}
	s.discard(p)
	p.held = held
	s.keep(p)
	p.strange = false
	p.orphan = false
}

// lapse turns permits that their entry VM no longer claims into orphans.
func (s *Scheduler) lapse(now time.Time) {
	s.serversLock.Lock()
	defer s.serversLock.Unlock()
	s.permitsLock.Lock()
	defer s.permitsLock.Unlock()
	for stream, at := range s.released {
		if now.Sub(at) > s.Lease+s.Lag {
			delete(s.released, stream)
		}
	}
	for _, p := range s.permits {
		if p.orphan || now.Sub(p.heard) <= s.Lease {
			continue
		}
		s.orphan(p, now)
		s.Meter.Add(dragonflypass.CountPermitExpired, 1)
	}
}

// cancelLater has a worker cancel the stream at its server.
func (s *Scheduler) cancelLater(id dragonflypass.ServerID, stream dragonflypass.StreamID) {
	s.serversLock.Lock()
	srv, ok := s.servers[id]
	var declared dragonflypass.BackendServer
	if ok {
		declared = srv.declared
	}
	s.serversLock.Unlock()
	if !ok {
		return
	}
	s.Pool.Submit(dragonflypass.JobCancel, func(ctx context.Context) {
		ctx, cancel := s.Timer.WithDeadline(ctx, s.Timer.Now().Add(cancelTimeout))
		defer cancel()
		if s.Engine.Cancel(ctx, declared.Address, stream) == nil {
			s.Meter.Add(dragonflypass.CountOrphanCancelled, 1)
		}
	})
}
