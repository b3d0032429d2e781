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
	// queueLength is the number of lines that wait to be written, some 100 KB.
	queueLength = 1024
	// kindLimit is the number of lines of one kind written in a second, ten times what a VM writes of its requests
	// at the rate of the capacity plan.
	kindLimit = 500
	// gatherTime is the time between two counts of what was not written.
	gatherTime = time.Second
	// batchBytes is the size from which lines are written out though more wait.
	batchBytes = 32 << 10
	// closeTime bounds the writing of what waits when the process stops.
	closeTime = time.Second
)

// ErrLevel means that the least level of the lines is unknown.
var ErrLevel = eris.New("logger: unknown level")

// Logger queues lines and writes them in the order in which they were queued.
type Logger struct {
	// VM names this VM in each line.
	VM string
	// Output takes the lines; a write that blocks holds up nobody but the writer.
	Output io.Writer
	// Meter counts the lines that were not written.
	Meter dragonflypass.Meter

	level  slog.LevelVar
	queue  chan line
	closed chan struct{}
	ended  chan struct{}
	once   sync.Once

	// dropped counts the lines by kind for which the queue had no room.
	mutex   sync.Mutex
	dropped map[string]int
	losing  atomic.Bool
}

// line is one line before it is written.
type line struct {
	at      time.Time
	level   slog.Level
	message string
	pairs   []any
}

var _ dragonflypass.Logger = (*Logger)(nil)

// New returns a logger for lines of the level and above, which is debug, info, warn or error.
func New(level string) (*Logger, error) {
	l := &Logger{
		queue: make(chan line, queueLength), closed: make(chan struct{}), ended: make(chan struct{}), dropped: make(map[string]int),
	}
	return l, l.SetLevel(level)
}

// SetLevel changes the least level of the lines.
func (l *Logger) SetLevel(level string) error {
	var parsed slog.Level
	if err := parsed.UnmarshalText([]byte(level)); err != nil {
		return eris.Wrap(ErrLevel, level)
	}
	l.level.Set(parsed)
	return nil
}

// Info queues a line with key and value pairs.
func (l *Logger) Info(message any, pairs ...any) { l.add(slog.LevelInfo, message, pairs) }

// Warn queues a line with key and value pairs.
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
	l.losing.Store(true)
	l.mutex.Lock()
	l.dropped[text]++
	l.mutex.Unlock()
}

// Run writes lines until ctx ends or the logger is closed, and then what still waits.
func (l *Logger) Run(ctx context.Context) {
	defer close(l.ended)
	w := newWriter(l)
	alarm := time.NewTimer(gatherTime)
	alarm.Stop()
	defer alarm.Stop()
	armed := false
	for {
		select {
		case next := <-l.queue:
			w.take(next)
			if !armed {
				armed = true
				alarm.Reset(gatherTime)
			}
		case <-alarm.C:
			armed = w.gather(time.Now())
			if armed {
				alarm.Reset(gatherTime)
			}
		case <-ctx.Done():
			w.drain()
			return
		case <-l.closed:
			w.drain()
			return
		}
		if len(l.queue) == 0 || w.buffer.Len() > batchBytes {
			w.flush()
		}
	}
}

// Close has what waits written, within a second, and ends Run.
func (l *Logger) Close() {
	l.once.Do(func() { close(l.closed) })
	select {
	case <-l.ended:
	case <-time.After(closeTime):
	}
}

// writer is the state of the goroutine that writes.
type writer struct {
	logger  *Logger
	handler slog.Handler
	buffer  bytes.Buffer
	kinds   map[string]*kind
}

func newWriter(l *Logger) *writer {
	w := &writer{logger: l, kinds: make(map[string]*kind)}
	w.handler = slog.NewJSONHandler(&w.buffer, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: plain}).
		WithAttrs([]slog.Attr{slog.String("vm", l.VM)})
	return w
}

// kind is what was written of one kind of line in the present second.
type kind struct {
	lines int
	// last is the newest line without its time, and repeated the number of further ones equal to it.
	last     string
	repeated int
	// over is the number of lines beyond the limit.
	over int
}

// take formats a line unless it equals the one before of its kind or goes beyond the limit.
func (w *writer) take(next line) {
	k, ok := w.kinds[next.message]
	if !ok {
		k = &kind{}
		w.kinds[next.message] = k
	}
	if k.lines >= kindLimit {
		k.over++
		w.logger.Meter.Add(dragonflypass.CountLinesAggregated, 1)
		return
	}
	begin := w.buffer.Len()
	w.format(next)
	// The time comes first and has a fixed length.
	const timeLength = len(`{"time":"2006-01-02T15:04:05.000Z",`)
	text := w.buffer.Bytes()[begin:]
	if len(text) > timeLength && string(text[timeLength:]) == k.last {
		k.repeated++
		w.buffer.Truncate(begin)
		w.logger.Meter.Add(dragonflypass.CountLinesAggregated, 1)
		return
	}
	k.last = string(text[min(timeLength, len(text)):])
	k.lines++
}

func (w *writer) format(next line) {
	record := slog.NewRecord(next.at, next.level, next.message, 0)
	record.Add(next.pairs...)
	// The buffer takes every write.
	_ = w.handler.Handle(context.Background(), record)
}

// gather writes a line for each kind of which lines were left out, and reports whether any line came meanwhile.
func (w *writer) gather(now time.Time) bool {
	busy := false
	for message, k := range w.kinds {
		busy = busy || k.lines+k.repeated+k.over > 0
		if k.repeated+k.over > 0 {
			w.format(line{at: now, level: slog.LevelInfo, message: "lines gathered", pairs: []any{"kind", message, "equal", k.repeated, "over_limit", k.over}})
		}
		if k.lines == 0 {
			delete(w.kinds, message)
			continue
		}
		k.lines, k.repeated, k.over = 0, 0, 0
	}
	l := w.logger
	if l.losing.CompareAndSwap(true, false) {
		busy = true
		l.mutex.Lock()
		dropped := l.dropped
		l.dropped = make(map[string]int)
		l.mutex.Unlock()
		for message, count := range dropped {
			w.format(line{at: now, level: slog.LevelWarn, message: "lines dropped", pairs: []any{"kind", message, "count", count}})
		}
	}
	return busy
}

// drain writes what waits.
func (w *writer) drain() {
	for {
		select {
		case next := <-w.logger.queue:
			w.take(next)
			if w.buffer.Len() > batchBytes {
				w.flush()
			}
		default:
			w.gather(time.Now())
			w.flush()
			return
		}
	}
}

// flush writes the formatted lines out; there is nowhere to tell of a failure.
func (w *writer) flush() {
	if w.buffer.Len() == 0 {
		return
	}
	_, _ = w.logger.Output.Write(w.buffer.Bytes())
	w.buffer.Reset()
}

// plain gives the time a fixed length, spans in milliseconds and named values as text.
func plain(_ []string, a slog.Attr) slog.Attr {
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
