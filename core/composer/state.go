package composer

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/allocator"
	"github.com/dragonflypass/dragonflypass/core/assessor"
	"github.com/dragonflypass/dragonflypass/core/evacuator"
	"github.com/dragonflypass/dragonflypass/core/excluder"
	"github.com/dragonflypass/dragonflypass/core/pacer"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
	"github.com/dragonflypass/dragonflypass/core/relayer"
	"github.com/dragonflypass/dragonflypass/core/retrier"
	"github.com/dragonflypass/dragonflypass/core/throttler"
)

// RelayState is a snapshot of the state of a relay node, for dumps.
type RelayState struct {
	Self        dragonflypass.VM
	Incarnation uint64
	At          time.Time
	Ready       bool
	Leaving     bool
	// Routing is the version of the route table in effect, zero if there is none yet.
	Routing uint64
	Topics  []TopicState
	Members []dragonflypass.Member
	// ZoneSizes are the numbers of live VMs by zone, and Hubs the hubs of all zones.
	ZoneSizes map[dragonflypass.AvailabilityZone]int
	Hubs      []dragonflypass.VMID
	Owners    []OwnerState
	Registry  []dragonflypass.ServerEntry
	// FailingServers are the servers that have failed recently according to this VM.
	FailingServers []assessor.ServerHealth
	// EvacuatedZones are the zones whose servers receive no new work.
	EvacuatedZones []evacuator.Zone
	// ColdServers are the servers that are warming up, and receive a limited number of requests.
	ColdServers []throttler.ServerState
	// ExcludedServers are the servers that expect no new requests from this VM.
	ExcludedServers []excluder.ServerState
	// Servers are the model servers that this VM owns, and QueuedRequests is the number of permit requests queued for them.
	Servers        []allocator.ServerState
	QueuedRequests int
	Streams        []relayer.StreamState
	Budgets        []retrier.BudgetState
	Suspects       []quarantiner.Suspect
	SuspectParts   []quarantiner.SuspectPart
	// CostKeys is the number of keys with a learned cost, and SlowServers are the servers that this VM finds slow.
	CostKeys    int
	SlowServers []pacer.ServerPace
}

// TopicState describes how far the node has read a topic of the store.
type TopicState struct {
	Topic dragonflypass.Topic
	// Era is the era of the store in which the local copy was read.
	Era       dragonflypass.Era
	EndOffset dragonflypass.Offset
	Loaded    bool
	// Staleness is the time since the local copy was last known to be current.
	Staleness time.Duration
	// Readers are the VMs that read the topic from the store for all others.
	Readers []dragonflypass.VMID
}

// OwnerState names the VM from which this one requests the permits of a shard. Load is its latest load summary, nil if
// this VM has none; only hubs receive them.
type OwnerState struct {
	Service dragonflypass.ServiceID
	Part    dragonflypass.ShardPart
	VM      dragonflypass.VMID
	Load    *dragonflypass.ShardLoad
	LoadAge time.Duration
}

// State returns a snapshot of the node's state.
func (n *Relay) State() RelayState {
	s := RelayState{
		Self: n.Options.Self, Incarnation: n.Options.Incarnation, At: n.Ports.Timer.Now(), Ready: n.Ready(), Leaving: n.Detector.Leaving(),
		Members: n.Detector.Others(), ZoneSizes: n.Detector.ZoneSizes(), Hubs: n.Detector.Hubs(), Registry: n.Registrar.All(), FailingServers: n.Assessor.FailingServers(), ExcludedServers: n.Excluder.State(), EvacuatedZones: n.Evacuator.Zones(), ColdServers: n.Throttler.State(), Streams: n.Relayer.State(),
		Budgets: n.Budgets.State(), Suspects: n.Quarantiner.Suspects(), SuspectParts: n.Quarantiner.SuspectParts(),
		CostKeys: n.Appraiser.Keys(), SlowServers: n.Pacer.SlowServers(),
	}
	slices.SortFunc(s.Registry, func(x, y dragonflypass.ServerEntry) int { return cmp.Compare(x.ID, y.ID) })
	s.Servers, s.QueuedRequests = n.Allocator.State()
	for _, watermark := range []dragonflypass.Watermark{n.Routing.Watermark(), n.Registry.Watermark()} {
		s.Topics = append(s.Topics, TopicState{Topic: watermark.Topic, Era: watermark.Era, EndOffset: watermark.EndOffset, Loaded: watermark.Loaded, Staleness: watermark.Staleness, Readers: n.readers(watermark.Topic)})
	}
	table := n.Router.Current()
	if table == nil {
		return s
	}
	s.Routing = table.Version
	for _, shard := range n.shards() {
		s.Owners = append(s.Owners, n.ownerState(shard))
	}
	slices.SortFunc(s.Owners, func(x, y OwnerState) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Part.String(), y.Part.String()))
	})
	return s
}

// ownerState returns the owner of the shard and its load, as far as this VM knows it.
func (n *Relay) ownerState(shard dragonflypass.Shard) OwnerState {
	state := OwnerState{Service: shard.Service, Part: shard.Part, VM: n.Acquirer.Owner(shard).ID}
	if state.VM == n.Options.Self.ID {
		for _, load := range n.Allocator.ShardLoads([]dragonflypass.Shard{shard}) {
			state.Load = &load
		}
		return state
	}
	if load, age, ok := n.Sharder.Load(shard); ok {
		state.Load, state.LoadAge = &load, age
	}
	return state
}
