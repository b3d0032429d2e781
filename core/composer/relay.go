package composer

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/acquirer"
	"github.com/dragonflypass/dragonflypass/core/allocator"
	"github.com/dragonflypass/dragonflypass/core/appraiser"
	"github.com/dragonflypass/dragonflypass/core/assessor"
	"github.com/dragonflypass/dragonflypass/core/balancer"
	"github.com/dragonflypass/dragonflypass/core/connector"
	"github.com/dragonflypass/dragonflypass/core/detector"
	"github.com/dragonflypass/dragonflypass/core/enroller"
	"github.com/dragonflypass/dragonflypass/core/evacuator"
	"github.com/dragonflypass/dragonflypass/core/excluder"
	"github.com/dragonflypass/dragonflypass/core/follower"
	"github.com/dragonflypass/dragonflypass/core/handler"
	"github.com/dragonflypass/dragonflypass/core/locker"
	"github.com/dragonflypass/dragonflypass/core/pacer"
	"github.com/dragonflypass/dragonflypass/core/prober"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
	"github.com/dragonflypass/dragonflypass/core/registrar"
	"github.com/dragonflypass/dragonflypass/core/relayer"
	"github.com/dragonflypass/dragonflypass/core/reserver"
	"github.com/dragonflypass/dragonflypass/core/retrier"
	"github.com/dragonflypass/dragonflypass/core/router"
	"github.com/dragonflypass/dragonflypass/core/sharder"
	"github.com/dragonflypass/dragonflypass/core/throttler"
)

// RelayPorts holds the implementations of the interfaces through which a relay node reaches everything outside of it.
type RelayPorts struct {
	Timer   dragonflypass.Timer
	Pool    dragonflypass.Pool
	Store   dragonflypass.Store
	Backend dragonflypass.Backend
	Peers   dragonflypass.PeerClient
	// Directory lists the entry VMs that are registered in the store.
	Directory dragonflypass.Directory
	Meter     dragonflypass.Meter
	Logger    dragonflypass.Logger
}

// RelayOptions holds the identity and limits of a relay node.
type RelayOptions struct {
	Self        dragonflypass.VM
	Incarnation uint64
	// Seeds are addresses at which the node looks for other entry VMs.
	Seeds []netip.AddrPort
	// HeartbeatInterval is the minimum time between two heartbeats to the same VM.
	HeartbeatInterval time.Duration
	// RevokeLimit is the maximum time for which requests with a key may still run after the key was revoked.
	RevokeLimit time.Duration
	// RetryRatio is the number of retries allowed for each request of a service, and RetryBurst the number of further
	// retries allowed in a time window. Both apply to all VMs together.
	RetryRatio float64
	RetryBurst float64
	// ColdOvershoot and ColdSlack extend the limit on requests to servers that are warming up, see throttler.Throttler.
	ColdOvershoot float64
	ColdSlack     float64
	// ApplyLimit is the time within which a new route table must be in effect.
	ApplyLimit time.Duration
	// ShutdownTime is the time from the start of a shutdown until the requests that have not ended are refused, zero if there is
	// no limit.
	ShutdownTime time.Duration
}

// Relay holds the components that make the decisions of one relay node: an entry VM that relays the platform's exchanges.
type Relay struct {
	Options     RelayOptions
	Ports       RelayPorts
	Detector    *detector.Detector
	Routing     *follower.Follower
	Registry    *follower.Follower
	Router      *router.Router
	Registrar   *registrar.Registrar
	Assessor    *assessor.Assessor
	Excluder    *excluder.Excluder
	Evacuator   *evacuator.Evacuator
	Throttler   *throttler.Throttler
	Prober      *prober.Prober
	Balancer    *balancer.Balancer
	Allocator   *allocator.Allocator
	Acquirer    *acquirer.Acquirer
	Relayer     *relayer.Relayer
	Sharder     *sharder.Sharder
	Budgets     *retrier.Budgets
	Quarantiner *quarantiner.Quarantiner
	Appraiser   *appraiser.Appraiser
	Pacer       *pacer.Pacer
	Enroller    *enroller.Enroller

	mutex locker.Mutex
	// lastOwners maps each shard to its owner at the last change of the membership.
	lastOwners map[dragonflypass.Shard]dragonflypass.VMID
}

