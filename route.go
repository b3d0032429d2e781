package dragonflypass

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// RouteKind determines whether the requests of a route may be retried.
type RouteKind uint8

// The route kinds.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RouteKind = iota
	// KindOnce requests run at most once per attempt of a caller.
	KindOnce
	// KindStream responses are streams of events; the requests run once unless the route is resumable.
	KindStream
)

var routeKindNames = [...]string{"idempotent", "once", "stream"}

// String returns the kind's name as used in logs.
func (k RouteKind) String() string { return routeKindNames[k] }

// RouteTable is a complete version of the operators' routing; it is immutable.
type RouteTable struct {
	// Version increases, but not always by one.
	Version  uint64
	Services map[ServiceID]*ServicePolicy
	Limits   CallerLimits
	// RequiresKey is set when requests need the key of a client account.
	RequiresKey bool

	routes   map[routeKey]*RoutePolicy
	accounts map[Digest]*AccountPolicy
}

type routeKey struct{ host, prefix string }

// RoutePolicy determines how requests for a host and path prefix are served.
type RoutePolicy struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Backends are the services over which the requests are distributed.
	Backends []WeightedService
	// Timeout is the maximum time from the arrival of a request to its end.
	Timeout time.Duration
	// LatencyObjective is the target time from the arrival of a request to its response or, for streams, to the first event.
	LatencyObjective time.Duration
	// MaxEventGap is the longest acceptable time between two events of a stream, zero for no limit.
	MaxEventGap time.Duration
	// MaxAttempts is the maximum number of backend servers to which one attempt of a caller may be sent.
	MaxAttempts int
	// Priority is the priority of the route, lower values first.
	Priority int
	// Public is set when requests need no key.
	Public bool
	// Resumable is set when a stream may be resumed at another server.
	Resumable bool
}

const (
	// minCallerTimeout, callerObjectives and callerGaps are the parts of the platform's rule for callers: one ends a stream
	// that has brought no event for two seconds, four times the latency objective or eight times the longest event gap,
	// whichever is longest.
	minCallerTimeout = 2 * time.Second
	callerObjectives = 4
	callerGaps       = 8
)

// CallerTimeout returns how long the caller of a stream waits for its first event.
func (r *RoutePolicy) CallerTimeout() time.Duration {
	return max(minCallerTimeout, callerObjectives*r.LatencyObjective, callerGaps*r.MaxEventGap)
}

// Retryable reports whether a request of the route may run more than once.
func (r *RoutePolicy) Retryable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// WeightedService is a service with its relative share of a route's requests.
type WeightedService struct {
	Service ServiceID
	Weight  int
}

// ServicePolicy is the operators' configuration of a service.
type ServicePolicy struct {
	ID ServiceID
	// MaxConnections is the maximum number of connections that one server accepts from all callers.
	MaxConnections int
	// WarmupRate is the number of requests per second that a server tolerates while it warms up, zero for no limit, and
	// WarmupTime the time from its start until it has warmed up.
	WarmupRate float64
	WarmupTime time.Duration
	// CostModel is the cost model of the servers, nil for plain services.
	CostModel *EngineCostModel
}

// EngineCostModel describes the speed of a service's model servers. Each server runs in passes: a fixed number of
// token steps, after which events are sent.
type EngineCostModel struct {
	// Slots is the maximum number of requests in one batch.
	Slots int
	// KVCapacity is the KV memory of one server in tokens.
	KVCapacity int
	// StepsPerPass is the number of token steps in a pass with generating requests.
	StepsPerPass int
	// PrefillChunk is the maximum number of prompt tokens processed in one step.
	PrefillChunk int
	// StepTime is the base time of one token step.
	StepTime time.Duration
	// StepTimePerRequest is added to a step for each generating request.
	StepTimePerRequest time.Duration
	// StepTimePerContext is added to a step for each 1,000 tokens of context of generating requests.
	StepTimePerContext time.Duration
	// PrefillRate is the prompt processing rate in tokens per second.
	PrefillRate float64
	// PairTime is the prefill time for a million pairs of a prompt token and an earlier token of the prompt.
	PairTime time.Duration
	// ReportLag is the time by which a server's reports lag behind its state.
	ReportLag time.Duration
	// MeanOutputTokens is the mean number of tokens of an answer.
	MeanOutputTokens int
}

