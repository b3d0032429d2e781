package scheduler

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// permit accounts for one stream at an owned server: a granted permit, a stream that is known only from reports
// or heartbeats, or an orphan whose memory the server has not freed.
type permit struct {
	stream        dragonflypass.OpenStream
	weight        float64
	chargedTokens int
	group         uint64
	grantedAt     time.Time
	// prefillDue is the predicted end of the prefill, zero for long prompts.
	prefillDue time.Time
	// renewedAt is when the entry VM last reported that it uses the stream.
	renewedAt time.Time
	// orphan is set while the stream must be cancelled and the server may still report it.
	orphan bool
	// orphanedAt is when the stream became an orphan.
	orphanedAt time.Time
	// unconfirmed is set while the stream is known only from the server's report.
	unconfirmed bool
	// suspect is set if the request may have crashed a server before the permit was granted.
	suspect bool
}

// addPermit adds the permit to the table; the permits lock must be held.
func (s *Scheduler) addPermit(p *permit) {
	s.permits[p.stream.Stream] = p
	s.byFingerprint[p.stream.Fingerprint] = append(s.byFingerprint[p.stream.Fingerprint], p)
}

// removePermit removes the permit from the table; the permits lock must be held.
func (s *Scheduler) removePermit(p *permit) {
	delete(s.permits, p.stream.Stream)
	remaining := slices.DeleteFunc(s.byFingerprint[p.stream.Fingerprint], func(other *permit) bool { return other == p })
	if len(remaining) == 0 {
		delete(s.byFingerprint, p.stream.Fingerprint)
		return
	}
	s.byFingerprint[p.stream.Fingerprint] = remaining
}

// maxInitialCharge is the maximum number of output tokens charged when a permit is granted.
const maxInitialCharge = 256

// grantPermit creates the permit and accounts for it; all locks must be held.
func (s *Scheduler) grantPermit(queuedRequest *dragonflypass.QueuedRequest, srv *server, now time.Time) dragonflypass.Permit {
	request := &queuedRequest.Request
	chargedTokens := min(request.ExpectedTokens, maxInitialCharge)
	p := &permit{
		stream: dragonflypass.OpenStream{
			Stream: request.Stream, Server: srv.config.ID, Tokens: request.Tokens(),
			Fingerprint: request.Fingerprint, Parts: request.Parts, Rank: request.Rank, Account: request.Account, Deadline: request.Deadline,
		},
		weight:        request.Weight,
		group:         request.Group,
		chargedTokens: chargedTokens,
		grantedAt:     now,
		renewedAt:     now,
		suspect:       request.StreamFailures > 0 || s.Quarantiner.Check(request.Fingerprint) != 0,
	}
	s.addPermit(p)
	srv.addRequest(queuedRequest, now, s.Queue.BelowMinShare)
	if !isLong(request.PromptTokens) {
		p.prefillDue = srv.prefillEnd[levelOf(queuedRequest)]
	}
	if p.suspect {
		srv.suspects++
	}
	s.Queue.Charge(request.Rank, request.Account, request.Weight, request.PromptTokens+chargedTokens, now)
	s.recordGrant(request, now)
	return dragonflypass.Permit{
		Stream: request.Stream, Owner: s.Self, Server: srv.config.ID, Address: srv.config.Address,
		Priority: levelOf(queuedRequest),
	}
}

func (s *Scheduler) recordGrant(request *dragonflypass.PermitRequest, now time.Time) {
	r := s.grantRate(request.Model)
	r.decay(now)
	r.tokens += float64(request.PromptTokens)
	if s.Queue.Backlog(request.Model, dragonflypass.RankBulk) == 0 {
		r.backlogSince = now
	}
}

func (s *Scheduler) grantRate(model dragonflypass.ModelID) *grantRate {
	r, ok := s.grantRates[model]
	if !ok {
		r = &grantRate{}
		s.grantRates[model] = r
	}
	return r
}

func (r *grantRate) decay(now time.Time) {
	if elapsed := now.Sub(r.updatedAt); elapsed > 0 {
		r.tokens *= math.Exp2(-elapsed.Seconds() / rateHalfLife.Seconds())
		r.updatedAt = now
	}
}

// serviceRate returns the rate, in prompt tokens per second, at which the model's queue is served. It is the
// observed rate once the backlog has lasted for minBacklogTime, else the declared prefill rate of the servers.
func (s *Scheduler) serviceRate(model dragonflypass.ModelID, now time.Time) float64 {
	declaredRate := 0.0
	for _, srv := range s.servers {
		if srv.reachable && srv.serves(model) {
			declaredRate += srv.config.PrefillRate
		}
	}
	r := s.grantRate(model)
	if s.Queue.Backlog(model, dragonflypass.RankBulk) == 0 {
		r.backlogSince = now
	}
	if now.Sub(r.backlogSince) < minBacklogTime {
		return declaredRate
	}
	r.decay(now)
	return min(declaredRate, max(r.tokens*math.Ln2/rateHalfLife.Seconds(), declaredRate/100))
}

