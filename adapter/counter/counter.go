package counter

import (
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// longest is the largest duration recorded.
	longest = 24 * time.Hour
	// digits is the number of significant decimal digits of a recorded duration.
	digits = 2
)

// Counter keeps counters and histograms; the histograms' unit is the microsecond.
type Counter struct {
	counters *expvar.Map

	mutex      sync.Mutex
	histograms map[key]*hdrhistogram.Histogram
}

type key struct {
	measure dragonflypass.Measure
	rank    dragonflypass.Rank
	class   dragonflypass.LengthClass
}

var _ dragonflypass.Meter = (*Counter)(nil)

// New returns counters at zero.
func New() *Counter {
	return &Counter{
		counters:   new(expvar.Map).Init(),
		histograms: make(map[key]*hdrhistogram.Histogram),
	}
}

// Add adds to a counter.
func (c *Counter) Add(counter dragonflypass.Counter, delta int64) {
	c.counters.Add(string(counter), delta)
}

// Observe records a duration under a rank and length class.
func (c *Counter) Observe(measure dragonflypass.Measure, rank dragonflypass.Rank, class dragonflypass.LengthClass, span time.Duration) {
	k := key{measure: measure, rank: rank, class: class}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h, ok := c.histograms[k]
	if !ok {
		h = hdrhistogram.New(1, longest.Microseconds(), digits)
		c.histograms[k] = h
	}
	_ = h.RecordValue(max(1, min(span, longest).Microseconds()))
}

// Count returns a counter's value.
func (c *Counter) Count(counter dragonflypass.Counter) int64 {
	if v, ok := c.counters.Get(string(counter)).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Summary describes one histogram; spans are in milliseconds.
type Summary struct {
	Measure string  `json:"measure"`
	Rank    string  `json:"rank"`
	Class   string  `json:"class"`
	Count   int64   `json:"count"`
	P50     float64 `json:"p50"`
	P95     float64 `json:"p95"`
	P99     float64 `json:"p99"`
	Max     float64 `json:"max"`
}

// Summaries returns a summary of each histogram, by measure, rank and class.
func (c *Counter) Summaries() []Summary {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var summaries []Summary
	for _, measure := range []dragonflypass.Measure{
		dragonflypass.MeasureFirstToken, dragonflypass.MeasureWhole, dragonflypass.MeasureQueue, dragonflypass.MeasureBetween,
	} {
		for rank := range dragonflypass.Rank(dragonflypass.RankCount) {
			for class := range dragonflypass.LengthClass(dragonflypass.ClassCount) {
				if h, ok := c.histograms[key{measure: measure, rank: rank, class: class}]; ok {
					summaries = append(summaries, summarize(h, measure, rank, class))
				}
			}
		}
	}
	return summaries
}

func summarize(h *hdrhistogram.Histogram, measure dragonflypass.Measure, rank dragonflypass.Rank, class dragonflypass.LengthClass) Summary {
	milliseconds := func(microseconds int64) float64 {
		return float64(microseconds) / float64(time.Millisecond/time.Microsecond)
	}
	return Summary{
		Measure: string(measure), Rank: rank.String(), Class: class.String(), Count: h.TotalCount(),
		P50: milliseconds(h.ValueAtQuantile(50)), P95: milliseconds(h.ValueAtQuantile(95)),
		P99: milliseconds(h.ValueAtQuantile(99)), Max: milliseconds(h.Max()),
	}
}

// String returns the counters and summaries as JSON, as expvar.Var asks.
func (c *Counter) String() string {
	return fmt.Sprintf(`{"counters": %s, "durations": %s}`, c.counters.String(), expvar.Func(func() any { return c.Summaries() }).String())
}
