package modeler

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/composer"
	"github.com/dragonflypass/dragonflypass/experiment/tracer"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

const (
	// heartbeatInterval is the time between two heartbeats, which carry load summaries.
	heartbeatInterval = time.Second
	// reportInterval is the time between two reports of a server, reportLag their age on arrival.
	reportInterval = 500 * time.Millisecond
	reportLag      = 500 * time.Millisecond
	// crashDowntime is how long a server stays down after a crashing request.
	crashDowntime = 5 * time.Second
	// maxOwnerAttempts is the maximum number of owners to which one request for a permit is sent.
	maxOwnerAttempts = 3
	// maxStreamFailures is the number of broken streams after which a request fails.
	maxStreamFailures = 3
	model             = dragonflypass.ModelID("model")
)

// Policy combines a queue with the placements among servers and owners. They implement dragonflypass.Queue and dragonflypass.Placement.
type Policy struct {
	Name string
	// NewQueue returns the queue of one owner.
	NewQueue func(policies func() [dragonflypass.RankCount]dragonflypass.RankPolicy) dragonflypass.Queue
	// NewServerPlacement returns the placement among the servers of an owner.
	NewServerPlacement func() dragonflypass.Placement
	// NewOwnerPlacement returns the placement among owners. If nil, the order of the dispatcher is used.
	NewOwnerPlacement func() dragonflypass.Placement
	// SpareServers keeps one server of each zone as a spare, which replaces a crashed server.
	SpareServers bool
	// RankZones sorts owners by the score of their zone, and owners of equal score in the order of the dispatcher.
	RankZones bool
}

// Site describes the deployment that serves the requests.
type Site struct {
	Name    string
	Nodes   int
	Servers int
	Ranks   [dragonflypass.RankCount]dragonflypass.RankPolicy
	// PrefillRate and DecodeRate are the rates of each server in tokens per second; KVCapacity is in tokens.
	PrefillRate float64
	DecodeRate  float64
	KVCapacity  int
	Slots       int
}

// Capacity returns the prefill rate of all servers together, in tokens per second.
func (s Site) Capacity() float64 { return float64(s.Servers) * s.PrefillRate }

// Result is the outcome of one request.
type Result struct {
	tracer.Request
	// TimeToFirstToken is zero if no token was generated.
	TimeToFirstToken time.Duration
	// TotalTime is the time from arrival to the end of the request, zero while it is in progress.
	TotalTime time.Duration
	// Granted is set once the request was granted a permit.
	Granted bool
	Done    bool
	// MissedDeadline is set if the request was granted a permit but did not end by its deadline.
	MissedDeadline bool
	// Failed is set if the request failed after it was granted a permit.
	Failed bool
}

// Event changes the site at a given time after the start of the run.
type Event struct {
	At  time.Duration
	Run func(m *Model)
}

// Model is the state of a run.
type Model struct {
	Site    Site
	Clock   *fake.Clock
	Results []*Result

	policy       Policy
	nodes        []*node
	engines      map[dragonflypass.ServerID]*engine
	start        time.Time
	config       *dragonflypass.Configuration
	sequence     uint64
	nextEntry    int
	servedTokens [][dragonflypass.RankCount]int
}

// node is the scheduling part of one VM, as an owner and as an entry VM.
type node struct {
	*composer.Node

	vm      dragonflypass.VM
	members []dragonflypass.Member
	down    bool
	// placement is the placement among owners. If nil, the order of the dispatcher is used.
	placement dragonflypass.Placement
}

// Others returns the other VMs with their load summaries as of the last heartbeat.
func (n *node) Others() []dragonflypass.Member { return n.members }

// AliveContext returns the context unchanged.
func (n *node) AliveContext(ctx context.Context, _ dragonflypass.VMID) (context.Context, context.CancelFunc) {
	return ctx, func() {}
}

// Outcome is the result of a run.
type Outcome struct {
	Results []*Result
	// ServedTokens is the number of tokens prefilled or generated for each rank in each second of the run.
	ServedTokens [][dragonflypass.RankCount]int
}

// Run replays the trace on the site under the policy until the given time after the start, and applies the events.
func Run(site Site, policy Policy, trace []tracer.Request, until time.Duration, events ...Event) Outcome {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	m := &Model{Site: site, Clock: fake.NewClock(start), policy: policy, start: start, engines: make(map[dragonflypass.ServerID]*engine)}
	m.configure(nil)
	m.build()
	for _, request := range trace {
		m.Clock.After(request.At, func() { m.arrive(request) })
	}
	for _, event := range events {
		m.Clock.After(event.At, func() { event.Run(m) })
	}
	m.Clock.Run(start.Add(until))
	return Outcome{Results: m.Results, ServedTokens: m.servedTokens}
}

// countTokens records prefilled or generated tokens under a rank, in the current second.
func (m *Model) countTokens(rank dragonflypass.Rank, tokens int) {
	second := int(m.Clock.Now().Sub(m.start) / time.Second)
	for len(m.servedTokens) <= second {
		m.servedTokens = append(m.servedTokens, [dragonflypass.RankCount]int{})
	}
	m.servedTokens[second][rank] += tokens
}

func (m *Model) zone(i int) dragonflypass.AvailabilityZone {
	return []dragonflypass.AvailabilityZone{"a", "b", "c"}[i%3]
}

