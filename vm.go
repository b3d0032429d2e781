package dragonflypass

import (
	"net/netip"
	"time"
)

// VMID identifies an entry VM.
type VMID string

// AvailabilityZone identifies an availability zone.
type AvailabilityZone string

// MemberState is the liveness state of an entry VM.
type MemberState uint8

// The member states.
const (
	MemberLive MemberState = iota
	MemberSuspect
	MemberLeaving
	MemberGone
)

var memberStateNames = [...]string{"live", "suspect", "leaving", "gone"}

// String returns the state's name as used in dumps and logs.
func (s MemberState) String() string { return memberStateNames[s] }

// VM is an entry VM of the system.
type VM struct {
	ID   VMID
	Zone AvailabilityZone
	// Peer is the address at which other entry VMs reach the VM.
	Peer netip.AddrPort
	// Processors is the processor time that the VM may use, in cores, zero if it is not known.
	Processors float64
	// Leaving is set once the VM's shutdown has begun.
	Leaving bool
	// TakeoverEligible is set once the VM has been up long enough to take over servers from other VMs.
	TakeoverEligible bool
}

// Member is an entry VM as seen by another one.
type Member struct {
	VM VM
	// Incarnation is the time at which the VM's process started, in nanoseconds since 1970.
	Incarnation uint64
	State       MemberState
	// LastHeartbeat is the time of the last heartbeat from the VM, zero if there was none.
	LastHeartbeat time.Time
	// ConfigOffset is the offset of the configuration in effect on the VM.
	ConfigOffset Offset
	// Loads are the load summaries of the backend servers that the VM owns.
	Loads []ServerLoad
}

// Heartbeat is the message that two entry VMs exchange periodically.
type Heartbeat struct {
	From         VM
	Incarnation  uint64
	ConfigOffset Offset
	// CatchUp is set if the response may contain updates of any size.
	CatchUp bool
	Loads   []ServerLoad
	// GrantedStreams lists the sequence numbers of the sender's open streams whose permits the receiver granted.
	GrantedStreams []uint64
	// InheritedStreams lists the sender's open streams at servers that the receiver owns but whose permits another VM granted.
	InheritedStreams []OpenStream
	// Watermarks are the offsets up to which the sender has read the platform's topics.
	Watermarks []Watermark
	// PeerStatuses are the statuses of other live VMs, as selected by the sender's topology.
	PeerStatuses []PeerStatus
	// ZoneSizes are the numbers of live VMs in the zones that the sender knows of.
	ZoneSizes map[AvailabilityZone]int
	// ShardLoads are the load summaries of the shards for which the sender grants permits.
	ShardLoads []ShardLoad
	// Parts are the statuses of the shared parts of prompts that the sender suspects, or has cleared recently.
	Parts []PartStatus
	// Requests are the statuses of the requests that the sender has quarantined or will at the next crash, and of those that
	// were quarantined by mistake.
	Requests []RequestStatus
	// Costs are what the sender has learned from its own requests about the cost of requests.
	Costs []CostReport
	// Paces are what the sender has observed itself of the speed of servers to which the receiver sends requests too.
	Paces []PaceReport
}

// PeerStatus is the liveness of an entry VM as observed by another one.
type PeerStatus struct {
	VM          VM
	Incarnation uint64
	// HeartbeatAge is the time since the last heartbeat from the VM.
	HeartbeatAge time.Duration
}

// Watermark is the offset up to which an entry VM has read a topic of the platform's store.
type Watermark struct {
	Topic Topic
	// Era is the era of the store to which EndOffset belongs, zero if it is not known. Versions that do not know eras do not
	// send it.
	Era Era
	// Version is the highest version of the sender's records of the topic.
	Version uint64
	// EndOffset is the offset of the next record to read.
	EndOffset Offset
	// Loaded is set once the topic has been read at least once.
	Loaded bool
	// Staleness is the time since the start of the latest read that found no record beyond EndOffset.
	Staleness time.Duration
	// Updates are the records that the receiver is missing, set in the response to the receiver's watermark.
	Updates []Update
	// Withheld is set when the receiver is missing updates that are too large for a regular heartbeat.
	Withheld bool
	// FullSnapshot is set when the updates are the complete content of the topic.
	FullSnapshot bool
}

// IsAhead reports whether w is of a later read of the topic than the other one: of a later era of the store, or of a higher
// offset if the eras are the same or one of them is not known.
func (w *Watermark) IsAhead(other *Watermark) bool {
	switch {
	case !w.Loaded || !other.Loaded:
		return w.Loaded && !other.Loaded
	case w.Era != other.Era && w.Era != 0 && other.Era != 0:
		return w.Era > other.Era
	}
	return w.EndOffset > other.EndOffset
}

// HasNewerVersion reports whether the sender of w has a record of a higher version than that of the other one, which may
// have read it from a restored store. It is false if the other VM does not send versions.
func (w *Watermark) HasNewerVersion(other *Watermark) bool {
	sendsVersions := other.Era != 0 || other.Version != 0
	return w.Loaded && other.Loaded && sendsVersions && w.Version > other.Version
}
