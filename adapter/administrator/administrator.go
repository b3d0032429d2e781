package administrator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/encoder"
	"github.com/dragonflypass/dragonflypass/core/checker"
	"github.com/dragonflypass/dragonflypass/core/claimer"
	"github.com/dragonflypass/dragonflypass/core/composer"
	"github.com/dragonflypass/dragonflypass/core/configurer"
	"github.com/dragonflypass/dragonflypass/core/rationer"
	"github.com/dragonflypass/dragonflypass/core/waiter"
)

const (
	// submitTimeout is the maximum time to wait until a change is decided and in effect.
	submitTimeout = 20 * time.Second
	// applyPollInterval is the time between two counts of the entry VMs on which a change is in effect.
	applyPollInterval = 50 * time.Millisecond
	// maxChangeBytes is the maximum size of a request body.
	maxChangeBytes = 8 << 20
)

// Administrator serves the HTTP requests of operators.
type Administrator struct {
	Core       *composer.Node
	Credential string
	Metrics    expvar.Var
	// Rationer accounts for what callers hold.
	Rationer *rationer.Rationer
}

// Handler returns the HTTP handler for operators.
func (a *Administrator) Handler() http.Handler {
	router := mux.NewRouter()
	a.AddHealthChecks(router)
	protected := router.NewRoute().Subrouter()
	protected.Use(a.authenticate)
	protected.HandleFunc("/debug/vars", a.showMetrics).Methods(http.MethodGet)
	protected.HandleFunc("/debug/state", a.showState).Methods(http.MethodGet)
	protected.HandleFunc("/config", a.showConfig).Methods(http.MethodGet)
	protected.HandleFunc("/config/history", a.showHistory).Methods(http.MethodGet)
	protected.HandleFunc("/config/changes", a.createChange).Methods(http.MethodPost)
	protected.HandleFunc("/claims", a.listClaims).Methods(http.MethodGet)
	protected.HandleFunc("/claims/settle", a.settleClaim).Methods(http.MethodPost)
	protected.HandleFunc("/drain", a.startDrain).Methods(http.MethodPost)
	return router
}

// AddHealthChecks adds the health checks to the router; they need no credential.
func (a *Administrator) AddHealthChecks(router *mux.Router) {
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	}).Methods(http.MethodGet)
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !a.Core.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	}).Methods(http.MethodGet)
}

func (a *Administrator) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		authorization := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(authorization, []byte("Bearer "+a.Credential)) != 1 {
			writeFailure(w, http.StatusUnauthorized, "the operators' credential is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Failure is the JSON response to a request that failed.
type Failure struct {
	Detail string   `json:"detail"`
	Faults []string `json:"faults,omitempty"`
}

func writeFailure(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, Failure{Detail: fmt.Sprintf(format, args...)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (a *Administrator) showMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"dragonflypass\": %s", a.Metrics.String())
	expvar.Do(func(kv expvar.KeyValue) {
		_, _ = fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value)
	})
	_, _ = fmt.Fprintln(w, "}")
}

func (a *Administrator) showState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.State())
}

// Config is the JSON form of the configuration in effect.
type Config struct {
	Offset uint64                  `json:"offset"`
	Items  []encoder.VersionedItem `json:"items"`
}

func (a *Administrator) showConfig(w http.ResponseWriter, _ *http.Request) {
	current := a.Core.Configurer.Current()
	writeJSON(w, http.StatusOK, Config{Offset: uint64(current.Offset), Items: encoder.FromVersionedItems(current.Items)})
}

func (a *Administrator) showHistory(w http.ResponseWriter, _ *http.Request) {
	results := []encoder.ChangeResult{}
	for _, result := range a.Core.Configurer.History() {
		results = append(results, encoder.FromChangeResult(result))
	}
	writeJSON(w, http.StatusOK, results)
}

// Outcome is the JSON response to a change.
type Outcome struct {
	Verdict encoder.ChangeResult `json:"verdict"`
	// AppliedVMs is the number of entry VMs on which the change is in effect, and TotalVMs the number of all entry VMs
	// except those in the state gone.
	AppliedVMs int `json:"nodes"`
	TotalVMs   int `json:"known"`
	// Seconds is the time from the receipt of the change to this response.
	Seconds float64 `json:"seconds"`
}

