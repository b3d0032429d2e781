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
	// heartbeat is the time between two digests.
	heartbeat = time.Second
	// reportEvery and reportLag are the time between two reports of a server and their age.
	reportEvery = 500 * time.Millisecond
	reportLag   = 500 * time.Millisecond
	// downTime is how long a server that died stays down.
	downTime = 5 * time.Second
	// ownerTries is the number of owners asked for one permit.
	ownerTries = 3
	// breakLimit is the number of deaths of its server after which a request fails.
	breakLimit = 3
	model      = dragonflypass.ModelID("model")
)

// Policy is a way of queueing and placing, behind the interfaces of the root package.
type Policy struct {
	Name string
	// Queue makes the queue of one owner.
	Queue func(policies func() [dragonflypass.RankCount]dragonflypass.RankPolicy) dragonflypass.Queue
	// Server places within an owner.
	Server func() dragonflypass.Placement
	// Owner places among owners, nil for the dispatcher's own order.
	Owner func() dragonflypass.Placement
	// Reserve holds one server of each zone back until another of the zone is down.
	Reserve bool
	// Zones orders owners by the mark of their zone before the dispatcher's own order.
	Zones bool
}

// Site is what the requests run on.
type Site struct {
	Name    string
	Nodes   int
	Servers int
	Ranks   [dragonflypass.RankCount]dragonflypass.RankPolicy
	// Prefill and Decode are each server's rates in tokens a second, Memory is in tokens.
	Prefill float64
	Decode  float64
	Memory  int
	Slots   int
}

// Capacity is the prompt tokens a second that the servers process together.
func (s Site) Capacity() float64 { return float64(s.Servers) * s.Prefill }

// Result is what came of one request.
type Result struct {
	tracer.Request
	// First is the time to the first token, zero when there was none.
	First time.Duration
	// Whole is the time to the end.
	Whole time.Duration
	// Granted is set when the request got a permit.
	Granted bool
	Done    bool
	// Missed is set when a request with a permit did not end by its deadline.
	Missed bool
	// Failed is set when the request failed after it was granted.
	Failed bool
}

// Event is something that happens to the site at an instant of the run.
type Event struct {
	At  time.Duration
	Run func(m *Model)
}

// Model is a run in progress.
type Model struct {
	Site    Site
	Clock   *fake.Clock
	Results []*Result

	policy   Policy
	nodes    []*node
	engines  map[dragonflypass.ServerID]*engine
	start    time.Time
	config   *dragonflypass.Configuration
	sequence uint64
	turn     int
	served   [][dragonflypass.RankCount]int
}

// node is the owner's and entry's decisions of one VM.
type node struct {
	*composer.Node

	vm      dragonflypass.VM
	members []dragonflypass.Member
	down    bool
	// placement orders owners, nil for the dispatcher's own order.
	placement dragonflypass.Placement
}

// Others returns the other VMs with their lagging digests.
func (n *node) Others() []dragonflypass.Member { return n.members }

// AliveContext returns the context as it is.
func (n *node) AliveContext(ctx context.Context, _ dragonflypass.VMID) (context.Context, context.CancelFunc) {
	return ctx, func() {}
}

// Outcome is what came of a run.
type Outcome struct {
	Results []*Result
	// Served is the tokens processed or generated for each rank in each second of the run.
	Served [][dragonflypass.RankCount]int
}

// Run drives the trace through the site under the policy until the end.
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
	return Outcome{Results: m.Results, Served: m.served}
}

// serve counts tokens processed or generated for a rank.
func (m *Model) serve(rank dragonflypass.Rank, tokens int) {
	second := int(m.Clock.Now().Sub(m.start) / time.Second)
	for len(m.served) <= second {
		m.served = append(m.served, [dragonflypass.RankCount]int{})
	}
	m.served[second][rank] += tokens
}

func (m *Model) zone(i int) dragonflypass.AvailabilityZone {
	return []dragonflypass.AvailabilityZone{"a", "b", "c"}[i%3]
}

