package fake

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/timer"
	"github.com/dragonflypass/dragonflypass/core/composer"
	"github.com/dragonflypass/dragonflypass/core/dispatcher"
	"github.com/dragonflypass/dragonflypass/core/worker"
	"github.com/dragonflypass/dragonflypass/standin/generator"
)

// The names in a site's configuration.
const (
	SiteModel   = dragonflypass.ModelID("small")
	SiteAccount = dragonflypass.AccountID("demo")
	SiteService = dragonflypass.ServiceID("booking")
)

// Site is a few nodes with fakes around them, in one process.
type Site struct {
	Log       *Log
	Network   *Network
	Directory *Directory
	Engines   *Engines
	Service   *Service
	Nodes     []*SiteNode
	Servers   []*generator.Engine
	// Options changes the options of nodes before they start, nil for no change.
	Options func(*composer.Options)

	// Context ends with the test.
	Context context.Context
	// Zones are the availability zones over which VMs and servers are spread in turn.
	Zones []dragonflypass.AvailabilityZone
}

// SiteNode is one node of a site.
type SiteNode struct {
	*composer.Node

	Meter *Meter
	Reach *Reach

	cancel context.CancelFunc
	dead   chan struct{}
	done   sync.WaitGroup
}

// NewSite returns a site of the given numbers of nodes and servers, spread over zones a, b and c; nothing runs before Start.
func NewSite(ctx context.Context, nodes, servers int) *Site {
	s := &Site{
		Log: NewLog(), Network: NewNetwork(), Directory: &Directory{}, Engines: NewEngines(), Service: NewService(),
		Context: ctx, Zones: []dragonflypass.AvailabilityZone{"a", "b", "c"},
	}
	for i := range servers {
		engine := generator.New(dragonflypass.ServerID(fmt.Sprintf("server-%d", i+1)))
		engine.Models = []dragonflypass.ModelID{SiteModel}
		engine.Memory, engine.Slots, engine.Prefill, engine.Decode = 100_000, 16, 10_000, 50
		engine.Lag = 500 * time.Millisecond
		s.Servers = append(s.Servers, engine)
		s.Engines.Add(serverAddress(i), engine)
	}
	s.Nodes = make([]*SiteNode, nodes)
	return s
}

func serverAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), 9000)
}

// VM returns the identity of the node with the index.
func (s *Site) VM(i int) dragonflypass.VM {
	return dragonflypass.VM{
		ID:   dragonflypass.VMID(fmt.Sprintf("vm-%d", i+1)),
		Zone: s.Zones[i%len(s.Zones)],
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(2 + i/250), byte(i%250 + 1)}), 7000),
	}
}

// Start runs the servers and nodes and waits until the configuration is in force.
func (s *Site) Start() {
	for _, engine := range s.Servers {
		go engine.Run(s.Context)
	}
	var vms []dragonflypass.PlatformVM
	for i := range s.Nodes {
		vm := s.VM(i)
		vms = append(vms, dragonflypass.PlatformVM{ID: vm.ID, Zone: vm.Zone, Peer: vm.Peer})
	}
	s.Directory.Set(vms)
	change := s.Configuration()
	_, _ = s.Log.Append(s.Context, dragonflypass.LogStreamConfig, dragonflypass.LogRecord{Change: &change})
	for i := range s.Nodes {
		s.StartNode(i)
	}
	time.Sleep(s.Directory.Lag + 8*time.Second)
}

// StartNode starts the node with the index, anew if it ran before.
func (s *Site) StartNode(i int) {
	n := &SiteNode{Meter: NewMeter(), Reach: &Reach{Log: s.Log}, dead: make(chan struct{})}
	ctx, cancel := context.WithCancel(s.Context)
	n.cancel = cancel
	pool := &worker.Pool{Workers: 16, QueueLimit: 4096, Meter: n.Meter}
	clock := timer.New(pool)
	options := composer.Defaults(s.VM(i), uint64(time.Now().UnixNano()))
	if s.Options != nil {
		s.Options(&options)
	}
	n.Node = composer.Compose(options, composer.Ports{
		Timer: clock, Pool: pool, Log: n.Reach, Directory: s.Directory, Caller: s.Service,
		Engine: &View{Engines: s.Engines, Dead: n.dead},
		Peers:  &Port{Network: s.Network, Self: options.Self.ID, Dead: n.dead},
		Meter:  n.Meter, Logger: Logger{},
	})
	s.Nodes[i] = n
	s.Network.Join(options.Self.ID, n.Handler())
	for _, run := range []func(context.Context){pool.Run, clock.Run, n.Run} {
		n.done.Go(func() { run(ctx) })
	}
}

// Kill ends the node with the index as the death of its process would.
func (s *Site) Kill(i int) {
	s.Network.Join(s.VM(i).ID, nil)
	close(s.Nodes[i].dead)
	s.Nodes[i].cancel()
	s.Nodes[i].done.Wait()
}

