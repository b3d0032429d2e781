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

// The names of a relay site.
const (
	RelayHost   = "desk.example"
	RelayKey    = "key-one"
	RelayPlain  = dragonflypass.ServiceID("plain")
	RelayModels = dragonflypass.ServiceID("models")
)

// RelaySite is a fleet of entry VMs that relay exchanges, with a store and backend servers, in one process and virtual time.
type RelaySite struct {
	Store    *Store
	Network  *Network
	Backends *Backends
	Plain    []*Backend
	Models   []*Backend
	Nodes    []*RelayNode
	Context  context.Context
	// Timeout is that of all routes.
	Timeout time.Duration
	// Options changes the options of each node before it starts; nil leaves them.
	Options func(*composer.RelayOptions)

	version uint64
	epoch   time.Time
}

// RelayNode is one entry VM of a relay site.
type RelayNode struct {
	*composer.Relay
	Meter *Meter
	View  *StoreView

	ctx    context.Context
	cancel context.CancelFunc
	dead   chan struct{}
	done   sync.WaitGroup
}

// RelayCostModel is the law of the model servers of a relay site.
func RelayCostModel() *dragonflypass.EngineCostModel {
	return &dragonflypass.EngineCostModel{
		Slots: 16, KVCapacity: 405_000, StepsPerPass: 34, PrefillChunk: 2048, StepTime: time.Millisecond, StepTimePerRequest: 10 * time.Microsecond,
		PrefillRate: 40_000, PairTime: 162 * time.Microsecond, MeanOutputTokens: 40,
	}
}

// NewRelaySite returns a site of the given numbers of entry VMs, plain and model servers; nothing runs before Start.
func NewRelaySite(ctx context.Context, nodes, plain, models int) *RelaySite {
	s := &RelaySite{
		Store: NewStore(), Network: NewNetwork(), Backends: NewBackends(), Nodes: make([]*RelayNode, nodes), Context: ctx, epoch: time.Now(),
		Timeout: 10 * time.Second,
	}
	for i := range plain {
		s.Plain = append(s.Plain, s.server(RelayPlain, i, 1))
	}
	for i := range models {
		b := s.server(RelayModels, i, 2)
		b.First, b.Step, b.Events = 60*time.Millisecond, 40*time.Millisecond, 20
		s.Models = append(s.Models, b)
	}
	return s
}

// server makes a backend server of the service; group is a part of its address.
func (s *RelaySite) server(service dragonflypass.ServiceID, i int, group byte) *Backend {
	b := &Backend{First: 10 * time.Millisecond, Entry: dragonflypass.ServerEntry{
		ID: dragonflypass.ServerID(fmt.Sprintf("%s-%d", service, i+1)), Service: service, Zone: s.zone(i), Slots: 16, StartedAt: 1,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, group, byte(i + 1)}), 8080),
	}}
	s.Backends.Add(b)
	return b
}

func (s *RelaySite) zone(i int) dragonflypass.AvailabilityZone {
	return dragonflypass.AvailabilityZone(string(rune('a' + i%3)))
}

// VM returns the identity of the entry VM with the index.
func (s *RelaySite) VM(i int) dragonflypass.VM {
	return dragonflypass.VM{
		ID: dragonflypass.VMID(fmt.Sprintf("vm-%d", i+1)), Zone: s.zone(i),
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, byte(i + 1)}), 7000),
	}
}

// Register writes the server into the registry in the state.
func (s *RelaySite) Register(b *Backend, state dragonflypass.ServerState) {
	entry := b.Entry
	entry.State = state
	s.Store.Put(dragonflypass.TopicServers, dragonflypass.Update{Key: string(entry.ID), Server: &entry})
}

// Unregister drops the server from the registry.
func (s *RelaySite) Unregister(b *Backend) {
	s.Store.Put(dragonflypass.TopicServers, dragonflypass.Update{Key: string(b.Entry.ID)})
}

// Route writes a new version of the routing, with the usual routes, the further ones and the keys.
func (s *RelaySite) Route(keys []string, further ...*dragonflypass.RoutePolicy) {
	s.version += 3
	route := func(prefix string, kind dragonflypass.RouteKind, service dragonflypass.ServiceID, attempts int) *dragonflypass.RoutePolicy {
		return &dragonflypass.RoutePolicy{
			Name: prefix, Host: RelayHost, Prefix: prefix, Kind: kind, MaxAttempts: attempts, Timeout: s.Timeout, LatencyObjective: 200 * time.Millisecond,
			Backends: []dragonflypass.WeightedService{{Service: service, Weight: 1}},
		}
	}
	stream := route("/stream/", dragonflypass.KindStream, RelayModels, 3)
	stream.Resumable, stream.MaxEventGap = true, 500*time.Millisecond
	single := route("/single/", dragonflypass.KindStream, RelayModels, 1)
	single.MaxEventGap = stream.MaxEventGap
	routes := append([]*dragonflypass.RoutePolicy{
		route("/read/", dragonflypass.KindIdempotent, RelayPlain, 3), route("/write/", dragonflypass.KindOnce, RelayPlain, 1), stream, single,
	}, further...)
	account := &dragonflypass.AccountPolicy{ID: "bank"}
	for _, key := range keys {
		account.Keys = append(account.Keys, sha256.Sum256([]byte(key)))
	}
	services := []*dragonflypass.ServicePolicy{{ID: RelayPlain}, {ID: RelayModels, CostModel: RelayCostModel()}}
	table := dragonflypass.NewRouteTable(s.version, routes, services, []*dragonflypass.AccountPolicy{account}, dragonflypass.CallerLimits{})
	s.Store.Put(dragonflypass.TopicRouting, dragonflypass.Update{Key: "routing", Table: table})
}

