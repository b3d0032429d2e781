package elector

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// HubsPerZone is the number of hubs in each zone.
	HubsPerZone = 3
	// largeVMShare is the processor share of a VM, relative to the largest one in its zone, from which it is preferred for
	// duties.
	largeVMShare = 0.5
	// hubKey is the key by which the hubs are selected.
	hubKey = "hub"
	// announcementTime is the time within which the other VMs usually learn that a VM may take over from others.
	announcementTime = time.Second
)

// Score returns the rendezvous hashing score of the VM for the key.
func Score(key string, vm dragonflypass.VMID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(vm))
	return digest.Sum64()
}

// Order returns the members in the order in which they are preferred for the duty that the key names: live VMs first, of
// these the ones that may take over from others, and of these the large ones. Equal ones are ordered by rendezvous
// hashing, and VMs that have just started by the time of their start. VMs that started together may take over at the same
// time: each of them knows this of itself before it hears it from the others.
func Order(key string, members []dragonflypass.Member) []dragonflypass.Member {
	largest := 0.0
	for i := range members {
		largest = max(largest, members[i].VM.Processors)
	}
	starts := eligibleStarts(members)
	candidates := make([]candidate, len(members))
	for i := range members {
		candidates[i] = newCandidate(key, &members[i], largest, starts)
	}
	slices.SortFunc(candidates, candidate.compare)
	ordered := make([]dragonflypass.Member, len(members))
	for i := range candidates {
		ordered[i] = *candidates[i].member
	}
	return ordered
}

// eligibleStarts returns the incarnations of the members that are known to be able to take over, in ascending order.
func eligibleStarts(members []dragonflypass.Member) []uint64 {
	var starts []uint64
	for i := range members {
		if members[i].VM.TakeoverEligible {
			starts = append(starts, members[i].Incarnation)
		}
	}
	slices.Sort(starts)
	return starts
}

// mayTakeOver reports whether the member may take over from others: it has announced it, or a VM that started shortly after
// it has. The starts are those that eligibleStarts returns.
func mayTakeOver(m *dragonflypass.Member, starts []uint64) bool {
	if m.VM.TakeoverEligible {
		return true
	}
	next, _ := slices.BinarySearch(starts, m.Incarnation)
	return next < len(starts) && starts[next]-m.Incarnation <= uint64(announcementTime)
}

// candidate is a member with the properties by which candidates are ordered.
type candidate struct {
	member *dragonflypass.Member
	class  class
	score  uint64
}

// class is the class of a candidate; lower ones are preferred.
type class uint8

const (
	classLarge class = iota
	classSmall
	classStartingLarge
	classStartingSmall
	classSilentLarge
	classSilentSmall
	classLeaving
	classGone
)

func newCandidate(key string, m *dragonflypass.Member, largest float64, starts []uint64) candidate {
	c := candidate{member: m, class: classLarge, score: Score(key, m.VM.ID)}
	switch {
	case m.State == dragonflypass.MemberGone:
		c.class = classGone
		return c
	case m.State == dragonflypass.MemberLeaving:
		c.class = classLeaving
		return c
	case m.State == dragonflypass.MemberSuspect:
		c.class = classSilentLarge
	case !mayTakeOver(m, starts):
		c.class = classStartingLarge
	}
	if m.VM.Processors < largeVMShare*largest {
		c.class++
	}
	return c
}

// compare returns a negative number if c is preferred over the other candidate.
func (c candidate) compare(other candidate) int {
	order := cmp.Compare(c.class, other.class)
	if order == 0 && (c.class == classStartingLarge || c.class == classStartingSmall) {
		order = cmp.Compare(c.member.Incarnation, other.member.Incarnation)
	}
	return cmp.Or(order, cmp.Compare(other.score, c.score), cmp.Compare(c.member.VM.ID, other.member.VM.ID))
}

// Hubs returns the hubs of each zone, most preferred first. A hub exchanges heartbeats with all VMs of its zone and with
// hubs of other zones.
func Hubs(members []dragonflypass.Member) map[dragonflypass.AvailabilityZone][]dragonflypass.Member {
	zones := make(map[dragonflypass.AvailabilityZone][]dragonflypass.Member)
	for _, m := range members {
		zones[m.VM.Zone] = append(zones[m.VM.Zone], m)
	}
	for zone, zoneMembers := range zones {
		ordered := Order(hubKey, zoneMembers)
		zones[zone] = ordered[:min(len(ordered), HubsPerZone)]
	}
	return zones
}

// SilentHubs returns the silent members that would be hubs of their zones if they were live. VMs that have never been heard
// from are left out.
func SilentHubs(members []dragonflypass.Member) []dragonflypass.Member {
	silent := make(map[dragonflypass.VMID]bool)
	var heard []dragonflypass.Member
	for _, m := range members {
		if m.State == dragonflypass.MemberSuspect || m.State == dragonflypass.MemberGone {
			silent[m.VM.ID] = true
			m.State = dragonflypass.MemberLive
		}
		if m.Incarnation != 0 {
			heard = append(heard, m)
		}
	}
	var hubs []dragonflypass.Member
	for _, zoneHubs := range Hubs(heard) {
		hubs = append(hubs, slices.DeleteFunc(zoneHubs, func(m dragonflypass.Member) bool { return !silent[m.VM.ID] })...)
	}
	return hubs
}

// Live returns the members that are live.
func Live(members []dragonflypass.Member) []dragonflypass.Member {
	live := make([]dragonflypass.Member, 0, len(members))
	for _, m := range members {
		if m.State == dragonflypass.MemberLive {
			live = append(live, m)
		}
	}
	return live
}
