package fake

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Log is an in-memory platform log that can inject faults.
type Log struct {
	// Retention is the time after which records are trimmed, zero for never.
	Retention time.Duration
	// Latency is the duration of each call.
	Latency time.Duration

	mutex         sync.Mutex
	streams       map[dragonflypass.LogStream]*logStream
	down          bool
	lostResponses int
	appendDelay   time.Duration
	replicaLag    int
	appends       int
}

type logStream struct {
	firstOffset dragonflypass.Offset
	entries     []dragonflypass.LogEntry
}

// NewLog returns a log with empty streams.
func NewLog() *Log { return &Log{streams: make(map[dragonflypass.LogStream]*logStream)} }

// SetDown sets whether every call fails without effect.
func (l *Log) SetDown(down bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.down = down
}

// LoseResponses makes each of the next n appends add its record but return ErrUncertain, as if the response were lost.
func (l *Log) LoseResponses(n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lostResponses = n
}

// SetReplicaLag makes reads come from a replica that lags behind by the given number of records.
func (l *Log) SetReplicaLag(records int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.replicaLag = records
}

// DelayNextAppend makes the next append return ErrUncertain at once and add its record only after the delay.
func (l *Log) DelayNextAppend(delay time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.appendDelay = delay
}

// Appends returns the number of records added to all streams.
func (l *Log) Appends() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.appends
}

func (l *Log) stream(name dragonflypass.LogStream) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{firstOffset: 1}
		l.streams[name] = s
	}
	return s
}

func (s *logStream) nextOffset() dragonflypass.Offset {
	return s.firstOffset + dragonflypass.Offset(len(s.entries))
}

// Append adds the record and returns its offset. It returns ErrUnavailable, or ErrUncertain if the record may have been added.
func (l *Log) Append(ctx context.Context, name dragonflypass.LogStream, record dragonflypass.LogRecord) (dragonflypass.Offset, error) {
	if err := wait(ctx, l.Latency); err != nil {
		return 0, dragonflypass.ErrUncertain
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down {
		return 0, dragonflypass.ErrUnavailable
	}
	if l.appendDelay > 0 {
		time.AfterFunc(l.appendDelay, func() {
			l.mutex.Lock()
			defer l.mutex.Unlock()
			l.add(name, record)
		})
		l.appendDelay = 0
		return 0, dragonflypass.ErrUncertain
	}
	offset := l.add(name, record)
	if l.lostResponses > 0 {
		l.lostResponses--
		return 0, dragonflypass.ErrUncertain
	}
	return offset, nil
}

// add appends the record; the caller holds the mutex.
func (l *Log) add(name dragonflypass.LogStream, record dragonflypass.LogRecord) dragonflypass.Offset {
	s := l.stream(name)
	offset := s.nextOffset()
	s.entries = append(s.entries, dragonflypass.LogEntry{Offset: offset, At: time.Now(), Record: record})
	l.appends++
	return offset
}

// Read returns up to limit entries, starting at the offset.
// It returns ErrTrimmed, with FirstOffset set in the page, if the offset is no longer retained, or ErrUnavailable.
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
	visible := s.entries[:max(0, len(s.entries)-l.replicaLag)]
	page := dragonflypass.LogPage{FirstOffset: s.firstOffset, NextOffset: s.firstOffset + dragonflypass.Offset(len(visible))}
	if from < s.firstOffset {
		return page, dragonflypass.ErrTrimmed
	}
	if from < page.NextOffset {
		start := int(from - s.firstOffset)
		page.Entries = append(page.Entries, visible[start:min(len(visible), start+limit)]...)
	}
	return page, nil
}

func (l *Log) trim(s *logStream) {
	for l.Retention > 0 && len(s.entries) > 0 && time.Since(s.entries[0].At) > l.Retention {
		s.entries = s.entries[1:]
		s.firstOffset++
	}
}

// wait waits for the duration; it returns the error of ctx if ctx ends first.
func wait(ctx context.Context, duration time.Duration) error {
	if duration == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// LogAccess is the access of one VM to the log. It can be disconnected.
type LogAccess struct {
	Log *Log

	mutex        sync.Mutex
	disconnected bool
}

// SetDisconnected disconnects the VM from the log or reconnects it.
func (a *LogAccess) SetDisconnected(disconnected bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.disconnected = disconnected
}

func (a *LogAccess) isDisconnected() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.disconnected
}

// Append calls Log.Append; it returns ErrUnavailable while the VM is disconnected.
func (a *LogAccess) Append(ctx context.Context, name dragonflypass.LogStream, record dragonflypass.LogRecord) (dragonflypass.Offset, error) {
	if a.isDisconnected() {
		return 0, dragonflypass.ErrUnavailable
	}
	return a.Log.Append(ctx, name, record)
}

// Read calls Log.Read; it returns ErrUnavailable while the VM is disconnected.
func (a *LogAccess) Read(ctx context.Context, name dragonflypass.LogStream, from dragonflypass.Offset, limit int) (dragonflypass.LogPage, error) {
	if a.isDisconnected() {
		return dragonflypass.LogPage{}, dragonflypass.ErrUnavailable
	}
	return a.Log.Read(ctx, name, from, limit)
}

var (
	_ dragonflypass.Log = (*Log)(nil)
	_ dragonflypass.Log = (*LogAccess)(nil)
)
