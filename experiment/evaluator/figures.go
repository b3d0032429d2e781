package evaluator

import (
	"fmt"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/experiment/modeler"
)

// Quantiles holds quantiles of the time to the first token.
type Quantiles struct {
	Count int
	P50   time.Duration
	P95   time.Duration
	P99   time.Duration
}

// String returns p50, p95 and p99 in milliseconds, separated by slashes, or "-" if there are no requests.
func (q Quantiles) String() string {
	if q.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%d/%d/%d", q.P50.Milliseconds(), q.P95.Milliseconds(), q.P99.Milliseconds())
}

// firstTokenQuantiles returns the quantiles over the results that pass the filter. It skips requests of the warm-up and
// those without a first token.
func firstTokenQuantiles(results []*modeler.Result, filter func(*modeler.Result) bool) Quantiles {
	var durations []time.Duration
	for _, r := range results {
		if r.At < warmUp || !filter(r) {
			continue
		}
		if r.TimeToFirstToken > 0 {
			durations = append(durations, r.TimeToFirstToken)
		}
	}
	if len(durations) == 0 {
		return Quantiles{}
	}
	slices.Sort(durations)
	quantile := func(fraction float64) time.Duration {
		return durations[min(len(durations)-1, int(fraction*float64(len(durations))))]
	}
	return Quantiles{Count: len(durations), P50: quantile(0.50), P95: quantile(0.95), P99: quantile(0.99)}
}

// during returns a filter for the requests that arrived in the interval [from, until).
func during(from, until time.Duration) func(*modeler.Result) bool {
	return func(r *modeler.Result) bool { return r.At >= from && r.At < until }
}

func ofRank(rank dragonflypass.Rank) func(*modeler.Result) bool {
	return func(r *modeler.Result) bool { return r.Rank == rank }
}

func ofClass(class dragonflypass.LengthClass) func(*modeler.Result) bool {
	return func(r *modeler.Result) bool { return dragonflypass.ClassOf(r.PromptTokens) == class }
}

func both(a, b func(*modeler.Result) bool) func(*modeler.Result) bool {
	return func(r *modeler.Result) bool { return a(r) && b(r) }
}

// Counts counts requests by their result.
type Counts struct {
	Sent           int
	Done           int
	Refused        int
	MissedDeadline int
	Failed         int
	Unfinished     int
}

func count(results []*modeler.Result, filter func(*modeler.Result) bool) Counts {
	var c Counts
	for _, r := range results {
		if !filter(r) || r.CrashesServer {
			continue
		}
		c.Sent++
		switch {
		case r.Done:
			c.Done++
		case r.MissedDeadline:
			c.MissedDeadline++
		case r.Failed:
			c.Failed++
		case r.TotalTime > 0:
			c.Refused++
		default:
			c.Unfinished++
		}
	}
	return c
}

// servedShares returns each rank's share of the tokens prefilled and generated in the interval.
func servedShares(outcome modeler.Outcome, from, until time.Duration) [dragonflypass.RankCount]float64 {
	var shares [dragonflypass.RankCount]float64
	total := 0.0
	for second := int(from.Seconds()); second < min(int(until.Seconds()), len(outcome.ServedTokens)); second++ {
		for rank, tokens := range outcome.ServedTokens[second] {
			shares[rank] += float64(tokens)
			total += float64(tokens)
		}
	}
	for rank := range shares {
		shares[rank] /= max(1, total)
	}
	return shares
}

// demandShares returns the prompt tokens that each rank asked for in the interval, as a share of the site's capacity.
func demandShares(site modeler.Site, results []*modeler.Result, from, until time.Duration) [dragonflypass.RankCount]float64 {
	var shares [dragonflypass.RankCount]float64
	for _, r := range results {
		if r.At >= from && r.At < until {
			shares[r.Rank] += float64(r.PromptTokens) / (site.Capacity() * (until - from).Seconds())
		}
	}
	return shares
}
