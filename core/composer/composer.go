package composer

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/admitter"
	"github.com/dragonflypass/dragonflypass/core/assigner"
	"github.com/dragonflypass/dragonflypass/core/claimer"
	"github.com/dragonflypass/dragonflypass/core/configurer"
	"github.com/dragonflypass/dragonflypass/core/detector"
	"github.com/dragonflypass/dragonflypass/core/dispatcher"
	"github.com/dragonflypass/dragonflypass/core/drainer"
	"github.com/dragonflypass/dragonflypass/core/estimator"
	"github.com/dragonflypass/dragonflypass/core/forwarder"
	"github.com/dragonflypass/dragonflypass/core/handler"
	"github.com/dragonflypass/dragonflypass/core/orderer"
	"github.com/dragonflypass/dragonflypass/core/placer"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
	"github.com/dragonflypass/dragonflypass/core/ranker"
	"github.com/dragonflypass/dragonflypass/core/retrier"
	"github.com/dragonflypass/dragonflypass/core/scheduler"
	"github.com/dragonflypass/dragonflypass/core/watcher"
)

// Ports holds the implementations of the interfaces through which a node reaches everything outside of it.
type Ports struct {
	Timer         dragonflypass.Timer
	Pool          dragonflypass.Pool
	Log           dragonflypass.Log
	Directory     dragonflypass.Directory
	Engine        dragonflypass.Engine
	ServiceClient dragonflypass.ServiceClient
	Peers         dragonflypass.PeerClient
	Meter         dragonflypass.Meter
	Logger        dragonflypass.Logger
}

// Options holds the identity, intervals and limits of a node.
type Options struct {
	Self        dragonflypass.VM
	Incarnation uint64
	// Seeds are the entry VMs that the node contacts before it has read the platform's list.
	Seeds []dragonflypass.VM
	// HeartbeatInterval is the minimum time between two heartbeats to the same VM.
	HeartbeatInterval time.Duration
	// ReportInterval is the time between two reads of a backend server's report.
	ReportInterval time.Duration
	// LogPollInterval is the time between two reads of the log.
	LogPollInterval time.Duration
	// MemberPollInterval is the time between two reads of the platform's list of VMs.
	MemberPollInterval time.Duration
	// Lease is the time without a heartbeat from a VM after which the permits of that VM expire.
	Lease time.Duration
	// ReportLag is the maximum age of a backend server's report.
	ReportLag time.Duration
	// ZoneDelay is the network delay to another availability zone.
	ZoneDelay time.Duration
	// LogRetention is the time for which the log retains records.
	LogRetention time.Duration
	// OutcomeRetention is the time for which the outcome of an idempotency key is stored.
	OutcomeRetention time.Duration
	// Shards is the number of claim streams. All VMs must use the same number.
	Shards int
}

// Defaults returns the default options for a VM.
func Defaults(self dragonflypass.VM, incarnation uint64) Options {
	return Options{
		Self:               self,
		Incarnation:        incarnation,
		HeartbeatInterval:  time.Second,
		ReportInterval:     500 * time.Millisecond,
		LogPollInterval:    time.Second,
		MemberPollInterval: 5 * time.Second,
		Lease:              10 * time.Second,
		ReportLag:          2 * time.Second,
		ZoneDelay:          time.Millisecond,
		LogRetention:       24 * time.Hour,
		OutcomeRetention:   72 * time.Hour,
		Shards:             4,
	}
}

// Node holds the components that make the decisions of one entry VM.
type Node struct {
	Options     Options
	Ports       Ports
	Detector    *detector.Detector
	Configurer  *configurer.Configurer
	Scheduler   *scheduler.Scheduler
	Assigner    *assigner.Assigner
	Watcher     *watcher.Watcher
	Orderer     *orderer.Orderer
	Dispatcher  *dispatcher.Dispatcher
	Forwarder   *forwarder.Forwarder
	Claimer     *claimer.Claimer
	Drainer     *drainer.Drainer
	Admitter    *admitter.Admitter
	Quarantiner *quarantiner.Quarantiner
	RetryBudget *retrier.Budget
}

// Compose builds a node. Nothing runs until Run is called.
func Compose(options Options, ports Ports) *Node {
	n := &Node{Options: options, Ports: ports}
	n.Quarantiner = quarantiner.New()
	n.Quarantiner.Timer, n.Quarantiner.Meter, n.Quarantiner.Logger = ports.Timer, ports.Meter, ports.Logger
	n.RetryBudget = retrier.New()
	n.Admitter = admitter.New()
	n.Admitter.Timer = ports.Timer
	n.composeMembers()
	n.composeOwner()
	n.composeEntry()
	n.connect()
	return n
}

func (n *Node) composeMembers() {
	o, p := n.Options, n.Ports
	d := detector.New()
	d.Self, d.Incarnation, d.Seeds = o.Self, o.Incarnation, o.Seeds
	d.Timer, d.Pool, d.Peers, d.Directory = p.Timer, p.Pool, p.Peers, p.Directory
	d.Meter, d.Logger = p.Meter, p.Logger
	d.HeartbeatInterval, d.MemberPollInterval = o.HeartbeatInterval, o.MemberPollInterval
	n.Detector = d

	c := configurer.New()
	c.Timer, c.Log, c.Peers, c.Members = p.Timer, p.Log, p.Peers, d
	c.Meter, c.Logger = p.Meter, p.Logger
	c.PollInterval, c.Retention = o.LogPollInterval, o.LogRetention
	n.Configurer = c
}

