package responder

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/dispatcher"
)

// Completer serves completions.
type Completer interface {
	// Complete serves a request and passes its answer to the sink; the error is a Refusal.
	Complete(ctx context.Context, ask dispatcher.CompletionRequest, sink dragonflypass.Sink) (dragonflypass.TokenUsage, error)
}

// Forwarder serves calls of plain services.
type Forwarder interface {
	// Forward calls the service and returns its answer; the error is a Refusal.
	Forward(ctx context.Context, call dragonflypass.ServiceCall) (dragonflypass.ServiceResponse, error)
}

// Buffer bounds the memory of request bodies.
type Buffer interface {
	// Reserve takes bytes of the budget; free returns them.
	Reserve(bytes int64) (free func(), refusal *dragonflypass.Refusal)
}

// Responder answers callers.
type Responder struct {
	Timer     dragonflypass.Timer
	Completer Completer
	Forwarder Forwarder
	Buffer    Buffer
	Current   func() *dragonflypass.Configuration
	// Leaving reports whether this VM's shutdown has begun.
	Leaving func() bool
	// Body is the largest request body in bytes.
	Body int64
	// Upload is the time for a request's body.
	Upload time.Duration
	// Write is the time for a caller to take one frame.
	Write time.Duration

	busy atomic.Int64
}

// Busy returns the number of callers' requests in progress.
func (r *Responder) Busy() int { return int(r.busy.Load()) }

// Handler returns the callers' HTTP interface.
func (r *Responder) Handler() http.Handler {
	router := mux.NewRouter()
	router.Use(r.identify, r.track)
	router.HandleFunc("/v1/completions", r.createCompletion).Methods(http.MethodPost)
	router.HandleFunc("/v1/chat/completions", r.createChat).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", r.listModels).Methods(http.MethodGet)
	router.HandleFunc("/v1/models/{model}", r.showModel).Methods(http.MethodGet)
	router.PathPrefix("/services/{service}").HandlerFunc(r.callService)
	router.NotFoundHandler = r.identify(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.refuse(w, dragonflypass.Refuse(dragonflypass.ReasonNotFound, 0, "nothing is served at %s", request.URL.Path))
	}))
	router.MethodNotAllowedHandler = r.identify(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.refuse(w, dragonflypass.Refuse(dragonflypass.ReasonMethod, 0, "%s is not served with %s", request.URL.Path, request.Method))
	}))
	return router
}

const (
	requestHeader = "X-Request-Id"
	// idLimit is the longest request identifier taken from a caller, in bytes.
	idLimit = 128
)

// identify gives each request an identifier, the caller's own where it sent one.
func (r *Responder) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		id := request.Header.Get(requestHeader)
		if id == "" || len(id) > idLimit {
			id = uuid.NewString()
		}
		w.Header().Set(requestHeader, id)
		next.ServeHTTP(w, request)
	})
}

// track counts the requests in progress, and has connections closed while the VM is leaving.
func (r *Responder) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.busy.Add(1)
		defer r.busy.Add(-1)
		if r.Leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, request)
	})
}
