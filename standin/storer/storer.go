package storer

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
)

// Fault is how the store fails.
type Fault uint8

// The faults of the store.
const (
	// Healthy answers.
	Healthy Fault = iota
	// Down answers each call with the status 503, and nothing is done.
	Down
	// Lost carries calls out and ends the connection without an answer.
	Lost
)

// Storer keeps topics of one partition each.
type Storer struct {
	mutex  sync.Mutex
	topics map[string]*topic
	fault  Fault
	// news is closed, and made anew, with each record.
	news  chan struct{}
	calls int
}

type topic struct {
	// first is the offset of the oldest record that is kept.
	first   uint64
	records [][]byte
	// newest holds the offset and value of each key's newest record; an empty value drops the key.
	newest map[string]entry
}

type entry struct {
	offset uint64
	value  []byte
}

// New returns an empty store.
func New() *Storer {
	return &Storer{topics: make(map[string]*topic), news: make(chan struct{})}
}

// SetFault changes how the store fails.
func (s *Storer) SetFault(fault Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

// Calls returns the number of calls so far.
func (s *Storer) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// topic is called with the mutex held.
func (s *Storer) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]entry)}
		s.topics[name] = t
	}
	return t
}

// end is the offset that the next record gets.
func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

// Put appends a record under the key; an empty value drops the key.
func (s *Storer) Put(name, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.append(name, [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// append adds records and returns the offset of the first; it is called with the mutex held.
func (s *Storer) append(name string, records [][]byte) uint64 {
	t := s.topic(name)
	first := t.end()
	for _, record := range records {
		if length := int(record[0]); length < len(record) {
			t.newest[string(record[1:1+length])] = entry{offset: t.end(), value: record[1+length:]}
		}
		t.records = append(t.records, record)
	}
	close(s.news)
	s.news = make(chan struct{})
	return first
}

// Trim deletes the records of the topic up to now; the newest of each key stays known.
func (s *Storer) Trim(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.trim(name, s.topic(name).end())
}

// trim is called with the mutex held.
func (s *Storer) trim(name string, before uint64) {
	t := s.topic(name)
	count := min(max(before, t.first), t.end()) - t.first
	t.records = slices.Clone(t.records[count:])
	t.first += count
}

// page returns the topic's end, its first offset and the records from the offset on, each with its length, and a channel
// that is closed with the next record; kept is false when the records have been deleted.
func (s *Storer) page(name string, from uint64) (data []byte, records int, news <-chan struct{}, kept bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	data = binary.BigEndian.AppendUint64(nil, t.end())
	data = binary.BigEndian.AppendUint64(data, t.first)
	if from < t.first {
		return data, 0, nil, false
	}
	for offset := from; offset < t.end(); offset++ {
		record := t.records[offset-t.first]
		data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
		data = append(data, record...)
		records++
	}
	return data, records, s.news, true
}

// list returns the newest records of the topic after the key, at most the number, and the topic's end.
func (s *Storer) list(name, after string, limit int) (entries []keyed, more bool, end uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		e := t.newest[key]
		if key <= after || len(e.value) == 0 {
			continue
		}
		if len(entries) == limit {
			return entries, true, t.end()
		}
		entries = append(entries, keyed{Key: key, Value: e.value, Offset: e.offset})
	}
	return entries, false, t.end()
}
