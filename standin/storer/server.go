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
	// pageLimit is the number of newest records in one answer.
	pageLimit = 500
	// longestWait bounds the time for which a read waits.
	longestWait = 30 * time.Second
	// callBytes is the largest append in bytes.
	callBytes = 2 << 20
)

// keyed is the newest record of a key; the value is encoded in base64.
type keyed struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset uint64 `json:"offset"`
}

// Handler answers the store's calls.
func (s *Storer) Handler() http.Handler {
	router := mux.NewRouter()
	router.Use(s.fail)
	router.HandleFunc("/v1/log-append", s.takeAppend).Methods(http.MethodPost)
	router.HandleFunc("/v1/log-trim", s.takeTrim).Methods(http.MethodPost)
	router.HandleFunc("/v1/log-read", s.giveRecords).Methods(http.MethodGet)
	router.HandleFunc("/v1/log-newest", s.giveNewest).Methods(http.MethodGet)
	return router
}

// fail counts calls and plays the store's faults.
func (s *Storer) fail(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.calls++
		fault := s.fault
		s.mutex.Unlock()
		switch fault {
		case Down:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Lost:
			next.ServeHTTP(discarded{}, r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// discarded takes an answer that is lost.
type discarded struct{}

func (discarded) Header() http.Header            { return http.Header{} }
func (discarded) Write(data []byte) (int, error) { return len(data), nil }
func (discarded) WriteHeader(int)                {}

func (s *Storer) takeAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, callBytes))
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
	end := s.topic(name).end()
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatUint(end, 10) {
		s.mutex.Unlock()
		answer(w, http.StatusPreconditionFailed, map[string]uint64{"end_offset": end})
		return
	}
	first := s.append(name, records)
	end = s.topic(name).end()
	s.mutex.Unlock()
	answer(w, http.StatusOK, map[string]uint64{"offset": first, "end_offset": end})
}

func (s *Storer) takeTrim(w http.ResponseWriter, r *http.Request) {
	before, err := strconv.ParseUint(r.URL.Query().Get("before"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.trim(r.URL.Query().Get("topic"), before)
}

func (s *Storer) giveRecords(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	until := time.NewTimer(min(longestWait, time.Duration(wait)*time.Millisecond))
	defer until.Stop()
	for waiting := true; ; {
		data, records, news, kept := s.page(query.Get("topic"), from)
		if !kept {
			answer(w, http.StatusGone, map[string]uint64{"first": binary.BigEndian.Uint64(data[8:])})
			return
		}
		if records > 0 || !waiting {
			_, _ = w.Write(data)
			return
		}
		select {
		case <-news:
		case <-until.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Storer) giveNewest(w http.ResponseWriter, r *http.Request) {
	entries, more, end := s.list(r.URL.Query().Get("topic"), r.URL.Query().Get("after"), pageLimit)
	answer(w, http.StatusOK, struct {
		Entries []keyed `json:"entries"`
		More    bool    `json:"has_more"`
		End     uint64  `json:"end_offset"`
	}{entries, more, end})
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The connection takes the answer or is gone.
	_ = json.NewEncoder(w).Encode(value)
}
