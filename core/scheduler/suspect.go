package scheduler

import (
	"slices"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
)

// checkQuarantine refuses a quarantined request, and a copy of a suspect if the decision on it is one of busyDecisions.
// Copies that entry VMs sent before they received the crash report would otherwise queue here and run at several
// owners.
func (s *Scheduler) checkQuarantine(request *dragonflypass.PermitRequest, busyDecisions ...quarantiner.Decision) *dragonflypass.Refusal {
	if refusal := s.Quarantiner.Refuses(request.Fingerprint, request.Parts); refusal != nil {
		return refusal
	}
	decision := s.Quarantiner.Check(request.Fingerprint)
	// A request that goes on after an interruption is no copy.
	if request.StreamFailures == 0 && !request.Begun && slices.Contains(busyDecisions, decision) {
		return dragonflypass.Refuse(dragonflypass.ReasonBusy, minRetryAfter, "a backend server crashed while running a copy of this request")
	}
	return nil
}

// checkSuspect reports whether the request is a suspect and whether it may run now; the permits lock must be held.
func (s *Scheduler) checkSuspect(request *dragonflypass.PermitRequest) (suspect, allowed bool) {
	decision := s.Quarantiner.Check(request.Fingerprint)
	suspect = decision != quarantiner.Allowed || request.StreamFailures > 0
	switch {
	case decision == quarantiner.Quarantined, decision == quarantiner.Delayed:
		return suspect, false
	case suspect || !s.Quarantiner.RecentlySucceeded(request.Fingerprint):
		return suspect, !s.hasRunningCopy(request)
	}
	return false, true
}

// hasRunningCopy reports whether another request with the same fingerprint runs at an owned server, other than
// streams of the same group; the permits lock must be held.
func (s *Scheduler) hasRunningCopy(request *dragonflypass.PermitRequest) bool {
	for _, p := range s.byFingerprint[request.Fingerprint] {
		sameGroup := request.Group != 0 && p.group == request.Group && p.stream.Stream.VM == request.Stream.VM
		if !sameGroup {
			return true
		}
	}
	return false
}

// cancelCopies cancels the streams of requests that crashed a server elsewhere, before they crash an owned server:
// all streams of a quarantined request, and those of a suspect that were granted before it became one.
// Their entry VMs resume the requests as suspects.
func (s *Scheduler) cancelCopies() {
	var streams []dragonflypass.OpenStream
	s.permitsLock.Lock()
	for _, p := range s.permits {
		if p.unconfirmed || p.orphan {
			continue
		}
		decision := s.Quarantiner.Check(p.stream.Fingerprint)
		if decision == quarantiner.Quarantined || (decision != quarantiner.Allowed && !p.suspect) {
			streams = append(streams, p.stream)
		}
	}
	s.permitsLock.Unlock()
	for _, stream := range streams {
		s.submitCancel(stream.Server, stream.Stream)
	}
}
