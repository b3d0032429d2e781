package storer

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

const (
	// headerEra is the header field of all responses that contains the era.
	headerEra = "Store-Era"
	// pageLimit is the largest number of latest records in one response.
	pageLimit = 500
	// maxReadWait is the longest time that a read waits for records.
	maxReadWait = 30 * time.Second
	// maxAppendBytes is the largest size of the body of an append in bytes.
	maxAppendBytes = 2 << 20
)

// latestEntry is the JSON form of the latest record of a key; the value is encoded in base64.
type latestEntry struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset uint64 `json:"offset"`
}

// Handler returns the HTTP interface of the store.
func (s *Storer) Handler() http.Handler {
	router := mux.NewRouter()
	router.Use(s.injectFault)
	router.HandleFunc("/v1/log-append", s.handleAppend).Methods(http.MethodPost)
	router.HandleFunc("/v1/log-trim", s.handleTrim).Methods(http.MethodPost)
	router.HandleFunc("/v1/log-read", s.handleRead).Methods(http.MethodGet)
	router.HandleFunc("/v1/log-newest", s.handleLatest).Methods(http.MethodGet)
	return router
}

// setEra sets the era of the response.
func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set(headerEra, strconv.FormatUint(era, 10))
}

// injectFault counts the calls and simulates the current fault, or the outage of a restore.
func (s *Storer) injectFault(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.calls++
		fault := s.fault
		if time.Now().Before(s.unavailableUntil) {
			fault = Down
		}
		setEra(w, s.era)
		s.mutex.Unlock()
		switch fault {
		case Down:
			w.WriteHeader(http.StatusServiceUnavailable)
		case ResponseLost:
			next.ServeHTTP(discardWriter{}, r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// discardWriter discards a response.
type discardWriter struct{}

func (discardWriter) Header() http.Header            { return http.Header{} }
func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (discardWriter) WriteHeader(int)                {}

func (s *Storer) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	var records [][]byte
	for len(data) > 0 {
		if len(data) < 4 || uint64(len(data)-4) < uint64(binary.BigEndian.Uint32(data)) || binary.BigEndian.Uint32(data) == 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		length := binary.BigEndian.Uint32(data)
		records = append(records, data[4:4+length])
		data = data[4+length:]
	}
	name := r.URL.Query().Get("topic")
	s.mutex.Lock()
	end := s.topic(name).endOffset()
	if expectedEnd := r.URL.Query().Get("at"); expectedEnd != "" && expectedEnd != strconv.FormatUint(end, 10) {
		s.mutex.Unlock()
		writeJSON(w, http.StatusPreconditionFailed, map[string]uint64{"end_offset": end})
		return
	}
	first := s.append(name, records)
	end = s.topic(name).endOffset()
	setEra(w, s.era)
	s.mutex.Unlock()
	writeJSON(w, http.StatusOK, map[string]uint64{"offset": first, "end_offset": end})
}

func (s *Storer) handleTrim(w http.ResponseWriter, r *http.Request) {
	before, err := strconv.ParseUint(r.URL.Query().Get("before"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.trim(r.URL.Query().Get("topic"), before)
}

func (s *Storer) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(min(maxReadWait, time.Duration(wait)*time.Millisecond))
	defer timer.Stop()
	for mayWait := true; ; {
		data, recordCount, appended, retained, era := s.readFrom(query.Get("topic"), from)
		setEra(w, era)
		if !retained {
			writeJSON(w, http.StatusGone, map[string]uint64{"first": binary.BigEndian.Uint64(data[8:])})
			return
		}
		if recordCount > 0 || !mayWait {
			_, _ = w.Write(data)
			return
		}
		select {
		case <-appended:
		case <-timer.C:
			mayWait = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Storer) handleLatest(w http.ResponseWriter, r *http.Request) {
	entries, more, end, era := s.listLatest(r.URL.Query().Get("topic"), r.URL.Query().Get("after"), pageLimit)
	setEra(w, era)
	writeJSON(w, http.StatusOK, struct {
		Entries []latestEntry `json:"entries"`
		More    bool          `json:"has_more"`
		End     uint64        `json:"end_offset"`
	}{entries, more, end})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the connection was closed.
	_ = json.NewEncoder(w).Encode(value)
}
