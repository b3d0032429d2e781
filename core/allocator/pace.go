package allocator

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// minPrefillTime is the predicted time to a first token below which the delays of the network hide the speed of the server.
	minPrefillTime = 40 * time.Millisecond
	// minPasses is the number of passes from which the time of an answer shows the speed of the server: the first and the last
	// one may be off by one pass.
	minPasses = 8
	// minSlowdown is the pace from which the predictions of a server are slowed down. With 1.25, simulated days without a slow
	// server earned less, because predictions are off by that much at servers without any fault.
	minSlowdown = 1.5
)

// paceObservation is what a permit has shown of the speed of its server.
type paceObservation struct {
	// due is the time at which the first token was predicted before it was overdue, zero if it was not.
	due time.Time
	// prefilledAt is the time of the first token, zero before it, and passes the number of passes predicted until then.
	prefilledAt time.Time
	passes      int
}

// keepDue keeps the prediction of the first token before it is extended for the first time.
func (o *paceObservation) keepDue(firstToken time.Time) {
	if o.due.IsZero() {
		o.due = firstToken
	}
}

// observePrefill compares the time of the first token with the prediction, which includes what other prompts that were placed
// later have delayed. The slowest one of the servers of a divided prompt determines the time, so that it shows nothing of those
// that are known to be faster; the others share the observation. The mutex must be held, and the engines must have been advanced
// to the time.
func (a *Allocator) observePrefill(p *permit, at time.Time) {
	p.pace.prefilledAt, p.pace.passes = at, p.server.engine.DecodePasses()
	a.comparePrefill(p, at)
}

// comparePrefill records the time of the first token, or the time at which the wait for it ended.
func (a *Allocator) comparePrefill(p *permit, at time.Time) {
	predicted := p.due().Sub(p.grantedAt)
	if predicted < minPrefillTime {
		return
	}
	ratio := at.Sub(p.grantedAt).Seconds() / predicted.Seconds()
	slowest := p.server.engine.Slowdown
	for _, s := range p.helpers {
		slowest = max(slowest, s.engine.Slowdown)
	}
	for _, s := range p.servers() {
		if s.engine.Slowdown == slowest {
			a.recordPace(s, ratio, 1/float64(p.parts))
		}
	}
}

// due returns the time at which the first token was predicted before it was overdue.
func (p *permit) due() time.Time {
	if p.pace.due.IsZero() {
		return p.firstToken
	}
	return p.pace.due
}

// observeRelease learns from a stream that has ended. One that ended while its first token was overdue shows that the server
// takes at least as long: callers do not wait for those of a very slow server. The mutex must be held.
func (a *Allocator) observeRelease(p *permit, release dragonflypass.PermitRelease, at time.Time) {
	switch {
	case release.Outcome == dragonflypass.OutcomeDone:
		a.observePasses(p, release.OutputTokens, at)
	case release.Outcome == dragonflypass.OutcomeCancelled && !p.prefilled && at.After(p.due()):
		a.comparePrefill(p, at)
	}
}

// observePasses compares the number of passes in which a server has generated an answer of the given length with the number
// predicted for the time. The mutex must be held.
func (a *Allocator) observePasses(p *permit, outputTokens int, at time.Time) {
	if p.pace.prefilledAt.IsZero() {
		return
	}
	// The first token comes at the end of the first pass.
	passes := outputTokens/max(1, p.cluster.costModel.StepsPerPass) - 1
	if passes < minPasses {
		return
	}
	p.server.engine.Advance(at)
	if predicted := p.server.engine.DecodePasses() - p.pace.passes; predicted > 0 {
		a.recordPace(p.server, float64(predicted)/float64(passes), 1)
	}
}

// recordPace records an observation of the server, relative to its present pace, and adapts its predictions.
func (a *Allocator) recordPace(s *server, ratio, share float64) {
	// A server that seems faster than its cost model only shows that the prediction was too careful. In a simulation with a slow
	// server, others otherwise came to be predicted at twice their speed, and got more than they could process.
	a.RecordPace(&s.entry, max(1, ratio*s.engine.Slowdown), share)
	a.updateSlowdown(s)
}

// updateSlowdown adapts the predictions of the server to its pace.
func (a *Allocator) updateSlowdown(s *server) {
	s.engine.Slowdown = 1
	if pace := a.Pace(&s.entry); pace >= minSlowdown {
		s.engine.Slowdown = pace
	}
}

// updatePaces adapts the predictions to the paces of the servers, which change also without observations. The mutex must be held.
func (a *Allocator) updatePaces() {
	for _, c := range a.clusters {
		for _, s := range c.serverList {
			a.updateSlowdown(s)
		}
	}
}
