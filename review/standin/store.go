package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of the store of a small deployment.
const (
	storeAnswerTime  = 4 * time.Millisecond
	storeRetention   = 20 * time.Second
	storeReadRate    = 80e6
	storeRecordBytes = 262144
	storePageBytes   = 1 << 20
	storePageEntries = 500
	defaultReadKB    = 1024
)

// store is a stand-in of the metadata store: topics with one partition each.
type store struct {
	// rewrite replaces the bytes of records that entry VMs append.
	rewrite func([]byte) []byte

	mutex    sync.Mutex
	topics   map[string]*topic
	appended chan struct{}
}

type topic struct {
	first   uint64
	records []logRecord
	newest  map[string]keyedValue
}

type logRecord struct {
	at   time.Time
	data []byte
}

type keyedValue struct {
	offset uint64
	value  []byte
}

func newStore() *store {
	return &store{topics: make(map[string]*topic), appended: make(chan struct{}), rewrite: func(b []byte) []byte { return b }}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]keyedValue)}
		s.topics[name] = t
	}
	return t
}

func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

// expire drops the records that are older than the retention.
func (t *topic) expire(now time.Time) {
	for len(t.records) > 0 && now.Sub(t.records[0].at) > storeRetention {
		t.records = t.records[1:]
		t.first++
	}
}

// append adds a keyed record and returns its offset.
func (s *store) append(name string, data []byte) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	offset := t.end()
	length := int(data[0])
	key, value := string(data[1:1+length]), data[1+length:]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = keyedValue{offset, value}
	}
	t.records = append(t.records, logRecord{time.Now(), data})
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// put writes a value under a key, as the operator and the servers do, and returns the time of the acknowledgement.
func (s *store) put(name, key string, value []byte) time.Time {
	if len(value) > storeRecordBytes {
		panic(fmt.Sprintf("record of %d bytes", len(value)))
	}
	s.append(name, slices.Concat([]byte{byte(len(key))}, []byte(key), value))
	return time.Now()
}

// door is the address at which one entry VM reaches the store.
type door struct {
	store   *store
	address string
	server  *http.Server
	// closed is set while the store turns this machine away with 503.
	closed atomic.Bool
}

func (s *store) open() (*door, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{store: s, address: listener.Addr().String()}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// ServeHTTP serves the calls of one entry VM.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(storeAnswerTime)
	if d.closed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/" + "log-append":
		d.store.serveAppend(w, r, body)
	case "/v1/" + "log-read":
		d.serveRead(w, r)
	case "/v1/" + "log-newest":
		d.store.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, body []byte) {
	body = s.rewrite(body)
	name := r.URL.Query().Get("topic")
	var first, count uint64
	for len(body) >= 4 {
		length := binary.BigEndian.Uint32(body)
		offset := s.append(name, slices.Clone(body[4:4+length]))
		if count == 0 {
			first = offset
		}
		count++
		body = body[4+length:]
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"offset": first, "end_offset": first + count})
}

// serveRead answers as soon as a record is available, with as many whole records as fit into max_kb.
func (d *door) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	limit, err := strconv.Atoi(query.Get("max_kb"))
	if err != nil {
		limit = defaultReadKB
	}
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := wait > 0; ; {
		data, first, count, appended := d.store.read(query.Get("topic"), from, limit<<10)
		switch {
		case d.closed.Load():
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case from < first:
			writeJSON(w, http.StatusGone, map[string]uint64{"first": first})
			return
		case count > 0 || !waiting:
			time.Sleep(time.Duration(float64(len(data)) / storeReadRate * float64(time.Second)))
			_, _ = w.Write(data)
			return
		}
		select {
		case <-appended:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// read returns the end and the first offset, followed by records from the offset up to the limit in bytes, one at least.
func (s *store) read(name string, from uint64, limit int) (data []byte, first uint64, count int, appended chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	t.expire(time.Now())
	data = binary.BigEndian.AppendUint64(nil, t.end())
	data = binary.BigEndian.AppendUint64(data, t.first)
	if from < t.first {
		return data, t.first, 0, s.appended
	}
	for offset := from; offset < t.end(); offset++ {
		record := t.records[offset-t.first].data
		if count > 0 && len(data)+4+len(record) > limit {
			break
		}
		data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
		data = append(data, record...)
		count++
	}
	return data, t.first, count, s.appended
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	type entry struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset uint64 `json:"offset"`
	}
	entries, size := []entry{}, 0
	for _, key := range keys {
		v := t.newest[key]
		if len(entries) == storePageEntries || len(entries) > 0 && size+len(v.value) > storePageBytes {
			break
		}
		entries, size = append(entries, entry{key, v.value, v.offset}), size+len(v.value)
	}
	writeJSON(w, http.StatusOK, map[string]any{"entries": entries, "has_more": len(entries) < len(keys), "end_offset": t.end()})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
