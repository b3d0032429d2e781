package fake

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/timer"
	"github.com/dragonflypass/dragonflypass/core/composer"
	"github.com/dragonflypass/dragonflypass/core/worker"
)

// Names in the routing of a relay site: the host, the API key of its account and the services.
const (
	RelayHost         = "desk.example"
	RelayKey          = "key-one"
	RelayPlainService = dragonflypass.ServiceID("plain")
	RelayModelService = dragonflypass.ServiceID("models")
)

// RelaySite is a set of entry VMs that relay exchanges, with a store and backend servers, in one process.
// It is meant for virtual time (testing/synctest).
type RelaySite struct {
	Store        *Store
	Network      *Network
	Backends     *Backends
	PlainServers []*Backend
	ModelServers []*Backend
	Nodes        []*RelayNode
	Context      context.Context
	// Timeout is the timeout of the standard routes, and Objective their latency objective.
	Timeout   time.Duration
	Objective time.Duration
	// WarmupRate is the number of requests per second that a server tolerates while it warms up, zero for no limit, and WarmupTime
	// the time from its start until it has warmed up.
	WarmupRate float64
	WarmupTime time.Duration
	// Options changes the options of each node before the node starts; nil leaves the defaults.
	Options func(*composer.RelayOptions)

	version uint64
	start   time.Time
}

// RelayNode is one entry VM of a relay site.
type RelayNode struct {
	*composer.Relay
	Meter       *Meter
	StoreAccess *StoreAccess

	ctx    context.Context
	cancel context.CancelFunc
	killed chan struct{}
	wg     sync.WaitGroup
}

// RelayCostModel returns the cost model of the model servers of a relay site.
func RelayCostModel() *dragonflypass.EngineCostModel {
	return &dragonflypass.EngineCostModel{
		Slots: 16, KVCapacity: 405_000, StepsPerPass: 34, PrefillChunk: 2048, StepTime: time.Millisecond, StepTimePerRequest: 10 * time.Microsecond,
		PrefillRate: 40_000, PairTime: 162 * time.Microsecond, MeanOutputTokens: 40,
	}
}

// NewRelaySite returns a site with the given numbers of entry VMs, plain servers and model servers. Nothing runs before Start.
func NewRelaySite(ctx context.Context, nodes, plainServers, modelServers int) *RelaySite {
	s := &RelaySite{
		Store: NewStore(), Network: NewNetwork(), Backends: NewBackends(), Nodes: make([]*RelayNode, nodes), Context: ctx, start: time.Now(),
		Timeout: 10 * time.Second, Objective: 200 * time.Millisecond,
	}
	for i := range plainServers {
		s.PlainServers = append(s.PlainServers, s.addServer(RelayPlainService, i, 1))
	}
	for i := range modelServers {
		b := s.addServer(RelayModelService, i, 2)
		b.TimeToFirstChunk, b.EventInterval, b.Events = 60*time.Millisecond, 40*time.Millisecond, 20
		s.ModelServers = append(s.ModelServers, b)
	}
	return s
}

// addServer adds a backend server of the service with index i; subnet is the third byte of its address.
func (s *RelaySite) addServer(service dragonflypass.ServiceID, i int, subnet byte) *Backend {
	b := &Backend{TimeToFirstChunk: 10 * time.Millisecond, Entry: dragonflypass.ServerEntry{
		ID: dragonflypass.ServerID(fmt.Sprintf("%s-%d", service, i+1)), Service: service, Zone: s.zone(i), Slots: 16, StartedAt: 1,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, subnet, byte(i + 1)}), 8080),
	}}
	s.Backends.Add(b)
	return b
}

func (s *RelaySite) zone(i int) dragonflypass.AvailabilityZone {
	return dragonflypass.AvailabilityZone(string(rune('a' + i%3)))
}

// VM returns the identity of the entry VM with index i.
func (s *RelaySite) VM(i int) dragonflypass.VM {
	return dragonflypass.VM{
		ID: dragonflypass.VMID(fmt.Sprintf("vm-%d", i+1)), Zone: s.zone(i),
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, byte(i + 1)}), 7000),
	}
}

