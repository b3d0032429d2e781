package fake

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Log is a platform log in memory with the platform's faults.
type Log struct {
	// Retention is the time for which records are kept, zero for always.
	Retention time.Duration
	// Latency is the time that each call takes.
	Latency time.Duration

	mutex   sync.Mutex
	streams map[dragonflypass.LogStream]*logStream
	down    bool
	lose    int
	late    time.Duration
	older   int
	appends int
}

type logStream struct {
	first   dragonflypass.Offset
	entries []dragonflypass.LogEntry
}

// NewLog returns a log with empty streams.
func NewLog() *Log { return &Log{streams: make(map[dragonflypass.LogStream]*logStream)} }

// SetDown makes every call fail before it takes effect, or work again.
func (l *Log) SetDown(down bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.down = down
}

// Lose has the answers of the next n appends lost after they took effect.
func (l *Log) Lose(n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lose = n
}

// SetOlder has reads served from a copy that ends so many records before the newest, zero for the newest.
func (l *Log) SetOlder(records int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.older = records
}

// Late has the next append take effect only after the span, its answer lost at once.
func (l *Log) Late(span time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.late = span
}

// Appends returns the number of records added.
func (l *Log) Appends() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.appends
}

func (l *Log) stream(name dragonflypass.LogStream) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{first: 1}
		l.streams[name] = s
	}
	return s
}

func (s *logStream) next() dragonflypass.Offset {
	return s.first + dragonflypass.Offset(len(s.entries))
}

// Append adds the record and returns its offset.
func (l *Log) Append(ctx context.Context, name dragonflypass.LogStream, record dragonflypass.LogRecord) (dragonflypass.Offset, error) {
	if err := wait(ctx, l.Latency); err != nil {
		return 0, dragonflypass.ErrUncertain
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down {
		return 0, dragonflypass.ErrUnavailable
	}
	if l.late > 0 {
		time.AfterFunc(l.late, func() {
			l.mutex.Lock()
			defer l.mutex.Unlock()
			l.add(name, record)
		})
		l.late = 0
		return 0, dragonflypass.ErrUncertain
	}
	offset := l.add(name, record)
	if l.lose > 0 {
		l.lose--
		return 0, dragonflypass.ErrUncertain
	}
	return offset, nil
}

// add is called with the mutex held.
func (l *Log) add(name dragonflypass.LogStream, record dragonflypass.LogRecord) dragonflypass.Offset {
	s := l.stream(name)
	offset := s.next()
	s.entries = append(s.entries, dragonflypass.LogEntry{Offset: offset, At: time.Now(), Record: record})
	l.appends++
	return offset
}

// Read returns up to limit entries from the offset on.
func (l *Log) Read(ctx context.Context, name dragonflypass.LogStream, from dragonflypass.Offset, limit int) (dragonflypass.LogPage, error) {
	if err := wait(ctx, l.Latency); err != nil {
		return dragonflypass.LogPage{}, dragonflypass.ErrUnavailable
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down {
		return dragonflypass.LogPage{}, dragonflypass.ErrUnavailable
	}
	s := l.stream(name)
	l.trim(s)
	kept := s.entries[:max(0, len(s.entries)-l.older)]
	page := dragonflypass.LogPage{FirstOffset: s.first, NextOffset: s.first + dragonflypass.Offset(len(kept))}
	if from < s.first {
		return page, dragonflypass.ErrTrimmed
	}
	if from < page.NextOffset {
		start := int(from - s.first)
		page.Entries = append(page.Entries, kept[start:min(len(kept), start+limit)]...)
	}
	return page, nil
}

func (l *Log) trim(s *logStream) {
	for l.Retention > 0 && len(s.entries) > 0 && time.Since(s.entries[0].At) > l.Retention {
		s.entries = s.entries[1:]
		s.first++
	}
}

// wait lets the span pass unless ctx ends first.
func wait(ctx context.Context, span time.Duration) error {
	if span == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Reach is one VM's way to the log, which can be cut.
type Reach struct {
	Log *Log

	mutex sync.Mutex
	cut   bool
}

// SetCut cuts the way or mends it.
func (r *Reach) SetCut(cut bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cut = cut
}

func (r *Reach) isCut() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.cut
}

// Append adds the record unless the way is cut.
func (r *Reach) Append(ctx context.Context, name dragonflypass.LogStream, record dragonflypass.LogRecord) (dragonflypass.Offset, error) {
	if r.isCut() {
		return 0, dragonflypass.ErrUnavailable
	}
	return r.Log.Append(ctx, name, record)
}

// Read returns entries unless the way is cut.
func (r *Reach) Read(ctx context.Context, name dragonflypass.LogStream, from dragonflypass.Offset, limit int) (dragonflypass.LogPage, error) {
	if r.isCut() {
		return dragonflypass.LogPage{}, dragonflypass.ErrUnavailable
	}
	return r.Log.Read(ctx, name, from, limit)
}

var (
	_ dragonflypass.Log = (*Log)(nil)
	_ dragonflypass.Log = (*Reach)(nil)
)
