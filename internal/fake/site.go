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

// Names in the initial configuration of a site.
const (
	SiteModel   = dragonflypass.ModelID("small")
	SiteAccount = dragonflypass.AccountID("demo")
	SiteService = dragonflypass.ServiceID("booking")
)

// Site is a set of nodes connected to fakes of all ports, in one process.
type Site struct {
	Log       *Log
	Network   *Network
	Directory *Directory
	Engines   *Engines
	Service   *Service
	Nodes     []*SiteNode
	Servers   []*generator.Engine
	// Options changes the options of each node before the node starts; nil leaves the defaults.
	Options func(*composer.Options)

	// Context is the context in which nodes and servers run; it ends with the test.
	Context context.Context
	// Zones are the availability zones to which VMs and servers are assigned in turn.
	Zones []dragonflypass.AvailabilityZone
}

// SiteNode is one node of a site.
type SiteNode struct {
	*composer.Node

	Meter     *Meter
	LogAccess *LogAccess

	cancel context.CancelFunc
	killed chan struct{}
	wg     sync.WaitGroup
}

// NewSite returns a site with the given numbers of nodes and servers, spread over the zones a, b and c. Nothing runs before Start.
func NewSite(ctx context.Context, nodes, servers int) *Site {
	s := &Site{
		Log: NewLog(), Network: NewNetwork(), Directory: &Directory{}, Engines: NewEngines(), Service: NewService(),
		Context: ctx, Zones: []dragonflypass.AvailabilityZone{"a", "b", "c"},
	}
	for i := range servers {
		engine := generator.New(dragonflypass.ServerID(fmt.Sprintf("server-%d", i+1)))
		engine.Models = []dragonflypass.ModelID{SiteModel}
		engine.KVCapacity, engine.Slots, engine.PrefillRate, engine.DecodeRate = 100_000, 16, 10_000, 50
		engine.ReportLag = 500 * time.Millisecond
		s.Servers = append(s.Servers, engine)
		s.Engines.Add(serverAddress(i), engine)
	}
	s.Nodes = make([]*SiteNode, nodes)
	return s
}

func serverAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), 9000)
}

// VM returns the identity of the node with index i.
func (s *Site) VM(i int) dragonflypass.VM {
	return dragonflypass.VM{
		ID:   dragonflypass.VMID(fmt.Sprintf("vm-%d", i+1)),
		Zone: s.Zones[i%len(s.Zones)],
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(2 + i/250), byte(i%250 + 1)}), 7000),
	}
}

// Start starts the servers and nodes and waits until the configuration is in effect.
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
	change := s.InitialChange()
	_, _ = s.Log.Append(s.Context, dragonflypass.LogStreamConfig, dragonflypass.LogRecord{Change: &change})
	for i := range s.Nodes {
		s.StartNode(i)
	}
	time.Sleep(s.Directory.Lag + 8*time.Second)
}

// StartNode starts the node with index i, or restarts it after Kill.
func (s *Site) StartNode(i int) {
	n := &SiteNode{Meter: NewMeter(), LogAccess: &LogAccess{Log: s.Log}, killed: make(chan struct{})}
	ctx, cancel := context.WithCancel(s.Context)
	n.cancel = cancel
	pool := &worker.Pool{Workers: 16, QueueLimit: 4096, Meter: n.Meter}
	clock := timer.New(pool)
	options := composer.Defaults(s.VM(i), uint64(time.Now().UnixNano()))
	if s.Options != nil {
		s.Options(&options)
	}
	n.Node = composer.Compose(options, composer.Ports{
		Timer: clock, Pool: pool, Log: n.LogAccess, Directory: s.Directory, ServiceClient: s.Service,
		Engine: &EngineAccess{Engines: s.Engines, Killed: n.killed},
		Peers:  &PeerClient{Network: s.Network, Self: options.Self.ID, Killed: n.killed},
		Meter:  n.Meter, Logger: Logger{},
	})
	s.Nodes[i] = n
	s.Network.SetHandler(options.Self.ID, n.Handler())
	for _, run := range []func(context.Context){pool.Run, clock.Run, n.Run} {
		n.wg.Go(func() { run(ctx) })
	}
}

// Kill stops the node with index i as a crash of its process would, and waits until its goroutines have ended.
func (s *Site) Kill(i int) {
	s.Network.SetHandler(s.VM(i).ID, nil)
	close(s.Nodes[i].killed)
	s.Nodes[i].cancel()
	s.Nodes[i].wg.Wait()
}

// Killed reports whether the node was killed.
func (n *SiteNode) Killed() bool {
	select {
	case <-n.killed:
		return true
	default:
		return false
	}
}

