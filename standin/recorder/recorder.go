package recorder

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
)

// Recorder counts runs.
type Recorder struct {
	mutex sync.Mutex
	runs  map[string]int
	lose  int
}

// Confirmation is the JSON answer to a call.
type Confirmation struct {
	Key  string `json:"key"`
	Runs int    `json:"runs"`
	Path string `json:"path"`
}

// New returns a recorder that has run nothing.
func New() *Recorder { return &Recorder{runs: make(map[string]int)} }

// Handler returns the service's HTTP interface.
func (r *Recorder) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/counts", r.counts).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(r.run)
	return router
}

// Lose has the next n answers lost after their calls ran.
func (r *Recorder) Lose(n int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lose = n
}

// Runs returns how often a call with the key ran.
func (r *Recorder) Runs(key string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.runs[key]
}

func (r *Recorder) record(key string) (runs int, answered bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs[key]++
	if r.lose > 0 {
		r.lose--
		return r.runs[key], false
	}
	return r.runs[key], true
}

func (r *Recorder) run(w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	key := request.Header.Get("Idempotency-Key")
	runs, answered := r.record(key)
	if !answered {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Confirmation{Key: key, Runs: runs, Path: request.URL.Path})
}

func (r *Recorder) counts(w http.ResponseWriter, _ *http.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.runs)
}
