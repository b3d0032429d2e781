package simulator

import (
	"fmt"
	"slices"
	"time"
)

// sizeWorth is the worth of a request of the size against the mean of its kind.
func sizeWorth(tokens int, kind *Kind) float64 {
	return min(4, 0.3+0.7*float64(tokens)/kind.Prompt.Mean)
}

// judge returns what the request earned of its worth, and whether its first event or a pause was late.
func (r *request) judge() (part float64, first, pause bool) {
	if r.first.IsZero() || !r.finished {
		return 0, true, false
	}
	first = r.first.Add(callerLink+link).Sub(r.arrived) > r.kind.Goal
	pause = r.longest > r.kind.Pause
	switch {
	case r.last.Sub(r.arrived) > r.kind.Deadline:
		return 0, first, pause
	case first || pause:
		return r.kind.Late / r.kind.Worth, first, pause
	}
	return 1, false, false
}

// outcome sums the day up.
func (p *player) outcome() Outcome {
	var o Outcome
	earned, owed := make(map[time.Duration]float64), make(map[time.Duration]float64)
	total, all := 0.0, 0.0
	for i := range p.site.Kinds {
		kind := &p.site.Kinds[i]
		result := Result{Kind: kind.Name}
		got, asked := 0.0, 0.0
		for _, r := range p.all {
			if r.kind != kind {
				continue
			}
			part, first, pause := r.judge()
			worth := kind.Worth * sizeWorth(r.tokens, kind)
			got += part * worth
			asked += worth
			at := r.arrived.Sub(p.start).Truncate(window)
			earned[at] += part * worth
			owed[at] += worth
			result.Asked++
			switch {
			case part == 1:
				result.OnTime++
			case part > 0:
				result.Late++
			}
			if first {
				result.Firsts++
			}
			if pause {
				result.Pauses++
			}
			if part < 1 && p.trace != nil {
				fmt.Fprintf(p.trace, "%s at %v tokens %d events %d granted +%v parts %d first +%v (predicted +%v) longest pause %v\n",
					kind.Name, r.arrived.Sub(p.start).Round(time.Millisecond), r.tokens, r.events, r.granted.Sub(r.arrived).Round(time.Millisecond),
					1+len(r.permit.Helpers), r.first.Sub(r.arrived).Round(time.Millisecond), r.permit.TimeToFirstToken.Round(time.Millisecond), r.longest.Round(time.Millisecond))
			}
		}
		result.Worth = got / max(asked, 1e-9)
		total += got
		all += asked
		o.Kinds = append(o.Kinds, result)
	}
	o.Mean = total / max(all, 1e-9)
	var windows []float64
	for at, worth := range owed {
		if worth > 0 {
			windows = append(windows, earned[at]/worth)
		}
	}
	slices.Sort(windows)
	if len(windows) > 1 {
		o.Worst = (windows[0] + windows[1]) / 2
	}
	return o
}