const (
	// routingPollInterval is the minimum time between the starts of two reads of the routing topic, and
	// registryPollInterval that for the registry topic, whose records change all the time.
	routingPollInterval  = 100 * time.Millisecond
	registryPollInterval = 500 * time.Millisecond
	// routingLongPoll is how long the store holds a read of the routing topic open while nothing changes.
	// largeFleetLongPoll replaces it in a large fleet, where a reader's proof that the table is current passes through two
	// heartbeats until it reaches all VMs.
	routingLongPoll    = time.Second
	largeFleetLongPoll = 500 * time.Millisecond
	// routingMaxStaleness and registryMaxStaleness are the staleness above which a VM reads the topic itself instead of
	// waiting for the VMs that read for it. The latter is less than the time after which the store counts as having been
	// unavailable.
	routingMaxStaleness  = 1500 * time.Millisecond
	registryMaxStaleness = 2500 * time.Millisecond
	// hubMaxStaleness and spokeMaxStaleness replace routingMaxStaleness in a large fleet. The hubs of a zone read first, and
	// the other VMs only if they get no proof from any of them before they would stop accepting connections.
	hubMaxStaleness   = 1500 * time.Millisecond
	spokeMaxStaleness = 2100 * time.Millisecond
	// hubReadInterval is the mean time between two reads of a hub that is not a reader. spokeReadInterval, multiplied by the
	// number of VMs in the fleet but at most maxSpokeReadInterval, is that of other VMs. It bounds the calls of a fleet of up
	// to 160 VMs to 40 a second and topic.
	hubReadInterval      = 800 * time.Millisecond
	spokeReadInterval    = 25 * time.Millisecond
	maxSpokeReadInterval = 4 * time.Second
	// routingReadTime is the time before the end of the freshness of keys at which a VM without proofs reads the routing topic
	// at the latest. A slow store answers after 250 ms.
	routingReadTime = 750 * time.Millisecond
	// changeDuty and crashDuty are the duties of the hubs that forward changes of a topic and crash reports in their zones.
	changeDuty = "change"
	crashDuty  = "crash"
	// crashLimit is the number of servers that a request may crash before it is quarantined.
	crashLimit = 3
	// readersPerTopic is the number of VMs that read a topic for all others, so that the loss of one delays no update.
	readersPerTopic = 2
	// memberPollInterval is the time between two reads of the list of entry VMs. VMs also learn of each other through
	// heartbeats.
	memberPollInterval = 20 * time.Second
)

// ComposeRelay builds a relay node. Nothing runs until Run is called.
func ComposeRelay(options RelayOptions, ports RelayPorts) *Relay {
	n := &Relay{
		Options: options, Ports: ports, Budgets: retrier.NewBudgets(), Quarantiner: quarantiner.New(),
		mutex: locker.Mutex{Order: locker.Configuration}, lastOwners: make(map[dragonflypass.Shard]dragonflypass.VMID),
	}
	n.Quarantiner.Timer, n.Quarantiner.Meter, n.Quarantiner.Logger = ports.Timer, ports.Meter, ports.Logger
	n.Quarantiner.CrashLimit = crashLimit
	// Nothing here asks for completed requests.
	n.Quarantiner.SuccessLimit = 0
	n.Budgets.Ratio, n.Budgets.Burst = options.RetryRatio, options.RetryBurst
	n.Budgets.VMs = func() int { return n.Detector.FleetSize() }
	n.composeMembers()
	n.composeTopics()
	n.composeEras()
	n.composeServers()
	n.composeRelayer()
	n.connectEvacuator()
	n.connectThrottler()
	n.composeCosts()
	n.Detector.Subscribe(n.notifyNewOwners)
	return n
}

