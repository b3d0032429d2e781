package scheduler

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// HandleReport takes a server's report: streams without a permit count against its
// memory and are cancelled when no entry VM claims them in time; permits that
// the server no longer knows are returned.
func (s *Scheduler) HandleReport(report dragonflypass.ServerReport) {
	now := s.Timer.Now()
	heard := make(map[dragonflypass.VMID]time.Time)
	for _, stream := range report.Streams {
		if _, known := heard[stream.Stream.VM]; !known {
			heard[stream.Stream.VM] = s.SilentSince(stream.Stream.VM, now)
		}
	}
	s.serversLock.Lock()
	s.queuesLock.Lock()
	s.permitsLock.Lock()
	srv, ok := s.servers[report.Server]
	var orphans []dragonflypass.StreamID
	if ok {
		if srv.reported && srv.epoch != report.Epoch {
			s.forget(srv)
		}
		srv.reachable, srv.reported, srv.epoch = true, true, report.Epoch
		srv.models = report.Models
		srv.closing = s.Current().NextMaintenance(string(report.Server), now)
		srv.slots = s.Current().Slots(&srv.declared, now)
		orphans = s.compare(srv, report, heard, now)
	}
	s.permitsLock.Unlock()
	s.queuesLock.Unlock()
	s.serversLock.Unlock()
	for _, stream := range orphans {
		s.cancelLater(report.Server, stream)
	}
	s.dispatch()
}

// compare settles permits against the report and returns the streams to cancel; it is called with all tables locked.
func (s *Scheduler) compare(srv *server, report dragonflypass.ServerReport, heard map[dragonflypass.VMID]time.Time, now time.Time) []dragonflypass.StreamID {
	var cancel []dragonflypass.StreamID
	reported := make(map[dragonflypass.StreamID]bool, len(report.Streams))
	srv.behind = false
	for _, stream := range report.Streams {
		reported[stream.Stream] = true
		p, ok := s.permits[stream.Stream]
		if !ok {
			s.meet(srv, stream, heard[stream.Stream.VM], now)
			continue
		}
		if stream.Prefilled {
			srv.prefilled(stream.Stream)
		} else if !p.due.IsZero() && now.Sub(p.due) > s.Lag/2+lateTime {
			srv.behind = true
		}
		if p.orphan {
			cancel = append(cancel, stream.Stream)
		}
	}
	for stream, p := range s.permits {
		if p.held.Server == srv.declared.ID && !reported[stream] && s.vanished(p, now) {
			s.drop(p)
		}
	}
	return cancel
}

// meet accounts for a reported stream without a permit, as after a change of
// owner; its entry VM has until the lease since its last heartbeat ends to claim it.
func (s *Scheduler) meet(srv *server, stream dragonflypass.StreamReport, heard, now time.Time) {
	if at, gone := s.released[stream.Stream]; gone && now.Sub(at) <= s.Lag {
		return
	}
	held := dragonflypass.OpenStream{Stream: stream.Stream, Server: srv.declared.ID, Tokens: stream.Tokens}
	s.keep(&permit{held: held, weight: 1, granted: now, heard: heard, strange: true})
	srv.reserved += stream.Tokens
	srv.streams++
}

// vanished reports whether an orphan that is missing from the latest report is gone from the server.
func (s *Scheduler) vanished(p *permit, now time.Time) bool {
	return p.orphan && now.Sub(p.since) > s.Lag
}

// HandleUnreachable notes that a server's report failed, and that the server died when refused says that nothing listens.
// It returns what was running when the death is news.
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
	crash, news := s.crash(srv)
	s.forget(srv)
	return crash, news
}

// HandleRestart drops what was running on a server whose epoch has changed, and returns it when that is news.
func (s *Scheduler) HandleRestart(report dragonflypass.ServerReport) (dragonflypass.ServerCrash, bool) {
	s.serversLock.Lock()
	defer s.serversLock.Unlock()
	s.permitsLock.Lock()
	defer s.permitsLock.Unlock()
	srv, ok := s.servers[report.Server]
	if !ok || !srv.reported || srv.epoch == report.Epoch {
		return dragonflypass.ServerCrash{}, false
	}
	crash, news := s.crash(srv)
	s.forget(srv)
	return crash, news
}

// crash accuses what ran on the server, before any of it can run elsewhere, and
// reports whether the crash was news; it is called with the servers and permits locked.
func (s *Scheduler) crash(srv *server) (dragonflypass.ServerCrash, bool) {
	crash := dragonflypass.ServerCrash{Server: srv.declared.ID, Epoch: srv.epoch, At: s.Timer.Now()}
	for _, p := range s.permits {
		if p.held.Server == srv.declared.ID && p.held.Fingerprint != (dragonflypass.Fingerprint{}) {
			crash.Fingerprints = append(crash.Fingerprints, p.held.Fingerprint)
		}
	}
	return crash, len(crash.Fingerprints) > 0 && s.Quarantiner.RecordCrash(crash)
}

// forget drops the accounting of a server that died; its memory died with it.
func (s *Scheduler) forget(srv *server) {
	for _, p := range s.permits {
		if p.held.Server == srv.declared.ID {
			s.drop(p)
		}
	}
	srv.reported = false
	srv.levels = [levelCount]time.Time{}
	srv.hasLong = false
}

// Prefilled changes nothing: the server's reports tell which prompts have been processed.
func (s *Scheduler) Prefilled(dragonflypass.StreamID) {}
