package logger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// queueLength is the maximum number of queued lines, about 100 KB.
	queueLength = 1024
	// linesPerMessageLimit is the maximum number of lines with the same message written each second. It is ten times the
	// number that a VM writes about requests at the rate of the capacity plan.
	linesPerMessageLimit = 500
	// aggregationInterval is the time between two reports on lines that were not written.
	aggregationInterval = time.Second
	// flushBytes is the buffer size above which the buffer is written out even if more lines are queued.
	flushBytes = 32 << 10
	// closeTimeout is the maximum time for writing the queued lines when the process stops.
	closeTimeout = time.Second
)

// ErrLevel means that the name of the minimum level is unknown.
var ErrLevel = eris.New("logger: unknown level")

// Logger queues log lines and writes them in order.
type Logger struct {
	// VM is the name of this VM, which is added to each line.
	VM string
	// Output receives the lines; if a write blocks, only the writing goroutine waits.
	Output io.Writer
	// Meter counts the lines that were not written.
	Meter dragonflypass.Meter

	level     slog.LevelVar
	queue     chan line
	closed    chan struct{}
	finished  chan struct{}
	closeOnce sync.Once

	// dropped has the number of lines, by message, that were dropped because the queue was full; guarded by mutex.
	mutex      sync.Mutex
	dropped    map[string]int
	hasDropped atomic.Bool
}

// line is one queued line.
type line struct {
	at      time.Time
	level   slog.Level
	message string
	pairs   []any
}

var _ dragonflypass.Logger = (*Logger)(nil)

// New returns a logger that writes lines of at least this level, which is debug, info, warn or error.
func New(level string) (*Logger, error) {
	l := &Logger{
		queue: make(chan line, queueLength), closed: make(chan struct{}), finished: make(chan struct{}), dropped: make(map[string]int),
	}
	return l, l.SetLevel(level)
}

// SetLevel changes the minimum level of the lines; it returns ErrLevel for an unknown one.
func (l *Logger) SetLevel(level string) error {
	var parsed slog.Level
	if err := parsed.UnmarshalText([]byte(level)); err != nil {
		return eris.Wrap(ErrLevel, level)
	}
	l.level.Set(parsed)
	return nil
}

// Info queues a line of level info; pairs are alternating keys and values.
func (l *Logger) Info(message any, pairs ...any) { l.add(slog.LevelInfo, message, pairs) }

// Warn queues a line of level warn; pairs are alternating keys and values.
func (l *Logger) Warn(message any, pairs ...any) { l.add(slog.LevelWarn, message, pairs) }

func (l *Logger) add(level slog.Level, message any, pairs []any) {
	if level < l.level.Level() {
		return
	}
	text, ok := message.(string)
	if !ok {
		text = fmt.Sprint(message)
	}
	select {
	case l.queue <- line{at: time.Now(), level: level, message: text, pairs: pairs}:
		return
	default:
	}
	l.Meter.Add(dragonflypass.CountLinesDropped, 1)
	l.hasDropped.Store(true)
	l.mutex.Lock()
	l.dropped[text]++
	l.mutex.Unlock()
}

// Run writes lines until ctx ends or the logger is closed, and then writes those still queued.
func (l *Logger) Run(ctx context.Context) {
	defer close(l.finished)
	w := newWriter(l)
	timer := time.NewTimer(aggregationInterval)
	timer.Stop()
	defer timer.Stop()
	timerRunning := false
	for {
		select {
		case next := <-l.queue:
			w.add(next)
			if !timerRunning {
				timerRunning = true
				timer.Reset(aggregationInterval)
			}
		case <-timer.C:
			timerRunning = w.aggregate(time.Now())
			if timerRunning {
				timer.Reset(aggregationInterval)
			}
		case <-ctx.Done():
			w.drain()
			return
		case <-l.closed:
			w.drain()
			return
		}
		if len(l.queue) == 0 || w.buffer.Len() > flushBytes {
			w.flush()
		}
	}
}

// Close ends Run; it waits up to a second while the queued lines are written.
func (l *Logger) Close() {
	l.closeOnce.Do(func() { close(l.closed) })
	select {
	case <-l.finished:
	case <-time.After(closeTimeout):
	}
}

// writer is the state of the writing goroutine.
type writer struct {
	logger          *Logger
	handler         slog.Handler
	buffer          bytes.Buffer
	countsByMessage map[string]*messageCounts
}

