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

// Tick ages the states and sends the heartbeats that are due.
func (d *Detector) Tick(context.Context) {
	now := d.Timer.Now()
	d.mutex.Lock()
	changed := d.age(now)
	due := d.due(now)
	d.mutex.Unlock()
	d.notify(changed)
	for _, vm := range due {
		if !d.Pool.Submit(dragonflypass.JobHeartbeat, func(ctx context.Context) { d.exchange(ctx, vm) }) {
			d.release(vm.ID)
		}
	}
}

// age moves VMs without word on to suspect and gone; it is called with the mutex held.
func (d *Detector) age(now time.Time) (changed []dragonflypass.Member) {
	interval := d.interval()
	for id, m := range d.members {
		silent := now.Sub(m.LastHeartbeat)
		before := m.State
		switch {
		case m.LastHeartbeat.IsZero():
		case silent > goneIntervals*interval:
			m.State = dragonflypass.MemberGone
		case silent > suspectIntervals*interval:
			m.State = dragonflypass.MemberSuspect
		}
		if m.State != before {
			m.Loads = nil
			m.lose()
			changed = append(changed, m.Member)
		}
		if m.State == dragonflypass.MemberGone && !m.listed {
			delete(d.members, id)
		}
	}
	if len(changed) > 0 {
		d.others = nil
	}
	return changed
}

// interval is the time between two heartbeats to one VM; it is called with the mutex held.
func (d *Detector) interval() time.Duration {
	zone := 0
	for _, m := range d.members {
		if m.VM.Zone == d.Self.Zone && m.State == dragonflypass.MemberLive {
			zone++
		}
	}
	return max(d.Interval, time.Duration(zone)*zoneCost)
}

// due returns the neighbours whose heartbeat is due and marks them busy; it is called with the mutex held.
func (d *Detector) due(now time.Time) []dragonflypass.VM {
	interval := d.interval()
	var due []dragonflypass.VM
	for _, m := range d.neighbours() {
		if m.busy || now.Sub(m.contacted) < interval {
			continue
		}
		m.busy = true
		m.contacted = now
		due = append(due, m.VM)
	}
	return due
}

// neighbours returns the VMs of the own zone and a few of each other one, or all in a small fleet; it is
// called with the mutex held.
func (d *Detector) neighbours() []*member {
	var near []*member
	if len(d.members) <= smallFleet {
		for _, m := range d.members {
			near = append(near, m)
		}
		return near
	}
	far := make(map[dragonflypass.AvailabilityZone][]*member)
	for _, m := range d.members {
		if m.VM.Zone == d.Self.Zone {
			near = append(near, m)
			continue
		}
		far[m.VM.Zone] = append(far[m.VM.Zone], m)
	}
	for _, group := range far {
		near = append(near, d.chosen(group)...)
	}
	slices.SortFunc(near, func(a, b *member) int { return strings.Compare(string(a.VM.ID), string(b.VM.ID)) })
	return near
}

// chosen returns the VMs of another zone that this VM talks to, preferring those not gone.
func (d *Detector) chosen(group []*member) []*member {
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
	return group[:min(len(group), remoteNeighbours)]
}

func (d *Detector) exchange(ctx context.Context, vm dragonflypass.VM) {
	defer d.release(vm.ID)
	ctx, cancel := d.Timer.WithDeadline(ctx, d.Timer.Now().Add(d.Interval))
	defer cancel()
	d.Meter.Add(dragonflypass.CountHeartbeatSent, 1)
	own := d.beat(vm.ID)
	own.Watermarks = d.Watermarks()
	asked := d.Timer.Uptime()
	beat, err := d.Peers.ExchangeHeartbeat(ctx, vm, own)
	if err != nil {
		d.Meter.Add(dragonflypass.CountHeartbeatFailed, 1)
		if errors.Is(err, dragonflypass.ErrRefused) {
			d.suspect(vm.ID)
		}
		return
	}
	d.take(beat)
	d.HeartbeatAnswered(asked, beat)
}

// suspect notes that nothing listens at the VM's address.
func (d *Detector) suspect(id dragonflypass.VMID) {
	d.mutex.Lock()
	m, ok := d.members[id]
	if !ok || m.State == dragonflypass.MemberSuspect || m.State == dragonflypass.MemberGone {
		d.mutex.Unlock()
		return
	}
	m.State = dragonflypass.MemberSuspect
	m.lose()
	d.others = nil
	changed := []dragonflypass.Member{m.Member}
	d.mutex.Unlock()
	d.notify(changed)
}

// ProbeAddress sends a heartbeat at once to the VM at the address, the connection to which has ended.
func (d *Detector) ProbeAddress(address netip.AddrPort) {
	d.mutex.Lock()
	var doubted []dragonflypass.VM
	for _, m := range d.members {
		if m.VM.Peer == address && m.State == dragonflypass.MemberLive {
			doubted = append(doubted, m.VM)
		}
	}
	d.mutex.Unlock()
	for _, vm := range doubted {
		d.SendHeartbeat(vm)
	}
}

// SendHeartbeat sends a heartbeat to the VM at once.
func (d *Detector) SendHeartbeat(vm dragonflypass.VM) {
	d.Pool.Submit(dragonflypass.JobHeartbeat, func(ctx context.Context) { d.exchange(ctx, vm) })
}

