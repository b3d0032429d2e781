package composer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/acquirer"
	"github.com/dragonflypass/dragonflypass/core/allocator"
	"github.com/dragonflypass/dragonflypass/core/assessor"
	"github.com/dragonflypass/dragonflypass/core/balancer"
	"github.com/dragonflypass/dragonflypass/core/detector"
	"github.com/dragonflypass/dragonflypass/core/follower"
	"github.com/dragonflypass/dragonflypass/core/handler"
	"github.com/dragonflypass/dragonflypass/core/locker"
	"github.com/dragonflypass/dragonflypass/core/prober"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
	"github.com/dragonflypass/dragonflypass/core/registrar"
	"github.com/dragonflypass/dragonflypass/core/relayer"
	"github.com/dragonflypass/dragonflypass/core/reserver"
	"github.com/dragonflypass/dragonflypass/core/retrier"
	"github.com/dragonflypass/dragonflypass/core/router"
)

// RelayPorts are the outsides of a node that relays exchanges.
type RelayPorts struct {
	Timer   dragonflypass.Timer
	Pool    dragonflypass.Pool
	Store   dragonflypass.Store
	Backend dragonflypass.Backend
	Peers   dragonflypass.PeerClient
	// Directory lists the entry VMs in the store.
	Directory dragonflypass.Directory
	Meter     dragonflypass.Meter
	Logger    dragonflypass.Logger
}

// RelayOptions are the identity and limits of a node that relays exchanges.
type RelayOptions struct {
	Self        dragonflypass.VM
	Incarnation uint64
	// Seeds are addresses at which other entry VMs may be found.
	Seeds []netip.AddrPort
	// HeartbeatInterval is the shortest time between two heartbeats to one VM.
	HeartbeatInterval time.Duration
	// RevokeLimit is the time after which no request with a key that was taken away may run.
	RevokeLimit time.Duration
	// RetryRatio is the number of repeats allowed for each request of a service, and Slack that of further ones in a
	// window, for all VMs together.
	RetryRatio float64
	RetryBurst float64
	// ApplyLimit is the time in which a new route table must be in force.
	ApplyLimit time.Duration
}

// Relay is the decisions of one entry VM that relays exchanges for the platform.
type Relay struct {
	Options     RelayOptions
	Ports       RelayPorts
	Detector    *detector.Detector
	Routing     *follower.Follower
	Registry    *follower.Follower
	Router      *router.Router
	Registrar   *registrar.Registrar
	Assessor    *assessor.Assessor
	Prober      *prober.Prober
	Balancer    *balancer.Balancer
	Allocator   *allocator.Allocator
	Acquirer    *acquirer.Acquirer
	Relayer     *relayer.Relayer
	Budgets     *retrier.Budgets
	Quarantiner *quarantiner.Quarantiner

	mutex locker.Mutex
	// owned holds the owner of each service as last seen.
	owned map[dragonflypass.ServiceID]dragonflypass.VMID
}

const (
	// routingPeriod paces the reads of the routing, registryPeriod those of the registry, whose records come all the time.
	routingPeriod  = 100 * time.Millisecond
	registryPeriod = 500 * time.Millisecond
	// routingWait is how long the store holds a read of the routing back, and routingPatience the age of the newest
	// proof from which a VM reads by itself.
	routingWait     = time.Second
	routingPatience = 1500 * time.Millisecond
	// wideWait and widePatience are the same in a large fleet, where a proof is on its way for as long as the
	// heartbeats of a zone are apart, a second at 24 VMs; both together stay below the age at which a VM is not ready.
	wideWait     = 500 * time.Millisecond
	widePatience = 1900 * time.Millisecond
	// registryPatience is that age for the registry, less than the time after which the store counts as having been away.
	registryPatience = 2500 * time.Millisecond
	// largeFleet is the number of VMs from which each zone has a reader of its own.
	largeFleet = 16
	// tellTimeout bounds one message about a crash.
	tellTimeout = time.Second
	// crashLimit is the number of servers that a request may crash before it is refused.
	crashLimit = 3
	// topicReaders is the number of VMs that read a topic for the others, so that the loss of one is not felt.
	topicReaders = 2
	// listPeriod is the time between two readings of the list of entry VMs, which tell each other of themselves.
	listPeriod = 20 * time.Second
)

