package evaluator

import (
	"fmt"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/experiment/modeler"
)

// Spread holds quantiles of the time to the first token.
type Spread struct {
	Count int
	P50   time.Duration
	P95   time.Duration
	P99   time.Duration
}

// String returns the quantiles in milliseconds.
func (s Spread) String() string {
	if s.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%d/%d/%d", s.P50.Milliseconds(), s.P95.Milliseconds(), s.P99.Milliseconds())
}

// spread sums the first tokens of the results that the filter takes; a request without one counts with its whole time.
func spread(results []*modeler.Result, filter func(*modeler.Result) bool) Spread {
	var spans []time.Duration
	for _, r := range results {
		if r.At < warm || !filter(r) {
			continue
		}
		if r.First > 0 {
			spans = append(spans, r.First)
		}
	}
	if len(spans) == 0 {
		return Spread{}
	}
	slices.Sort(spans)
	at := func(part float64) time.Duration { return spans[min(len(spans)-1, int(part*float64(len(spans))))] }
	return Spread{Count: len(spans), P50: at(0.50), P95: at(0.95), P99: at(0.99)}
}

// during selects the requests that came within the times.
func during(from, until time.Duration) func(*modeler.Result) bool {
	return func(r *modeler.Result) bool { return r.At >= from && r.At < until }
}

func ofRank(rank dragonflypass.Rank) func(*modeler.Result) bool {
	return func(r *modeler.Result) bool { return r.Rank == rank }
}

func ofClass(class dragonflypass.LengthClass) func(*modeler.Result) bool {
	return func(r *modeler.Result) bool { return dragonflypass.ClassOf(r.Prompt) == class }
}

func both(a, b func(*modeler.Result) bool) func(*modeler.Result) bool {
	return func(r *modeler.Result) bool { return a(r) && b(r) }
}

// Counts sums up what came of the requests.
type Counts struct {
	Sent    int
	Done    int
	Refused int
	Missed  int
	Failed  int
	Waiting int
}

func count(results []*modeler.Result, filter func(*modeler.Result) bool) Counts {
	var c Counts
	for _, r := range results {
		if !filter(r) || r.Crashes {
			continue
		}
		c.Sent++
		switch {
		case r.Done:
			c.Done++
		case r.Missed:
			c.Missed++
		case r.Failed:
			c.Failed++
		case r.Whole > 0:
			c.Refused++
		default:
			c.Waiting++
		}
	}
	return c
}

// served is each rank's part of the tokens processed and generated within the times.
func served(outcome modeler.Outcome, from, until time.Duration) [dragonflypass.RankCount]float64 {
	var parts [dragonflypass.RankCount]float64
	total := 0.0
	for second := int(from.Seconds()); second < min(int(until.Seconds()), len(outcome.Served)); second++ {
		for rank, tokens := range outcome.Served[second] {
			parts[rank] += float64(tokens)
			total += float64(tokens)
		}
	}
	for rank := range parts {
		parts[rank] /= max(1, total)
	}
	return parts
}

// demand is each rank's part of the site's capacity that was asked for within the times.
func demand(site modeler.Site, results []*modeler.Result, from, until time.Duration) [dragonflypass.RankCount]float64 {
	var parts [dragonflypass.RankCount]float64
	for _, r := range results {
		if r.At >= from && r.At < until {
			parts[r.Rank] += float64(r.Prompt) / (site.Capacity() * (until - from).Seconds())
		}
	}
	return parts
}