// Register writes the server with the given state to the registry.
func (s *RelaySite) Register(b *Backend, state dragonflypass.ServerState) {
	entry := b.Entry
	entry.State = state
	s.Store.Put(dragonflypass.TopicServers, dragonflypass.Update{Key: string(entry.ID), Server: &entry})
}

// Unregister removes the server from the registry.
func (s *RelaySite) Unregister(b *Backend) {
	s.Store.Put(dragonflypass.TopicServers, dragonflypass.Update{Key: string(b.Entry.ID)})
}

// WriteRouting writes a new version of the routing, with the standard routes, the extra routes and the API keys of the account.
func (s *RelaySite) WriteRouting(keys []string, extraRoutes ...*dragonflypass.RoutePolicy) {
	s.version += 3
	route := func(prefix string, kind dragonflypass.RouteKind, service dragonflypass.ServiceID, attempts int) *dragonflypass.RoutePolicy {
		return &dragonflypass.RoutePolicy{
			Name: prefix, Host: RelayHost, Prefix: prefix, Kind: kind, MaxAttempts: attempts, Timeout: s.Timeout, LatencyObjective: s.Objective,
			Backends: []dragonflypass.WeightedService{{Service: service, Weight: 1}},
		}
	}
	stream := route("/stream/", dragonflypass.KindStream, RelayModelService, 3)
	stream.Resumable, stream.MaxEventGap = true, 500*time.Millisecond
	single := route("/single/", dragonflypass.KindStream, RelayModelService, 1)
	single.MaxEventGap = stream.MaxEventGap
	routes := append([]*dragonflypass.RoutePolicy{
		route("/read/", dragonflypass.KindIdempotent, RelayPlainService, 3), route("/write/", dragonflypass.KindOnce, RelayPlainService, 1), stream, single,
	}, extraRoutes...)
	account := &dragonflypass.AccountPolicy{ID: "bank"}
	for _, key := range keys {
		account.Keys = append(account.Keys, sha256.Sum256([]byte(key)))
	}
	services := []*dragonflypass.ServicePolicy{
		{ID: RelayPlainService, WarmupRate: s.WarmupRate, WarmupTime: s.WarmupTime},
		{ID: RelayModelService, WarmupRate: s.WarmupRate, WarmupTime: s.WarmupTime, CostModel: RelayCostModel()},
	}
	table := dragonflypass.NewRouteTable(s.version, routes, services, []*dragonflypass.AccountPolicy{account}, dragonflypass.CallerLimits{})
	s.Store.Put(dragonflypass.TopicRouting, dragonflypass.Update{Key: "routing", Table: table})
}

// Restart registers the server as one that has just started under the same identifier.
func (s *RelaySite) Restart(b *Backend) {
	b.Entry.StartedAt++
	s.Register(b, dragonflypass.ServerReady)
}

// Evacuate writes the record that asks for the evacuation of the zone.
func (s *RelaySite) Evacuate(zone dragonflypass.AvailabilityZone) {
	s.Store.Put(dragonflypass.TopicRouting, dragonflypass.Update{Key: "evacuation of " + string(zone), EvacuatedZone: zone})
}

// Revoke removes the record that asks for the evacuation of the zone.
func (s *RelaySite) Revoke(zone dragonflypass.AvailabilityZone) {
	s.Store.Put(dragonflypass.TopicRouting, dragonflypass.Update{Key: "evacuation of " + string(zone)})
}

// Start writes the registry and the routing, starts the entry VMs and waits until they are ready.
func (s *RelaySite) Start() {
	s.WriteRouting([]string{RelayKey})
	for _, b := range append(append([]*Backend{}, s.PlainServers...), s.ModelServers...) {
		s.Register(b, dragonflypass.ServerReady)
	}
	for i := range s.Nodes {
		s.StartNode(i)
	}
	// After this virtual time the VMs have exchanged heartbeats and read the store.
	const settleTime = 5 * time.Second
	time.Sleep(settleTime)
}

