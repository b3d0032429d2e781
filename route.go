package dragonflypass

import (
	"strings"
	"time"
)

// RouteKind tells what of a route's requests may be repeated.
type RouteKind uint8

// The kinds of routes.
const (
	// KindIdempotent requests may run several times.
	KindIdempotent RouteKind = iota
	// KindOnce requests run at most once for each attempt of a caller.
	KindOnce
	// KindStream answers are series of events; the requests run once unless the route is resumable.
	KindStream
)

var routeKindNames = [...]string{"idempotent", "once", "stream"}

// String returns the kind's name in logs.
func (k RouteKind) String() string { return routeKindNames[k] }

// RouteTable is one whole version of the operators' routing; it is never changed once made.
type RouteTable struct {
	// Version rises in uneven steps.
	Version  uint64
	Services map[ServiceID]*ServicePolicy
	Limits   CallerLimits
	// RequiresKey is set when requests need the key of a client account.
	RequiresKey bool

	routes   map[routeKey]*RoutePolicy
	accounts map[Digest]*AccountPolicy
}

type routeKey struct{ host, prefix string }

// RoutePolicy is how requests for a host and path prefix are served.
type RoutePolicy struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Backends are the services among which the requests are split.
	Backends []WeightedService
	// Timeout is the longest time for which a request is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the latency objective; for streams, to the first event.
	LatencyObjective time.Duration
	// MaxEventGap is the longest time between two events of a stream that is still on time, zero where there is none.
	MaxEventGap time.Duration
	// MaxAttempts is the largest number of backend servers to which one attempt of a caller may be sent.
	MaxAttempts int
	// Priority is the route's rank, lower values first.
	Priority int
	// Public is set when the requests need no key.
	Public bool
	// Resumable is set when a stream may go on at another server.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *RoutePolicy) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service ServiceID
	Weight  int
}

// ServicePolicy is what the operators declare of a service.
type ServicePolicy struct {
	ID ServiceID
	// Connections is the largest number of connections that one server accepts from all callers.
	Connections int
	// CostModel is the law by which the servers process prompts, nil for plain services.
	CostModel *EngineCostModel
}

// EngineCostModel describes how fast a service's model servers work; each server runs in passes.
type EngineCostModel struct {
	// Slots is the largest number of requests in one batch.
	Slots int
	// KVCapacity is the KV memory of one server in tokens.
	KVCapacity int
	// StepsPerPass is the number of token steps in a pass with generating requests.
	StepsPerPass int
	// PrefillChunk is the largest number of prompt tokens processed in one step.
	PrefillChunk int
	// StepTime is the time of one token step.
	StepTime time.Duration
	// StepTimePerRequest is added to a step for each generating request.
	StepTimePerRequest time.Duration
	// StepTimePerContext is added to a step for each 1,000 tokens of context of generating requests.
	StepTimePerContext time.Duration
	// PrefillRate is the prompt processing rate in tokens a second.
	PrefillRate float64
	// PairTime is the time for a million pairs of a prompt token with an earlier one.
	PairTime time.Duration
	// ReportLag is the age of a server's reports.
	ReportLag time.Duration
	// MeanOutputTokens is the mean number of tokens of an answer.
	MeanOutputTokens int
}

// PassTime returns the time of a pass in which the number of requests generate, without the processing of prompts.
func (l *EngineCostModel) PassTime(generating, context int) time.Duration {
	step := l.StepTime + time.Duration(generating)*l.StepTimePerRequest + time.Duration(float64(context)/1000*float64(l.StepTimePerContext))
	return time.Duration(l.StepsPerPass) * step
}

// PrefillTime returns the processing time of a whole prompt on one server, without the steps.
func (l *EngineCostModel) PrefillTime(tokens int) time.Duration {
	n := float64(tokens)
	pairs := n * n / 2 / 1e6
	return time.Duration(n/l.PrefillRate*float64(time.Second) + pairs*float64(l.PairTime))
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	// HeaderBytes and BodyBytes are the largest head and body of a request.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime is the time in which a request's head must arrive.
	HeaderTime time.Duration
	// IdleTime is how long an unused connection is kept.
	IdleTime time.Duration
}

// AccountPolicy is what the operators declare of a client account.
type AccountPolicy struct {
	ID AccountID
	// Keys are the SHA-256 sums of the account's keys.
	Keys []Digest
	// Priority goes before the routes' own when Ranked is set.
	Priority    int
	HasPriority bool
}

// NewRouteTable makes a table of the routes and accounts; of two routes with one host and prefix the first counts.
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

// Match returns the route of the host with the longest prefix that begins the path, nil when there is none.
// Prefixes begin and end with a slash.
func (t *RouteTable) Match(host, path string) *RoutePolicy {
	host = strings.ToLower(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := t.routes[routeKey{host: host, prefix: path[:end+1]}]; ok {
			return route
		}
	}
	return nil
}

// Account returns the client account that holds the key with the sum, nil when there is none.
func (t *RouteTable) Account(key Digest) *AccountPolicy { return t.accounts[key] }

// Routes returns the number of routes.
func (t *RouteTable) Routes() int { return len(t.routes) }