func (n *Relay) composeMembers() {
	o, p := n.Options, n.Ports
	d := detector.New()
	d.Self, d.Incarnation, d.SeedAddresses = o.Self, o.Incarnation, o.Seeds
	d.Timer, d.Pool, d.Peers, d.Directory = p.Timer, p.Pool, p.Peers, p.Directory
	d.Meter, d.Logger = p.Meter, p.Logger
	d.HeartbeatInterval, d.MemberPollInterval, d.Topology = o.HeartbeatInterval, memberPollInterval, connector.Connector{}
	d.Partners = func() []dragonflypass.VMID { return append(n.Relayer.OpenOwners(), n.Acquirer.AwaitedOwners()...) }
	d.Sources = func() []dragonflypass.VMID {
		return append(n.readers(dragonflypass.TopicRouting), n.readers(dragonflypass.TopicServers)...)
	}
	d.ConfigOffset = func() dragonflypass.Offset { return 0 }
	d.Loads = func() []dragonflypass.ServerLoad { return nil }
	d.OpenStreams = func(owner dragonflypass.VMID) ([]uint64, []dragonflypass.OpenStream) {
		return n.Relayer.OpenStreams(owner)
	}
	d.Received = func(heartbeat dragonflypass.Heartbeat) {
		n.Quarantiner.Merge(heartbeat.Parts, heartbeat.Requests)
		n.Appraiser.Merge(heartbeat.From.ID, heartbeat.Costs)
		n.Pacer.Merge(heartbeat.From.ID, heartbeat.Paces)
		n.Sharder.RecordLoads(heartbeat.ShardLoads)
		n.Allocator.HandleHeartbeat(heartbeat)
	}
	d.Statuses = n.Quarantiner.Statuses
	d.ShardLoads = func() []dragonflypass.ShardLoad { return n.Allocator.ShardLoads(n.ownedShards()) }
	d.Watermarks = func() []dragonflypass.Watermark {
		return []dragonflypass.Watermark{n.Routing.Watermark(), n.Registry.Watermark()}
	}
	d.MissingUpdates = n.missingUpdates
	d.HeartbeatAnswered = n.handleHeartbeatResponse
	n.Detector = d
}

func (n *Relay) composeTopics() {
	o, p := n.Options, n.Ports
	n.Routing = n.newFollower(dragonflypass.TopicRouting, dragonflypass.JobRouting, equalOperatorRecords)
	n.Routing.PollInterval = routingPollInterval
	n.Routing.PollPolicy = func() follower.PollPolicy {
		policy := n.pollPolicy(routingLongPoll, largeFleetLongPoll, routingMaxStaleness)
		policy.StalenessLimit = o.RevokeLimit - routingReadTime
		return policy
	}
	n.Registry = n.newFollower(dragonflypass.TopicServers, dragonflypass.JobRegistry, n.equalServers)
	n.Registry.PollInterval = registryPollInterval
	n.Registry.PollPolicy = func() follower.PollPolicy { return n.pollPolicy(0, 0, registryMaxStaleness) }

	r := &router.Router{Timer: p.Timer, Meter: p.Meter, Logger: p.Logger, FreshAsOf: n.Routing.FreshAsOf}
	r.RevokeLimit, r.ApplyLimit = o.RevokeLimit, o.ApplyLimit
	n.Router = r

	g := registrar.New()
	g.Timer, g.Logger, g.StoreRecoveredAt = p.Timer, p.Logger, n.Registry.StoreRecoveredAt
	n.Registrar = g
	n.composeEvacuator()
	n.composeThrottler()
	for f, apply := range map[*follower.Follower]func([]dragonflypass.Update){n.Routing: r.ApplyUpdates, n.Registry: g.ApplyUpdates} {
		f.Subscribe(apply)
		f.Changed = n.forwardChange
	}
}

