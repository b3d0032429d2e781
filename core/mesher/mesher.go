package mesher

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/elector"
)

const (
	// neighboursPerRemoteZone is the number of VMs in each other zone with which a VM exchanges heartbeats.
	neighboursPerRemoteZone = 2
	// fullMeshLimit is the largest number of other VMs with which a VM exchanges heartbeats regardless of their zone.
	fullMeshLimit = 16
	// intervalPerZoneMember, multiplied by the number of VMs in the zone, is the shortest heartbeat interval. It bounds the
	// cost of the control traffic in a large zone.
	intervalPerZoneMember = 40 * time.Millisecond
)

// Mesher is the topology of a full mesh in each zone, with a few links between zones.
type Mesher struct{}

var _ dragonflypass.Topology = Mesher{}

// Interval returns the time between two heartbeats to the same VM.
func (Mesher) Interval(base time.Duration, zoneVMs int) time.Duration {
	return max(base, time.Duration(zoneVMs)*intervalPerZoneMember)
}

// Select returns the VMs of the own zone and a few of each other zone, or all VMs in a small fleet. The heartbeats to VMs
// of other zones contain the states of the live VMs of the own zone.
func (Mesher) Select(self dragonflypass.Member, others []dragonflypass.Member, _ int) dragonflypass.Selection {
	selection := dragonflypass.Selection{ReportTo: func(dragonflypass.VM) bool { return false }}
	if len(others) <= fullMeshLimit {
		for i := range others {
			selection.Neighbours = append(selection.Neighbours, others[i].VM.ID)
		}
		selection.Audience = selection.Neighbours
		return selection
	}
	remote := make(map[dragonflypass.AvailabilityZone][]dragonflypass.Member)
	for _, m := range others {
		if m.VM.Zone != self.VM.Zone {
			remote[m.VM.Zone] = append(remote[m.VM.Zone], m)
			continue
		}
		selection.Neighbours = append(selection.Neighbours, m.VM.ID)
		if m.State == dragonflypass.MemberLive {
			selection.Reported = append(selection.Reported, m.VM.ID)
		}
	}
	for _, group := range remote {
		selection.Neighbours = append(selection.Neighbours, selectRemote(self.VM.ID, group)...)
	}
	slices.Sort(selection.Neighbours)
	selection.Audience = selection.Neighbours
	zone := self.VM.Zone
	selection.ReportTo = func(to dragonflypass.VM) bool { return to.Zone != zone }
	return selection
}

// selectRemote returns the neighbours among the VMs of another zone. VMs that are gone are selected last.
func selectRemote(self dragonflypass.VMID, group []dragonflypass.Member) []dragonflypass.VMID {
	gone := func(m *dragonflypass.Member) int {
		if m.State == dragonflypass.MemberGone {
			return 1
		}
		return 0
	}
	slices.SortFunc(group, func(a, b dragonflypass.Member) int {
		return cmp.Or(gone(&a)-gone(&b), cmp.Compare(elector.Score(string(self), b.VM.ID), elector.Score(string(self), a.VM.ID)))
	})
	var selected []dragonflypass.VMID
	for _, m := range group[:min(len(group), neighboursPerRemoteZone)] {
		selected = append(selected, m.VM.ID)
	}
	return selected
}
