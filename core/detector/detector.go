package detector

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/connector"
	"github.com/dragonflypass/dragonflypass/core/locker"
	"github.com/dragonflypass/dragonflypass/core/mesher"
)

const (
	// suspectIntervals is the number of intervals without a heartbeat after which a VM is suspect.
	suspectIntervals = 3
	// goneIntervals is the number of intervals without a heartbeat after which a VM is gone.
	goneIntervals = 10
	// reportedFactor multiplies the limits on the silence of a VM whose state other VMs report: a report passes through up
	// to two of them.
	reportedFactor = 2
	// silentFactor multiplies the interval between the heartbeats to a silent VM that is no neighbour.
	silentFactor = 4
	// takeoverDelay is the uptime from which a VM may take over from other VMs. It exceeds the time
	// that one VM needs to restart, so that in a rolling restart no VM hands over to one that has just started.
	takeoverDelay = 5 * time.Second
	// directoryReadShare is the number of intervals in which a VM of a large fleet reads the platform's list once.
	directoryReadShare = 4
	// seedResponseTime is the time within which seeds usually respond. The first read of the platform's list follows then.
	seedResponseTime = 150 * time.Millisecond
	// catchUpTimeout limits an exchange that fetches updates.
	catchUpTimeout = 2 * time.Second
	// directoryTimeout limits one read of the platform's list of VMs.
	directoryTimeout = 2 * time.Second
)

// Detector exchanges heartbeats with other entry VMs and derives their states from them.
type Detector struct {
	Self        dragonflypass.VM
	Incarnation uint64
	// Seeds are the other entry VMs that the settings list.
	Seeds []dragonflypass.VM
	// SeedAddresses are peer addresses of entry VMs whose identifiers are not known yet.
	SeedAddresses []netip.AddrPort
	Timer         dragonflypass.Timer
	Pool          dragonflypass.Pool
	Peers         dragonflypass.PeerClient
	Directory     dragonflypass.Directory
	Meter         dragonflypass.Meter
	Logger        dragonflypass.Logger
	// Topology selects the VMs with which this one exchanges heartbeats.
	Topology dragonflypass.Topology
	// Partners returns further VMs that must hear from this one at each interval.
	Partners func() []dragonflypass.VMID
	// Sources returns the VMs whose responses this one needs at each interval, even if it hears from them: the proof that a
	// topic is current comes only with a response. Those that are no neighbours are left out.
	Sources func() []dragonflypass.VMID
	// HeartbeatInterval is the shortest time between two heartbeats to the same VM, and the timeout of one heartbeat exchange.
	HeartbeatInterval time.Duration
	// MemberPollInterval is the time between two reads of the platform's list of VMs.
	MemberPollInterval time.Duration
	// ConfigOffset returns the offset of the configuration in effect on this VM.
	ConfigOffset func() dragonflypass.Offset
	// Loads returns the load summaries of the backend servers that this VM owns.
	Loads func() []dragonflypass.ServerLoad
	// OpenStreams returns this VM's open streams whose permits the owner granted, by sequence number, and those at
	// servers that it owns now but whose permits another VM granted.
	OpenStreams func(owner dragonflypass.VMID) (granted []uint64, inherited []dragonflypass.OpenStream)
	// ShardLoads returns the load summaries of the shards that this VM owns.
	ShardLoads func() []dragonflypass.ShardLoad
	// Costs returns what this VM has learned from its own requests about the cost of requests and has not reported to the other VM.
	Costs func(to dragonflypass.VMID) []dragonflypass.CostReport
	// Paces returns what this VM has observed of the speed of servers to which other VMs send requests too.
	Paces func() []dragonflypass.PaceReport
	// Statuses returns what other VMs should know of shared parts of prompts, and of requests, that crash servers.
	Statuses func() ([]dragonflypass.PartStatus, []dragonflypass.RequestStatus)
	// Received is called with each heartbeat from another VM, with no lock held.
	Received func(dragonflypass.Heartbeat)
	// Watermarks returns the watermarks of the platform's topics on this VM.
	Watermarks func() []dragonflypass.Watermark
	// MissingUpdates returns this VM's watermarks, with the updates that a VM with the given watermarks is missing. Large
	// updates are left out unless all is set.
	MissingUpdates func(watermarks []dragonflypass.Watermark, all bool) []dragonflypass.Watermark
	// HeartbeatAnswered is called with the response to a heartbeat that was sent at the uptime sentAt, with no lock held.
	HeartbeatAnswered func(sentAt time.Duration, response dragonflypass.Heartbeat)

	mutex            locker.Mutex
	members          map[dragonflypass.VMID]*member
	leaving          bool
	leavingSince     time.Time
	takeoverEligible bool
	listeners        []func()
	// others caches the result of Others; it is nil after a change to the table.
	others []dragonflypass.Member
	// selection caches the selection of the topology; it is nil after a change of a VM's state.
	selection *dragonflypass.Selection
	// hubs caches the hubs of all zones, and candidates the results of Candidates; they are empty after such a change.
	hubs       map[dragonflypass.AvailabilityZone][]dragonflypass.Member
	candidates map[candidateKey][]dragonflypass.VM
	// zoneSizes holds the latest reported number of live VMs in each zone.
	zoneSizes map[dragonflypass.AvailabilityZone]int
	// directorySkips counts the reads of the list that were due in a large fleet.
	directorySkips int
	// catchingUp is set while this VM fetches updates from a VM that has read further.
	catchingUp atomic.Bool
}