// Start writes the registry and the routing, runs the entry VMs and waits until they are ready.
func (s *RelaySite) Start() {
	s.Route([]string{RelayKey})
	for _, b := range append(append([]*Backend{}, s.Plain...), s.Models...) {
		s.Register(b, dragonflypass.ServerReady)
	}
	for i := range s.Nodes {
		s.StartNode(i)
	}
	// Virtual time: the VMs have heard of each other and read the store by then.
	const settles = 5 * time.Second
	time.Sleep(settles)
}

// StartNode runs the entry VM with the index, anew if it ran before.
func (s *RelaySite) StartNode(i int) {
	n := &RelayNode{Meter: NewMeter(), View: &StoreView{Store: s.Store}, dead: make(chan struct{})}
	n.ctx, n.cancel = context.WithCancel(s.Context)
	pool := &worker.Pool{Workers: 16, QueueLimit: 4096, Meter: n.Meter}
	clock := timer.New(pool)
	clock.Boot = func() time.Duration { return time.Since(s.epoch) + time.Hour }
	vm := s.VM(i)
	options := composer.RelayOptions{
		Self: vm, Incarnation: uint64(time.Now().UnixNano()), HeartbeatInterval: 300 * time.Millisecond, RevokeLimit: 5 * time.Second,
		RetryRatio: 0.1, RetryBurst: 50, ApplyLimit: 3 * time.Second,
	}
	if s.Options != nil {
		s.Options(&options)
	}
	n.Relay = composer.ComposeRelay(options, composer.RelayPorts{
		Timer: clock, Pool: pool, Store: n.View, Backend: s.Backends, Directory: n.View, Meter: n.Meter, Logger: Logger{},
		Peers: &Port{Network: s.Network, Self: vm.ID, Dead: n.dead},
	})
	s.Nodes[i] = n
	s.Network.Join(vm.ID, n.Handler())
	s.Store.Put(dragonflypass.TopicMembers, dragonflypass.Update{Key: string(vm.ID), Member: &vm})
	for _, run := range []func(context.Context){pool.Run, clock.Run, n.Run} {
		n.done.Go(func() { run(n.ctx) })
	}
}

// Kill ends the entry VM with the index as the death of its process would.
func (s *RelaySite) Kill(i int) {
	n := s.Nodes[i]
	s.Network.Join(s.VM(i).ID, nil)
	close(n.dead)
	n.cancel()
	n.done.Wait()
}

// ResponseRecorder is what a caller got.
type ResponseRecorder struct {
	Status int
	// Events are the identifiers of the events, in order, and At their instants.
	Events []string
	At     []time.Time
	Body   string
	Err    error
	// Ended is the instant at which the exchange ended.
	Ended time.Time
}

// WriteHead takes the head of the answer.
func (e *ResponseRecorder) WriteHead(head dragonflypass.ResponseHead) error {
	e.Status = head.Status
	return nil
}

// WriteChunk takes a piece of the answer.
func (e *ResponseRecorder) WriteChunk(piece dragonflypass.Chunk) error {
	if piece.ID != "" {
		e.Events = append(e.Events, piece.ID)
		e.At = append(e.At, time.Now())
		return nil
	}
	e.Body += string(piece.Data)
	return nil
}

// Complete reports whether the events are those from the first to the last, each once.
func (e *ResponseRecorder) Complete(count int) bool {
	for i, id := range e.Events {
		if id != strconv.Itoa(i+1) {
			return false
		}
	}
	return e.Err == nil && len(e.Events) == count
}

// NewExchange returns a request of the site's caller; tokens is the length of its prompt, zero for none.
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

// Send has the entry VM with the index relay the exchange.
func (s *RelaySite) Send(node int, e *dragonflypass.Exchange) *ResponseRecorder {
	n := s.Nodes[node]
	got := &ResponseRecorder{}
	got.Err = n.Relayer.Relay(n.ctx, e, got)
	got.Ended = time.Now()
	return got
}
