package detector

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/connector"
	"github.com/dragonflypass/dragonflypass/core/elector"
)

// Tick marks silent VMs as suspect or gone and sends the heartbeats that are due.
func (d *Detector) Tick(context.Context) {
	now := d.Timer.Now()
	partners, sources := d.Partners(), d.Sources()
	d.mutex.Lock()
	changed := d.updateStates(now)
	due := d.dueNeighbours(now, partners, sources)
	d.mutex.Unlock()
	d.notify(changed)
	for _, vm := range due {
		if !d.Pool.Submit(dragonflypass.JobHeartbeat, func(ctx context.Context) { d.exchangeHeartbeat(ctx, vm) }) {
			d.clearInFlight(vm.ID)
		}
	}
}

// updateStates marks the VMs without a recent heartbeat as suspect or gone, and removes those that are gone and not
// listed. It is called with the mutex held.
func (d *Detector) updateStates(now time.Time) (changed []dragonflypass.Member) {
	interval := d.interval()
	for id, m := range d.members {
		silence := now.Sub(m.LastHeartbeat)
		if m.isReported {
			silence /= reportedFactor
		}
		oldState := m.State
		switch {
		case m.LastHeartbeat.IsZero():
		case silence > goneIntervals*interval:
			m.State = dragonflypass.MemberGone
		case silence > suspectIntervals*interval:
			m.State = dragonflypass.MemberSuspect
		}
		if m.State != oldState {
			m.Loads = nil
			m.cancelAliveContexts()
			changed = append(changed, m.Member)
		}
		if m.State == dragonflypass.MemberGone && !m.isListed {
			delete(d.members, id)
		}
	}
	if len(changed) > 0 {
		d.invalidate()
	}
	return changed
}

// interval returns the time between two heartbeats to the same VM. It is called with the mutex held.
func (d *Detector) interval() time.Duration {
	return d.Topology.Interval(d.HeartbeatInterval, max(d.liveInZone(), d.zoneSizes[d.Self.Zone]))
}

// liveInZone returns the number of live VMs of the own zone that this VM knows of. It is called with the mutex held.
func (d *Detector) liveInZone() int {
	count := 0
	for _, m := range d.members {
		if m.VM.Zone == d.Self.Zone && m.State == dragonflypass.MemberLive {
			count++
		}
	}
	return count
}

// selected returns the selection of the topology for the current table. It is called with the mutex held.
func (d *Detector) selected() *dragonflypass.Selection {
	if d.selection == nil {
		members := make([]dragonflypass.Member, 0, len(d.members))
		for _, m := range d.members {
			members = append(members, m.Member)
		}
		slices.SortFunc(members, func(a, b dragonflypass.Member) int { return strings.Compare(string(a.VM.ID), string(b.VM.ID)) })
		selection := d.Topology.Select(d.selfMember(), members, d.fleetSize())
		d.selection = &selection
	}
	return d.selection
}

// dueNeighbours returns the neighbours and partners to which a heartbeat is due, and marks it as in flight. It is called
// with the mutex held.
func (d *Detector) dueNeighbours(now time.Time, partners, sources []dragonflypass.VMID) []dragonflypass.VM {
	interval := d.interval()
	var due []dragonflypass.VM
	add := func(id dragonflypass.VMID, interval time.Duration) {
		m, ok := d.members[id]
		if !ok || m.heartbeatInFlight {
			return
		}
		last := m.lastContact
		if slices.Contains(sources, id) {
			last = m.lastSent
		}
		if now.Sub(last) < interval {
			return
		}
		m.heartbeatInFlight = true
		m.lastContact, m.lastSent = now, now
		due = append(due, m.VM)
	}
	for _, id := range append(slices.Clone(d.selected().Neighbours), partners...) {
		add(id, interval)
	}
	for _, id := range d.selected().Silent {
		add(id, silentFactor*interval)
	}
	return due
}