func newWriter(l *Logger) *writer {
	w := &writer{logger: l, countsByMessage: make(map[string]*messageCounts)}
	w.handler = slog.NewJSONHandler(&w.buffer, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: replaceAttr}).
		WithAttrs([]slog.Attr{slog.String("vm", l.VM)})
	return w
}

// messageCounts has the counts of the lines with one message in the current aggregation interval.
type messageCounts struct {
	written int
	// last is the last line written, without its time, and duplicates is the number of later lines equal to it.
	last       string
	duplicates int
	// overLimit is the number of lines not written because of linesPerMessageLimit.
	overLimit int
}

// add formats a line, unless it equals the previous line with the same message or exceeds the limit.
func (w *writer) add(next line) {
	counts, ok := w.countsByMessage[next.message]
	if !ok {
		counts = &messageCounts{}
		w.countsByMessage[next.message] = counts
	}
	if counts.written >= linesPerMessageLimit {
		counts.overLimit++
		w.logger.Meter.Add(dragonflypass.CountLinesAggregated, 1)
		return
	}
	start := w.buffer.Len()
	w.format(next)
	// The time is the first field and has a fixed length.
	const timeLength = len(`{"time":"2006-01-02T15:04:05.000Z",`)
	text := w.buffer.Bytes()[start:]
	if len(text) > timeLength && string(text[timeLength:]) == counts.last {
		counts.duplicates++
		w.buffer.Truncate(start)
		w.logger.Meter.Add(dragonflypass.CountLinesAggregated, 1)
		return
	}
	counts.last = string(text[min(timeLength, len(text)):])
	counts.written++
}

func (w *writer) format(next line) {
	record := slog.NewRecord(next.at, next.level, next.message, 0)
	record.Add(next.pairs...)
	// Writes to a bytes.Buffer do not fail.
	_ = w.handler.Handle(context.Background(), record)
}

// aggregate writes one line for each message with lines that were not written, resets the counts and reports
// whether any line arrived since the last call.
func (w *writer) aggregate(now time.Time) bool {
	active := false
	for message, counts := range w.countsByMessage {
		active = active || counts.written+counts.duplicates+counts.overLimit > 0
		if counts.duplicates+counts.overLimit > 0 {
			w.format(line{at: now, level: slog.LevelInfo, message: "lines gathered", pairs: []any{"kind", message, "equal", counts.duplicates, "over_limit", counts.overLimit}})
		}
		if counts.written == 0 {
			delete(w.countsByMessage, message)
			continue
		}
		counts.written, counts.duplicates, counts.overLimit = 0, 0, 0
	}
	l := w.logger
	if l.hasDropped.CompareAndSwap(true, false) {
		active = true
		l.mutex.Lock()
		dropped := l.dropped
		l.dropped = make(map[string]int)
		l.mutex.Unlock()
		for message, count := range dropped {
			w.format(line{at: now, level: slog.LevelWarn, message: "lines dropped", pairs: []any{"kind", message, "count", count}})
		}
	}
	return active
}

// drain writes the queued lines.
func (w *writer) drain() {
	for {
		select {
		case next := <-w.logger.queue:
			w.add(next)
			if w.buffer.Len() > flushBytes {
				w.flush()
			}
		default:
			w.aggregate(time.Now())
			w.flush()
			return
		}
	}
}

// flush writes the buffer to the output; an error is ignored because there is nowhere to report it.
func (w *writer) flush() {
	if w.buffer.Len() == 0 {
		return
	}
	_, _ = w.logger.Output.Write(w.buffer.Bytes())
	w.buffer.Reset()
}

// replaceAttr formats the time with a fixed length, durations in milliseconds, and addresses, errors and Stringers as strings.
func replaceAttr(_ []string, a slog.Attr) slog.Attr {
	switch a.Value.Kind() {
	case slog.KindTime:
		if a.Key == slog.TimeKey {
			return slog.String(a.Key, a.Value.Time().UTC().Format("2006-01-02T15:04:05.000Z"))
		}
	case slog.KindDuration:
		const unit = float64(time.Millisecond)
		return slog.Float64(a.Key+"_ms", float64(a.Value.Duration().Round(10*time.Microsecond))/unit)
	case slog.KindAny:
		switch v := a.Value.Any().(type) {
		case netip.AddrPort:
			return slog.String(a.Key, v.String())
		case error:
			return slog.String(a.Key, v.Error())
		case fmt.Stringer:
			return slog.String(a.Key, v.String())
		}
	}
	return a
}
