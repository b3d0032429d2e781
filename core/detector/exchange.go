package detector

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Tick marks silent VMs as suspect or gone and sends the heartbeats that are due.
func (d *Detector) Tick(context.Context) {
	now := d.Timer.Now()
	d.mutex.Lock()
	changed := d.updateStates(now)
	due := d.dueNeighbours(now)
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
		d.others = nil
	}
	return changed
}

// interval returns the time between two heartbeats to the same VM. It is called with the mutex held.
func (d *Detector) interval() time.Duration {
	zoneMembers := 0
	for _, m := range d.members {
		if m.VM.Zone == d.Self.Zone && m.State == dragonflypass.MemberLive {
			zoneMembers++
		}
	}
	return max(d.HeartbeatInterval, time.Duration(zoneMembers)*intervalPerZoneMember)
}

// dueNeighbours returns the neighbours to which a heartbeat is due, and marks it as in flight. It is called with the
// mutex held.
func (d *Detector) dueNeighbours(now time.Time) []dragonflypass.VM {
	interval := d.interval()
	var due []dragonflypass.VM
	for _, m := range d.neighbours() {
		if m.heartbeatInFlight || now.Sub(m.lastContact) < interval {
			continue
		}
		m.heartbeatInFlight = true
		m.lastContact = now
		due = append(due, m.VM)
	}
	return due
}

// neighbours returns the VMs to which this VM sends heartbeats: those of its own zone and a few of each other zone, or
// all VMs in a small fleet. It is called with the mutex held.
func (d *Detector) neighbours() []*member {
	var selected []*member
	if len(d.members) <= fullMeshLimit {
		for _, m := range d.members {
			selected = append(selected, m)
		}
		return selected
	}
	remote := make(map[dragonflypass.AvailabilityZone][]*member)
	for _, m := range d.members {
		if m.VM.Zone == d.Self.Zone {
			selected = append(selected, m)
			continue
		}
		remote[m.VM.Zone] = append(remote[m.VM.Zone], m)
	}
	for _, group := range remote {
		selected = append(selected, d.selectRemote(group)...)
	}
	slices.SortFunc(selected, func(a, b *member) int { return strings.Compare(string(a.VM.ID), string(b.VM.ID)) })
	return selected
}

// selectRemote returns the neighbours among the VMs of another zone. VMs that are gone are selected last.
func (d *Detector) selectRemote(group []*member) []*member {
	slices.SortFunc(group, func(a, b *member) int {
		goneA, goneB := a.State == dragonflypass.MemberGone, b.State == dragonflypass.MemberGone
		if goneA != goneB {
			if goneB {
				return -1
			}
			return 1
		}
		if Score(string(d.Self.ID), a.VM.ID) > Score(string(d.Self.ID), b.VM.ID) {
			return -1
		}
		return 1
	})
	return group[:min(len(group), neighboursPerRemoteZone)]
}

// exchangeHeartbeat sends a heartbeat to the VM and handles its response.
func (d *Detector) exchangeHeartbeat(ctx context.Context, vm dragonflypass.VM) {
	defer d.clearInFlight(vm.ID)
	ctx, cancel := d.Timer.WithDeadline(ctx, d.Timer.Now().Add(d.HeartbeatInterval))
	defer cancel()
	d.Meter.Add(dragonflypass.CountHeartbeatSent, 1)
	own := d.newHeartbeat(vm.ID)
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
}