// ComposeRelay builds a node that relays exchanges; nothing runs before Run.
func ComposeRelay(options RelayOptions, ports RelayPorts) *Relay {
	n := &Relay{
		Options: options, Ports: ports, Budgets: retrier.NewBudgets(), Quarantiner: quarantiner.New(),
		mutex: locker.Mutex{Order: locker.Configuration}, owned: make(map[dragonflypass.ServiceID]dragonflypass.VMID),
	}
	n.Quarantiner.Timer, n.Quarantiner.Meter, n.Quarantiner.Logger = ports.Timer, ports.Meter, ports.Logger
	n.Quarantiner.Limit = crashLimit
	n.Budgets.Ratio, n.Budgets.Burst = options.RetryRatio, options.RetryBurst
	n.Budgets.VMs = func() int { return len(n.Detector.Others()) + 1 }
	n.composeMembers()
	n.composeTopics()
	n.composeServers()
	n.composeRelayer()
	n.Detector.Subscribe(n.succeed)
	return n
}

func (n *Relay) composeMembers() {
	o, p := n.Options, n.Ports
	d := detector.New()
	d.Self, d.Incarnation, d.Contacts = o.Self, o.Incarnation, o.Seeds
	d.Timer, d.Pool, d.Peers, d.Directory = p.Timer, p.Pool, p.Peers, p.Directory
	d.Meter, d.Logger = p.Meter, p.Logger
	d.Interval, d.List = o.HeartbeatInterval, listPeriod
	d.ConfigOffset = func() dragonflypass.Offset { return 0 }
	d.Loads = func() []dragonflypass.ServerLoad { return nil }
	d.OpenStreams = func(owner dragonflypass.VMID) ([]uint64, []dragonflypass.OpenStream) {
		return n.Relayer.OpenStreams(owner)
	}
	d.Received = func(beat dragonflypass.Heartbeat) { n.Allocator.HandleHeartbeat(beat) }
	d.Watermarks = func() []dragonflypass.Watermark {
		return []dragonflypass.Watermark{n.Routing.Watermark(), n.Registry.Watermark()}
	}
	d.MissingUpdates = n.answer
	d.HeartbeatAnswered = n.synced
	n.Detector = d
}

func (n *Relay) composeTopics() {
	o, p := n.Options, n.Ports
	n.Routing = n.follow(dragonflypass.TopicRouting, dragonflypass.JobRouting, sameTable)
	n.Routing.Period = routingPeriod
	n.Routing.PollPolicy = func() (wait, patience time.Duration) {
		if len(n.Detector.Others()) >= largeFleet {
			return wideWait, widePatience
		}
		return routingWait, routingPatience
	}
	n.Registry = n.follow(dragonflypass.TopicServers, dragonflypass.JobRegistry, sameServer)
	n.Registry.Period = registryPeriod
	n.Registry.PollPolicy = func() (wait, patience time.Duration) { return 0, registryPatience }

	r := &router.Router{Timer: p.Timer, Meter: p.Meter, Logger: p.Logger, FreshAsOf: n.Routing.FreshAsOf}
	r.Revoke, r.Apply = o.RevokeLimit, o.ApplyLimit
	n.Router = r

	g := registrar.New()
	g.Timer, g.Logger, g.StoreRecoveredAt = p.Timer, p.Logger, n.Registry.StoreRecoveredAt
	n.Registrar = g
	for f, take := range map[*follower.Follower]func([]dragonflypass.Update){n.Routing: r.ApplyUpdates, n.Registry: g.ApplyUpdates} {
		f.Subscribe(take)
		f.Subscribe(func([]dragonflypass.Update) { n.Detector.BroadcastHeartbeat() })
	}
}