type member struct {
	dragonflypass.Member
	// isListed is set while the platform's list or the settings contain the VM.
	isListed bool
	// isSeed is set when the settings list the VM.
	isSeed bool
	// lastContact is the time of the last heartbeat sent to the VM, or of the last one from it that was answered.
	lastContact time.Time
	// lastSent is the time of the last regular heartbeat sent to the VM.
	lastSent time.Time
	// isReported is set while the state is known from the reports of other VMs, and not from the VM itself.
	isReported bool
	// refusedAt is the time at which the VM last refused a connection.
	refusedAt time.Time
	// heartbeatInFlight is set while a heartbeat that Tick sent to the VM is unanswered.
	heartbeatInFlight bool
	// aliveDone is closed when the VM stops sending heartbeats or restarts.
	aliveDone chan struct{}
}

// cancelAliveContexts cancels the contexts that AliveContext has returned for the VM.
func (m *member) cancelAliveContexts() {
	close(m.aliveDone)
	m.aliveDone = make(chan struct{})
}

// New returns a detector with an empty table.
func New() *Detector {
	return &Detector{
		Watermarks:        func() []dragonflypass.Watermark { return nil },
		MissingUpdates:    func([]dragonflypass.Watermark, bool) []dragonflypass.Watermark { return nil },
		HeartbeatAnswered: func(time.Duration, dragonflypass.Heartbeat) {},
		ShardLoads:        func() []dragonflypass.ShardLoad { return nil },
		Costs:             func(dragonflypass.VMID) []dragonflypass.CostReport { return nil },
		Paces:             func() []dragonflypass.PaceReport { return nil },
		Statuses:          func() ([]dragonflypass.PartStatus, []dragonflypass.RequestStatus) { return nil, nil },
		Partners:          func() []dragonflypass.VMID { return nil },
		Sources:           func() []dragonflypass.VMID { return nil },
		Topology:          mesher.Mesher{},
		candidates:        make(map[candidateKey][]dragonflypass.VM),
		zoneSizes:         make(map[dragonflypass.AvailabilityZone]int),
		mutex:             locker.Mutex{Order: locker.Members},
		members:           make(map[dragonflypass.VMID]*member),
	}
}

// Subscribe registers a function that is called after each change of a VM's state, with no lock held.
func (d *Detector) Subscribe(listener func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.listeners = append(d.listeners, listener)
}

// Run exchanges heartbeats until ctx is cancelled.
func (d *Detector) Run(ctx context.Context) {
	d.addSeeds()
	stopTakeover := d.Timer.At(dragonflypass.JobMembers, d.Timer.Now().Add(takeoverDelay), d.enableTakeover)
	defer stopTakeover()
	stopTick := d.Timer.Every(dragonflypass.JobMembers, d.HeartbeatInterval/4, d.Tick)
	defer stopTick()
	stopDirectory := d.Timer.Every(dragonflypass.JobMembers, d.MemberPollInterval, d.refreshDirectory)
	defer stopDirectory()
	stopSeeds := d.Timer.Every(dragonflypass.JobMembers, d.HeartbeatInterval, d.sendToSeeds)
	defer stopSeeds()
	d.sendToSeeds(ctx)
	firstRead := d.Timer.Now()
	if len(d.SeedAddresses) > 0 {
		firstRead = firstRead.Add(seedResponseTime)
	}
	stopFirst := d.Timer.At(dragonflypass.JobMembers, firstRead, d.refreshDirectory)
	defer stopFirst()
	<-ctx.Done()
}