// Dead reports whether the node was killed.
func (n *SiteNode) Dead() bool {
	select {
	case <-n.dead:
		return true
	default:
		return false
	}
}

// Configuration returns the site's first change.
func (s *Site) Configuration() dragonflypass.Change {
	change := dragonflypass.Change{ID: "first", Author: "test", At: time.Now()}
	add := func(section dragonflypass.Section, name string, item dragonflypass.Item) {
		key := dragonflypass.ItemKey{Section: section, Name: name}
		change.Edits = append(change.Edits, dragonflypass.Edit{Key: key, Item: &item})
	}
	add(dragonflypass.SectionModel, string(SiteModel), dragonflypass.Item{Model: &dragonflypass.Model{ID: SiteModel, Version: "1", Limit: 1_000_000}})
	for i, engine := range s.Servers {
		add(dragonflypass.SectionServer, string(engine.ID), dragonflypass.Item{Server: &dragonflypass.BackendServer{
			ID: engine.ID, Zone: s.Zones[i%len(s.Zones)], Address: serverAddress(i), Models: engine.Models,
			KVCapacity: engine.Memory, Slots: engine.Slots, PrefillRate: engine.Prefill, DecodeRate: engine.Decode,
		}})
	}
	add(dragonflypass.SectionService, string(SiteService), dragonflypass.Item{Service: &dragonflypass.Service{
		ID: SiteService, Endpoints: []dragonflypass.Endpoint{{Address: serverAddress(200), Zone: "a"}},
		Once: []dragonflypass.Route{{Method: "POST", Prefix: "/confirm"}}, OutcomeRetention: 72 * time.Hour,
	}})
	add(dragonflypass.SectionAccount, string(SiteAccount), dragonflypass.Item{Account: &dragonflypass.ClientAccount{
		ID: SiteAccount, Models: []dragonflypass.ModelID{SiteModel}, Services: []dragonflypass.ServiceID{SiteService}, Weight: 1,
	}})
	return change
}

// Apply sends edits through the node and returns the verdict.
func (s *Site) Apply(node int, id string, edits ...dragonflypass.Edit) (dragonflypass.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(s.Context, 30*time.Second)
	defer cancel()
	return s.Nodes[node].Configurer.Submit(ctx, dragonflypass.Change{ID: id, Author: "test", At: time.Now(), Edits: edits})
}

// Base returns the version of an item in force on the node.
func (s *Site) Base(node int, key dragonflypass.ItemKey) dragonflypass.Offset {
	for _, v := range s.Nodes[node].Configurer.Current().Items {
		if v.Key == key {
			return v.Version
		}
	}
	return 0
}

// Answer collects what a caller got.
type Answer struct {
	mutex  sync.Mutex
	text   strings.Builder
	tokens int
	first  time.Time
	last   time.Time
	gap    time.Duration
	Usage  dragonflypass.TokenUsage
	Err    error
	// Ended is the instant at which the request ended.
	Ended time.Time
}

// Accept adds the frame's text.
func (a *Answer) Accept(frame dragonflypass.Frame) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	if a.first.IsZero() {
		a.first, a.last = now, now
	}
	a.gap, a.last = max(a.gap, now.Sub(a.last)), now
	a.text.WriteString(frame.Text)
	a.tokens += frame.Tokens
	return nil
}

// Text returns what has come so far.
func (a *Answer) Text() string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.text.String()
}

// Tokens returns the number of tokens that have come so far.
func (a *Answer) Tokens() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.tokens
}

// Gap returns the longest time between two frames.
func (a *Answer) Gap() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.gap
}

// First returns the instant of the first frame.
func (a *Answer) First() time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.first
}

// Complete sends a prompt through the node and waits for its end.
func (s *Site) Complete(ctx context.Context, node int, prompt string, output int, rank dragonflypass.Rank) *Answer {
	a := &Answer{}
	s.CompleteInto(ctx, a, node, prompt, output, rank)
	return a
}

// CompleteInto sends a prompt through the node, collects its answer and waits for its end.
func (s *Site) CompleteInto(ctx context.Context, a *Answer, node int, prompt string, output int, rank dragonflypass.Rank) {
	a.Usage, a.Err = s.Nodes[node].Dispatcher.Complete(ctx, dispatcher.CompletionRequest{
		ID: "test", Account: SiteAccount, Model: SiteModel, Rank: rank, Prompt: prompt, MaxOutputTokens: output,
		BodyHash: sha256.Sum256([]byte(prompt)), Arrived: time.Now(),
	}, a)
	a.Ended = time.Now()
}

// Confirm sends an at-most-once call with the key through the node.
func (s *Site) Confirm(ctx context.Context, node int, key, body string) (dragonflypass.ServiceResponse, error) {
	return s.Nodes[node].Forwarder.Forward(ctx, dragonflypass.ServiceCall{
		ID: "test", Service: SiteService, Account: SiteAccount, Method: "POST", Path: "/confirm",
		Body: []byte(body), IdempotencyKey: key, Arrived: time.Now(),
	})
}
