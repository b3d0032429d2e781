package connector_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/connector"
	"github.com/dragonflypass/dragonflypass/core/elector"
)

// fleet returns live members in five zones.
func fleet(vms int) []dragonflypass.Member {
	members := make([]dragonflypass.Member, vms)
	for i := range members {
		members[i].VM = dragonflypass.VM{
			ID: dragonflypass.VMID(fmt.Sprintf("vm-%d", i)), Zone: dragonflypass.AvailabilityZone(fmt.Sprintf("z-%d", i%5)), Processors: 0.5, TakeoverEligible: true,
		}
	}
	return members
}

// without returns the members except the one at the index.
func without(members []dragonflypass.Member, i int) []dragonflypass.Member {
	return slices.Delete(slices.Clone(members), i, i+1)
}

// TestMessagesDoNotGrowWithTheFleet counts the heartbeats that all VMs send in a second.
func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	c := qt.New(t)
	perVM := func(vms int) float64 {
		members, sent := fleet(vms), 0.0
		for i, self := range members {
			interval := connector.Connector{}.Interval(300*time.Millisecond, vms/5)
			sent += float64(len(connector.Connector{}.Select(self, without(members, i), len(members)).Neighbours)) / interval.Seconds()
		}
		return sent / float64(vms)
	}
	c.Check(perVM(400) <= perVM(40), qt.IsTrue, qt.Commentf("%.1f heartbeats a second at 40 VMs, %.1f at 400", perVM(40), perVM(400)))
	c.Check(perVM(400) < 10, qt.IsTrue)
}

// TestChangesReachAllVMs follows a change from one hub to its audience, and from the hubs among them to theirs.
func TestChangesReachAllVMs(t *testing.T) {
	c := qt.New(t)
	members := fleet(100)
	audience := make(map[dragonflypass.VMID][]dragonflypass.VMID)
	for i, self := range members {
		audience[self.VM.ID] = connector.Connector{}.Select(self, without(members, i), len(members)).Audience
	}
	source := elector.Hubs(members)["z-0"][0].VM.ID
	informed := map[dragonflypass.VMID]bool{source: true}
	for _, near := range audience[source] {
		informed[near] = true
		for _, far := range audience[near] {
			informed[far] = true
		}
	}
	c.Check(informed, qt.HasLen, len(members))
}

// TestPartsOfTheFleetMeetAgain lets every VM regard the hubs of the zones as silent. They must stay in contact with them.
func TestPartsOfTheFleetMeetAgain(t *testing.T) {
	c := qt.New(t)
	members := fleet(100)
	for i := range members {
		members[i].Incarnation = 1
	}
	isHub := make(map[dragonflypass.VMID]bool)
	for _, hub := range elector.Hubs(members)["z-0"] {
		isHub[hub.VM.ID] = true
	}
	var silent []dragonflypass.Member
	for _, m := range members {
		if isHub[m.VM.ID] {
			m.State = dragonflypass.MemberGone
		}
		silent = append(silent, m)
	}
	for i, self := range silent {
		if self.VM.Zone != "z-0" || isHub[self.VM.ID] {
			continue
		}
		selection := connector.Connector{}.Select(self, without(silent, i), len(silent))
		for hub := range isHub {
			c.Check(slices.Contains(selection.Silent, hub), qt.IsTrue, qt.Commentf("%s does not contact %s", self.VM.ID, hub))
			c.Check(slices.Contains(selection.Neighbours, hub), qt.IsFalse)
		}
	}
}

func TestSmallFleetsAreMeshed(t *testing.T) {
	c := qt.New(t)
	members := fleet(10)
	c.Check(connector.Connector{}.Select(members[0], members[1:], len(members)).Neighbours, qt.HasLen, 9)
}