// PassTime returns the time of a pass with the given number of generating requests, excluding prompt processing.
func (m *EngineCostModel) PassTime(generating, context int) time.Duration {
	step := m.StepTime + time.Duration(generating)*m.StepTimePerRequest + time.Duration(float64(context)/1000*float64(m.StepTimePerContext))
	return time.Duration(m.StepsPerPass) * step
}

// PrefillTime returns the processing time of a whole prompt on one server, excluding the token steps.
func (m *EngineCostModel) PrefillTime(tokens int) time.Duration {
	n := float64(tokens)
	pairs := n * n / 2 / 1e6
	return time.Duration(n/m.PrefillRate*float64(time.Second) + pairs*float64(m.PairTime))
}

// CallerLimits limit what callers may send.
type CallerLimits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of the head and the body of a request.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the time within which the head of a request must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is the time for which an idle connection is kept open.
	IdleTimeout time.Duration
}

// AccountPolicy is the operators' configuration of a client account.
type AccountPolicy struct {
	ID AccountID
	// Keys are the SHA-256 hashes of the account's keys.
	Keys []Digest
	// Priority overrides the priority of the routes if HasPriority is set.
	Priority    int
	HasPriority bool
}

// NewRouteTable builds a table of the routes and accounts; of two routes with the same host and prefix, the first is used.
func NewRouteTable(version uint64, routes []*RoutePolicy, services []*ServicePolicy, accounts []*AccountPolicy, limits CallerLimits) *RouteTable {
	t := &RouteTable{
		Version:     version,
		Services:    make(map[ServiceID]*ServicePolicy, len(services)),
		Limits:      limits,
		RequiresKey: len(accounts) > 0,
		routes:      make(map[routeKey]*RoutePolicy, len(routes)),
		accounts:    make(map[Digest]*AccountPolicy),
	}
	for _, service := range services {
		t.Services[service.ID] = service
	}
	for _, route := range routes {
		key := routeKey{host: strings.ToLower(route.Host), prefix: route.Prefix}
		if _, ok := t.routes[key]; !ok {
			t.routes[key] = route
		}
	}
	for _, account := range accounts {
		for _, key := range account.Keys {
			t.accounts[key] = account
		}
	}
	return t
}

// Match returns the route of the host with the longest matching path prefix, nil if there is none.
// Prefixes start and end with a slash.
func (t *RouteTable) Match(host, path string) *RoutePolicy {
	host = strings.ToLower(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := t.routes[routeKey{host: host, prefix: path[:end+1]}]; ok {
			return route
		}
	}
	return nil
}

// AllRoutes returns the routes in use, sorted by host and prefix.
func (t *RouteTable) AllRoutes() []*RoutePolicy {
	return slices.SortedFunc(maps.Values(t.routes), func(x, y *RoutePolicy) int {
		return cmp.Or(strings.Compare(x.Host, y.Host), strings.Compare(x.Prefix, y.Prefix))
	})
}

// AllAccounts returns the client accounts that have keys, sorted by name.
func (t *RouteTable) AllAccounts() []*AccountPolicy {
	unique := make(map[*AccountPolicy]bool)
	for _, account := range t.accounts {
		unique[account] = true
	}
	return slices.SortedFunc(maps.Keys(unique), func(x, y *AccountPolicy) int { return strings.Compare(string(x.ID), string(y.ID)) })
}

// Account returns the client account with the given key hash, nil if there is none.
func (t *RouteTable) Account(key Digest) *AccountPolicy { return t.accounts[key] }

// Routes returns the number of routes.
func (t *RouteTable) Routes() int { return len(t.routes) }
