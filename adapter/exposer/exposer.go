package exposer

import (
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/dragonflypass/dragonflypass/adapter/counter"
	"github.com/dragonflypass/dragonflypass/core/composer"
	"github.com/dragonflypass/dragonflypass/core/rationer"
)

// Exposer serves diagnostic pages to operators; none of them contains a key or a prompt.
type Exposer struct {
	Core    *composer.Relay
	Metrics *counter.Counter
	// Busy returns the number of requests in progress.
	Busy func() int
	// Usage returns what callers hold.
	Usage func() rationer.Usage
}

// Handler returns the HTTP handler for the pages.
func (e *Exposer) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/metrics", e.showMetrics).Methods(http.MethodGet)
	router.HandleFunc("/debug/vars", e.showVariables).Methods(http.MethodGet)
	router.HandleFunc("/debug/state", e.showState).Methods(http.MethodGet)
	router.HandleFunc("/debug/routes", e.showRoutes).Methods(http.MethodGet)
	return router
}

// showMetrics writes the current gauges, the counters and the quantiles as text; durations are in milliseconds.
func (e *Exposer) showMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	state := e.Core.State()
	fmt.Fprintf(w, "ready %d\nrequests_open %d\nstreams_open %d\npermits_waiting %d\nrouting_version %d\n",
		boolToInt(state.Ready), e.Busy(), len(state.Streams), state.QueuedRequests, state.Routing)
	for _, topic := range state.Topics {
		fmt.Fprintf(w, "topic_age_ms{topic=%q} %d\n", topic.Topic, topic.Staleness.Milliseconds())
	}
	members := make(map[string]int)
	for _, member := range state.Members {
		members[member.State.String()]++
	}
	for _, name := range []string{"live", "suspect", "leaving", "gone"} {
		fmt.Fprintf(w, "members{state=%q} %d\n", name, members[name])
	}
	fmt.Fprintf(w, "zones_evacuated %d\nservers_cold %d\n", len(state.EvacuatedZones), len(state.ColdServers))
	fmt.Fprintf(w, "servers_registered %d\nservers_failing %d\nservers_excluded %d\n", len(state.Registry), len(state.FailingServers), len(state.ExcludedServers))
	fmt.Fprintf(w, "cost_keys %d\nservers_slow %d\n", state.CostKeys, len(state.SlowServers))
	for _, budget := range state.Budgets {
		fmt.Fprintf(w, "retry_budget{service=%q} %.1f\n", budget.Service, budget.Balance)
	}
	usage := e.Usage()
	fmt.Fprintf(w, "bytes_held %d\nbodies_open %d\nconnections_open %d\n", usage.Bytes, usage.Bodies, usage.Connections)
	// A write fails only if the client has disconnected.
	_ = e.Metrics.WriteText(w)
}

func boolToInt(flag bool) int {
	if flag {
		return 1
	}
	return 0
}

func (e *Exposer) showVariables(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, expvar.Var(e.Metrics).String())
}

func (e *Exposer) showState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = e.WriteState(w)
}

// WriteState writes a dump of the state as indented JSON.
func (e *Exposer) WriteState(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(newDump(e.Core.State(), e.Busy()))
}