// StartNode starts the entry VM with index i, or restarts it after Kill.
func (s *RelaySite) StartNode(i int) {
	n := &RelayNode{Meter: NewMeter(), StoreAccess: &StoreAccess{Store: s.Store}, killed: make(chan struct{})}
	n.ctx, n.cancel = context.WithCancel(s.Context)
	pool := &worker.Pool{Workers: 16, QueueLimit: 4096, Meter: n.Meter}
	clock := timer.New(pool)
	clock.TimeSinceBoot = func() time.Duration { return time.Since(s.start) + time.Hour }
	vm := s.VM(i)
	options := composer.RelayOptions{
		Self: vm, Incarnation: uint64(time.Now().UnixNano()), HeartbeatInterval: 300 * time.Millisecond, RevokeLimit: 5 * time.Second,
		RetryRatio: 0.1, RetryBurst: 50, ApplyLimit: 3 * time.Second,
	}
	if s.Options != nil {
		s.Options(&options)
	}
	n.Relay = composer.ComposeRelay(options, composer.RelayPorts{
		Timer: clock, Pool: pool, Store: n.StoreAccess, Backend: s.Backends, Directory: n.StoreAccess, Meter: n.Meter, Logger: Logger{},
		Peers: &PeerClient{Network: s.Network, Self: vm.ID, Killed: n.killed},
	})
	s.Nodes[i] = n
	s.Network.SetHandler(vm.ID, n.Handler())
	s.Store.Put(dragonflypass.TopicMembers, dragonflypass.Update{Key: string(vm.ID), Member: &vm})
	for _, run := range []func(context.Context){pool.Run, clock.Run, n.Run} {
		n.wg.Go(func() { run(n.ctx) })
	}
}

// Kill stops the entry VM with index i as a crash of its process would, and waits until its goroutines have ended.
func (s *RelaySite) Kill(i int) {
	n := s.Nodes[i]
	s.Network.SetHandler(s.VM(i).ID, nil)
	close(n.killed)
	n.cancel()
	n.wg.Wait()
}

// ResponseRecorder records the response that a caller received.
type ResponseRecorder struct {
	Status int
	// EventIDs are the IDs of the events in order, and EventTimes the times at which they arrived.
	EventIDs   []string
	EventTimes []time.Time
	Body       string
	Err        error
	// EndedAt is the time at which the exchange ended.
	EndedAt time.Time
}

// WriteHead records the status of the response.
func (r *ResponseRecorder) WriteHead(head dragonflypass.ResponseHead) error {
	r.Status = head.Status
	return nil
}

// WriteChunk records an event, or adds a chunk without ID to the body.
func (r *ResponseRecorder) WriteChunk(chunk dragonflypass.Chunk) error {
	if chunk.ID != "" {
		r.EventIDs = append(r.EventIDs, chunk.ID)
		r.EventTimes = append(r.EventTimes, time.Now())
		return nil
	}
	r.Body += string(chunk.Data)
	return nil
}

// Complete reports whether the exchange succeeded with the events 1 to count, each once and in order.
func (r *ResponseRecorder) Complete(count int) bool {
	for i, id := range r.EventIDs {
		if id != strconv.Itoa(i+1) {
			return false
		}
	}
	return r.Err == nil && len(r.EventIDs) == count
}

// NewExchange returns a request with the API key of the relay site; tokens is the length of its prompt, zero for no prompt.
func NewExchange(id, path string, tokens int) *dragonflypass.Exchange {
	e := &dragonflypass.Exchange{
		ID: id, Method: "POST", Host: RelayHost, RequestURI: path, Path: path, Credential: RelayKey, Body: []byte(id),
		Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second),
	}
	if tokens > 0 {
		e.Prompt = &dragonflypass.PromptShape{Model: "m", Tokens: tokens, OutputTokens: 40}
	}
	e.Fingerprint = sha256.Sum256(e.Body)
	return e
}

// Send relays the exchange through the entry VM with index node and returns the recorded response.
func (s *RelaySite) Send(node int, e *dragonflypass.Exchange) *ResponseRecorder {
	n := s.Nodes[node]
	recorder := &ResponseRecorder{}
	recorder.Err = n.Relayer.Relay(n.ctx, e, recorder)
	recorder.EndedAt = time.Now()
	return recorder
}