func (d *Detector) addSeeds() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, vm := range d.Seeds {
		if vm.ID != d.Self.ID {
			d.members[vm.ID] = newMember(vm, true)
		}
	}
	d.invalidate()
}

// invalidate discards what is derived from the table, after a change of the VMs or their states. It is called with the
// mutex held.
func (d *Detector) invalidate() {
	d.others, d.selection, d.hubs = nil, nil, nil
	clear(d.candidates)
}

func newMember(vm dragonflypass.VM, isSeed bool) *member {
	return &member{
		Member:    dragonflypass.Member{VM: vm, State: dragonflypass.MemberSuspect},
		isListed:  true,
		isSeed:    isSeed,
		aliveDone: make(chan struct{}),
	}
}

// notify logs the changed states and calls the listeners.
func (d *Detector) notify(changed []dragonflypass.Member) {
	if len(changed) == 0 {
		return
	}
	for _, m := range changed {
		d.Logger.Info("member state", "member", m.VM.ID, "zone", m.VM.Zone, "state", m.State, "incarnation", m.Incarnation)
	}
	d.mutex.Lock()
	listeners := slices.Clone(d.listeners)
	d.mutex.Unlock()
	for _, listener := range listeners {
		listener()
	}
}

// refreshDirectory reads the platform's list of VMs and merges it into the table. The list may be out of date, so
// it does not override what a VM reports about itself in heartbeats.
func (d *Detector) refreshDirectory(ctx context.Context) {
	if d.skipDirectory() {
		return
	}
	ctx, cancel := d.Timer.WithDeadline(ctx, d.Timer.Now().Add(directoryTimeout))
	defer cancel()
	list, err := d.Directory.VMs(ctx)
	if err != nil {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.mergeDirectory(list)
}

// skipDirectory reports whether this VM leaves out a read of the list: in a large fleet a VM with live neighbours reads it
// rarely, as it hears from them of the VMs that matter to it.
func (d *Detector) skipDirectory() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if max(d.fleetSize(), len(d.members)+1) <= connector.SmallFleet || len(d.audience()) == 0 {
		return false
	}
	d.directorySkips++
	return d.directorySkips%directoryReadShare != 0
}

// mergeDirectory adds the listed VMs to the table, and updates the address and the leaving flag of those that are suspect
// or gone. It is called with the mutex held.
func (d *Detector) mergeDirectory(list []dragonflypass.PlatformVM) {
	d.invalidate()
	for _, m := range d.members {
		m.isListed = m.isSeed
	}
	for _, entry := range list {
		if entry.ID == d.Self.ID {
			continue
		}
		m, ok := d.members[entry.ID]
		if !ok {
			m = newMember(dragonflypass.VM{ID: entry.ID, Zone: entry.Zone, Peer: entry.Peer, Processors: entry.Processors}, false)
			d.members[entry.ID] = m
		}
		m.isListed = true
		silent := m.State == dragonflypass.MemberSuspect || m.State == dragonflypass.MemberGone
		if silent {
			m.VM.Peer = entry.Peer
			m.VM.Leaving = entry.Leaving
		}
	}
}

// sendToSeeds sends a heartbeat to each seed address that belongs to no VM in the table.
func (d *Detector) sendToSeeds(context.Context) {
	memberAddresses := make(map[netip.AddrPort]bool)
	d.mutex.Lock()
	for _, m := range d.members {
		memberAddresses[m.VM.Peer] = true
	}
	d.mutex.Unlock()
	for _, address := range d.SeedAddresses {
		if memberAddresses[address] || address == d.Self.Peer {
			continue
		}
		d.Pool.Submit(dragonflypass.JobHeartbeat, func(ctx context.Context) { d.exchangeHeartbeat(ctx, dragonflypass.VM{Peer: address}) })
	}
}

