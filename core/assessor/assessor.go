package assessor

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// failureLimit is the number of consecutive failures after which a server is ejected.
	failureLimit = 2
	// initialEjection is the duration of the first ejection; it doubles with each further failure.
	initialEjection = 500 * time.Millisecond
	// maxEjection is the maximum duration of an ejection.
	maxEjection = 8 * time.Second
	// failureWindow is the time after a failure during which further failed requests are not counted.
	failureWindow = 300 * time.Millisecond
	// trialTimeout is the time to wait for the end of a trial request before another one may be sent to the server.
	trialTimeout = 2 * time.Second
)

// Outcome is the outcome of a request, as evidence of the server's health.
type Outcome uint8

// The outcomes of requests.
const (
	// Answered means that the server sent a response that does not report a failure of the server.
	Answered Outcome = iota
	// Failed means that the server interrupted the response, did not respond in time, reported a failure, or accepts
	// no requests.
	Failed
	// ConnectFailed means that no connection to the server could be established.
	ConnectFailed
	// InvalidRequest means that the server reported that the request itself is invalid.
	InvalidRequest
	// Inconclusive means that the outcome is no evidence of the server's health, for example because the caller
	// disconnected.
	Inconclusive
)

// Assessor tracks the failures of servers.
type Assessor struct {
	Timer  dragonflypass.Timer
	Meter  dragonflypass.Meter
	Logger dragonflypass.Logger
	// Reached is called with a server that is reachable again, with no lock held.
	Reached func(id dragonflypass.ServerID)

	mutex   locker.Mutex
	servers map[dragonflypass.ServerID]*serverRecord
}

type serverRecord struct {
	failures int
	// unreachable is set after a failed connection or probe, until a probe succeeds, and unreachableSince is the time at
	// which it was set.
	unreachable      bool
	unreachableSince time.Time
	// lastFailure is the time of the last counted failure.
	lastFailure time.Time
	// ejectedUntil is the time at which the last ejection ends.
	ejectedUntil time.Time
	// trialUntil is the time until which a trial request in progress keeps other requests away from the server.
	trialUntil time.Time
}

// New returns an assessor that considers all servers healthy.
func New() *Assessor {
	return &Assessor{
		Reached: func(dragonflypass.ServerID) {},
		mutex:   locker.Mutex{Order: locker.Suspects}, servers: make(map[dragonflypass.ServerID]*serverRecord),
	}
}

// Healthy reports whether the server may receive requests: it is reachable, not ejected, and no trial request is
// in progress.
func (a *Assessor) Healthy(id dragonflypass.ServerID) bool {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r, ok := a.servers[id]
	return !ok || (!r.unreachable && (r.failures < failureLimit || (!now.Before(r.ejectedUntil) && !now.Before(r.trialUntil))))
}

// Unreachable reports whether a connection to the server or a probe failed and no probe has succeeded since.
func (a *Assessor) Unreachable(id dragonflypass.ServerID) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r, ok := a.servers[id]
	return ok && r.unreachable
}

// UnreachableTime returns how long the server has been unreachable, zero if it is not.
func (a *Assessor) UnreachableTime(id dragonflypass.ServerID) time.Duration {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r, ok := a.servers[id]
	if !ok || !r.unreachable {
		return 0
	}
	return max(1, now.Sub(r.unreachableSince))
}

// RecordProbe records whether a probe reached the server.
func (a *Assessor) RecordProbe(id dragonflypass.ServerID, reachable bool) {
	now := a.Timer.Now()
	a.mutex.Lock()
	r, ok := a.servers[id]
	changed := reachable != !(ok && r.unreachable)
	if !reachable {
		r = a.record(id)
	}
	if changed {
		r.unreachable, r.unreachableSince = !reachable, now
	}
	a.mutex.Unlock()
	if changed && reachable {
		a.Reached(id)
	}
	if changed {
		a.Logger.Info("backend server probed", "server", id, "reached", reachable)
	}
}

// Retain removes the records of the servers that are not listed.
func (a *Assessor) Retain(listed map[dragonflypass.ServerID]bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for id := range a.servers {
		if !listed[id] {
			delete(a.servers, id)
		}
	}
}

// record returns the server's record and creates it if needed. The caller must hold the mutex.
func (a *Assessor) record(id dragonflypass.ServerID) *serverRecord {
	r, ok := a.servers[id]
	if !ok {
		r = &serverRecord{}
		a.servers[id] = r
	}
	return r
}

// RecordSelection records that a request is about to be sent to the server. If the server has been ejected, the
// request is a trial request, and no other request should be sent there until it ends.
func (a *Assessor) RecordSelection(id dragonflypass.ServerID) {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if r, ok := a.servers[id]; ok && r.failures >= failureLimit {
		r.trialUntil = now.Add(trialTimeout)
	}
}

// RecordOutcome records the outcome of a request.
func (a *Assessor) RecordOutcome(id dragonflypass.ServerID, outcome Outcome) {
	if outcome == InvalidRequest || outcome == Inconclusive {
		return
	}
	now := a.Timer.Now()
	a.mutex.Lock()
	if _, ok := a.servers[id]; !ok && outcome == Answered {
		a.mutex.Unlock()
		return
	}
	r := a.record(id)
	previous := *r
	ejection := r.apply(outcome, now)
	a.mutex.Unlock()
	switch {
	case ejection > 0:
		a.Meter.Add(dragonflypass.CountServerEjected, 1)
		a.Logger.Info("backend server ejected", "server", id, "failures", previous.failures+1, "span", ejection)
	case outcome == ConnectFailed && !previous.unreachable:
		a.Meter.Add(dragonflypass.CountServerEjected, 1)
		a.Logger.Info("backend server unreached", "server", id)
	case outcome == Answered && previous.failures >= failureLimit:
		a.Logger.Info("backend server reinstated", "server", id)
	}
}

// apply updates the record and returns the duration of a new ejection, zero if there is none.
func (r *serverRecord) apply(outcome Outcome, now time.Time) time.Duration {
	r.trialUntil = time.Time{}
	switch outcome {
	case Answered:
		r.failures = 0
		return 0
	case ConnectFailed:
		if !r.unreachable {
			r.unreachable, r.unreachableSince = true, now
		}
		return 0
	}
	if now.Sub(r.lastFailure) < failureWindow {
		return 0
	}
	r.lastFailure = now
	r.failures++
	if r.failures < failureLimit {
		return 0
	}
	ejection := min(maxEjection, initialEjection<<min(r.failures-failureLimit, 8))
	r.ejectedUntil = now.Add(ejection)
	return ejection
}

// ServerHealth is the record of a failing server in a state dump.
type ServerHealth struct {
	Server dragonflypass.ServerID
	// Failures is the number of consecutive failures.
	Failures    int
	Unreachable bool
	// EjectedUntil is the time at which the last ejection ends, zero if there was none.
	EjectedUntil time.Time
}

// FailingServers returns the servers that are unreachable or have failed since their last success, sorted by
// identifier.
func (a *Assessor) FailingServers() []ServerHealth {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	failing := make([]ServerHealth, 0, len(a.servers))
	for id, r := range a.servers {
		if r.failures > 0 || r.unreachable {
			failing = append(failing, ServerHealth{Server: id, Failures: r.failures, Unreachable: r.unreachable, EjectedUntil: r.ejectedUntil})
		}
	}
	slices.SortFunc(failing, func(x, y ServerHealth) int { return cmp.Compare(x.Server, y.Server) })
	return failing
}
