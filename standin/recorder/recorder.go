package recorder

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
)

// Recorder is a service that counts how often the calls with each idempotency key have run.
type Recorder struct {
	mutex           sync.Mutex
	runCounts       map[string]int
	responsesToLose int
}

// Confirmation is the JSON response to a call.
type Confirmation struct {
	// Key is the idempotency key of the call.
	Key string `json:"key"`
	// Runs is how often calls with the key have run so far.
	Runs int `json:"runs"`
	// Path is the path of the request.
	Path string `json:"path"`
}

// New returns a recorder without runs.
func New() *Recorder { return &Recorder{runCounts: make(map[string]int)} }

// Handler returns the service's HTTP interface.
func (r *Recorder) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/counts", r.serveCounts).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(r.serveCall)
	return router
}

// LoseResponses simulates lost responses: the next n calls run, but their connection is closed without a response.
func (r *Recorder) LoseResponses(n int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.responsesToLose = n
}

// Runs returns how often calls with the idempotency key have run.
func (r *Recorder) Runs(key string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.runCounts[key]
}

func (r *Recorder) recordRun(key string) (runs int, respond bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runCounts[key]++
	if r.responsesToLose > 0 {
		r.responsesToLose--
		return r.runCounts[key], false
	}
	return r.runCounts[key], true
}

func (r *Recorder) serveCall(w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	key := request.Header.Get("Idempotency-Key")
	runs, respond := r.recordRun(key)
	if !respond {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Confirmation{Key: key, Runs: runs, Path: request.URL.Path})
}

func (r *Recorder) serveCounts(w http.ResponseWriter, _ *http.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.runCounts)
}