// Release ends a permit; a second release of the same stream has no effect.
func (s *Scheduler) Release(release dragonflypass.PermitRelease) {
	now := s.Timer.Now()
	s.serversLock.Lock()
	s.queuesLock.Lock()
	s.permitsLock.Lock()
	p, ok := s.permits[release.Stream]
	if ok && !p.orphan {
		s.closePermit(p, release, now)
	}
	s.releasedAt[release.Stream] = now
	s.permitsLock.Unlock()
	s.queuesLock.Unlock()
	s.serversLock.Unlock()
	if !ok {
		return
	}
	s.Meter.Add(dragonflypass.CountPermitReleased, 1)
	if release.Outcome == dragonflypass.OutcomeDone {
		s.Quarantiner.RecordSuccess(p.stream.Fingerprint)
	}
	if release.Outcome == dragonflypass.OutcomeLost {
		s.submitCancel(release.Server, release.Stream)
		s.StreamBroken(release.Server)
	}
	s.dispatch()
}

// closePermit charges the output tokens that were not charged when the permit was granted. It frees the permit, or marks
// it as an orphan if its outcome is unknown; all locks must be held.
func (s *Scheduler) closePermit(p *permit, release dragonflypass.PermitRelease, now time.Time) {
	extraTokens := max(0, release.OutputTokens-p.chargedTokens)
	s.Queue.Charge(p.stream.Rank, p.stream.Account, p.weight, extraTokens, now)
	if release.Outcome == dragonflypass.OutcomeLost {
		s.markOrphan(p, now)
		return
	}
	s.freePermit(p)
}

// markOrphan marks the permit as an orphan: its memory stays reserved until the server no longer reports the stream.
func (s *Scheduler) markOrphan(p *permit, now time.Time) {
	p.orphan = true
	p.orphanedAt = now
}

// freePermit removes the permit and frees its memory.
func (s *Scheduler) freePermit(p *permit) {
	s.removePermit(p)
	srv, ok := s.servers[p.stream.Server]
	if !ok {
		return
	}
	srv.removeRequest(p.stream.Stream, p.stream.Tokens)
	if p.suspect {
		srv.suspects--
	}
}

// HandleHeartbeat renews the permits of the streams that an entry VM has open at owned servers, and
// adopts those that were granted by a previous owner.
func (s *Scheduler) HandleHeartbeat(heartbeat dragonflypass.Heartbeat) {
	now := s.Timer.Now()
	s.serversLock.Lock()
	defer s.serversLock.Unlock()
	s.permitsLock.Lock()
	defer s.permitsLock.Unlock()
	for _, sequence := range heartbeat.GrantedStreams {
		id := dragonflypass.StreamID{VM: heartbeat.From.ID, Incarnation: heartbeat.Incarnation, Sequence: sequence}
		if p, ok := s.permits[id]; ok {
			p.renewedAt = now
		}
	}
	for _, stream := range heartbeat.InheritedStreams {
		s.confirmStream(stream, now)
	}
}

// confirmStream renews the stream's permit or adopts the stream; the servers and permits locks must be held.
func (s *Scheduler) confirmStream(stream dragonflypass.OpenStream, now time.Time) {
	if p, ok := s.permits[stream.Stream]; ok {
		p.renewedAt = now
		if p.unconfirmed {
			s.adopt(p, stream)
		}
		return
	}
	srv, ok := s.servers[stream.Server]
	if _, isReleased := s.releasedAt[stream.Stream]; !ok || !srv.hasReport || isReleased {
		return
	}
	s.addPermit(&permit{stream: stream, weight: 1, grantedAt: now, renewedAt: now})
	srv.reservedTokens += stream.Tokens
	srv.streams++
}

// adopt fills in a permit that was known only from the server's report.
func (s *Scheduler) adopt(p *permit, stream dragonflypass.OpenStream) {
	if srv, ok := s.servers[p.stream.Server]; ok {
		srv.reservedTokens += stream.Tokens - p.stream.Tokens
	}
	s.removePermit(p)
	p.stream = stream
	s.addPermit(p)
	p.unconfirmed = false
	p.orphan = false
}

// expirePermits turns permits that their entry VM has not renewed within the lease into orphans.
func (s *Scheduler) expirePermits(now time.Time) {
	s.serversLock.Lock()
	defer s.serversLock.Unlock()
	s.permitsLock.Lock()
	defer s.permitsLock.Unlock()
	for stream, at := range s.releasedAt {
		if now.Sub(at) > s.Lease+s.Lag {
			delete(s.releasedAt, stream)
		}
	}
	for _, p := range s.permits {
		if p.orphan || now.Sub(p.renewedAt) <= s.Lease {
			continue
		}
		s.markOrphan(p, now)
		s.Meter.Add(dragonflypass.CountPermitExpired, 1)
	}
}

// submitCancel submits a job that cancels the stream at its server.
func (s *Scheduler) submitCancel(id dragonflypass.ServerID, stream dragonflypass.StreamID) {
	s.serversLock.Lock()
	srv, ok := s.servers[id]
	var config dragonflypass.BackendServer
	if ok {
		config = srv.config
	}
	s.serversLock.Unlock()
	if !ok {
		return
	}
	s.Pool.Submit(dragonflypass.JobCancel, func(ctx context.Context) {
		ctx, cancel := s.Timer.WithDeadline(ctx, s.Timer.Now().Add(cancelTimeout))
		defer cancel()
		if s.Engine.Cancel(ctx, config.Address, stream) == nil {
			s.Meter.Add(dragonflypass.CountOrphanCancelled, 1)
		}
	})
}