func (d *Detector) release(id dragonflypass.VMID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if m, ok := d.members[id]; ok {
		m.busy = false
	}
}

// beat makes the heartbeat for the other VM.
func (d *Detector) beat(to dragonflypass.VMID) dragonflypass.Heartbeat {
	d.mutex.Lock()
	self, seen := d.self(), d.seen(to)
	d.mutex.Unlock()
	kept, held := d.OpenStreams(to)
	return dragonflypass.Heartbeat{
		From:             self,
		PeerStatuses:     seen,
		Incarnation:      d.Incarnation,
		ConfigOffset:     d.ConfigOffset(),
		Loads:            d.Loads(),
		GrantedStreams:   kept,
		InheritedStreams: held,
	}
}

// seen returns the VMs of the own zone that this one hears, for a VM of another zone; it is called with the mutex held.
func (d *Detector) seen(to dragonflypass.VMID) []dragonflypass.PeerStatus {
	other, ok := d.members[to]
	if len(d.members) <= smallFleet || !ok || other.VM.Zone == d.Self.Zone {
		return nil
	}
	now := d.Timer.Now()
	var seen []dragonflypass.PeerStatus
	for _, m := range d.members {
		if m.VM.Zone == d.Self.Zone && m.State == dragonflypass.MemberLive {
			seen = append(seen, dragonflypass.PeerStatus{VM: m.VM, Incarnation: m.Incarnation, HeartbeatAge: now.Sub(m.LastHeartbeat)})
		}
	}
	return seen
}

// glimpse takes what another VM knows of the VMs of its zone; it is called with the mutex held.
func (d *Detector) glimpse(seen []dragonflypass.PeerStatus, now time.Time) (changed []dragonflypass.Member) {
	for _, s := range seen {
		if s.VM.ID == d.Self.ID || s.VM.Zone == d.Self.Zone {
			continue
		}
		m, known := d.members[s.VM.ID]
		if !known {
			m = newMember(s.VM, false)
			m.listed = false
			d.members[s.VM.ID] = m
		}
		heard := now.Add(-s.HeartbeatAge)
		if s.Incarnation < m.Incarnation || !heard.After(m.LastHeartbeat) {
			continue
		}
		before := m.State
		if m.Incarnation != s.Incarnation {
			m.lose()
		}
		m.VM, m.Incarnation, m.LastHeartbeat, m.State = s.VM, s.Incarnation, heard, dragonflypass.MemberLive
		if m.State != before {
			changed = append(changed, m.Member)
		}
	}
	return changed
}

// self is called with the mutex held.
func (d *Detector) self() dragonflypass.VM {
	vm := d.Self
	vm.Leaving, vm.TakeoverEligible = d.leaving, d.settled
	return vm
}

// Exchange takes a heartbeat from another VM and returns this VM's own.
func (d *Detector) Exchange(beat dragonflypass.Heartbeat) dragonflypass.Heartbeat {
	d.take(beat)
	d.contact(beat.From.ID)
	own := d.beat(beat.From.ID)
	own.Watermarks = d.MissingUpdates(beat.Watermarks)
	if ahead(beat.Watermarks, own.Watermarks) {
		d.Pool.Submit(dragonflypass.JobHeartbeat, func(ctx context.Context) { d.exchange(ctx, beat.From) })
	}
	return own
}

// ahead reports whether the other VM has read a topic further.
func ahead(other, own []dragonflypass.Watermark) bool {
	for _, theirs := range other {
		for _, mine := range own {
			if theirs.Topic == mine.Topic && theirs.Loaded && (!mine.Loaded || theirs.EndOffset > mine.EndOffset) {
				return true
			}
		}
	}
	return false
}

// BroadcastHeartbeat sends a heartbeat to each neighbour at once, as after news of a topic.
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

// contact notes that the VM has this one's news, so that one exchange in each interval serves both.
func (d *Detector) contact(id dragonflypass.VMID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if m, ok := d.members[id]; ok {
		m.contacted = d.Timer.Now()
	}
}

// take notes a heartbeat; one from an earlier incarnation of its VM is dropped.
func (d *Detector) take(beat dragonflypass.Heartbeat) {
	d.mutex.Lock()
	m, known := d.members[beat.From.ID]
	if !known {
		m = newMember(beat.From, false)
		m.listed = false
		d.members[beat.From.ID] = m
	}
	// A silent VM may have started anew with its time of day set back.
	silent := m.State == dragonflypass.MemberSuspect || m.State == dragonflypass.MemberGone
	if (beat.Incarnation < m.Incarnation && !silent) || beat.From.ID == d.Self.ID {
		d.mutex.Unlock()
		return
	}
	before, settled := m.State, m.VM.TakeoverEligible
	if m.Incarnation != beat.Incarnation {
		m.lose()
	}
	m.VM = beat.From
	m.Incarnation = beat.Incarnation
	m.LastHeartbeat = d.Timer.Now()
	m.ConfigOffset = beat.ConfigOffset
	m.Loads = beat.Loads
	d.others = nil
	m.State = dragonflypass.MemberLive
	if beat.From.Leaving {
		m.State = dragonflypass.MemberLeaving
	}
	changed := d.glimpse(beat.PeerStatuses, m.LastHeartbeat)
	if m.State != before || settled != m.VM.TakeoverEligible {
		changed = append(changed, m.Member)
	}
	d.mutex.Unlock()
	d.notify(changed)
	d.Received(beat)
}