// enableTakeover makes this VM eligible to take over from other VMs and announces it to them.
func (d *Detector) enableTakeover(context.Context) {
	d.mutex.Lock()
	d.takeoverEligible = true
	d.invalidate()
	self := dragonflypass.Member{VM: d.self(), Incarnation: d.Incarnation, State: dragonflypass.MemberLive}
	d.mutex.Unlock()
	d.notify([]dragonflypass.Member{self})
	d.BroadcastHeartbeat()
}

// Leave marks this VM as leaving and announces it to its neighbours at once.
func (d *Detector) Leave(ctx context.Context) {
	d.mutex.Lock()
	wasLeaving := d.leaving
	d.leaving = true
	if !wasLeaving {
		d.leavingSince = d.Timer.Now()
	}
	vms := d.audience()
	d.invalidate()
	d.mutex.Unlock()
	if wasLeaving {
		return
	}
	d.notify([]dragonflypass.Member{{VM: d.Self, Incarnation: d.Incarnation, State: dragonflypass.MemberLeaving}})
	for _, vm := range vms {
		d.Pool.Submit(dragonflypass.JobHeartbeat, func(ctx context.Context) { d.exchangeHeartbeat(ctx, vm) })
	}
}

// Leaving reports whether this VM's shutdown has begun.
func (d *Detector) Leaving() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.leaving
}

// LeavingSince returns the time at which this VM's shutdown began, or the zero time before that.
func (d *Detector) LeavingSince() time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.leavingSince
}

// Others returns the other entry VMs that are not gone, sorted by identifier. The caller must not change the slice.
func (d *Detector) Others() []dragonflypass.Member {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.othersLocked()
}

// othersLocked is Others for callers that hold the mutex.
func (d *Detector) othersLocked() []dragonflypass.Member {
	if d.others != nil {
		return d.others
	}
	others := make([]dragonflypass.Member, 0, len(d.members))
	for _, m := range d.members {
		if m.State != dragonflypass.MemberGone {
			others = append(others, m.Member)
		}
	}
	slices.SortFunc(others, func(a, b dragonflypass.Member) int {
		return strings.Compare(string(a.VM.ID), string(b.VM.ID))
	})
	d.others = others
	return others
}

// SilentSince returns the time of the VM's last heartbeat if it is suspect or gone, and now otherwise.
func (d *Detector) SilentSince(id dragonflypass.VMID, now time.Time) time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	m, ok := d.members[id]
	silent := ok && (m.State == dragonflypass.MemberSuspect || m.State == dragonflypass.MemberGone)
	if !silent || m.LastHeartbeat.IsZero() {
		return now
	}
	return m.LastHeartbeat
}

// AliveContext returns a context that is cancelled with ErrUnavailable when the VM stops sending heartbeats or
// restarts. If the VM is not in the table, the context is already cancelled.
func (d *Detector) AliveContext(ctx context.Context, id dragonflypass.VMID) (context.Context, context.CancelFunc) {
	d.mutex.Lock()
	m, ok := d.members[id]
	var aliveDone chan struct{}
	if ok {
		aliveDone = m.aliveDone
	}
	d.mutex.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	if !ok {
		cancel(dragonflypass.ErrUnavailable)
		return ctx, func() {}
	}
	go func() {
		select {
		case <-aliveDone:
			cancel(dragonflypass.ErrUnavailable)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// selfMember returns this VM as a member. It is called with the mutex held.
func (d *Detector) selfMember() dragonflypass.Member {
	m := dragonflypass.Member{VM: d.self(), Incarnation: d.Incarnation, State: dragonflypass.MemberLive}
	if d.leaving {
		m.State = dragonflypass.MemberLeaving
	}
	return m
}

// Member returns the VM with the identifier, which may be this one, and reports whether it is in the table.
func (d *Detector) Member(id dragonflypass.VMID) (dragonflypass.VM, bool) {
	if id == d.Self.ID {
		return d.Self, true
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	m, ok := d.members[id]
	if !ok {
		return dragonflypass.VM{}, false
	}
	return m.VM, true
}

// Live returns the live VMs in no particular order, including this one unless it is leaving.
func (d *Detector) Live() []dragonflypass.VM {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var live []dragonflypass.VM
	if !d.leaving {
		live = append(live, d.self())
	}
	for _, m := range d.members {
		if m.State == dragonflypass.MemberLive {
			live = append(live, m.VM)
		}
	}
	return live
}
