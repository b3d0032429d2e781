package assessor

import (
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
	// trialTime is how long one request may try a server before another one may.
	trialTime = 2 * time.Second
	// rowLimit is the number of servers that are remembered before unused ones are dropped.
	rowLimit = 256
	// forgetTime is how long a server without news is remembered.
	forgetTime = time.Minute
)

// Outcome is how a request at a server ended, as far as it tells of the server.
type Outcome uint8

// The outcomes.
const (
	// Answered means that the server's own answer came, whatever it was.
	Answered Outcome = iota
	// Failed means that the server could not be reached, broke off or did not answer in time.
	Failed
	// Declined means that the server stated that it did not run the request.
	Declined
	// Unjudged means that the end tells nothing of the server, as when the caller went away.
	Unjudged
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
	// out is the instant up to which the server is left out.
	out time.Time
	// trial is the instant up to which one request tries the server after its time out.
	trial time.Time
	heard time.Time
}

// New returns an assessor to which all servers are sound.
func New() *Assessor {
	return &Assessor{mutex: locker.Mutex{Order: locker.Suspects}, rows: make(map[dragonflypass.ServerID]*row)}
}

// Sound reports whether the server may be given work like any other.
func (a *Assessor) Sound(id dragonflypass.ServerID) bool {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r, ok := a.rows[id]
	return !ok || r.fails < failLimit || (!now.Before(r.out) && !now.Before(r.trial))
}

// Chosen notes that the server is given a request: for one that was left out it is a trial, and others wait for its end.
func (a *Assessor) Chosen(id dragonflypass.ServerID) {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if r, ok := a.rows[id]; ok && r.fails >= failLimit {
		r.trial = now.Add(trialTime)
	}
}

// Note takes the end of a request at the server.
func (a *Assessor) Note(id dragonflypass.ServerID, outcome Outcome) {
	if outcome != Failed && outcome != Answered {
		return
	}
	now := a.Timer.Now()
	a.mutex.Lock()
	r, ok := a.rows[id]
	if !ok {
		if outcome == Answered {
			a.mutex.Unlock()
			return
		}
		r = &row{}
		a.rows[id] = r
		a.forget(now)
	}
	before := r.fails
	out := r.note(outcome, now)
	a.mutex.Unlock()
	switch {
	case out > 0:
		a.Meter.Add(dragonflypass.CountServerLeftOut, 1)
		a.Logger.Info("backend server left out", "server", id, "failures", before+1, "span", out)
	case outcome == Answered && before >= failLimit:
		a.Logger.Info("backend server taken back", "server", id)
	}
}

// note returns for how long the server is left out, zero when it is not.
func (r *row) note(outcome Outcome, now time.Time) time.Duration {
	r.heard = now
	r.trial = time.Time{}
	if outcome == Answered {
		r.fails = 0
		return 0
	}
	r.fails++
	if r.fails < failLimit {
		return 0
	}
	out := min(longestOut, firstOut<<min(r.fails-failLimit, 8))
	r.out = now.Add(out)
	return out
}

// forget drops servers without news; it is called with the mutex held.
func (a *Assessor) forget(now time.Time) {
	if len(a.rows) < rowLimit {
		return
	}
	for id, r := range a.rows {
		if now.Sub(r.heard) > forgetTime {
			delete(a.rows, id)
		}
	}
}