func (a *Administrator) createChange(w http.ResponseWriter, r *http.Request) {
	var body encoder.Change
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes)).Decode(&body); err != nil {
		writeFailure(w, http.StatusBadRequest, "invalid change: %v", err)
		return
	}
	change, err := body.Change()
	if err != nil || change.ID == "" || len(change.Edits) == 0 {
		writeFailure(w, http.StatusBadRequest, "a change must have an identifier and edits: %v", err)
		return
	}
	updated := checker.Apply(a.Core.Configurer.Current().Items, change.Edits)
	if faults := checker.Check(updated); len(faults) > 0 {
		writeJSON(w, http.StatusUnprocessableEntity, Failure{Detail: "the change is faulty; nothing was sent", Faults: faultTexts(faults)})
		return
	}
	start := a.Core.Ports.Timer.Now()
	ctx, cancel := a.Core.Ports.Timer.WithDeadline(r.Context(), start.Add(submitTimeout))
	defer cancel()
	result, err := a.Core.Configurer.Submit(ctx, change)
	switch {
	case errors.Is(err, configurer.ErrNotAppended):
		writeFailure(w, http.StatusServiceUnavailable, "the log is unavailable; the change was not sent")
		return
	case err != nil:
		writeFailure(w, http.StatusGatewayTimeout, "the change's outcome is not known yet; look it up in the history by its identifier %s", change.ID)
		return
	}
	outcome := Outcome{Verdict: encoder.FromChangeResult(result)}
	if result.Accepted {
		outcome.AppliedVMs, outcome.TotalVMs = a.awaitApplied(ctx, result.Offset)
	}
	outcome.Seconds = a.Core.Ports.Timer.Now().Sub(start).Seconds()
	status := http.StatusOK
	if !result.Accepted {
		status = http.StatusConflict
	}
	writeJSON(w, status, outcome)
}

func faultTexts(faults []checker.Fault) []string {
	texts := make([]string, 0, len(faults))
	for _, fault := range faults {
		texts = append(texts, fault.String())
	}
	return texts
}

// awaitApplied waits until the configuration at the offset is in effect on every entry VM, or until ctx ends.
func (a *Administrator) awaitApplied(ctx context.Context, offset dragonflypass.Offset) (applied, total int) {
	for {
		applied, total = a.countApplied(offset)
		if applied == total {
			return applied, total
		}
		if !waiter.Wait(ctx, a.Core.Ports.Timer, applyPollInterval) {
			return applied, total
		}
	}
}

func (a *Administrator) countApplied(offset dragonflypass.Offset) (applied, total int) {
	if a.Core.Configurer.Current().Offset >= offset {
		applied++
	}
	total = 1
	for _, member := range a.Core.Detector.Others() {
		total++
		if member.ConfigOffset >= offset {
			applied++
		}
	}
	return applied, total
}

// Claim is the JSON form of a claim whose outcome is not known.
type Claim struct {
	Nonce   encoder.Nonce `json:"id"`
	Account string        `json:"account"`
	Service string        `json:"service"`
	VM      string        `json:"vm"`
	At      time.Time     `json:"at"`
	State   string        `json:"state"`
}

// listClaims lists the claims in the log. While the log cannot be read, it lists those that this VM knows of.
func (a *Administrator) listClaims(w http.ResponseWriter, r *http.Request) {
	if err := a.Core.Claimer.Refresh(r.Context()); err != nil {
		a.Core.Ports.Logger.Warn("claims listed without reading the log", "error", err)
	}
	writeJSON(w, http.StatusOK, a.claims())
}

func (a *Administrator) claims() []Claim {
	claims := []Claim{}
	for _, record := range a.Core.Claimer.Unresolved() {
		claims = append(claims, Claim{
			Nonce: encoder.Nonce(record.Claim.Nonce), Account: string(record.Claim.Key.Account), Service: string(record.Claim.Key.Service),
			VM: string(record.Claim.VM), At: record.Claim.At, State: record.State.String(),
		})
	}
	return claims
}

// Settlement is the JSON body of a request that records the outcome of a claim.
type Settlement struct {
	Nonce encoder.Nonce `json:"id"`
	// Executed is set if the call was executed; otherwise its idempotency key can be used again.
	Executed bool `json:"ran"`
	// VMRemoved is set if the VM that made the claim will not return and so cannot send the call.
	VMRemoved bool `json:"gone"`
}

func (a *Administrator) settleClaim(w http.ResponseWriter, r *http.Request) {
	var body Settlement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes)).Decode(&body); err != nil {
		writeFailure(w, http.StatusBadRequest, "invalid settlement: %v", err)
		return
	}
	err := a.Core.Claimer.Resolve(r.Context(), dragonflypass.Nonce(body.Nonce), body.Executed, body.VMRemoved)
	switch {
	case errors.Is(err, dragonflypass.ErrUnknown):
		writeFailure(w, http.StatusNotFound, "there is no open claim with this identifier")
	case errors.Is(err, claimer.ErrMayStillSend):
		writeFailure(w, http.StatusConflict, "the claim's VM may still send the call; settle it once the VM is gone")
	case err != nil:
		writeFailure(w, http.StatusServiceUnavailable, "the settlement could not be recorded: %v", err)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (a *Administrator) startDrain(w http.ResponseWriter, r *http.Request) {
	a.Core.Drainer.Start(context.WithoutCancel(r.Context()))
	w.WriteHeader(http.StatusAccepted)
}