func (n *Relay) composeServers() {
	o, p := n.Options, n.Ports
	n.Assessor = assessor.New()
	n.Assessor.Timer, n.Assessor.Meter, n.Assessor.Logger = p.Timer, p.Meter, p.Logger

	b := balancer.New()
	b.Zone, b.Timer, b.Assessor = o.Self.Zone, p.Timer, n.Assessor
	n.Balancer = b

	a := allocator.New()
	a.Self, a.Timer, a.Meter, a.Logger, a.Assessor = o.Self.ID, p.Timer, p.Meter, p.Logger, n.Assessor
	a.CostModel, a.Servers = n.law, n.Registrar.Servers
	n.Allocator = a
	n.Registrar.Changed = a.RejectUnservable

	r := prober.New()
	r.Timer, r.Pool, r.Backend, r.Meter = p.Timer, p.Pool, p.Backend, p.Meter
	r.Servers, r.Assessor = n.Registrar, n.Assessor
	n.Prober = r
	a.ServerUnreachable = n.unreached

	q := acquirer.New()
	q.Self, q.Timer, q.Pool, q.Peers, q.Members, q.Meter, q.Logger = o.Self.ID, p.Timer, p.Pool, p.Peers, n.Detector, p.Meter, p.Logger
	q.Local, q.Owners, q.OwnerUnresponsive = a, n.owners, r.ProbeAll
	n.Acquirer = q
}

func (n *Relay) composeRelayer() {
	o, p := n.Options, n.Ports
	l := relayer.New()
	l.Self, l.Incarnation, l.Timer, l.Backend = o.Self, o.Incarnation, p.Timer, p.Backend
	l.Meter, l.Logger, l.Router, l.Directory, l.Balancer = p.Meter, p.Logger, n.Router, n.Registrar, n.Balancer
	l.Permits, l.Budgets, l.LeavingSince, l.ServerUnreachable = n.Acquirer, n.Budgets, n.Detector.LeavingSince, n.unreached
	l.Prober, l.Assessor = n.Prober, n.Assessor
	l.Quarantiner, l.Crashes = n.Quarantiner, n
	l.Reserver = &reserver.Reserver{Timer: p.Timer, Pool: p.Pool, Backend: p.Backend, Meter: p.Meter, Logger: p.Logger}
	l.Owner = func(service dragonflypass.ServiceID) dragonflypass.VMID { return n.Acquirer.Owner(service).ID }
	l.HandleHeartbeat = n.Allocator.HandleHeartbeat
	n.Relayer = l
}

// unreached notes a server that could not be reached, and has the others of its zone probed.
func (n *Relay) unreached(id dragonflypass.ServerID) {
	n.Assessor.RecordOutcome(id, assessor.ConnectFailed)
	if entry, ok := n.Registrar.Server(id); ok {
		n.Prober.ProbeZone(entry.Zone)
	}
}

// owners returns the VMs that are to own the servers of a service, each where those before it do not answer.
func (n *Relay) owners(service dragonflypass.ServiceID) []dragonflypass.VM {
	return n.Detector.OwnerCandidates(string(service))
}

// succeed tells a new owner of this VM's open streams at once.
func (n *Relay) succeed() {
	table := n.Router.Current()
	if table == nil {
		return
	}
	for service, policy := range table.Services {
		if policy.CostModel == nil {
			continue
		}
		owner := n.Acquirer.Owner(service)
		n.mutex.Lock()
		before := n.owned[service]
		n.owned[service] = owner.ID
		n.mutex.Unlock()
		switch {
		case before == owner.ID:
		case owner.ID == n.Options.Self.ID:
			n.Relayer.RenewLocalLeases()
		default:
			n.Detector.SendHeartbeat(owner)
		}
		if before != owner.ID {
			n.Ports.Logger.Info("owner", "service", service, "owner", owner.ID, "before", before)
		}
	}
}

// answer returns this VM's marks with what a VM with the other marks lacks.
func (n *Relay) answer(others []dragonflypass.Watermark) []dragonflypass.Watermark {
	marks := make([]dragonflypass.Watermark, 0, len(others))
	for _, f := range []*follower.Follower{n.Routing, n.Registry} {
		for _, other := range others {
			if other.Topic == f.Topic {
				marks = append(marks, f.MissingUpdates(other))
			}
		}
	}
	return marks
}