// audience returns the VMs that are informed of a change at once. It is called with the mutex held.
func (d *Detector) audience() []dragonflypass.VM {
	var vms []dragonflypass.VM
	for _, id := range d.selected().Audience {
		if m, ok := d.members[id]; ok && m.State == dragonflypass.MemberLive {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// exchangeHeartbeat sends a regular heartbeat to the VM and handles its response.
func (d *Detector) exchangeHeartbeat(ctx context.Context, vm dragonflypass.VM) {
	d.exchange(ctx, vm, d.HeartbeatInterval, false)
}

// exchange sends a heartbeat to the VM and handles its response, which may contain updates of any size if catchUp is set.
func (d *Detector) exchange(ctx context.Context, vm dragonflypass.VM, timeout time.Duration, catchUp bool) {
	defer d.clearInFlight(vm.ID)
	ctx, cancel := d.Timer.WithDeadline(ctx, d.Timer.Now().Add(timeout))
	defer cancel()
	d.Meter.Add(dragonflypass.CountHeartbeatSent, 1)
	own := d.newHeartbeat(vm)
	own.CatchUp = catchUp
	own.Watermarks = d.Watermarks()
	sentAt := d.Timer.Uptime()
	response, err := d.Peers.ExchangeHeartbeat(ctx, vm, own)
	if err != nil {
		d.Meter.Add(dragonflypass.CountHeartbeatFailed, 1)
		if errors.Is(err, dragonflypass.ErrRefused) {
			d.markSuspect(vm.ID)
		}
		return
	}
	d.handleHeartbeat(response)
	d.HeartbeatAnswered(sentAt, response)
	if slices.ContainsFunc(response.Watermarks, func(w dragonflypass.Watermark) bool { return w.Withheld }) {
		d.catchUp(response.From)
	}
}

// markSuspect marks the VM as suspect because nothing listens at its address.
func (d *Detector) markSuspect(id dragonflypass.VMID) {
	d.mutex.Lock()
	m, ok := d.members[id]
	if ok {
		m.refusedAt = d.Timer.Now()
	}
	if !ok || m.State == dragonflypass.MemberSuspect || m.State == dragonflypass.MemberGone {
		d.mutex.Unlock()
		return
	}
	m.State = dragonflypass.MemberSuspect
	m.cancelAliveContexts()
	d.invalidate()
	changed := []dragonflypass.Member{m.Member}
	d.mutex.Unlock()
	d.notify(changed)
}

// ProbeAddress sends a heartbeat at once to the live VM at the address. It is called when a connection to it is lost.
func (d *Detector) ProbeAddress(address netip.AddrPort) {
	d.mutex.Lock()
	var probes []dragonflypass.VM
	for _, m := range d.members {
		if m.VM.Peer == address && m.State == dragonflypass.MemberLive {
			probes = append(probes, m.VM)
		}
	}
	d.mutex.Unlock()
	for _, vm := range probes {
		d.SendHeartbeat(vm)
	}
}

// SendHeartbeat sends a heartbeat to the VM at once, without waiting for the response.
func (d *Detector) SendHeartbeat(vm dragonflypass.VM) {
	d.Pool.Submit(dragonflypass.JobHeartbeat, func(ctx context.Context) { d.exchangeHeartbeat(ctx, vm) })
}

func (d *Detector) clearInFlight(id dragonflypass.VMID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if m, ok := d.members[id]; ok {
		m.heartbeatInFlight = false
	}
}

// newHeartbeat returns a heartbeat to the other VM, without watermarks.
func (d *Detector) newHeartbeat(to dragonflypass.VM) dragonflypass.Heartbeat {
	d.mutex.Lock()
	self := d.self()
	var statuses []dragonflypass.PeerStatus
	var sizes map[dragonflypass.AvailabilityZone]int
	report := d.selected().ReportTo(to)
	if report {
		statuses, sizes = d.peerStatuses(to.ID), d.sizes()
	}
	d.mutex.Unlock()
	var shardLoads []dragonflypass.ShardLoad
	if report {
		shardLoads = d.ShardLoads()
	}
	granted, inherited := d.OpenStreams(to.ID)
	parts, requests := d.Statuses()
	return dragonflypass.Heartbeat{
		From:             self,
		PeerStatuses:     statuses,
		ZoneSizes:        sizes,
		ShardLoads:       shardLoads,
		Parts:            parts,
		Requests:         requests,
		Costs:            d.Costs(to.ID),
		Paces:            d.Paces(),
		Incarnation:      d.Incarnation,
		ConfigOffset:     d.ConfigOffset(),
		Loads:            d.Loads(),
		GrantedStreams:   granted,
		InheritedStreams: inherited,
	}
}

// peerStatuses returns the statuses of the VMs that the topology selects for reports. It is called with the mutex held.
func (d *Detector) peerStatuses(to dragonflypass.VMID) []dragonflypass.PeerStatus {
	now := d.Timer.Now()
	reported := d.selected().Reported
	statuses := make([]dragonflypass.PeerStatus, 0, len(reported))
	for _, id := range reported {
		if m, ok := d.members[id]; ok && id != to && m.State == dragonflypass.MemberLive {
			statuses = append(statuses, dragonflypass.PeerStatus{VM: m.VM, Incarnation: m.Incarnation, HeartbeatAge: now.Sub(m.LastHeartbeat)})
		}
	}
	return statuses
}

// sizes returns the numbers of live VMs by zone, of which this VM has counted those in its own. It is called with the
// mutex held.
func (d *Detector) sizes() map[dragonflypass.AvailabilityZone]int {
	sizes := maps.Clone(d.zoneSizes)
	sizes[d.Self.Zone] = d.liveInZone() + 1
	return sizes
}

// ZoneSizes returns the numbers of live VMs by zone, as far as they are known.
func (d *Detector) ZoneSizes() map[dragonflypass.AvailabilityZone]int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	counted := map[dragonflypass.AvailabilityZone]int{d.Self.Zone: 1}
	for _, m := range d.members {
		if m.State == dragonflypass.MemberLive {
			counted[m.VM.Zone]++
		}
	}
	for zone, size := range d.zoneSizes {
		counted[zone] = max(counted[zone], size)
	}
	return counted
}

// Hubs returns the live hubs of all zones, sorted by identifier.
func (d *Detector) Hubs() []dragonflypass.VMID {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var hubs []dragonflypass.VMID
	for _, zoneHubs := range d.zoneHubs() {
		for _, m := range elector.Live(zoneHubs) {
			hubs = append(hubs, m.VM.ID)
		}
	}
	slices.Sort(hubs)
	return hubs
}

// FleetSize returns the number of live VMs, including this one.
func (d *Detector) FleetSize() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.fleetSize()
}

// fleetSize is FleetSize for callers that hold the mutex.
func (d *Detector) fleetSize() int {
	known, reported := 1, 0
	for _, m := range d.members {
		if m.State == dragonflypass.MemberLive {
			known++
		}
	}
	for _, size := range d.zoneSizes {
		reported += size
	}
	return max(known, reported)
}

// updateZoneSizes records the sizes that another VM reports, and reports whether the fleet is a large one. Only a hub counts
// the VMs of its zone; it takes the sizes of the other zones from hubs there, as those that others pass on may be older. It
// is called with the mutex held.
func (d *Detector) updateZoneSizes(from dragonflypass.VM, sizes map[dragonflypass.AvailabilityZone]int) bool {
	hubs := d.zoneHubs()
	if !containsVM(hubs[from.Zone], from.ID) {
		return d.fleetSize() > connector.SmallFleet
	}
	isHub := containsVM(hubs[d.Self.Zone], d.Self.ID)
	for zone, size := range sizes {
		if zone == from.Zone || !isHub && from.Zone == d.Self.Zone {
			d.zoneSizes[zone] = size
		}
	}
	return d.fleetSize() > connector.SmallFleet
}

// containsVM reports whether the VM is one of the members.
func containsVM(members []dragonflypass.Member, id dragonflypass.VMID) bool {
	return slices.ContainsFunc(members, func(m dragonflypass.Member) bool { return m.VM.ID == id })
}

// applyPeerStatuses updates the VMs whose statuses another VM reports. It is called with the mutex held.
func (d *Detector) applyPeerStatuses(statuses []dragonflypass.PeerStatus, now time.Time) (changed []dragonflypass.Member) {
	for _, s := range statuses {
		if s.VM.ID == d.Self.ID {
			continue
		}
		m, ok := d.members[s.VM.ID]
		if !ok {
			m = newMember(s.VM, false)
			m.isListed = false
			d.members[s.VM.ID] = m
		}
		lastHeartbeat := now.Add(-s.HeartbeatAge)
		if s.Incarnation < m.Incarnation || !lastHeartbeat.After(m.LastHeartbeat) || !lastHeartbeat.After(m.refusedAt) {
			continue
		}
		old := m.Member
		if m.Incarnation != s.Incarnation {
			m.cancelAliveContexts()
		}
		m.VM, m.Incarnation, m.LastHeartbeat, m.State, m.isReported = s.VM, s.Incarnation, lastHeartbeat, dragonflypass.MemberLive, true
		if m.State != old.State || m.VM != old.VM {
			d.invalidate()
		}
		if m.State != old.State {
			changed = append(changed, m.Member)
		}
	}
	return changed
}

// self returns this VM with its current flags. It is called with the mutex held.
func (d *Detector) self() dragonflypass.VM {
	vm := d.Self
	vm.Leaving, vm.TakeoverEligible = d.leaving, d.takeoverEligible
	return vm
}

// ExchangeHeartbeat handles a heartbeat from another VM and returns this VM's heartbeat as the response. If the other VM has
// read further in a topic, this VM also sends it a heartbeat, and the response carries the missing updates.
func (d *Detector) ExchangeHeartbeat(heartbeat dragonflypass.Heartbeat) dragonflypass.Heartbeat {
	d.handleHeartbeat(heartbeat)
	d.recordContact(heartbeat.From.ID)
	own := d.newHeartbeat(heartbeat.From)
	own.Watermarks = d.MissingUpdates(heartbeat.Watermarks, heartbeat.CatchUp)
	if isAhead(heartbeat.Watermarks, own.Watermarks) {
		d.catchUp(heartbeat.From)
	}
	return own
}

// catchUp fetches the updates that this VM is missing from the VM, unless it fetches some already: those that are still
// missing then come with the next regular heartbeat.
func (d *Detector) catchUp(vm dragonflypass.VM) {
	if d.catchingUp.Swap(true) {
		return
	}
	submitted := d.Pool.Submit(dragonflypass.JobHeartbeat, func(ctx context.Context) {
		defer d.catchingUp.Store(false)
		d.exchange(ctx, vm, catchUpTimeout, true)
	})
	if !submitted {
		d.catchingUp.Store(false)
	}
}

// isAhead reports whether the other VM has read a topic further than this one, or has a newer version of a record.
func isAhead(other, own []dragonflypass.Watermark) bool {
	for _, theirs := range other {
		for _, mine := range own {
			if theirs.Topic == mine.Topic && (theirs.IsAhead(&mine) || theirs.HasNewerVersion(&mine)) {
				return true
			}
		}
	}
	return false
}

// BroadcastHeartbeat sends a heartbeat to the audience at once. It is called after changes that should
// not wait for the next regular heartbeat.
func (d *Detector) BroadcastHeartbeat() {
	d.mutex.Lock()
	vms := d.audience()
	d.mutex.Unlock()
	for _, vm := range vms {
		d.SendHeartbeat(vm)
	}
}

// recordContact records that the VM received a heartbeat from this one, so that one exchange per interval serves
// both VMs.
func (d *Detector) recordContact(id dragonflypass.VMID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if m, ok := d.members[id]; ok {
		m.lastContact = d.Timer.Now()
	}
}

// handleHeartbeat updates the sender's entry in the table. It ignores a heartbeat from an earlier incarnation of a VM
// that is live or leaving.
func (d *Detector) handleHeartbeat(heartbeat dragonflypass.Heartbeat) {
	d.mutex.Lock()
	m, ok := d.members[heartbeat.From.ID]
	if !ok {
		m = newMember(heartbeat.From, false)
		m.isListed = false
		d.members[heartbeat.From.ID] = m
	}
	// A silent VM may have restarted with its clock set back, so that its new incarnation is lower.
	silent := m.State == dragonflypass.MemberSuspect || m.State == dragonflypass.MemberGone
	if (heartbeat.Incarnation < m.Incarnation && !silent) || heartbeat.From.ID == d.Self.ID {
		d.mutex.Unlock()
		return
	}
	old := m.Member
	if m.Incarnation != heartbeat.Incarnation {
		m.cancelAliveContexts()
	}
	m.VM = heartbeat.From
	m.Incarnation = heartbeat.Incarnation
	m.LastHeartbeat = d.Timer.Now()
	m.ConfigOffset = heartbeat.ConfigOffset
	m.Loads = heartbeat.Loads
	m.isReported, m.refusedAt = false, time.Time{}
	m.State = dragonflypass.MemberLive
	if heartbeat.From.Leaving {
		m.State = dragonflypass.MemberLeaving
	}
	d.others = nil
	if m.State != old.State || m.VM != old.VM {
		d.invalidate()
	}
	if (d.fleetSize() > connector.SmallFleet) != d.updateZoneSizes(heartbeat.From, heartbeat.ZoneSizes) {
		d.invalidate()
	}
	changed := d.applyPeerStatuses(heartbeat.PeerStatuses, m.LastHeartbeat)
	if m.State != old.State || m.VM.TakeoverEligible != old.VM.TakeoverEligible {
		changed = append(changed, m.Member)
	}
	d.mutex.Unlock()
	d.notify(changed)
	d.Received(heartbeat)
}
