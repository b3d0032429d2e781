package fake

import (
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Meter keeps counters in memory.
type Meter struct {
	mutex  sync.Mutex
	counts map[dragonflypass.Counter]int64
}

var _ dragonflypass.Meter = (*Meter)(nil)

// NewMeter returns a meter with all counters at zero.
func NewMeter() *Meter {
	return &Meter{counts: make(map[dragonflypass.Counter]int64)}
}

// Add adds to a counter.
func (m *Meter) Add(counter dragonflypass.Counter, delta int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.counts[counter] += delta
}

// Observe drops the duration.
func (m *Meter) Observe(dragonflypass.Measure, dragonflypass.Rank, dragonflypass.LengthClass, time.Duration) {
}

// RecordResult drops the ending.
func (m *Meter) RecordResult(dragonflypass.ExchangeResult) {}

// Count returns a counter's value.
func (m *Meter) Count(counter dragonflypass.Counter) int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.counts[counter]
}

// Logger drops every line.
type Logger struct{}

var _ dragonflypass.Logger = Logger{}

// Info drops the line.
func (Logger) Info(any, ...any) {}

// Warn drops the line.
func (Logger) Warn(any, ...any) {}