// synced takes the marks of an answer to a heartbeat that was sent at the uptime.
func (n *Relay) synced(asked time.Duration, beat dragonflypass.Heartbeat) {
	for _, f := range []*follower.Follower{n.Routing, n.Registry} {
		for _, mark := range beat.Watermarks {
			if mark.Topic == f.Topic {
				f.HandleWatermark(asked, mark, beat.From.ID)
			}
		}
	}
}

func (n *Relay) follow(topic dragonflypass.Topic, kind dragonflypass.JobKind, same func(a, b dragonflypass.Update) bool) *follower.Follower {
	f := follower.New(topic, kind)
	f.Timer, f.Store, f.Meter, f.Logger = n.Ports.Timer, n.Ports.Store, n.Ports.Meter, n.Ports.Logger
	f.Equal = same
	f.IsReader = func() bool { return n.reads(topic) }
	return f
}

// reads reports whether this VM reads the topic for others: for all in a small fleet, else for its zone.
func (n *Relay) reads(topic dragonflypass.Topic) bool {
	self, live := n.Options.Self, n.Detector.Live()
	if len(live) <= largeFleet {
		return detector.AmongFirst(string(topic), self.ID, live, topicReaders)
	}
	zone := slices.DeleteFunc(live, func(vm dragonflypass.VM) bool { return vm.Zone != self.Zone })
	return detector.AmongFirst(string(topic), self.ID, zone, 1)
}

func sameTable(older, newer dragonflypass.Update) bool {
	return older.Table != nil && newer.Table != nil && older.Table.Version == newer.Table.Version
}

// sameServer compares entries but for the time for which the server remains slow.
func sameServer(older, newer dragonflypass.Update) bool {
	if older.Server == nil || newer.Server == nil {
		return false
	}
	a, b := *older.Server, *newer.Server
	a.WarmupTime, b.WarmupTime = 0, 0
	return a == b
}

// law returns the law of the service's engines, nil when it is not known.
func (n *Relay) law(service dragonflypass.ServiceID) *dragonflypass.EngineCostModel {
	table := n.Router.Current()
	if table == nil || table.Services[service] == nil {
		return nil
	}
	return table.Services[service].CostModel
}

// Run runs the parts until ctx ends; the pool and the timer service must be running.
func (n *Relay) Run(ctx context.Context) {
	var parts sync.WaitGroup
	for _, run := range []func(context.Context){n.Detector.Run, n.Routing.Run, n.Registry.Run, n.Registrar.Run, n.Allocator.Run, n.Prober.Run, n.Relayer.Run} {
		parts.Go(func() { run(ctx) })
	}
	parts.Wait()
}

// Handler answers the other entry VMs.
func (n *Relay) Handler() dragonflypass.PeerHandler {
	return &handler.Handler{Owner: n.Allocator, Detector: n.Detector, Quarantiner: n.Quarantiner, Refuse: n.refuse}
}

// BroadcastCrash passes word of a crash on to the other VMs.
func (n *Relay) BroadcastCrash(crash dragonflypass.ServerCrash) {
	for _, member := range n.Detector.Others() {
		n.Ports.Pool.Submit(dragonflypass.JobPeer, func(ctx context.Context) {
			ctx, cancel := n.Ports.Timer.WithDeadline(ctx, n.Ports.Timer.Now().Add(tellTimeout))
			defer cancel()
			if err := n.Ports.Peers.ReportCrash(ctx, member.VM, crash); err != nil {
				n.Ports.Logger.Info("crash not told", "vm_told", member.VM.ID, "server", crash.Server, "error", err)
			}
		})
	}
}

// refuse sends requests for permits on to other VMs while this one is leaving.
func (n *Relay) refuse() *dragonflypass.Refusal {
	if !n.Detector.Leaving() {
		return nil
	}
	return allocator.MovedRefusal()
}

// Leave takes the VM out of service: it tells the other VMs, and sends on what waits here for permits.
func (n *Relay) Leave(ctx context.Context) {
	n.Detector.Leave(ctx)
	n.Allocator.Leave()
}

// Ready reports whether the node can serve.
func (n *Relay) Ready() bool {
	return !n.Detector.Leaving() && n.Router.Fresh() && n.Registry.Loaded()
}
