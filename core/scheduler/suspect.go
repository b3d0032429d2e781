package scheduler

import (
	"slices"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
)

// guarded refuses a quarantined request, and a copy of a suspect with one of the verdicts: were copies
// that the entry VMs sent before word of the crash reached them to wait here, they would run at several owners.
func (s *Scheduler) guarded(request *dragonflypass.PermitRequest, verdicts ...quarantiner.Decision) *dragonflypass.Refusal {
	verdict := s.Quarantiner.Check(request.Fingerprint)
	switch {
	case verdict == quarantiner.Quarantined:
		return dragonflypass.Refuse(dragonflypass.ReasonQuarantined, 0, "backend servers crashed while running this request")
	case request.StreamFailures == 0 && slices.Contains(verdicts, verdict):
		return dragonflypass.Refuse(dragonflypass.ReasonBusy, retryMin, "a backend server crashed while running a copy of this request")
	}
	return nil
}

// cleared reports whether the request is a suspect and whether it may run now; it is called with the permits locked.
func (s *Scheduler) cleared(request *dragonflypass.PermitRequest) (suspect, may bool) {
	verdict := s.Quarantiner.Check(request.Fingerprint)
	suspect = verdict != quarantiner.Allowed || request.StreamFailures > 0
	switch {
	case verdict == quarantiner.Quarantined, verdict == quarantiner.Delayed:
		return suspect, false
	case suspect || !s.Quarantiner.Proven(request.Fingerprint):
		return suspect, !s.copied(request)
	}
	return false, true
}

// copied reports whether another request with the fingerprint runs at an owned server; it is called with the permits locked.
func (s *Scheduler) copied(request *dragonflypass.PermitRequest) bool {
	for _, p := range s.prints[request.Fingerprint] {
		sameGroup := request.Group != 0 && p.group == request.Group && p.held.Stream.VM == request.Stream.VM
		if !sameGroup {
			return true
		}
	}
	return false
}

// stopCopies ends the streams of requests that crashed a server elsewhere, before they crash theirs:
// all of a quarantined request, and of a suspect those that began before it was one.
// Their entry VMs resume them as suspects.
func (s *Scheduler) stopCopies() {
	var stops []dragonflypass.OpenStream
	s.permitsLock.Lock()
	for _, p := range s.permits {
		if p.strange || p.orphan {
			continue
		}
		verdict := s.Quarantiner.Check(p.held.Fingerprint)
		if verdict == quarantiner.Quarantined || (verdict != quarantiner.Allowed && !p.suspect) {
			stops = append(stops, p.held)
		}
	}
	s.permitsLock.Unlock()
	for _, held := range stops {
		s.cancelLater(held.Server, held.Stream)
	}
}
