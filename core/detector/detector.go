package detector

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// suspectIntervals is the number of heartbeat intervals without word after which a VM is suspect.
	suspectIntervals = 3
	// goneIntervals is the number of heartbeat intervals without word after which a VM is gone.
	goneIntervals = 10
	// remoteNeighbours is the number of VMs of each other zone with which heartbeats are exchanged.
	remoteNeighbours = 2
	// settleTime is how long a VM is up before it takes over from others, longer than a restart in turn takes.
	settleTime = 5 * time.Second
	// smallFleet is the number of other VMs up to which each exchanges heartbeats with all.
	smallFleet = 16
	// zoneCost lengthens the heartbeat interval for each live VM of the zone, to bound what control costs.
	zoneCost = 40 * time.Millisecond
	// directoryTimeout bounds one reading of the platform's list of VMs.
	directoryTimeout = 2 * time.Second
)

// Detector exchanges heartbeats with other entry VMs and keeps what is known of them.
type Detector struct {
	Self        dragonflypass.VM
	Incarnation uint64
	Seeds       []dragonflypass.VM
	// Contacts are addresses at which other entry VMs may be found.
	Contacts  []netip.AddrPort
	Timer     dragonflypass.Timer
	Pool      dragonflypass.Pool
	Peers     dragonflypass.PeerClient
	Directory dragonflypass.Directory
	Meter     dragonflypass.Meter
	Logger    dragonflypass.Logger
	// Interval is the shortest time between two heartbeats to one VM.
	Interval time.Duration
	// List is the time between two readings of the platform's list of VMs.
	List time.Duration
	// ConfigOffset returns the offset of the configuration in force here.
	ConfigOffset func() dragonflypass.Offset
	// Loads returns the loads of the backend servers that this VM owns.
	Loads func() []dragonflypass.ServerLoad
	// OpenStreams returns this VM's open streams that the other VM granted, and those at servers that it owns now.
	OpenStreams func(owner dragonflypass.VMID) (kept []uint64, held []dragonflypass.OpenStream)
	// Received is called with each heartbeat from another VM, outside all locks.
	Received func(dragonflypass.Heartbeat)
	// Watermarks returns how far this VM has read the platform's topics.
	Watermarks func() []dragonflypass.Watermark
	// MissingUpdates returns this VM's marks with what a VM with the other marks lacks.
	MissingUpdates func([]dragonflypass.Watermark) []dragonflypass.Watermark
	// HeartbeatAnswered is called with the answer to a heartbeat that was sent at the uptime, outside all locks.
	HeartbeatAnswered func(asked time.Duration, answer dragonflypass.Heartbeat)

	mutex     locker.Mutex
	members   map[dragonflypass.VMID]*member
	leaving   bool
	left      time.Time
	settled   bool
	listeners []func()
	// others is the table as last returned by Others, nil when it has changed since.
	others []dragonflypass.Member
}

type member struct {
	dragonflypass.Member
	// listed is set while the platform's list or the settings name the VM.
	listed bool
	// seeded is set when the settings name the VM.
	seeded bool
	// contacted is the instant of the last heartbeat sent to the VM.
	contacted time.Time
	// busy is set while a heartbeat to the VM is under way.
	busy bool
	// lost is closed when the VM is no longer heard or has started anew.
	lost chan struct{}
}

// lose tells those who attend to the VM that it is no longer the one they know.
func (m *member) lose() {
	close(m.lost)
	m.lost = make(chan struct{})
}

// New returns a detector that knows no other VM.
func New() *Detector {
	return &Detector{
		Watermarks:        func() []dragonflypass.Watermark { return nil },
		MissingUpdates:    func([]dragonflypass.Watermark) []dragonflypass.Watermark { return nil },
		HeartbeatAnswered: func(time.Duration, dragonflypass.Heartbeat) {},
		mutex:             locker.Mutex{Order: locker.Members},
		members:           make(map[dragonflypass.VMID]*member),
	}
}

// Subscribe registers a function that is called, outside all locks, when a VM's state has changed.
func (d *Detector) Subscribe(listener func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.listeners = append(d.listeners, listener)
}

// Run exchanges heartbeats until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	d.seed()
	stopSettle := d.Timer.At(dragonflypass.JobMembers, d.Timer.Now().Add(settleTime), d.settle)
	defer stopSettle()
	stopBeat := d.Timer.Every(dragonflypass.JobMembers, d.Interval/4, d.Tick)
	defer stopBeat()
	stopList := d.Timer.Every(dragonflypass.JobMembers, d.List, d.readList)
	defer stopList()
	stopContact := d.Timer.Every(dragonflypass.JobMembers, d.Interval, d.contactAll)
	defer stopContact()
	d.contactAll(ctx)
	d.readList(ctx)
	<-ctx.Done()
}

func (d *Detector) seed() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, vm := range d.Seeds {
		if vm.ID != d.Self.ID {
			d.members[vm.ID] = newMember(vm, true)
		}
	}
	d.others = nil
}

func newMember(vm dragonflypass.VM, seeded bool) *member {
	return &member{
		Member: dragonflypass.Member{VM: vm, State: dragonflypass.MemberSuspect},
		listed: true,
		seeded: seeded,
		lost:   make(chan struct{}),
	}
}

// notify logs the changes of state and tells the listeners of them.
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

// readList takes the platform's list, which lags: for a VM that is heard directly its word counts for more.
func (d *Detector) readList(ctx context.Context) {
	ctx, cancel := d.Timer.WithDeadline(ctx, d.Timer.Now().Add(directoryTimeout))
	defer cancel()
	list, err := d.Directory.VMs(ctx)
	if err != nil {
		return
	}
	d.mutex.Lock()
	changed := d.merge(list)
	d.mutex.Unlock()
	d.notify(changed)
}