// InitialChange returns the change that contains the initial configuration of the site.
func (s *Site) InitialChange() dragonflypass.Change {
	change := dragonflypass.Change{ID: "first", Author: "test", At: time.Now()}
	add := func(section dragonflypass.Section, name string, item dragonflypass.Item) {
		key := dragonflypass.ItemKey{Section: section, Name: name}
		change.Edits = append(change.Edits, dragonflypass.Edit{Key: key, Item: &item})
	}
	add(dragonflypass.SectionModel, string(SiteModel), dragonflypass.Item{Model: &dragonflypass.Model{ID: SiteModel, Version: "1", Limit: 1_000_000}})
	for i, engine := range s.Servers {
		add(dragonflypass.SectionServer, string(engine.ID), dragonflypass.Item{Server: &dragonflypass.BackendServer{
			ID: engine.ID, Zone: s.Zones[i%len(s.Zones)], Address: serverAddress(i), Models: engine.Models,
			KVCapacity: engine.KVCapacity, Slots: engine.Slots, PrefillRate: engine.PrefillRate, DecodeRate: engine.DecodeRate,
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

// Apply submits a change with the edits through the node and waits up to 30 s for its result.
func (s *Site) Apply(node int, id string, edits ...dragonflypass.Edit) (dragonflypass.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(s.Context, 30*time.Second)
	defer cancel()
	return s.Nodes[node].Configurer.Submit(ctx, dragonflypass.Change{ID: id, Author: "test", At: time.Now(), Edits: edits})
}

// ItemVersion returns the version of the item that is in effect on the node, or 0 if there is none.
func (s *Site) ItemVersion(node int, key dragonflypass.ItemKey) dragonflypass.Offset {
	for _, v := range s.Nodes[node].Configurer.Current().Items {
		if v.Key == key {
			return v.Version
		}
	}
	return 0
}

// Answer records the completion that a caller received.
type Answer struct {
	mutex       sync.Mutex
	text        strings.Builder
	tokens      int
	firstFrame  time.Time
	lastFrame   time.Time
	maxFrameGap time.Duration
	Usage       dragonflypass.TokenUsage
	Err         error
	// EndedAt is the time at which the request ended.
	EndedAt time.Time
}

// Accept adds a frame to the answer.
func (a *Answer) Accept(frame dragonflypass.Frame) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	if a.firstFrame.IsZero() {
		a.firstFrame, a.lastFrame = now, now
	}
	a.maxFrameGap, a.lastFrame = max(a.maxFrameGap, now.Sub(a.lastFrame)), now
	a.text.WriteString(frame.Text)
	a.tokens += frame.Tokens
	return nil
}

// Text returns the text received so far.
func (a *Answer) Text() string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.text.String()
}

// Tokens returns the number of tokens received so far.
func (a *Answer) Tokens() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.tokens
}

// MaxFrameGap returns the longest time between two successive frames.
func (a *Answer) MaxFrameGap() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.maxFrameGap
}

// FirstFrameAt returns the time at which the first frame arrived.
func (a *Answer) FirstFrameAt() time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.firstFrame
}

// Complete sends a prompt through the node and waits until the request ends.
func (s *Site) Complete(ctx context.Context, node int, prompt string, maxOutputTokens int, rank dragonflypass.Rank) *Answer {
	a := &Answer{}
	s.CompleteInto(ctx, a, node, prompt, maxOutputTokens, rank)
	return a
}

// CompleteInto sends a prompt with shared parts through the node, records the answer in a and waits until the request ends.
func (s *Site) CompleteInto(ctx context.Context, a *Answer, node int, prompt string, maxOutputTokens int, rank dragonflypass.Rank, parts ...dragonflypass.SharedPart) {
	a.Usage, a.Err = s.Nodes[node].Dispatcher.Complete(ctx, dispatcher.CompletionRequest{
		ID: "test", Account: SiteAccount, Model: SiteModel, Rank: rank, Prompt: prompt, MaxOutputTokens: maxOutputTokens,
		BodyHash: sha256.Sum256([]byte(prompt)), Parts: parts, Arrived: time.Now(),
	}, a)
	a.EndedAt = time.Now()
}

// Confirm sends an at-most-once call with the key through the node.
func (s *Site) Confirm(ctx context.Context, node int, key, body string) (dragonflypass.ServiceResponse, error) {
	return s.Nodes[node].Forwarder.Forward(ctx, dragonflypass.ServiceCall{
		ID: "test", Service: SiteService, Account: SiteAccount, Method: "POST", Path: "/confirm",
		Body: []byte(body), IdempotencyKey: key, Arrived: time.Now(),
	})
}
