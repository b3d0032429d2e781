package exposer

import (
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/inspector"
)

// RouteTable is the JSON form of the route table in force; times are in milliseconds.
type RouteTable struct {
	Version  uint64         `json:"version"`
	Routes   []Route        `json:"routes"`
	Services []RouteService `json:"services"`
	Limits   Limits         `json:"limits"`
	Accounts []RouteAccount `json:"accounts"`
}

// Route is a route in use.
type Route struct {
	Name             string                  `json:"name"`
	Host             string                  `json:"host"`
	Prefix           string                  `json:"prefix"`
	Kind             dragonflypass.RouteKind `json:"kind"`
	Backends         []RouteBackend          `json:"backends"`
	Timeout          float64                 `json:"timeout"`
	LatencyObjective float64                 `json:"objective"`
	MaxEventGap      float64                 `json:"event_gap"`
	MaxAttempts      int                     `json:"attempts"`
	Priority         int                     `json:"priority"`
	Public           bool                    `json:"public"`
	Resumable        bool                    `json:"resumable"`
}

// RouteBackend is a service of a route.
type RouteBackend struct {
	Service dragonflypass.ServiceID `json:"service"`
	Weight  int                     `json:"weight"`
}

// RouteService is a service of the route table.
type RouteService struct {
	Service     dragonflypass.ServiceID `json:"service"`
	Connections int                     `json:"connections"`
	// CostModel is nil for plain services; its times are in nanoseconds.
	CostModel *dragonflypass.EngineCostModel `json:"cost_model,omitempty"`
}

// Limits are the limits of requests.
type Limits struct {
	HeaderBytes   int     `json:"header_bytes"`
	BodyBytes     int64   `json:"body_bytes"`
	HeaderTimeout float64 `json:"header_timeout"`
	IdleTimeout   float64 `json:"idle_timeout"`
}

// RouteAccount is a client account. Its keys are identified as by inspector.KeyID.
type RouteAccount struct {
	Account  dragonflypass.AccountID `json:"account"`
	Keys     []string                `json:"key_ids"`
	Priority *int                    `json:"priority,omitempty"`
}

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// newRouteTable returns the JSON form of the table.
func newRouteTable(t *dragonflypass.RouteTable) RouteTable {
	r := RouteTable{Version: t.Version, Limits: Limits{
		HeaderBytes: t.Limits.HeaderBytes, BodyBytes: t.Limits.BodyBytes,
		HeaderTimeout: toMilliseconds(t.Limits.HeaderTimeout), IdleTimeout: toMilliseconds(t.Limits.IdleTimeout),
	}}
	for _, p := range t.AllRoutes() {
		route := Route{
			Name: p.Name, Host: p.Host, Prefix: p.Prefix, Kind: p.Kind, Timeout: toMilliseconds(p.Timeout), LatencyObjective: toMilliseconds(p.LatencyObjective),
			MaxEventGap: toMilliseconds(p.MaxEventGap), MaxAttempts: p.MaxAttempts, Priority: p.Priority, Public: p.Public, Resumable: p.Resumable,
		}
		for _, b := range p.Backends {
			route.Backends = append(route.Backends, RouteBackend(b))
		}
		r.Routes = append(r.Routes, route)
	}
	for _, s := range t.Services {
		r.Services = append(r.Services, RouteService{Service: s.ID, Connections: s.MaxConnections, CostModel: s.CostModel})
	}
	for _, a := range t.AllAccounts() {
		account := RouteAccount{Account: a.ID}
		for _, key := range a.Keys {
			account.Keys = append(account.Keys, inspector.KeyID(key))
		}
		if a.HasPriority {
			account.Priority = &a.Priority
		}
		r.Accounts = append(r.Accounts, account)
	}
	return r
}

// Configuration returns the table for a comparison; of the hash of a key, only the part that identifies it is known.
func (r *RouteTable) Configuration() (*inspector.Configuration, error) {
	c := &inspector.Configuration{Version: r.Version, Limits: dragonflypass.CallerLimits{
		HeaderBytes: r.Limits.HeaderBytes, BodyBytes: r.Limits.BodyBytes,
		HeaderTimeout: fromMilliseconds(r.Limits.HeaderTimeout), IdleTimeout: fromMilliseconds(r.Limits.IdleTimeout),
	}}
	for _, route := range r.Routes {
		p := &dragonflypass.RoutePolicy{
			Name: route.Name, Host: route.Host, Prefix: route.Prefix, Kind: route.Kind, Timeout: fromMilliseconds(route.Timeout), LatencyObjective: fromMilliseconds(route.LatencyObjective),
			MaxEventGap: fromMilliseconds(route.MaxEventGap), MaxAttempts: route.MaxAttempts, Priority: route.Priority, Public: route.Public, Resumable: route.Resumable,
		}
		if route.Kind > dragonflypass.KindStream {
			return nil, eris.Errorf("exposer: route %q has the unknown kind %d", route.Name, route.Kind)
		}
		for _, b := range route.Backends {
			p.Backends = append(p.Backends, dragonflypass.WeightedService(b))
		}
		c.Routes = append(c.Routes, p)
	}
	for _, s := range r.Services {
		c.Services = append(c.Services, &dragonflypass.ServicePolicy{ID: s.Service, MaxConnections: s.Connections, CostModel: s.CostModel})
	}
	for _, a := range r.Accounts {
		account := &dragonflypass.AccountPolicy{ID: a.Account}
		for _, id := range a.Keys {
			var key dragonflypass.Digest
			part, err := hex.DecodeString(id)
			if err != nil {
				return nil, eris.Wrapf(err, "exposer: key of account %q", a.Account)
			}
			copy(key[:], part)
			account.Keys = append(account.Keys, key)
		}
		if a.Priority != nil {
			account.Priority, account.HasPriority = *a.Priority, true
		}
		c.Accounts = append(c.Accounts, account)
	}
	return c, nil
}

// showRoutes writes the route table in force. The status is 503 before the first one has been read.
func (e *Exposer) showRoutes(w http.ResponseWriter, _ *http.Request) {
	table := e.Core.Router.Current()
	if table == nil {
		http.Error(w, "no route table has been read", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	// A write fails only if the client has disconnected.
	_ = encoder.Encode(newRouteTable(table))
}