// markSuspect marks the VM as suspect because nothing listens at its address.
func (d *Detector) markSuspect(id dragonflypass.VMID) {
	d.mutex.Lock()
	m, ok := d.members[id]
	if !ok || m.State == dragonflypass.MemberSuspect || m.State == dragonflypass.MemberGone {
		d.mutex.Unlock()
		return
	}
	m.State = dragonflypass.MemberSuspect
	m.cancelAliveContexts()
	d.others = nil
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
func (d *Detector) newHeartbeat(to dragonflypass.VMID) dragonflypass.Heartbeat {
	d.mutex.Lock()
	self, statuses := d.self(), d.peerStatuses(to)
	d.mutex.Unlock()
	granted, inherited := d.OpenStreams(to)
	return dragonflypass.Heartbeat{
		From:             self,
		PeerStatuses:     statuses,
		Incarnation:      d.Incarnation,
		ConfigOffset:     d.ConfigOffset(),
		Loads:            d.Loads(),
		GrantedStreams:   granted,
		InheritedStreams: inherited,
	}
}

// peerStatuses returns the live VMs of the own zone, for a heartbeat to a VM of another zone. It returns none
// for a VM of the same zone or in a small fleet, where the VMs exchange heartbeats directly. It is called with
// the mutex held.
func (d *Detector) peerStatuses(to dragonflypass.VMID) []dragonflypass.PeerStatus {
	other, ok := d.members[to]
	if len(d.members) <= fullMeshLimit || !ok || other.VM.Zone == d.Self.Zone {
		return nil
	}
	now := d.Timer.Now()
	var statuses []dragonflypass.PeerStatus
	for _, m := range d.members {
		if m.VM.Zone == d.Self.Zone && m.State == dragonflypass.MemberLive {
			statuses = append(statuses, dragonflypass.PeerStatus{VM: m.VM, Incarnation: m.Incarnation, HeartbeatAge: now.Sub(m.LastHeartbeat)})
		}
	}
	return statuses
}

// applyPeerStatuses updates the VMs of another zone from the statuses that one of them reports. It is called with the
// mutex held.
func (d *Detector) applyPeerStatuses(statuses []dragonflypass.PeerStatus, now time.Time) (changed []dragonflypass.Member) {
	for _, s := range statuses {
		if s.VM.ID == d.Self.ID || s.VM.Zone == d.Self.Zone {
			continue
		}
		m, ok := d.members[s.VM.ID]
		if !ok {
			m = newMember(s.VM, false)
			m.isListed = false
			d.members[s.VM.ID] = m
		}
		lastHeartbeat := now.Add(-s.HeartbeatAge)
		if s.Incarnation < m.Incarnation || !lastHeartbeat.After(m.LastHeartbeat) {
			continue
		}
		oldState := m.State
		if m.Incarnation != s.Incarnation {
			m.cancelAliveContexts()
		}
		m.VM, m.Incarnation, m.LastHeartbeat, m.State = s.VM, s.Incarnation, lastHeartbeat, dragonflypass.MemberLive
		if m.State != oldState {
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
	own := d.newHeartbeat(heartbeat.From.ID)
	own.Watermarks = d.MissingUpdates(heartbeat.Watermarks)
	if isAhead(heartbeat.Watermarks, own.Watermarks) {
		d.Pool.Submit(dragonflypass.JobHeartbeat, func(ctx context.Context) { d.exchangeHeartbeat(ctx, heartbeat.From) })
	}
	return own
}

// isAhead reports whether the other VM has read a topic further than this one.
func isAhead(other, own []dragonflypass.Watermark) bool {
	for _, theirs := range other {
		for _, mine := range own {
			if theirs.Topic == mine.Topic && theirs.Loaded && (!mine.Loaded || theirs.EndOffset > mine.EndOffset) {
				return true
			}
		}
	}
	return false
}

// BroadcastHeartbeat sends a heartbeat to each live neighbour at once. It is called after changes that should
// not wait for the next regular heartbeat.
func (d *Detector) BroadcastHeartbeat() {
	d.mutex.Lock()
	var vms []dragonflypass.VM
	for _, m := range d.neighbours() {
		if m.State == dragonflypass.MemberLive {
			vms = append(vms, m.VM)
		}
	}
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
	oldState, wasEligible := m.State, m.VM.TakeoverEligible
	if m.Incarnation != heartbeat.Incarnation {
		m.cancelAliveContexts()
	}
	m.VM = heartbeat.From
	m.Incarnation = heartbeat.Incarnation
	m.LastHeartbeat = d.Timer.Now()
	m.ConfigOffset = heartbeat.ConfigOffset
	m.Loads = heartbeat.Loads
	d.others = nil
	m.State = dragonflypass.MemberLive
	if heartbeat.From.Leaving {
		m.State = dragonflypass.MemberLeaving
	}
	changed := d.applyPeerStatuses(heartbeat.PeerStatuses, m.LastHeartbeat)
	if m.State != oldState || wasEligible != m.VM.TakeoverEligible {
		changed = append(changed, m.Member)
	}
	d.mutex.Unlock()
	d.notify(changed)
	d.Received(heartbeat)
}
