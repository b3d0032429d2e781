package counter

import (
	"bytes"
	"cmp"
	"expvar"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// maxDuration is the largest duration that a histogram records; longer ones are recorded as this value.
	maxDuration = 24 * time.Hour
	// significantDigits is the precision of recorded durations in decimal digits.
	significantDigits = 2
)

// Counter stores counters and histograms; the histograms contain durations in microseconds.
type Counter struct {
	counters *expvar.Map

	mutex      sync.Mutex
	histograms map[histogramKey]*hdrhistogram.Histogram
	results    map[resultKey]*resultHistograms
}

// resultKey has the labels under which the results of exchanges are counted.
type resultKey struct {
	service dragonflypass.ServiceID
	outcome dragonflypass.Reason
	rank    dragonflypass.Rank
	class   dragonflypass.LengthClass
}

// resultHistograms has the durations of exchanges with the same labels; timeToFirstChunk is nil until one of them had a first chunk.
type resultHistograms struct {
	totalTime, timeToFirstChunk *hdrhistogram.Histogram
}

type histogramKey struct {
	measure dragonflypass.Measure
	rank    dragonflypass.Rank
	class   dragonflypass.LengthClass
}

var _ dragonflypass.Meter = (*Counter)(nil)

// New returns a Counter without any counts.
func New() *Counter {
	return &Counter{
		counters:   new(expvar.Map).Init(),
		histograms: make(map[histogramKey]*hdrhistogram.Histogram),
		results:    make(map[resultKey]*resultHistograms),
	}
}

// Add adds delta to a counter.
func (c *Counter) Add(counter dragonflypass.Counter, delta int64) {
	c.counters.Add(string(counter), delta)
}

// Observe records a duration for a rank and a length class.
func (c *Counter) Observe(measure dragonflypass.Measure, rank dragonflypass.Rank, class dragonflypass.LengthClass, duration time.Duration) {
	k := histogramKey{measure: measure, rank: rank, class: class}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h, ok := c.histograms[k]
	if !ok {
		h = newHistogram()
		c.histograms[k] = h
	}
	recordDuration(h, duration)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)
}

// recordDuration records the duration, limited to the range of the histogram.
func recordDuration(h *hdrhistogram.Histogram, duration time.Duration) {
	_ = h.RecordValue(max(1, min(duration, maxDuration).Microseconds()))
}

// RecordResult records the outcome and the durations of an exchange.
func (c *Counter) RecordResult(result dragonflypass.ExchangeResult) {
	k := resultKey{service: result.Service, outcome: result.Outcome, rank: result.Rank, class: result.Class}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	histograms, ok := c.results[k]
	if !ok {
		histograms = &resultHistograms{totalTime: newHistogram()}
		c.results[k] = histograms
	}
	recordDuration(histograms.totalTime, result.TotalTime)
	if result.TimeToFirstChunk < 0 {
		return
	}
	if histograms.timeToFirstChunk == nil {
		histograms.timeToFirstChunk = newHistogram()
	}
	recordDuration(histograms.timeToFirstChunk, result.TimeToFirstChunk)
}

// quantiles are the quantiles that WriteText writes, in percent.
var quantiles = []float64{50, 95, 99}

// WriteText writes the counters and quantiles, one on each line; durations are in milliseconds.
func (c *Counter) WriteText(w io.Writer) error {
	var text bytes.Buffer
	c.counters.Do(func(kv expvar.KeyValue) { fmt.Fprintf(&text, "%s %s\n", kv.Key, kv.Value) })
	c.mutex.Lock()
	for _, k := range slices.SortedFunc(maps.Keys(c.results), resultKey.compare) {
		histograms := c.results[k]
		labels := fmt.Sprintf("service=%q,outcome=%q,rank=%q,class=%q", k.service, cmp.Or(k.outcome, "answered"), k.rank, k.class)
		fmt.Fprintf(&text, "requests_ended{%s} %d\n", labels, histograms.totalTime.TotalCount())
		writeQuantiles(&text, "request_whole_ms", labels, histograms.totalTime)
		if histograms.timeToFirstChunk != nil {
			writeQuantiles(&text, "request_first_ms", labels, histograms.timeToFirstChunk)
		}
	}
	c.mutex.Unlock()
	_, err := w.Write(text.Bytes())
	return err
}

func (k resultKey) compare(other resultKey) int {
	return cmp.Or(cmp.Compare(k.service, other.service), cmp.Compare(k.outcome, other.outcome), cmp.Compare(k.rank, other.rank), cmp.Compare(k.class, other.class))
}

func writeQuantiles(text *bytes.Buffer, name, labels string, h *hdrhistogram.Histogram) {
	for _, q := range quantiles {
		duration := time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
		fmt.Fprintf(text, "%s{%s,quantile=\"%g\"} %g\n", name, labels, q/100, float64(duration)/float64(time.Millisecond))
	}
}

// Count returns the value of a counter.
func (c *Counter) Count(counter dragonflypass.Counter) int64 {
	if v, ok := c.counters.Get(string(counter)).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Summary describes one histogram; durations are in milliseconds.
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

// Summaries returns a summary of each histogram, sorted by measure, rank and class.
func (c *Counter) Summaries() []Summary {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var summaries []Summary
	for _, measure := range []dragonflypass.Measure{
		dragonflypass.MeasureFirstToken, dragonflypass.MeasureTotalTime, dragonflypass.MeasureQueue, dragonflypass.MeasureTimePerToken,
	} {
		for rank := range dragonflypass.Rank(dragonflypass.RankCount) {
			for class := range dragonflypass.LengthClass(dragonflypass.ClassCount) {
				if h, ok := c.histograms[histogramKey{measure: measure, rank: rank, class: class}]; ok {
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

// String returns the counters and summaries as JSON; it implements expvar.Var.
func (c *Counter) String() string {
	return fmt.Sprintf(`{"counters": %s, "durations": %s}`, c.counters.String(), expvar.Func(func() any { return c.Summaries() }).String())
}