// merge is called with the mutex held.
func (d *Detector) merge(list []dragonflypass.PlatformVM) (changed []dragonflypass.Member) {
	d.others = nil
	for _, m := range d.members {
		m.listed = m.seeded
	}
	for _, line := range list {
		if line.ID == d.Self.ID {
			continue
		}
		m, ok := d.members[line.ID]
		if !ok {
			m = newMember(dragonflypass.VM{ID: line.ID, Zone: line.Zone, Peer: line.Peer}, false)
			d.members[line.ID] = m
			changed = append(changed, m.Member)
		}
		m.listed = true
		silent := m.State == dragonflypass.MemberSuspect || m.State == dragonflypass.MemberGone
		if silent {
			m.VM.Peer = line.Peer
			m.VM.Leaving = line.Leaving
		}
	}
	return changed
}

// contactAll sends a heartbeat to each contact that no known VM is at.
func (d *Detector) contactAll(context.Context) {
	known := make(map[netip.AddrPort]bool)
	d.mutex.Lock()
	for _, m := range d.members {
		known[m.VM.Peer] = true
	}
	d.mutex.Unlock()
	for _, address := range d.Contacts {
		if known[address] || address == d.Self.Peer {
			continue
		}
		d.Pool.Submit(dragonflypass.JobHeartbeat, func(ctx context.Context) { d.exchange(ctx, dragonflypass.VM{Peer: address}) })
	}
}

// settle tells the other VMs that this one may take over from others.
func (d *Detector) settle(context.Context) {
	d.mutex.Lock()
	d.settled = true
	self := dragonflypass.Member{VM: d.self(), Incarnation: d.Incarnation, State: dragonflypass.MemberLive}
	d.mutex.Unlock()
	d.notify([]dragonflypass.Member{self})
	d.BroadcastHeartbeat()
}

// Leave marks this VM as leaving and tells its neighbours at once.
func (d *Detector) Leave(ctx context.Context) {
	d.mutex.Lock()
	already := d.leaving
	d.leaving = true
	if !already {
		d.left = d.Timer.Now()
	}
	neighbours := d.neighbours()
	vms := make([]dragonflypass.VM, 0, len(neighbours))
	for _, m := range neighbours {
		vms = append(vms, m.VM)
	}
	d.mutex.Unlock()
	if already {
		return
	}
	d.notify([]dragonflypass.Member{{VM: d.Self, Incarnation: d.Incarnation, State: dragonflypass.MemberLeaving}})
	for _, vm := range vms {
		d.Pool.Submit(dragonflypass.JobHeartbeat, func(ctx context.Context) { d.exchange(ctx, vm) })
	}
}

// Leaving reports whether this VM's shutdown has begun.
func (d *Detector) Leaving() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.leaving
}

// LeavingSince returns the instant at which this VM's shutdown began, zero before.
func (d *Detector) LeavingSince() time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.left
}

// Others returns the other entry VMs that are not gone, in the order of their
// identifiers; the caller must not change the slice.
func (d *Detector) Others() []dragonflypass.Member {
	d.mutex.Lock()
	defer d.mutex.Unlock()
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

// SilentSince returns the instant at which the VM was last heard if it is silent now, else the given one.
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

// AliveContext returns a context that ends when the VM is no longer heard or has started anew.
func (d *Detector) AliveContext(ctx context.Context, id dragonflypass.VMID) (context.Context, context.CancelFunc) {
	d.mutex.Lock()
	m, ok := d.members[id]
	var lost chan struct{}
	if ok {
		lost = m.lost
	}
	d.mutex.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	if !ok {
		cancel(dragonflypass.ErrUnavailable)
		return ctx, func() {}
	}
	go func() {
		select {
		case <-lost:
			cancel(dragonflypass.ErrUnavailable)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// OwnerCandidates returns the VMs that may be given work, this one included unless it is leaving, in the order in which
// they are to own what the key names: settled ones as rendezvous hashing ranks them, then the others, those that
// were started first before others.
func (d *Detector) OwnerCandidates(key string) []dragonflypass.VM {
	var heirs []heir
	d.mutex.Lock()
	if !d.leaving {
		heirs = append(heirs, heir{vm: d.self(), started: d.Incarnation})
	}
	for _, m := range d.members {
		if m.State == dragonflypass.MemberLive {
			heirs = append(heirs, heir{vm: m.VM, started: m.Incarnation})
		}
	}
	d.mutex.Unlock()
	slices.SortFunc(heirs, func(a, b heir) int { return a.compare(b, key) })
	vms := make([]dragonflypass.VM, len(heirs))
	for i := range heirs {
		vms[i] = heirs[i].vm
	}
	return vms
}

// heir is a VM that may own something.
type heir struct {
	vm      dragonflypass.VM
	started uint64
}

func (h heir) compare(other heir, key string) int {
	switch {
	case h.vm.TakeoverEligible && !other.vm.TakeoverEligible:
		return -1
	case !h.vm.TakeoverEligible && other.vm.TakeoverEligible:
		return 1
	case h.vm.TakeoverEligible:
		return cmp.Compare(Score(key, other.vm.ID), Score(key, h.vm.ID))
	}
	return cmp.Or(cmp.Compare(h.started, other.started), cmp.Compare(h.vm.ID, other.vm.ID))
}

// Member returns what is known of the VM, this one included.
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

// Live returns the VMs that may be given work, this one included unless it is leaving.
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