// configure puts a configuration with the maintenance windows into effect.
func (m *Model) configure(windows []dragonflypass.MaintenanceWindow) {
	var items []dragonflypass.VersionedItem
	add := func(section dragonflypass.Section, name string, item dragonflypass.Item) {
		items = append(items, dragonflypass.VersionedItem{Key: dragonflypass.ItemKey{Section: section, Name: name}, Version: 1, Item: item})
	}
	for rank := range dragonflypass.Rank(dragonflypass.RankCount) {
		add(dragonflypass.SectionRank, rank.String(), dragonflypass.Item{Rank: &m.Site.Ranks[rank]})
	}
	add(dragonflypass.SectionModel, string(model), dragonflypass.Item{Model: &dragonflypass.Model{ID: model, Limit: m.Site.KVCapacity}})
	for i := range m.Site.Servers {
		id := m.serverID(i)
		add(dragonflypass.SectionServer, string(id), dragonflypass.Item{Server: &dragonflypass.BackendServer{
			ID: id, Zone: m.zone(i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 1),
			Models: []dragonflypass.ModelID{model}, KVCapacity: m.Site.KVCapacity, Slots: m.Site.Slots, PrefillRate: m.Site.PrefillRate, DecodeRate: m.Site.DecodeRate,
		}})
	}
	if len(windows) > 0 {
		add(dragonflypass.SectionSheet, "day", dragonflypass.Item{Sheet: &dragonflypass.Sheet{Day: "day", Windows: windows}})
	}
	m.config = dragonflypass.NewConfiguration(1, items)
}

// build creates the nodes and engines and starts their periodic jobs.
func (m *Model) build() {
	for _, server := range m.config.Servers {
		m.engines[server.ID] = &engine{server: *server, clock: m.Clock, epoch: 1, countTokens: m.countTokens}
	}
	meter := fake.NewMeter()
	for i := range m.Site.Nodes {
		vm := dragonflypass.VM{ID: dragonflypass.VMID(fmt.Sprintf("vm-%d", i)), Zone: m.zone(i)}
		n := &node{vm: vm}
		if m.policy.NewOwnerPlacement != nil {
			n.placement = m.policy.NewOwnerPlacement()
		}
		n.Node = composer.Compose(composer.Defaults(vm, 1), composer.Ports{Timer: m.Clock, Pool: m.Clock, Engine: nopEngine{}, Meter: meter, Logger: fake.Logger{}})
		current := func() *dragonflypass.Configuration { return m.config }
		n.Scheduler.Current = current
		n.Scheduler.Queue = m.policy.NewQueue(func() [dragonflypass.RankCount]dragonflypass.RankPolicy { return m.Site.Ranks })
		n.Scheduler.Placement = m.policy.NewServerPlacement()
		n.Scheduler.Lease = 24 * time.Hour
		n.Scheduler.StreamBroken = func(dragonflypass.ServerID) {}
		n.Scheduler.SilentSince = func(_ dragonflypass.VMID, now time.Time) time.Time { return now }
		n.Dispatcher.Current, n.Dispatcher.Members = current, n
		m.nodes = append(m.nodes, n)
	}
	m.markSpares()
	m.assignServers()
	m.Clock.Every(dragonflypass.JobReport, reportInterval, func(context.Context) { m.sendReports() })
	m.Clock.Every(dragonflypass.JobHeartbeat, heartbeatInterval, func(context.Context) { m.exchangeHeartbeats() })
	m.Clock.Every(dragonflypass.JobSweep, 100*time.Millisecond, func(ctx context.Context) {
		for _, n := range m.nodes {
			n.Scheduler.Sweep(ctx)
		}
	})
	m.sendReports()
	m.exchangeHeartbeats()
}

// assignServers assigns the servers to the nodes that are up.
func (m *Model) assignServers() {
	var live []dragonflypass.VM
	for _, n := range m.nodes {
		if !n.down {
			live = append(live, n.vm)
		}
	}
	for _, n := range m.nodes {
		n.Assigner.Live = func() []dragonflypass.VM { return live }
		n.Assigner.Current = func() *dragonflypass.Configuration { return m.config }
		n.Assigner.Assign()
	}
}

func (m *Model) owner(id dragonflypass.ServerID) *node {
	owner := m.nodes[0].Assigner.Owner(id)
	for _, n := range m.nodes {
		if n.vm.ID == owner {
			return n
		}
	}
	return m.nodes[0]
}

func (m *Model) sendReports() {
	for i := range m.Site.Servers {
		e := m.engines[m.serverID(i)]
		n := m.owner(e.server.ID)
		if e.down {
			if crash, changed := n.Scheduler.HandleUnreachable(e.server.ID, true); changed {
				m.broadcastCrash(n, crash)
			}
			continue
		}
		if e.spare {
			continue
		}
		report := e.report(reportLag)
		if crash, changed := n.Scheduler.HandleRestart(report); changed {
			m.broadcastCrash(n, crash)
		}
		n.Scheduler.HandleReport(report)
	}
}

// broadcastCrash reports a server crash to the other nodes.
func (m *Model) broadcastCrash(detectedBy *node, crash dragonflypass.ServerCrash) {
	for _, n := range m.nodes {
		if n != detectedBy && n.Quarantiner.RecordCrash(crash) {
			n.Scheduler.RejectUnservable()
		}
	}
	detectedBy.Scheduler.RejectUnservable()
}

func (m *Model) exchangeHeartbeats() {
	now := m.Clock.Now()
	for _, n := range m.nodes {
		n.members = nil
		for _, other := range m.nodes {
			if other != n && !other.down {
				n.members = append(n.members, dragonflypass.Member{VM: other.vm, State: dragonflypass.MemberLive, LastHeartbeat: now, Loads: other.Scheduler.Loads()})
			}
		}
	}
}

// nopEngine replaces the engine client: the model starts and cancels streams itself.
type nopEngine struct{ dragonflypass.Engine }

// Cancel does nothing and returns nil.
func (nopEngine) Cancel(context.Context, netip.AddrPort, dragonflypass.StreamID) error { return nil }