// pollPolicy returns the limits on this VM's reads of a topic.
func (n *Relay) pollPolicy(longPoll, largeLongPoll, maxStaleness time.Duration) follower.PollPolicy {
	if !n.largeFleet() {
		return follower.PollPolicy{LongPoll: longPoll, MaxStaleness: maxStaleness}
	}
	if n.Detector.IsHub() && !n.Detector.Isolated() {
		return follower.PollPolicy{LongPoll: largeLongPoll, MaxStaleness: hubMaxStaleness, ReadInterval: hubReadInterval, HasPeers: true}
	}
	interval := min(maxSpokeReadInterval, time.Duration(n.Detector.FleetSize())*spokeReadInterval)
	return follower.PollPolicy{LongPoll: largeLongPoll, MaxStaleness: max(maxStaleness, spokeMaxStaleness), ReadInterval: interval, HasPeers: true}
}

// largeFleet reports whether the VMs exchange heartbeats through hubs.
func (n *Relay) largeFleet() bool { return n.Detector.FleetSize() > connector.SmallFleet }

// forwardChange informs other VMs of a change of a topic that came from the given VM, or from the store if it is empty. In
// a large fleet, a VM that reads the store informs the hubs and its zone, and one hub of each other zone the VMs there.
func (n *Relay) forwardChange(source dragonflypass.VMID) {
	if n.largeFleet() && source != "" && !n.firstHub(changeDuty) {
		return
	}
	n.Detector.BroadcastHeartbeat()
}

// firstHub reports whether this VM is the hub of its zone that performs the duty.
func (n *Relay) firstHub(duty string) bool {
	candidates := n.Detector.Candidates(duty, n.Options.Self.Zone)
	return len(candidates) > 0 && candidates[0].ID == n.Options.Self.ID
}

func (n *Relay) composeServers() {
	o, p := n.Options, n.Ports
	n.Assessor = assessor.New()
	n.Assessor.Timer, n.Assessor.Meter, n.Assessor.Logger = p.Timer, p.Meter, p.Logger

	x := excluder.New()
	x.Timer, x.Servers, x.Meter, x.Logger = p.Timer, n.Registrar, p.Meter, p.Logger
	n.Excluder = x

	b := balancer.New()
	b.Zone, b.Timer, b.Assessor, b.Excluder = o.Self.Zone, p.Timer, n.Assessor, x
	n.Balancer = b

	a := allocator.New()
	a.Self, a.Timer, a.Meter, a.Logger, a.Assessor = o.Self.ID, p.Timer, p.Meter, p.Logger, n.Assessor
	h := sharder.New()
	h.Zone, h.Timer, h.Servers = o.Self.Zone, p.Timer, n.Registrar.Servers
	n.Sharder = h
	a.CostModel, a.Servers, a.RegistryLoaded, a.Balancer = n.costModel, h.ShardServers, n.Registry.Loaded, h
	a.Leaving = func(entry dragonflypass.ServerEntry) bool { return x.Leaving(entry.ID, entry.Address) }
	a.RecordLeaving = func(entry dragonflypass.ServerEntry) {
		x.Record(excluder.InstanceOf(entry), dragonflypass.ServerNotice{Leaving: true})
	}
	n.Allocator = a
	n.Registrar.Changed = a.RejectUnservable

	r := prober.New()
	r.Timer, r.Pool, r.Backend, r.Meter = p.Timer, p.Pool, p.Backend, p.Meter
	r.Servers, r.Assessor, r.FleetSize = n.Registrar, n.Assessor, n.Detector.FleetSize
	r.Responsible = func(server dragonflypass.ServerEntry) bool {
		return n.costModel(server.Service) != nil && slices.Contains(n.ownedShards(), n.Sharder.ShardOf(server))
	}
	n.Prober = r
	a.ServerUnreachable = n.recordUnreachable

	q := acquirer.New()
	q.Self, q.Timer, q.Pool, q.Peers, q.Members, q.Meter, q.Logger = o.Self.ID, p.Timer, p.Pool, p.Peers, n.Detector, p.Meter, p.Logger
	q.Local, q.Owners, q.Parts = a, n.ownerCandidates, h.PartsToAsk
	q.OwnerUnresponsive = n.checkZoneOf
	n.Acquirer = q
}

