package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// completionRetention is how long the completion of a suspect is remembered. It is longer than a VM waits for the status of
	// another one, which may be cut off.
	completionRetention = suspectDuration
	// maxCompletions is the largest number of completed suspects that are remembered.
	maxCompletions = 2048
	// sendOrderTolerance is the error with which it is known whether a request was sent after a crash. A VM whose report is delayed
	// for longer counts a crash less, and learns of the quarantine from the statuses of others.
	sendOrderTolerance = 2 * time.Millisecond
	// maxRequestStatuses is the largest number of statuses of requests in a heartbeat.
	maxRequestStatuses = 64
)

// suspect is a request that servers were running when they crashed.
type suspect struct {
	// crashes are the crashes that count against the request, at most as many as quarantine it.
	crashes   []dragonflypass.CrashID
	lastCrash time.Time
	expiresAt time.Time
}

// add adds crashes, unless they are known. limit is the number of crashes at which the request is quarantined.
func (s *suspect) add(crashes []dragonflypass.CrashID, at time.Time, limit int) {
	for _, crash := range crashes {
		if len(s.crashes) < limit && !slices.Contains(s.crashes, crash) {
			s.crashes = append(s.crashes, crash)
		}
	}
	if at.After(s.lastCrash) {
		s.lastCrash = at
	}
	s.expiresAt = s.lastCrash.Add(suspectDuration)
	if s.quarantined(limit) {
		s.expiresAt = s.lastCrash.Add(quarantineDuration)
	}
}

// quarantined reports whether the request must not run.
func (s *suspect) quarantined(limit int) bool { return len(s.crashes) >= limit }

// suspectOf returns the suspect with the fingerprint, and creates it if there is none. It is called with the mutex held.
func (q *Quarantiner) suspectOf(fingerprint dragonflypass.Fingerprint, now time.Time) *suspect {
	s, ok := q.suspects[fingerprint]
	if !ok || !now.Before(s.expiresAt) {
		evictIfFull(q.suspects, maxSuspects, func(a, b *suspect) bool { return a.expiresAt.Before(b.expiresAt) })
		s = &suspect{}
		q.suspects[fingerprint] = s
	}
	return s
}

// recordCompletion removes a suspect that a server has completed, unless it is quarantined. It is called with the mutex held.
func (q *Quarantiner) recordCompletion(fingerprint dragonflypass.Fingerprint, now time.Time) {
	s, ok := q.suspects[fingerprint]
	if !ok || s.quarantined(q.CrashLimit) {
		return
	}
	q.clearSuspect(fingerprint, now)
}

// clearSuspect removes a suspect that a server has completed at the given time. It is called with the mutex held.
func (q *Quarantiner) clearSuspect(fingerprint dragonflypass.Fingerprint, completedAt time.Time) {
	delete(q.suspects, fingerprint)
	if _, known := q.completions[fingerprint]; !known {
		evictIfFull(q.completions, maxCompletions, time.Time.Before)
	}
	q.completions[fingerprint] = completedAt
}

// addCrashes adds crashes to a suspect. It is called with the mutex held.
func (q *Quarantiner) addCrashes(fingerprint dragonflypass.Fingerprint, s *suspect, crashes []dragonflypass.CrashID, at time.Time) {
	s.add(crashes, at, q.CrashLimit)
	if q.isGrave(s) {
		q.grave[fingerprint] = struct{}{}
	}
}

// isGrave reports whether other VMs are told of the suspect.
func (q *Quarantiner) isGrave(s *suspect) bool { return len(s.crashes) >= q.CrashLimit-1 }

// RequestStatuses returns what other VMs should know of requests: those that are quarantined or will be at the next crash, and
// those that another VM suspects although a server has completed them since.
func (q *Quarantiner) RequestStatuses() []dragonflypass.RequestStatus {
	now := q.Timer.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var suspects, completed []dragonflypass.RequestStatus
	for fingerprint := range q.grave {
		s, ok := q.suspects[fingerprint]
		if !ok || !q.isGrave(s) || !now.Before(s.expiresAt) {
			delete(q.grave, fingerprint)
			continue
		}
		suspects = append(suspects, dragonflypass.RequestStatus{Fingerprint: fingerprint, Crashes: slices.Clone(s.crashes), LastCrash: s.lastCrash})
	}
	for fingerprint, at := range q.disputed {
		completed = append(completed, dragonflypass.RequestStatus{Fingerprint: fingerprint, CompletedAt: at})
	}
	slices.SortFunc(suspects, func(a, b dragonflypass.RequestStatus) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), b.LastCrash.Compare(a.LastCrash))
	})
	slices.SortFunc(completed, func(a, b dragonflypass.RequestStatus) int { return b.CompletedAt.Compare(a.CompletedAt) })
	// Both kinds get a part of the limit, so that neither keeps the other from the other VMs.
	suspects = suspects[:min(len(suspects), maxRequestStatuses/2)]
	return append(suspects, completed[:min(len(completed), maxRequestStatuses/2)]...)
}

