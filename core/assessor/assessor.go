package assessor

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// failLimit is the number of failures in a row after which a server is left out.
	failLimit = 2
	// firstOut is how long a server is left out at first; the time doubles with each further failure.
	firstOut = 500 * time.Millisecond
	// longestOut bounds the time for which a server is left out.
	longestOut = 8 * time.Second
	// oneFailure is the time in which several failed requests count as one failure of the server.
	oneFailure = 300 * time.Millisecond
	// trialTime is how long one request may try a server before another one may.
	trialTime = 2 * time.Second
)

// Outcome is how a request at a server ended, as far as it tells of the server.
type Outcome uint8

// The outcomes.
const (
	// Answered means that the server's own answer came, and does not say that the server failed.
	Answered Outcome = iota
	// Failed means that the server broke off, did not answer in time, or said that it failed or takes no work.
	Failed
	// ConnectFailed means that no connection to the server could be made.
	ConnectFailed
	// InvalidRequest means that the server stated that the request itself is faulty.
	InvalidRequest
	// Inconclusive means that the end tells nothing of the server, as when the caller went away.
	Inconclusive
)

// Assessor keeps the table of servers' failures.
type Assessor struct {
	Timer  dragonflypass.Timer
	Meter  dragonflypass.Meter
	Logger dragonflypass.Logger

	mutex locker.Mutex
	rows  map[dragonflypass.ServerID]*row
}

type row struct {
	fails int
	// unreached is set from a failed connection until a probe succeeds.
	unreached bool
	// failed is the instant of the last failure.
	failed time.Time
	// out is the instant up to which the server is left out.
	out time.Time
	// trial is the instant up to which one request tries the server after its time out.
	trial time.Time
}

// New returns an assessor to which all servers are sound.
func New() *Assessor {
	return &Assessor{mutex: locker.Mutex{Order: locker.Suspects}, rows: make(map[dragonflypass.ServerID]*row)}
}

// Healthy reports whether the server may be given work like any other.
func (a *Assessor) Healthy(id dragonflypass.ServerID) bool {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r, ok := a.rows[id]
	return !ok || (!r.unreached && (r.fails < failLimit || (!now.Before(r.out) && !now.Before(r.trial))))
}

// Unreachable reports whether the server could not be reached and no probe has succeeded since.
func (a *Assessor) Unreachable(id dragonflypass.ServerID) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r, ok := a.rows[id]
	return ok && r.unreached
}

// RecordProbe takes the outcome of a probe of the server.
func (a *Assessor) RecordProbe(id dragonflypass.ServerID, reached bool) {
	a.mutex.Lock()
	r, ok := a.rows[id]
	changed := reached != !(ok && r.unreached)
	if !reached {
		r = a.row(id)
	}
	if changed {
		r.unreached = !reached
	}
	a.mutex.Unlock()
	if changed {
		a.Logger.Info("backend server probed", "server", id, "reached", reached)
	}
}

// Retain forgets the servers that are not listed.
func (a *Assessor) Retain(listed map[dragonflypass.ServerID]bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for id := range a.rows {
		if !listed[id] {
			delete(a.rows, id)
		}
	}
}

// row is called with the mutex held.
func (a *Assessor) row(id dragonflypass.ServerID) *row {
	r, ok := a.rows[id]
	if !ok {
		r = &row{}
		a.rows[id] = r
	}
	return r
}

// RecordSelection notes that the server is given a request: for one that was left out it is a trial, and others wait for its end.
func (a *Assessor) RecordSelection(id dragonflypass.ServerID) {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if r, ok := a.rows[id]; ok && r.fails >= failLimit {
		r.trial = now.Add(trialTime)
	}
}

// RecordOutcome takes the end of a request at the server.
func (a *Assessor) RecordOutcome(id dragonflypass.ServerID, outcome Outcome) {
	if outcome == InvalidRequest || outcome == Inconclusive {
		return
	}
	now := a.Timer.Now()
	a.mutex.Lock()
	if _, ok := a.rows[id]; !ok && outcome == Answered {
		a.mutex.Unlock()
		return
	}
	r := a.row(id)
	before := *r
	out := r.note(outcome, now)
	a.mutex.Unlock()
	switch {
	case out > 0:
		a.Meter.Add(dragonflypass.CountServerEjected, 1)
		a.Logger.Info("backend server left out", "server", id, "failures", before.fails+1, "span", out)
	case outcome == ConnectFailed && !before.unreached:
		a.Meter.Add(dragonflypass.CountServerEjected, 1)
		a.Logger.Info("backend server unreached", "server", id)
	case outcome == Answered && before.fails >= failLimit:
		a.Logger.Info("backend server taken back", "server", id)
	}
}

// note returns for how long the server is left out, zero when it is not.
func (r *row) note(outcome Outcome, now time.Time) time.Duration {
	r.trial = time.Time{}
	switch outcome {
	case Answered:
		r.fails = 0
		return 0
	case ConnectFailed:
		r.unreached = true
		return 0
	}
	if now.Sub(r.failed) < oneFailure {
		return 0
	}
	r.failed = now
	r.fails++
	if r.fails < failLimit {
		return 0
	}
	out := min(longestOut, firstOut<<min(r.fails-failLimit, 8))
	r.out = now.Add(out)
	return out
}

// ServerHealth is a server that failed lately, in a dump.
type ServerHealth struct {
	Server dragonflypass.ServerID
	// Failures is the number of failures in a row.
	Failures  int
	Unreached bool
	// Out is the instant up to which the server is left out, zero when it is not.
	Out time.Time
}

// FailingServers returns the servers that failed lately, by their identifiers.
func (a *Assessor) FailingServers() []ServerHealth {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	rows := make([]ServerHealth, 0, len(a.rows))
	for id, r := range a.rows {
		if r.fails > 0 || r.unreached {
			rows = append(rows, ServerHealth{Server: id, Failures: r.fails, Unreached: r.unreached, Out: r.out})
		}
	}
	slices.SortFunc(rows, func(x, y ServerHealth) int { return cmp.Compare(x.Server, y.Server) })
	return rows
}