// configure sets the configuration in force, with the windows.
func (m *Model) configure(windows []dragonflypass.MaintenanceWindow) {
	var items []dragonflypass.VersionedItem
	add := func(section dragonflypass.Section, name string, item dragonflypass.Item) {
		items = append(items, dragonflypass.VersionedItem{Key: dragonflypass.ItemKey{Section: section, Name: name}, Version: 1, Item: item})
	}
	for rank := range dragonflypass.Rank(dragonflypass.RankCount) {
		add(dragonflypass.SectionRank, rank.String(), dragonflypass.Item{Rank: &m.Site.Ranks[rank]})
	}
	add(dragonflypass.SectionModel, string(model), dragonflypass.Item{Model: &dragonflypass.Model{ID: model, Limit: m.Site.Memory}})
	for i := range m.Site.Servers {
		id := m.serverID(i)
		add(dragonflypass.SectionServer, string(id), dragonflypass.Item{Server: &dragonflypass.BackendServer{
			ID: id, Zone: m.zone(i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 1),
			Models: []dragonflypass.ModelID{model}, KVCapacity: m.Site.Memory, Slots: m.Site.Slots, PrefillRate: m.Site.Prefill, DecodeRate: m.Site.Decode,
		}})
	}
	if len(windows) > 0 {
		add(dragonflypass.SectionSheet, "day", dragonflypass.Item{Sheet: &dragonflypass.Sheet{Day: "day", Windows: windows}})
	}
	m.config = dragonflypass.NewConfiguration(1, items)
}

// build makes the nodes and engines and starts their periodic work.
func (m *Model) build() {
	for _, server := range m.config.Servers {
		m.engines[server.ID] = &engine{declared: *server, clock: m.Clock, epoch: 1, serve: m.serve}
	}
	meter := fake.NewMeter()
	for i := range m.Site.Nodes {
		vm := dragonflypass.VM{ID: dragonflypass.VMID(fmt.Sprintf("vm-%d", i)), Zone: m.zone(i)}
		n := &node{vm: vm}
		if m.policy.Owner != nil {
			n.placement = m.policy.Owner()
		}
		n.Node = composer.Compose(composer.Defaults(vm, 1), composer.Ports{Timer: m.Clock, Pool: m.Clock, Engine: noEngine{}, Meter: meter, Logger: fake.Logger{}})
		current := func() *dragonflypass.Configuration { return m.config }
		n.Scheduler.Current = current
		n.Scheduler.Queue = m.policy.Queue(func() [dragonflypass.RankCount]dragonflypass.RankPolicy { return m.Site.Ranks })
		n.Scheduler.Placement = m.policy.Server()
		n.Scheduler.Lease = 24 * time.Hour
		n.Scheduler.StreamBroken = func(dragonflypass.ServerID) {}
		n.Scheduler.SilentSince = func(_ dragonflypass.VMID, now time.Time) time.Time { return now }
		n.Dispatcher.Current, n.Dispatcher.Owners = current, n
		m.nodes = append(m.nodes, n)
	}
	m.hold()
	m.assign()
	m.Clock.Every(dragonflypass.JobReport, reportEvery, func(context.Context) { m.report() })
	m.Clock.Every(dragonflypass.JobHeartbeat, heartbeat, func(context.Context) { m.exchange() })
	m.Clock.Every(dragonflypass.JobSweep, 100*time.Millisecond, func(ctx context.Context) {
		for _, n := range m.nodes {
			n.Scheduler.Sweep(ctx)
		}
	})
	m.report()
	m.exchange()
}

// assign gives each node the servers that it owns.
func (m *Model) assign() {
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

func (m *Model) report() {
	for i := range m.Site.Servers {
		e := m.engines[m.serverID(i)]
		n := m.owner(e.declared.ID)
		if e.down {
			if crash, news := n.Scheduler.HandleUnreachable(e.declared.ID, true); news {
				m.spread(n, crash)
			}
			continue
		}
		if e.reserved {
			continue
		}
		report := e.report(reportLag)
		if crash, news := n.Scheduler.HandleRestart(report); news {
			m.spread(n, crash)
		}
		n.Scheduler.HandleReport(report)
	}
}

// spread tells the other nodes of a crash.
func (m *Model) spread(from *node, crash dragonflypass.ServerCrash) {
	for _, n := range m.nodes {
		if n != from && n.Quarantiner.RecordCrash(crash) {
			n.Scheduler.RejectUnservable()
		}
	}
	from.Scheduler.RejectUnservable()
}

func (m *Model) exchange() {
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

// noEngine is an engine that the model's own stands in for.
type noEngine struct{ dragonflypass.Engine }

// Cancel does nothing.
func (noEngine) Cancel(context.Context, netip.AddrPort, dragonflypass.StreamID) error { return nil }
