package connector

import (
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/elector"
	"github.com/dragonflypass/dragonflypass/core/mesher"
)

const (
	// SmallFleet is the largest number of VMs that all exchange heartbeats with each other.
	SmallFleet = 17
	// intervalPerZoneMember, multiplied by the number of VMs in the zone, is the shortest heartbeat interval. It bounds the
	// number of heartbeats that a hub receives from its zone to 100 a second.
	intervalPerZoneMember = 10 * time.Millisecond
)

// Connector is a topology of hubs. In a small fleet all VMs exchange heartbeats with each other.
type Connector struct{}

var _ dragonflypass.Topology = Connector{}

// Interval returns the time between two heartbeats to the same VM.
func (Connector) Interval(base time.Duration, zoneVMs int) time.Duration {
	return max(base, time.Duration(zoneVMs)*intervalPerZoneMember)
}

// Select returns the hubs of the own zone and, for a hub, those of all zones. A hub informs all VMs of its zone of
// changes. Heartbeats contain the states of the hubs of all zones.
func (Connector) Select(self dragonflypass.Member, others []dragonflypass.Member, fleetSize int) dragonflypass.Selection {
	if max(fleetSize, len(others)+1) <= SmallFleet {
		return mesher.Mesher{}.Select(self, others, fleetSize)
	}
	hubs := elector.Hubs(append(slices.Clone(others), self))
	isHub := make(map[dragonflypass.VMID]bool)
	selection := dragonflypass.Selection{}
	for _, zoneHubs := range hubs {
		for _, m := range zoneHubs {
			isHub[m.VM.ID] = true
			if m.State == dragonflypass.MemberLive && m.VM.ID != self.VM.ID {
				selection.Reported = append(selection.Reported, m.VM.ID)
			}
		}
	}
	for zone, zoneHubs := range hubs {
		if zone == self.VM.Zone || isHub[self.VM.ID] {
			selection.Neighbours = appendOthers(selection.Neighbours, self, zoneHubs)
		}
	}
	for _, m := range elector.SilentHubs(others) {
		if m.VM.Zone == self.VM.Zone || isHub[self.VM.ID] {
			selection.Silent = append(selection.Silent, m.VM.ID)
		}
	}
	slices.Sort(selection.Neighbours)
	selection.Audience = selection.Neighbours
	if isHub[self.VM.ID] {
		selection.Audience = slices.Clone(selection.Neighbours)
		for _, m := range others {
			if m.VM.Zone == self.VM.Zone && m.State == dragonflypass.MemberLive && !isHub[m.VM.ID] {
				selection.Audience = append(selection.Audience, m.VM.ID)
			}
		}
	}
	// A hub learns nothing from the reports of a VM that is none.
	selection.ReportTo = func(to dragonflypass.VM) bool { return isHub[self.VM.ID] || !isHub[to.ID] }
	return selection
}

// appendOthers appends the identifiers of the members except the VM itself.
func appendOthers(ids []dragonflypass.VMID, self dragonflypass.Member, members []dragonflypass.Member) []dragonflypass.VMID {
	for _, m := range members {
		if m.VM.ID != self.VM.ID {
			ids = append(ids, m.VM.ID)
		}
	}
	return ids
}
