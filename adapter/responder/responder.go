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
	"github.com/dragonflypass/dragonflypass/core/rationer"
)

// Completer runs completions.
type Completer interface {
	// Complete runs a completion and passes its frames to the sink; the error is a Refusal.
	Complete(ctx context.Context, completion dispatcher.CompletionRequest, sink dragonflypass.Sink) (dragonflypass.TokenUsage, error)
}

// Forwarder forwards calls to plain services.
type Forwarder interface {
	// Forward calls the service and returns its response; the error is a Refusal.
	Forward(ctx context.Context, call dragonflypass.ServiceCall) (dragonflypass.ServiceResponse, error)
}

// Responder serves the HTTP requests of callers.
type Responder struct {
	Timer     dragonflypass.Timer
	Completer Completer
	Forwarder Forwarder
	// Rationer limits the memory and the number of open request bodies.
	Rationer *rationer.Rationer
	// Current returns the configuration in effect.
	Current func() *dragonflypass.Configuration
	// Leaving reports whether this VM is shutting down.
	Leaving func() bool
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// UploadTimeout is the maximum time for reading a request body.
	UploadTimeout time.Duration
	// BodyStall is the maximum time without progress of a request body.
	BodyStall time.Duration
	// WriteTimeout is the maximum time for writing one frame to a caller.
	WriteTimeout time.Duration

	busy atomic.Int64
}

// Busy returns the number of callers' requests in progress.
func (r *Responder) Busy() int { return int(r.busy.Load()) }

// Handler returns the HTTP handler for callers.
func (r *Responder) Handler() http.Handler {
	router := mux.NewRouter()
	router.Use(r.assignRequestID, r.trackRequest)
	router.HandleFunc("/v1/completions", r.createCompletion).Methods(http.MethodPost)
	router.HandleFunc("/v1/chat/completions", r.createChat).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", r.listModels).Methods(http.MethodGet)
	router.HandleFunc("/v1/models/{model}", r.showModel).Methods(http.MethodGet)
	router.PathPrefix("/services/{service}").HandlerFunc(r.callService)
	router.NotFoundHandler = r.assignRequestID(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.refuse(w, dragonflypass.Refuse(dragonflypass.ReasonNotFound, 0, "unknown path %s", request.URL.Path))
	}))
	router.MethodNotAllowedHandler = r.assignRequestID(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.refuse(w, dragonflypass.Refuse(dragonflypass.ReasonMethod, 0, "%s does not support the method %s", request.URL.Path, request.Method))
	}))
	return router
}

const (
	requestIDHeader = "X-Request-Id"
	// maxRequestIDBytes is the maximum length of a request identifier sent by a caller; a longer one is replaced.
	maxRequestIDBytes = 128
)

// assignRequestID gives each request an identifier: the one that the caller sent, if any, or a new UUID.
func (r *Responder) assignRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		id := request.Header.Get(requestIDHeader)
		if id == "" || len(id) > maxRequestIDBytes {
			id = uuid.NewString()
		}
		w.Header().Set(requestIDHeader, id)
		next.ServeHTTP(w, request)
	})
}

// trackRequest counts the requests in progress. While the VM is leaving, it also asks callers to close their connections.
func (r *Responder) trackRequest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.busy.Add(1)
		defer r.busy.Add(-1)
		if r.Leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, request)
	})
}
