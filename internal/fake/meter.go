package fake

import (
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Meter stores counters in memory and discards all other measurements.
type Meter struct {
	mutex  sync.Mutex
	counts map[dragonflypass.Counter]int64
}

var _ dragonflypass.Meter = (*Meter)(nil)

// NewMeter returns a meter whose counters are zero.
func NewMeter() *Meter {
	return &Meter{counts: make(map[dragonflypass.Counter]int64)}
}

// Add adds delta to a counter.
func (m *Meter) Add(counter dragonflypass.Counter, delta int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.counts[counter] += delta
}

// Observe discards the duration.
func (m *Meter) Observe(dragonflypass.Measure, dragonflypass.Rank, dragonflypass.LengthClass, time.Duration) {
}

// RecordResult discards the result.
func (m *Meter) RecordResult(dragonflypass.ExchangeResult) {}

// Count returns the value of a counter.
func (m *Meter) Count(counter dragonflypass.Counter) int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.counts[counter]
}

// Logger discards every log line.
type Logger struct{}

var _ dragonflypass.Logger = Logger{}

// Info discards the line.
func (Logger) Info(any, ...any) {}

// Warn discards the line.
func (Logger) Warn(any, ...any) {}
