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
	"github.com/dragonflypass/dragonflypass/core/waiter"
)

const (
	// submitTimeout bounds the wait for a change to be decided and in force.
	submitTimeout = 20 * time.Second
	// forceCheck is the time between two looks at how far a change has come.
	forceCheck = 50 * time.Millisecond
	// changeLimit is the largest change in bytes.
	changeLimit = 8 << 20
)

// Administrator answers operators.
type Administrator struct {
	Core       *composer.Node
	Credential string
	Metrics    expvar.Var
}

// Handler returns the operators' HTTP interface.
func (a *Administrator) Handler() http.Handler {
	router := mux.NewRouter()
	a.Probes(router)
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

// Probes adds the health checks, which need no credential.
func (a *Administrator) Probes(router *mux.Router) {
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
		given := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(given, []byte("Bearer "+a.Credential)) != 1 {
			fail(w, http.StatusUnauthorized, "the operators' credential is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Failure is the JSON answer to a request that was not carried out.
type Failure struct {
	Detail string   `json:"detail"`
	Faults []string `json:"faults,omitempty"`
}

func fail(w http.ResponseWriter, status int, format string, args ...any) {
	write(w, status, Failure{Detail: fmt.Sprintf(format, args...)})
}

func write(w http.ResponseWriter, status int, value any) {
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
	write(w, http.StatusOK, a.State())
}

// Config is the JSON form of the configuration in force.
type Config struct {
	Offset uint64              `json:"offset"`
	Items  []encoder.Versioned `json:"items"`
}

func (a *Administrator) showConfig(w http.ResponseWriter, _ *http.Request) {
	current := a.Core.Configurer.Current()
	write(w, http.StatusOK, Config{Offset: uint64(current.Offset), Items: encoder.FromVersioned(current.Items)})
}

func (a *Administrator) showHistory(w http.ResponseWriter, _ *http.Request) {
	verdicts := []encoder.Verdict{}
	for _, v := range a.Core.Configurer.History() {
		verdicts = append(verdicts, encoder.FromVerdict(v))
	}
	write(w, http.StatusOK, verdicts)
}

// Outcome is the JSON answer to a change.
type Outcome struct {
	Verdict encoder.Verdict `json:"verdict"`
	// Nodes is the number of entry VMs on which the change is in force, of Known ones.
	Nodes int `json:"nodes"`
	Known int `json:"known"`
	// Seconds is the time that this took.
	Seconds float64 `json:"seconds"`
}

func (a *Administrator) createChange(w http.ResponseWriter, r *http.Request) {
	var wire encoder.Change
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, changeLimit)).Decode(&wire); err != nil {
		fail(w, http.StatusBadRequest, "the body is not a change: %v", err)
		return
	}
	change, err := wire.Change()
	if err != nil || change.ID == "" || len(change.Edits) == 0 {
		fail(w, http.StatusBadRequest, "a change needs an identifier and edits: %v", err)
		return
	}
	after := checker.Apply(a.Core.Configurer.Current().Items, change.Edits)
	if faults := checker.Check(after); len(faults) > 0 {
		write(w, http.StatusUnprocessableEntity, Failure{Detail: "the change is faulty; nothing was sent", Faults: lines(faults)})
		return
	}
	begun := a.Core.Ports.Timer.Now()
	ctx, cancel := a.Core.Ports.Timer.WithDeadline(r.Context(), begun.Add(submitTimeout))
	defer cancel()
	verdict, err := a.Core.Configurer.Submit(ctx, change)
	switch {
	case errors.Is(err, configurer.ErrUnsent):
		fail(w, http.StatusServiceUnavailable, "the log does not answer; the change was not sent")
		return
	case err != nil:
		fail(w, http.StatusGatewayTimeout, "the change's outcome is not known yet; look it up in the history by its identifier %s", change.ID)
		return
	}
	outcome := Outcome{Verdict: encoder.FromVerdict(verdict)}
	if verdict.Accepted {
		outcome.Nodes, outcome.Known = a.awaitForce(ctx, verdict.Offset)
	}
	outcome.Seconds = a.Core.Ports.Timer.Now().Sub(begun).Seconds()
	status := http.StatusOK
	if !verdict.Accepted {
		status = http.StatusConflict
	}
	write(w, status, outcome)
}

func lines(faults []checker.Fault) []string {
	result := make([]string, 0, len(faults))
	for _, fault := range faults {
		result = append(result, fault.String())
	}
	return result
}

// awaitForce waits until every known entry VM has the offset in force, or ctx ends.
func (a *Administrator) awaitForce(ctx context.Context, offset dragonflypass.Offset) (nodes, known int) {
	for {
		nodes, known = a.inForce(offset)
		if nodes == known {
			return nodes, known
		}
		if !waiter.Wait(ctx, a.Core.Ports.Timer, forceCheck) {
			return nodes, known
		}
	}
}

func (a *Administrator) inForce(offset dragonflypass.Offset) (nodes, known int) {
	if a.Core.Configurer.Current().Offset >= offset {
		nodes++
	}
	known = 1
	for _, member := range a.Core.Detector.Others() {
		known++
		if member.ConfigOffset >= offset {
			nodes++
		}
	}
	return nodes, known
}

// Claim is the JSON form of a claim without a known outcome.
type Claim struct {
	Nonce   encoder.Token `json:"id"`
	Account string        `json:"account"`
	Service string        `json:"service"`
	VM      string        `json:"vm"`
	At      time.Time     `json:"at"`
	State   string        `json:"state"`
}

func (a *Administrator) listClaims(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, a.claims())
}

func (a *Administrator) claims() []Claim {
	claims := []Claim{}
	for _, h := range a.Core.Claimer.Open() {
		claims = append(claims, Claim{
			Nonce: encoder.Token(h.Claim.Nonce), Account: string(h.Claim.Key.Account), Service: string(h.Claim.Key.Service),
			VM: string(h.Claim.VM), At: h.Claim.At, State: h.State.String(),
		})
	}
	return claims
}

// Settlement is the JSON body that settles a claim.
type Settlement struct {
	Nonce encoder.Token `json:"id"`
	// Ran is set when the call ran; otherwise its key is free again.
	Ran bool `json:"ran"`
	// Gone is set when the claim's VM is gone for good.
	Gone bool `json:"gone"`
}

func (a *Administrator) settleClaim(w http.ResponseWriter, r *http.Request) {
	var body Settlement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, changeLimit)).Decode(&body); err != nil {
		fail(w, http.StatusBadRequest, "the body is not a settlement: %v", err)
		return
	}
	err := a.Core.Claimer.Resolve(r.Context(), dragonflypass.Nonce(body.Nonce), body.Ran, body.Gone)
	switch {
	case errors.Is(err, dragonflypass.ErrUnknown):
		fail(w, http.StatusNotFound, "no open claim has this identifier")
	case errors.Is(err, claimer.ErrOpen):
		fail(w, http.StatusConflict, "the claim's VM may still send the call; settle it once the VM is gone")
	case err != nil:
		fail(w, http.StatusServiceUnavailable, "the settlement could not be recorded: %v", err)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (a *Administrator) startDrain(w http.ResponseWriter, r *http.Request) {
	a.Core.Drainer.Start(context.WithoutCancel(r.Context()))
	w.WriteHeader(http.StatusAccepted)
}
