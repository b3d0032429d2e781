package scheduler

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// HandleReport processes a server's report. Streams without a permit count against the server's memory and are
// cancelled unless an entry VM confirms them in time. The memory of orphans that the server no longer reports is freed.
func (s *Scheduler) HandleReport(report dragonflypass.ServerReport) {
	now := s.Timer.Now()
	lastContact := make(map[dragonflypass.VMID]time.Time)
	for _, stream := range report.Streams {
		if _, found := lastContact[stream.Stream.VM]; !found {
			lastContact[stream.Stream.VM] = s.SilentSince(stream.Stream.VM, now)
		}
	}
	s.serversLock.Lock()
	s.queuesLock.Lock()
	s.permitsLock.Lock()
	srv, ok := s.servers[report.Server]
	var orphans []dragonflypass.StreamID
	if ok {
		if srv.hasReport && srv.epoch != report.Epoch {
			s.resetServer(srv)
		}
		srv.reachable, srv.hasReport, srv.epoch = true, true, report.Epoch
		srv.models = report.Models
		srv.nextMaintenance = s.Current().NextMaintenance(string(report.Server), now)
		srv.slots = s.Current().Slots(&srv.config, now)
		orphans = s.reconcile(srv, report, lastContact, now)
	}
	s.permitsLock.Unlock()
	s.queuesLock.Unlock()
	s.serversLock.Unlock()
	for _, stream := range orphans {
		s.submitCancel(report.Server, stream)
	}
	s.dispatch()
}

// reconcile compares the permits with the report and returns the streams to cancel; all locks must be held.
func (s *Scheduler) reconcile(srv *server, report dragonflypass.ServerReport, lastContact map[dragonflypass.VMID]time.Time, now time.Time) []dragonflypass.StreamID {
	var toCancel []dragonflypass.StreamID
	inReport := make(map[dragonflypass.StreamID]bool, len(report.Streams))
	srv.overdue = false
	for _, stream := range report.Streams {
		inReport[stream.Stream] = true
		p, ok := s.permits[stream.Stream]
		if !ok {
			s.addUnconfirmed(srv, stream, lastContact[stream.Stream.VM], now)
			continue
		}
		p.stream.Prefilled = p.stream.Prefilled || stream.Prefilled
		if stream.Prefilled {
			srv.finishPrefill(stream.Stream)
		} else if !p.prefillDue.IsZero() && now.Sub(p.prefillDue) > s.Lag/2+overdueMargin {
			srv.overdue = true
		}
		if p.orphan {
			toCancel = append(toCancel, stream.Stream)
		}
	}
	for stream, p := range s.permits {
		if p.stream.Server == srv.config.ID && !inReport[stream] && s.hasOrphanEnded(p, now) {
			s.freePermit(p)
		}
	}
	return toCancel
}

// addUnconfirmed accounts for a reported stream without a permit, which occurs after a change of
// owner. Its entry VM can confirm it until the lease, counted from its last heartbeat, expires.
func (s *Scheduler) addUnconfirmed(srv *server, stream dragonflypass.StreamReport, lastContact, now time.Time) {
	if at, isReleased := s.releasedAt[stream.Stream]; isReleased && now.Sub(at) <= s.Lag {
		return
	}
	unconfirmed := dragonflypass.OpenStream{Stream: stream.Stream, Server: srv.config.ID, Tokens: stream.Tokens}
	s.addPermit(&permit{stream: unconfirmed, weight: 1, grantedAt: now, renewedAt: lastContact, unconfirmed: true})
	srv.reservedTokens += stream.Tokens
	srv.streams++
}

// hasOrphanEnded reports whether an orphan that is missing from the latest report has ended at the server.
// Reports lag, so it must have been an orphan for longer than Lag.
func (s *Scheduler) hasOrphanEnded(p *permit, now time.Time) bool {
	return p.orphan && now.Sub(p.orphanedAt) > s.Lag
}

// HandleUnreachable records that the server's report could not be fetched. If the connection was refused, the server
// has crashed: HandleUnreachable returns the requests that it was running, and true if this crash was not known yet.
func (s *Scheduler) HandleUnreachable(id dragonflypass.ServerID, refused bool) (dragonflypass.ServerCrash, bool) {
	s.serversLock.Lock()
	defer s.serversLock.Unlock()
	s.queuesLock.Lock()
	defer s.queuesLock.Unlock()
	s.permitsLock.Lock()
	defer s.permitsLock.Unlock()
	srv, ok := s.servers[id]
	if !ok || !srv.reachable {
		return dragonflypass.ServerCrash{}, false
	}
	srv.reachable = false
	if !refused {
		return dragonflypass.ServerCrash{}, false
	}
	crash, isNew := s.recordCrash(srv)
	s.resetServer(srv)
	return crash, isNew
}

// HandleRestart frees the permits of a server whose epoch has changed. It returns the requests that the server
// was running, and true if this crash was not known yet.
func (s *Scheduler) HandleRestart(report dragonflypass.ServerReport) (dragonflypass.ServerCrash, bool) {
	s.serversLock.Lock()
	defer s.serversLock.Unlock()
	s.permitsLock.Lock()
	defer s.permitsLock.Unlock()
	srv, ok := s.servers[report.Server]
	if !ok || !srv.hasReport || srv.epoch == report.Epoch {
		return dragonflypass.ServerCrash{}, false
	}
	crash, isNew := s.recordCrash(srv)
	s.resetServer(srv)
	return crash, isNew
}

// recordCrash records the crash of the server and marks the requests that it was running as suspects, before any of
// them can run elsewhere. It reports whether the crash was not known yet; the servers and permits locks must be held.
func (s *Scheduler) recordCrash(srv *server) (dragonflypass.ServerCrash, bool) {
	crash := dragonflypass.ServerCrash{Server: srv.config.ID, Epoch: srv.epoch, At: s.Timer.Now()}
	for _, p := range s.permits {
		if p.stream.Server == srv.config.ID && p.stream.Fingerprint != (dragonflypass.Fingerprint{}) {
			crash.Fingerprints = append(crash.Fingerprints, p.stream.Fingerprint)
			if !p.stream.Prefilled && !p.unconfirmed {
				crash.Suspects = append(crash.Suspects, dragonflypass.CrashSuspect{Fingerprint: p.stream.Fingerprint, Parts: p.stream.Parts, SentAt: p.grantedAt})
			}
		}
	}
	return crash, len(crash.Fingerprints) > 0 && s.Quarantiner.RecordCrash(crash)
}

// resetServer frees all permits of a server that has crashed, since its memory is lost.
func (s *Scheduler) resetServer(srv *server) {
	for _, p := range s.permits {
		if p.stream.Server == srv.config.ID {
			s.freePermit(p)
		}
	}
	srv.hasReport = false
	srv.prefillEnd = [levelCount]time.Time{}
	srv.hasLong = false
}

// Prefilled does nothing: the server's reports show which prompts have been prefilled.
func (s *Scheduler) Prefilled(dragonflypass.StreamID) {}
