package storer

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
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
}

type topic struct {
	// firstOffset is the offset of the oldest retained record.
	firstOffset uint64
	records     [][]byte
	// latest holds the offset and value of each key's latest record; an empty value means that the key is deleted.
	latest map[string]latestValue
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
func (t *topic) endOffset() uint64 { return t.firstOffset + uint64(len(t.records)) }

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
	for _, record := range records {
		if length := int(record[0]); length < len(record) {
			t.latest[string(record[1:1+length])] = latestValue{offset: t.endOffset(), value: record[1+length:]}
		}
		t.records = append(t.records, record)
	}
	close(s.appended)
	s.appended = make(chan struct{})
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
	count := min(max(before, t.firstOffset), t.endOffset()) - t.firstOffset
	t.records = slices.Clone(t.records[count:])
	t.firstOffset += count
}

// readFrom returns the response to a read: the end offset of the topic, its first offset, and the records starting at the
// offset, each preceded by its length. The channel is closed at the next append; retained is false when the record at the
// offset has been deleted.
func (s *Storer) readFrom(name string, from uint64) (data []byte, recordCount int, appended <-chan struct{}, retained bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	data = binary.BigEndian.AppendUint64(nil, t.endOffset())
	data = binary.BigEndian.AppendUint64(data, t.firstOffset)
	if from < t.firstOffset {
		return data, 0, nil, false
	}
	for offset := from; offset < t.endOffset(); offset++ {
		record := t.records[offset-t.firstOffset]
		data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
		data = append(data, record...)
		recordCount++
	}
	return data, recordCount, s.appended, true
}

// listLatest returns the latest records of the topic for the keys after the given one, at most limit, and the end offset
// of the topic; more reports whether further keys follow.
func (s *Storer) listLatest(name, after string, limit int) (entries []latestEntry, more bool, end uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	for _, key := range slices.Sorted(maps.Keys(t.latest)) {
		e := t.latest[key]
		if key <= after || len(e.value) == 0 {
			continue
		}
		if len(entries) == limit {
			return entries, true, t.endOffset()
		}
		entries = append(entries, latestEntry{Key: key, Value: e.value, Offset: e.offset})
	}
	return entries, false, t.endOffset()
}
