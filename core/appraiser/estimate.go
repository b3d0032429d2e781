package appraiser

import (
	"math"
	"time"
)

const (
	// minWeight is the smallest weight of an observation in the mean.
	minWeight = 0.05
	// maxCount bounds the number of observations that an estimate rests on.
	maxCount = 1 / minWeight
	// countHalfLife is the time after which an observation counts half.
	countHalfLife = time.Minute
	// spreadLimit is the number of spreads by which a single observation may differ from the mean, and minSpread the smallest
	// spread as a share of the mean that is used for it.
	spreadLimit = 3
	minSpread   = 0.05
	// shiftCount is the number of successive observations beyond the limit on one side after which they replace the estimate.
	// With 1% of the requests that take several times longer, chance produces such a sequence once in 10^10 requests.
	shiftCount = 5
)

// estimate is an exponentially decaying mean and mean deviation that a single odd observation moves only a little.
type estimate struct {
	mean   float64
	spread float64
	// count is the number of observations that the estimate rests on, as of the time at.
	count float64
	at    time.Time
	// shifted is the number of successive observations beyond the limit, negative if they were below the mean, and
	// shiftedSum their sum.
	shifted    int
	shiftedSum float64
}

// evidence returns the number of observations that the estimate rests on now.
func (e *estimate) evidence(now time.Time) float64 {
	if e.count == 0 {
		return 0
	}
	return e.count * math.Exp2(-max(0, now.Sub(e.at).Seconds())/countHalfLife.Seconds())
}

// record adds an observation.
func (e *estimate) record(value float64, now time.Time) {
	e.count = min(maxCount, e.evidence(now)+1)
	e.at = now
	if e.mean == 0 {
		e.mean, e.spread = value, value/2
		return
	}
	limit := spreadLimit * max(e.spread, minSpread*e.mean)
	deviation := value - e.mean
	if e.recordShift(value, deviation, limit) {
		return
	}
	deviation = max(-limit, min(limit, deviation))
	weight := max(minWeight, 1/e.count)
	e.mean += weight * deviation
	e.spread += weight * (math.Abs(deviation) - e.spread)
}

// recordShift counts successive observations beyond the limit on one side. It replaces the estimate and returns true once
// there are shiftCount of them.
func (e *estimate) recordShift(value, deviation, limit float64) bool {
	switch {
	case math.Abs(deviation) <= limit:
		e.shifted, e.shiftedSum = 0, 0
		return false
	case deviation > 0 != (e.shifted > 0):
		e.shifted, e.shiftedSum = 0, 0
	}
	e.shiftedSum += value
	if e.shifted++; deviation < 0 {
		e.shifted -= 2
	}
	if e.shifted < shiftCount && e.shifted > -shiftCount {
		return false
	}
	e.mean = e.shiftedSum / shiftCount
	e.spread = max(minSpread*e.mean, e.mean/4)
	e.count, e.shifted, e.shiftedSum = shiftCount, 0, 0
	return true
}

// sum accumulates estimates of the same quantity, weighted by their evidence.
type sum struct {
	weight, mean, spread float64
	// latest is the time of the latest observation.
	latest time.Time
}

func (s *sum) add(e *estimate, now time.Time) {
	weight := e.evidence(now)
	if weight == 0 {
		return
	}
	s.weight += weight
	s.mean += weight * e.mean
	s.spread += weight * max(e.spread, minSpread*e.mean)
	if e.at.After(s.latest) {
		s.latest = e.at
	}
}