// MergeRequests adds what another VM knows of requests that crash servers, so that a VM that starts, or missed the reports of
// crashes, does not send them to servers.
func (q *Quarantiner) MergeRequests(statuses []dragonflypass.RequestStatus) {
	if len(statuses) == 0 {
		return
	}
	now := q.Timer.Now()
	quarantined, cleared := 0, 0
	q.mutex.Lock()
	for _, status := range statuses[:min(len(statuses), maxRequestStatuses)] {
		if !status.CompletedAt.IsZero() {
			cleared += q.mergeCompletion(status, now)
			continue
		}
		quarantined += q.mergeSuspect(status, now)
	}
	q.mutex.Unlock()
	if quarantined > 0 {
		q.Meter.Add(dragonflypass.CountQuarantined, int64(quarantined))
		q.Logger.Warn("request quarantined", "reporter", "another VM", "requests", quarantined)
	}
	if cleared > 0 {
		q.Logger.Info("request cleared", "requests", cleared)
	}
}

// mergeSuspect adds the crashes of a suspect. It returns the number of requests, zero or one, that this puts in quarantine. It is
// called with the mutex held.
func (q *Quarantiner) mergeSuspect(status dragonflypass.RequestStatus, now time.Time) int {
	lastCrash := status.LastCrash
	if lastCrash.After(now) {
		lastCrash = now
	}
	if completedAt, ok := q.completions[status.Fingerprint]; ok && !lastCrash.After(completedAt) {
		q.dispute(status.Fingerprint, completedAt)
		return 0
	}
	retention := suspectDuration
	if len(status.Crashes) >= q.CrashLimit {
		retention = quarantineDuration
	}
	if len(status.Crashes) == 0 || now.Sub(lastCrash) >= retention {
		return 0
	}
	s := q.suspectOf(status.Fingerprint, now)
	if lastCrash.Sub(s.lastCrash) < mergeTolerance {
		// The time that messages take must not prolong the quarantine each time that the VMs exchange their statuses.
		lastCrash = s.lastCrash
	}
	wasQuarantined := s.quarantined(q.CrashLimit)
	q.addCrashes(status.Fingerprint, s, status.Crashes, lastCrash)
	if wasQuarantined || !s.quarantined(q.CrashLimit) {
		return 0
	}
	return 1
}

// mergeCompletion removes a suspect that a server has completed since its last crash, also if it is quarantined. It returns the
// number of requests removed, zero or one. It is called with the mutex held.
func (q *Quarantiner) mergeCompletion(status dragonflypass.RequestStatus, now time.Time) int {
	s, ok := q.suspects[status.Fingerprint]
	if !ok || status.CompletedAt.Before(s.lastCrash) {
		return 0
	}
	q.clearSuspect(status.Fingerprint, status.CompletedAt)
	q.dispute(status.Fingerprint, status.CompletedAt)
	return 1
}

// dispute lets other VMs know that a server has completed the request. It is called with the mutex held.
func (q *Quarantiner) dispute(fingerprint dragonflypass.Fingerprint, completedAt time.Time) {
	if _, known := q.disputed[fingerprint]; !known {
		evictIfFull(q.disputed, maxRequestStatuses, time.Time.Before)
	}
	q.disputed[fingerprint] = completedAt
}

// Suspect describes a suspected or quarantined request in a state dump.
type Suspect struct {
	Account dragonflypass.AccountID
	Model   dragonflypass.ModelID
	// Crashes is the number of crashes that count against the request, at most as many as quarantine it.
	Crashes int
	// Until is the time at which the suspicion or the quarantine expires.
	Until time.Time
}

// Suspects returns the suspects for a state dump, in no particular order.
func (q *Quarantiner) Suspects() []Suspect {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	suspects := make([]Suspect, 0, len(q.suspects))
	for fingerprint, s := range q.suspects {
		suspects = append(suspects, Suspect{Account: fingerprint.Account, Model: fingerprint.Model, Crashes: len(s.crashes), Until: s.expiresAt})
	}
	return suspects
}