func (n *Node) composeOwner() {
	o, p := n.Options, n.Ports
	s := scheduler.New()
	s.Self, s.Timer, s.Pool, s.Engine, s.Meter, s.Quarantiner = o.Self.ID, p.Timer, p.Pool, p.Engine, p.Meter, n.Quarantiner
	s.Queue = ranker.New(func() [dragonflypass.RankCount]dragonflypass.RankPolicy { return n.Configurer.Current().Ranks })
	s.Placement = placer.ShortestWait{}
	s.Current, s.Leaving = n.Configurer.Current, n.Detector.Leaving
	s.Lease, s.Lag, s.SilentSince = o.Lease, o.ReportLag, n.Detector.SilentSince
	n.Scheduler = s

	a := assigner.New()
	a.Self, a.Live, a.Current, a.SetOwned = o.Self.ID, n.Detector.Live, n.Configurer.Current, s.SetOwned
	n.Assigner = a

	w := watcher.New()
	w.Timer, w.Pool, w.Engine, w.Peers, w.Members = p.Timer, p.Pool, p.Engine, p.Peers, n.Detector
	w.Scheduler, w.Quarantiner, w.Meter, w.Logger, w.ReportInterval = s, n.Quarantiner, p.Meter, p.Logger, o.ReportInterval
	n.Watcher = w

	g := orderer.New()
	g.Self, g.Incarnation, g.Timer, g.Pool, g.Log, g.Engine = o.Self.ID, o.Incarnation, p.Timer, p.Pool, p.Log, p.Engine
	g.Servers, g.Meter, g.Logger, g.Current, g.Lease = s, p.Meter, p.Logger, n.Configurer.Current, o.Lease
	n.Orderer = g
	s.StreamBroken = w.FetchNow
}

func (n *Node) composeEntry() {
	o, p := n.Options, n.Ports
	d := dispatcher.New()
	d.Self, d.Incarnation = o.Self, o.Incarnation
	d.Timer, d.Pool, d.Peers, d.Engine, d.Meter = p.Timer, p.Pool, p.Peers, p.Engine, p.Meter
	d.Members, d.LocalOwner = n.Detector, n.Scheduler
	d.Placement = placer.ShortestWait{}
	d.Admitter, d.Estimator, d.RetryBudget, d.Quarantiner = n.Admitter, estimator.New(), n.RetryBudget, n.Quarantiner
	d.Current, d.OwnerOf, d.Leaving = n.Configurer.Current, n.Assigner.Owner, n.Detector.Leaving
	d.ZoneDelay = o.ZoneDelay
	n.Dispatcher = d

	c := claimer.New(o.Shards, o.LogRetention, o.OutcomeRetention)
	c.Self, c.Incarnation = o.Self.ID, o.Incarnation
	c.Timer, c.Pool, c.Log, c.Meter, c.Logger, c.PollInterval = p.Timer, p.Pool, p.Log, p.Meter, p.Logger, o.LogPollInterval
	n.Claimer = c

	f := forwarder.New()
	f.Zone, f.Timer, f.Client, f.Meter = o.Self.Zone, p.Timer, p.ServiceClient, p.Meter
	f.Admitter, f.RetryBudget, f.Claimer = n.Admitter, n.RetryBudget, c
	f.Current, f.Leaving = n.Configurer.Current, n.Detector.Leaving
	n.Forwarder = f

	n.Drainer = &drainer.Drainer{
		Self: o.Self.ID, Timer: p.Timer, Logger: p.Logger, Current: n.Configurer.Current,
		Leave: n.Detector.Leave, RejectUnservable: n.Scheduler.RejectUnservable, Busy: d.OpenCount,
	}
}

// connect sets the callbacks that call components built later than the component that holds the callback.
func (n *Node) connect() {
	n.Detector.ConfigOffset = func() dragonflypass.Offset { return n.Configurer.Current().Offset }
	n.Detector.Loads = n.Scheduler.Loads
	n.Detector.OpenStreams = n.Dispatcher.OpenStreams
	n.Detector.Statuses = n.Quarantiner.Statuses
	n.Detector.Received = func(heartbeat dragonflypass.Heartbeat) {
		n.Quarantiner.Merge(heartbeat.Parts, heartbeat.Requests)
		n.Scheduler.HandleHeartbeat(heartbeat)
	}
	n.Detector.Subscribe(n.Assigner.Assign)
	n.Configurer.Subscribe(func(*dragonflypass.Configuration) { n.Assigner.Assign() })
}

// Handler returns the handler for messages from other entry VMs.
func (n *Node) Handler() dragonflypass.PeerHandler {
	return &handler.Handler{
		Owner: n.Scheduler, Detector: n.Detector, Configurer: n.Configurer, Quarantiner: n.Quarantiner,
		Refuse: func() *dragonflypass.Refusal { return nil },
	}
}

// Run runs the components until ctx ends. The pool and the timer must be running already.
func (n *Node) Run(ctx context.Context) {
	n.Ports.Pool.Submit(dragonflypass.JobConfig, n.Configurer.Refresh)
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){
		n.Detector.Run, n.Configurer.Run, n.Scheduler.Run, n.Watcher.Run, n.Dispatcher.Run, n.Claimer.Run, n.Drainer.Run,
		n.Orderer.Run,
	} {
		wg.Go(func() { run(ctx) })
	}
	wg.Wait()
}

// Ready reports whether the node can serve requests. It must have a configuration and must not be leaving. For each
// model with servers, an owner must have reported a server, unless the time to wait for such a report has passed.
func (n *Node) Ready() bool {
	return !n.Detector.Leaving() && n.Configurer.Current().Offset > 0 && n.Dispatcher.Ready()
}
