package elector_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/elector"
)

// vm returns a live member that may take over from others.
func vm(id int, zone dragonflypass.AvailabilityZone, processors float64) dragonflypass.Member {
	return dragonflypass.Member{Incarnation: uint64(id), VM: dragonflypass.VM{
		ID: dragonflypass.VMID(fmt.Sprintf("vm-%d", id)), Zone: zone, Processors: processors, TakeoverEligible: true,
	}}
}

// TestDutiesGoToLargeVMs checks that no duty falls to a VM with a small processor share while a large one is live: a duty
// grows with the fleet, and a small VM that performs it delays the requests of all.
func TestDutiesGoToLargeVMs(t *testing.T) {
	c := qt.New(t)
	var members []dragonflypass.Member
	for i := range 30 {
		processors := 0.192
		if i%15 == 0 {
			processors = 0.8
		}
		members = append(members, vm(i, "a", processors))
	}
	for duty := range 50 {
		ordered := elector.Order(fmt.Sprint(duty), members)
		c.Check(ordered[0].VM.Processors, qt.Equals, 0.8)
		c.Check(ordered[1].VM.Processors, qt.Equals, 0.8)
	}
	// Without the large VMs, the duties are spread over the small ones.
	first := make(map[dragonflypass.VMID]bool)
	for duty := range 50 {
		first[elector.Order(fmt.Sprint(duty), members[1:15])[0].VM.ID] = true
	}
	c.Check(len(first) > 5, qt.IsTrue, qt.Commentf("%v", first))
}

func TestOrderPrefersLiveVMs(t *testing.T) {
	c := qt.New(t)
	members := []dragonflypass.Member{vm(1, "a", 0.8), vm(2, "a", 0.8), vm(3, "a", 0.8), vm(4, "a", 0.2), vm(5, "a", 0.2), vm(6, "a", 0.2)}
	members[0].State = dragonflypass.MemberGone
	members[1].State = dragonflypass.MemberLeaving
	members[2].State = dragonflypass.MemberSuspect
	members[4].VM.TakeoverEligible = false
	members[5].VM.TakeoverEligible = false
	c.Check(order("duty", members), qt.DeepEquals, []dragonflypass.VMID{"vm-4", "vm-5", "vm-6", "vm-3", "vm-2", "vm-1"})
}

// order returns the identifiers of the members in the order for the duty.
func order(duty string, members []dragonflypass.Member) (ids []dragonflypass.VMID) {
	for _, m := range elector.Order(duty, members) {
		ids = append(ids, m.VM.ID)
	}
	return ids
}

// TestVMsStartedTogetherAgreeOnDuties orders VMs that may take over since the same time, some of which have not yet said so.
func TestVMsStartedTogetherAgreeOnDuties(t *testing.T) {
	c := qt.New(t)
	const fleet = 20
	start := uint64(time.Hour)
	for _, gap := range []time.Duration{0, time.Millisecond} {
		var members []dragonflypass.Member
		for i := range fleet {
			m := vm(i, "a", 0.5)
			m.Incarnation = start + uint64(i)*uint64(gap)
			members = append(members, m)
		}
		late := vm(fleet, "a", 0.5)
		late.Incarnation, late.VM.TakeoverEligible = start+uint64(time.Minute), false
		members = append(members, late)
		all := order("duty", members)
		c.Check(all[fleet], qt.Equals, late.VM.ID)
		for unheard := range fleet - 1 {
			members[unheard].VM.TakeoverEligible = false
			c.Check(order("duty", members), qt.DeepEquals, all, qt.Commentf("%d VMs not heard from, gap %s", unheard+1, gap))
		}
	}
}

// TestPartialKnowledgeYieldsTheSameHubs checks that a VM which only knows the hubs of its zone selects the same ones as a
// hub, which knows all VMs there.
func TestPartialKnowledgeYieldsTheSameHubs(t *testing.T) {
	c := qt.New(t)
	var members []dragonflypass.Member
	for i := range 40 {
		members = append(members, vm(i, "a", 0.5))
	}
	hubs := elector.Hubs(members)["a"]
	c.Assert(hubs, qt.HasLen, elector.HubsPerZone)
	for _, self := range members {
		known := []dragonflypass.Member{self}
		for _, m := range members {
			isHub := m.VM.ID == hubs[0].VM.ID || m.VM.ID == hubs[1].VM.ID || m.VM.ID == hubs[2].VM.ID
			if m.VM.ID == self.VM.ID {
				continue
			}
			if !isHub {
				m.State, m.VM.TakeoverEligible = dragonflypass.MemberSuspect, false
			}
			known = append(known, m)
		}
		for i, m := range elector.Hubs(known)["a"] {
			c.Check(m.VM.ID, qt.Equals, hubs[i].VM.ID)
		}
	}
}
