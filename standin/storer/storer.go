package storer

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"
)

// Fault is a simulated failure of the store.
type Fault uint8

// Faults of the store.
const (
	// Healthy means that the store responds normally.
	Healthy Fault = iota
	// Down means that the store responds to each call with status 503 without executing it.
	Down
	// ResponseLost means that the store executes each call and closes the connection without a response.
	ResponseLost
)

// Storer is a store of topics, with one partition each.
type Storer struct {
	mutex  sync.Mutex
	topics map[string]*topic
	fault  Fault
	// appended is closed and replaced at each append.
	appended chan struct{}
	calls    int
	// era is the number of restores so far, and unavailableUntil the end of the latest one.
	era              uint64
	unavailableUntil time.Time
}

type topic struct {
	// firstOffset is the offset of the oldest retained record. The records before it are kept for restores.
	firstOffset uint64
	records     []record
	// latest holds the offset and value of each key's latest record; an empty value means that the key is deleted.
	latest map[string]latestValue
}

type record struct {
	content   []byte
	writtenAt time.Time
}

type latestValue struct {
	offset uint64
	value  []byte
}

// New returns an empty store.
func New() *Storer {
	return &Storer{topics: make(map[string]*topic), appended: make(chan struct{})}
}

// SetFault sets the fault of the store.
func (s *Storer) SetFault(fault Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

// Calls returns the number of HTTP calls so far.
func (s *Storer) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// topic returns the topic and creates it if needed. The caller holds the mutex.
func (s *Storer) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{latest: make(map[string]latestValue)}
		s.topics[name] = t
	}
	return t
}

// endOffset returns the offset of the next record.
func (t *topic) endOffset() uint64 { return uint64(len(t.records)) }

// add appends a record.
func (t *topic) add(r record) {
	if length := int(r.content[0]); length < len(r.content) {
		t.latest[string(r.content[1:1+length])] = latestValue{offset: t.endOffset(), value: r.content[1+length:]}
	}
	t.records = append(t.records, r)
}

// Restore replaces the content by a copy of the given age, so that the records written since are lost and their offsets are
// used again. It starts the next era. Calls fail for the given outage.
func (s *Storer) Restore(age, outage time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for _, t := range s.topics {
		records := t.records
		t.records, t.latest = nil, make(map[string]latestValue)
		for _, r := range records {
			if r.writtenAt.Before(now.Add(-age)) {
				t.add(r)
			}
		}
		t.firstOffset = min(t.firstOffset, t.endOffset())
	}
	s.era++
	s.unavailableUntil = now.Add(outage)
	s.wakeReaders()
}

// wakeReaders makes the reads that wait for records look again. The caller holds the mutex.
func (s *Storer) wakeReaders() {
	close(s.appended)
	s.appended = make(chan struct{})
}

// Put appends a record with the key; an empty value deletes the key.
func (s *Storer) Put(name, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.append(name, [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// append adds records and returns the offset of the first. The caller holds the mutex.
func (s *Storer) append(name string, records [][]byte) uint64 {
	t := s.topic(name)
	first := t.endOffset()
	for _, content := range records {
		t.add(record{content: content, writtenAt: time.Now()})
	}
	s.wakeReaders()
	return first
}

// Trim deletes all records of the topic; the latest value of each key remains available.
func (s *Storer) Trim(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.trim(name, s.topic(name).endOffset())
}

// trim deletes the records before the offset. The caller holds the mutex.
func (s *Storer) trim(name string, before uint64) {
	t := s.topic(name)
	t.firstOffset = min(max(before, t.firstOffset), t.endOffset())
}

// readFrom returns the response to a read: the end offset of the topic, its first offset, and the records starting at the
// offset, each preceded by its length. The channel is closed at the next append or restore; retained is false when the record
// at the offset has been deleted or the topic ends before it.
func (s *Storer) readFrom(name string, from uint64) (data []byte, recordCount int, appended <-chan struct{}, retained bool, era uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	data = binary.BigEndian.AppendUint64(nil, t.endOffset())
	data = binary.BigEndian.AppendUint64(data, t.firstOffset)
	if from < t.firstOffset || from > t.endOffset() {
		return data, 0, nil, false, s.era
	}
	for offset := from; offset < t.endOffset(); offset++ {
		content := t.records[offset].content
		data = binary.BigEndian.AppendUint32(data, uint32(len(content)))
		data = append(data, content...)
		recordCount++
	}
	return data, recordCount, s.appended, true, s.era
}

// listLatest returns the latest records of the topic for the keys after the given one, at most limit, and the end offset
// of the topic; more reports whether further keys follow.
func (s *Storer) listLatest(name, after string, limit int) (entries []latestEntry, more bool, end, era uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	for _, key := range slices.Sorted(maps.Keys(t.latest)) {
		e := t.latest[key]
		if key <= after || len(e.value) == 0 {
			continue
		}
		if len(entries) == limit {
			return entries, true, t.endOffset(), s.era
		}
		entries = append(entries, latestEntry{Key: key, Value: e.value, Offset: e.offset})
	}
	return entries, false, t.endOffset(), s.era
}
