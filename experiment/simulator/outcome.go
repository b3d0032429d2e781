package simulator

import (
	"fmt"
	"slices"
	"time"
)

// sizeWorth returns the factor by which the worth of a request grows with its prompt: 1 at the mean length of its kind,
// at most 4.
func sizeWorth(tokens int, kind *Kind) float64 {
	return min(4, 0.3+0.7*float64(tokens)/kind.PromptTokens.Mean)
}

// evaluate returns the share of its worth that the request earned, whether its first event was late,
// and whether an event gap was too long.
func (r *request) evaluate() (earnedShare float64, lateFirst, longGap bool) {
	if r.firstEventAt.IsZero() || !r.finished {
		return 0, true, false
	}
	lateFirst = r.firstEventAt.Add(callerLinkDelay+linkDelay).Sub(r.arrived) > r.kind.FirstEventTarget
	longGap = r.longestGap > r.kind.MaxEventGap
	switch {
	case r.lastEventAt.Sub(r.arrived) > r.kind.Deadline:
		return 0, lateFirst, longGap
	case lateFirst || longGap:
		return r.kind.LateWorth / r.kind.Worth, lateFirst, longGap
	}
	return 1, false, false
}

// outcome summarizes the run.
func (s *simulation) outcome() Outcome {
	var o Outcome
	windowEarned, windowPossible := make(map[time.Duration]float64), make(map[time.Duration]float64)
	totalEarned, totalPossible := 0.0, 0.0
	for i := range s.site.Kinds {
		kind := &s.site.Kinds[i]
		result := Result{Kind: kind.Name}
		kindEarned, kindPossible := 0.0, 0.0
		for _, r := range s.arrivals {
			if r.kind != kind {
				continue
			}
			earnedShare, lateFirst, longGap := r.evaluate()
			worth := kind.Worth * sizeWorth(r.promptTokens, kind)
			kindEarned += earnedShare * worth
			kindPossible += worth
			at := r.arrived.Sub(s.start).Truncate(windowLength)
			windowEarned[at] += earnedShare * worth
			windowPossible[at] += worth
			result.Requests++
			switch {
			case earnedShare == 1:
				result.OnTime++
			case earnedShare > 0:
				result.Late++
			}
			if lateFirst {
				result.LateFirstEvents++
			}
			if longGap {
				result.LongGaps++
			}
			if earnedShare < 1 && s.trace != nil {
				fmt.Fprintf(s.trace, "%s at %v tokens %d events %d granted +%v parts %d first +%v (predicted +%v) longest pause %v\n",
					kind.Name, r.arrived.Sub(s.start).Round(time.Millisecond), r.promptTokens, r.eventCount, r.grantedAt.Sub(r.arrived).Round(time.Millisecond),
					1+len(r.permit.Helpers), r.firstEventAt.Sub(r.arrived).Round(time.Millisecond), r.permit.TimeToFirstToken.Round(time.Millisecond), r.longestGap.Round(time.Millisecond))
			}
		}
		result.Worth = kindEarned / max(kindPossible, 1e-9)
		totalEarned += kindEarned
		totalPossible += kindPossible
		o.Kinds = append(o.Kinds, result)
	}
	o.MeanShare = totalEarned / max(totalPossible, 1e-9)
	var windowShares []float64
	for at, possible := range windowPossible {
		if possible > 0 {
			windowShares = append(windowShares, windowEarned[at]/possible)
		}
	}
	slices.Sort(windowShares)
	if len(windowShares) > 1 {
		o.WorstShare = (windowShares[0] + windowShares[1]) / 2
	}
	return o
}
