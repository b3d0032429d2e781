package dragonflypass

import "time"

// Topology selects the entry VMs that exchange heartbeats with each other.
type Topology interface {
	// Select returns the selection of a VM that knows the other members, which may be a part of the fleet. It must not change
	// them. fleetSize is the number of live VMs, as far as it is known.
	Select(self Member, others []Member, fleetSize int) Selection
	// Interval returns the time between two heartbeats to the same VM, at least base. zoneVMs is the number of VMs in the
	// sender's zone.
	Interval(base time.Duration, zoneVMs int) time.Duration
}

// Selection lists the entry VMs with which a VM exchanges messages about the fleet.
type Selection struct {
	// Neighbours are sent a heartbeat at each interval.
	Neighbours []VMID
	// Audience is sent a heartbeat at once after a change.
	Audience []VMID
	// Reported are the VMs whose states the heartbeats contain.
	Reported []VMID
	// ReportTo reports whether a heartbeat to the VM contains the states.
	ReportTo func(to VM) bool
	// Silent are VMs that would be neighbours if they were not silent. They are contacted rarely, so that two parts of a fleet
	// that have lost each other meet again.
	Silent []VMID
}
