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
	endings    map[endKey]*ending
}

// endKey is what exchanges that ended alike have in common.
type endKey struct {
	service dragonflypass.ServiceID
	outcome dragonflypass.Reason
	rank    dragonflypass.Rank
	class   dragonflypass.LengthClass
}

// ending holds the times of exchanges that ended alike; first is nil while none had a first piece.
type ending struct {
	whole, first *hdrhistogram.Histogram
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
		endings:    make(map[endKey]*ending),
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
		h = newHistogram()
		c.histograms[k] = h
	}
	record(h, span)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longest.Microseconds(), digits)
}

// record adds the span, which is brought within the histogram's bounds.
func record(h *hdrhistogram.Histogram, span time.Duration) {
	_ = h.RecordValue(max(1, min(span, longest).Microseconds()))
}

// RecordResult records the end of an exchange.
func (c *Counter) RecordResult(end dragonflypass.ExchangeResult) {
	k := endKey{service: end.Service, outcome: end.Outcome, rank: end.Rank, class: end.Class}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	e, ok := c.endings[k]
	if !ok {
		e = &ending{whole: newHistogram()}
		c.endings[k] = e
	}
	record(e.whole, end.TotalTime)
	if end.TimeToFirstChunk < 0 {
		return
	}
	if e.first == nil {
		e.first = newHistogram()
	}
	record(e.first, end.TimeToFirstChunk)
}

// quantiles are those written as text.
var quantiles = []float64{50, 95, 99}

// WriteText writes the counters and quantiles, one to a line, spans in milliseconds.
func (c *Counter) WriteText(w io.Writer) error {
	var text bytes.Buffer
	c.counters.Do(func(kv expvar.KeyValue) { fmt.Fprintf(&text, "%s %s\n", kv.Key, kv.Value) })
	c.mutex.Lock()
	for _, k := range slices.SortedFunc(maps.Keys(c.endings), endKey.compare) {
		e := c.endings[k]
		labels := fmt.Sprintf("service=%q,outcome=%q,rank=%q,class=%q", k.service, cmp.Or(k.outcome, "answered"), k.rank, k.class)
		fmt.Fprintf(&text, "requests_ended{%s} %d\n", labels, e.whole.TotalCount())
		writeQuantiles(&text, "request_whole_ms", labels, e.whole)
		if e.first != nil {
			writeQuantiles(&text, "request_first_ms", labels, e.first)
		}
	}
	c.mutex.Unlock()
	_, err := w.Write(text.Bytes())
	return err
}

func (k endKey) compare(other endKey) int {
	return cmp.Or(cmp.Compare(k.service, other.service), cmp.Compare(k.outcome, other.outcome), cmp.Compare(k.rank, other.rank), cmp.Compare(k.class, other.class))
}

func writeQuantiles(text *bytes.Buffer, name, labels string, h *hdrhistogram.Histogram) {
	for _, q := range quantiles {
		span := time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
		fmt.Fprintf(text, "%s{%s,quantile=\"%g\"} %g\n", name, labels, q/100, float64(span)/float64(time.Millisecond))
	}
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