func (n *Relay) composeRelayer() {
	o, p := n.Options, n.Ports
	l := relayer.New()
	l.Self, l.Incarnation, l.Timer, l.Backend = o.Self, o.Incarnation, p.Timer, p.Backend
	l.Meter, l.Logger, l.Router, l.Directory, l.Balancer = p.Meter, p.Logger, n.Router, n.Registrar, n.Balancer
	l.Permits, l.Budgets, l.LeavingSince, l.ServerUnreachable = n.Acquirer, n.Budgets, n.Detector.LeavingSince, n.recordUnreachable
	l.ShutdownTime = o.ShutdownTime
	l.Prober, l.Assessor, l.Excluder = n.Prober, n.Assessor, n.Excluder
	l.Loaded = []<-chan struct{}{n.Routing.LoadedDone(), n.Registry.LoadedDone()}
	l.Quarantiner, l.Crashes = n.Quarantiner, n
	l.Reserver = &reserver.Reserver{Timer: p.Timer, Pool: p.Pool, Backend: p.Backend, Meter: p.Meter, Logger: p.Logger, Excluder: n.Excluder}
	l.Owner = func(shard dragonflypass.Shard) dragonflypass.VMID { return n.Acquirer.Owner(shard).ID }
	l.HandleHeartbeat = n.Allocator.HandleHeartbeat
	n.Relayer = l
}

// checkZoneOf probes servers in the zone of an owner that did not respond, because the zone may have failed. In a large
// fleet, an owner that still sends heartbeats is only slow.
func (n *Relay) checkZoneOf(owner dragonflypass.VM) {
	if n.largeFleet() && slices.ContainsFunc(n.Detector.Live(), func(vm dragonflypass.VM) bool { return vm.ID == owner.ID }) {
		return
	}
	n.Prober.ProbeSample(owner.Zone)
}

// recordUnreachable records a failed connection to the server and starts probes of servers in its zone.
func (n *Relay) recordUnreachable(id dragonflypass.ServerID) {
	n.Assessor.RecordOutcome(id, assessor.ConnectFailed)
	if entry, ok := n.Registrar.Server(id); ok {
		n.Prober.ProbeSample(entry.Zone)
	}
}

// ownerCandidates returns the VMs that may own the servers of a shard. Each takes over if those before it do not respond.
func (n *Relay) ownerCandidates(shard dragonflypass.Shard) []dragonflypass.VM {
	return n.Detector.Candidates(fmt.Sprintf("%s/%d", shard.Service, shard.Part.Index), shard.Part.Zone)
}

// shards returns the shards of all services with model servers.
func (n *Relay) shards() (shards []dragonflypass.Shard) {
	table := n.Router.Current()
	if table == nil {
		return nil
	}
	for service, policy := range table.Services {
		if policy.CostModel == nil {
			continue
		}
		for _, part := range n.Sharder.Parts(service) {
			shards = append(shards, dragonflypass.Shard{Service: service, Part: part})
		}
	}
	return shards
}

// ownedShards returns the shards that this VM owns.
func (n *Relay) ownedShards() []dragonflypass.Shard {
	return slices.DeleteFunc(n.shards(), func(shard dragonflypass.Shard) bool { return n.Acquirer.Owner(shard).ID != n.Options.Self.ID })
}

// notifyNewOwners immediately reports this VM's open streams to the VMs that have become owner of a shard.
func (n *Relay) notifyNewOwners() {
	for _, shard := range n.shards() {
		owner := n.Acquirer.Owner(shard)
		n.mutex.Lock()
		previous := n.lastOwners[shard]
		n.lastOwners[shard] = owner.ID
		n.mutex.Unlock()
		if previous == owner.ID {
			continue
		}
		if owner.ID == n.Options.Self.ID {
			n.Relayer.RenewLocalLeases()
		} else if _, inherited := n.Relayer.OpenStreams(owner.ID); len(inherited) > 0 {
			n.Detector.SendHeartbeat(owner)
		}
		n.Ports.Logger.Info("owner", "service", shard.Service, "shard", shard.Part, "owner", owner.ID, "before", previous)
	}
}

// missingUpdates returns this VM's watermarks together with the updates that a VM with the given watermarks lacks.
func (n *Relay) missingUpdates(peerWatermarks []dragonflypass.Watermark, all bool) []dragonflypass.Watermark {
	watermarks := make([]dragonflypass.Watermark, 0, len(peerWatermarks))
	for _, f := range []*follower.Follower{n.Routing, n.Registry} {
		for _, peer := range peerWatermarks {
			if peer.Topic == f.Topic {
				watermarks = append(watermarks, f.MissingUpdates(peer, all))
			}
		}
	}
	return watermarks
}

// handleHeartbeatResponse passes the watermarks in the response to a heartbeat on to the followers. sentAt is the
// uptime at which the heartbeat was sent.
func (n *Relay) handleHeartbeatResponse(sentAt time.Duration, response dragonflypass.Heartbeat) {
	for _, f := range []*follower.Follower{n.Routing, n.Registry} {
		for _, watermark := range response.Watermarks {
			if watermark.Topic == f.Topic {
				f.HandleWatermark(sentAt, watermark, response.From.ID)
			}
		}
	}
}

func (n *Relay) newFollower(topic dragonflypass.Topic, kind dragonflypass.JobKind, equal func(a, b dragonflypass.Update) bool) *follower.Follower {
	f := follower.New(topic, kind)
	f.Timer, f.Store, f.Meter, f.Logger = n.Ports.Timer, n.Ports.Store, n.Ports.Meter, n.Ports.Logger
	f.Equal = equal
	f.IsReader = func() bool { return n.isReader(topic) }
	return f
}

// readers returns the VMs that read the topic for all others.
func (n *Relay) readers(topic dragonflypass.Topic) []dragonflypass.VMID {
	candidates := n.Detector.Candidates(string(topic), "")
	var readers []dragonflypass.VMID
	for _, vm := range candidates[:min(len(candidates), readersPerTopic)] {
		readers = append(readers, vm.ID)
	}
	return readers
}

// isReader reports whether this VM reads the topic for the other VMs.
func (n *Relay) isReader(topic dragonflypass.Topic) bool {
	if n.largeFleet() && n.Detector.Isolated() {
		return false
	}
	return slices.Contains(n.readers(topic), n.Options.Self.ID)
}

// costModel returns the cost model of the service's engines, or nil if the service has none.
func (n *Relay) costModel(service dragonflypass.ServiceID) *dragonflypass.EngineCostModel {
	table := n.Router.Current()
	if table == nil || table.Services[service] == nil {
		return nil
	}
	return table.Services[service].CostModel
}

// Run runs the components until ctx ends. The pool and the timer must be running already.
func (n *Relay) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){n.Detector.Run, n.Routing.Run, n.Registry.Run, n.Registrar.Run, n.Allocator.Run, n.Excluder.Run, n.Throttler.Run, n.Prober.Run, n.Quarantiner.Run, n.Pacer.Run, n.Relayer.Run, n.Enroller.Run} {
		wg.Go(func() { run(ctx) })
	}
	wg.Wait()
}

// Handler returns the handler for messages from other entry VMs.
func (n *Relay) Handler() dragonflypass.PeerHandler {
	return &handler.Handler{Owner: n.Allocator, Detector: n.Detector, Quarantiner: n.Quarantiner, Refuse: n.refuseWhileLeaving, ForwardCrash: n.forwardCrash}
}

// refuseWhileLeaving returns the refusal that directs permit requests to other VMs while this VM is leaving, else nil.
func (n *Relay) refuseWhileLeaving() *dragonflypass.Refusal {
	if !n.Detector.Leaving() {
		return nil
	}
	return allocator.MovedRefusal()
}

// Leave takes the VM out of service. It informs the other VMs and directs the queued permit requests to them.
func (n *Relay) Leave(ctx context.Context) {
	n.Detector.Leave(ctx)
	n.Allocator.Leave()
}

// Ready reports whether the node can serve requests: it is not leaving, its route table is fresh, and the registry is
// loaded.
func (n *Relay) Ready() bool {
	return !n.Detector.Leaving() && n.Router.Fresh() && n.Registry.Loaded()
}
