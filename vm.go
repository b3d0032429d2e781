package dragonflypass

import (
	"net/netip"
	"time"
)

// VMID names an entry VM.
type VMID string

// AvailabilityZone names an availability zone.
type AvailabilityZone string

// MemberState is what is known of an entry VM's life.
type MemberState uint8

// The states of a member.
const (
	MemberLive MemberState = iota
	MemberSuspect
	MemberLeaving
	MemberGone
)

var memberStateNames = [...]string{"live", "suspect", "leaving", "gone"}

// String returns the state's name in dumps and logs.
func (s MemberState) String() string { return memberStateNames[s] }

// VM is an entry VM of the system.
type VM struct {
	ID   VMID
	Zone AvailabilityZone
	// Peer is the address on which other entry VMs reach it.
	Peer netip.AddrPort
	// Leaving is set from the moment at which the VM's shutdown began.
	Leaving bool
	// TakeoverEligible is set once the VM has been up for a while, so that it may take over from others.
	TakeoverEligible bool
}

// Member is an entry VM as another one sees it.
type Member struct {
	VM          VM
	Incarnation uint64
	State       MemberState
	// LastHeartbeat is the instant of the last heartbeat from the VM, zero when there was none.
	LastHeartbeat time.Time
	// ConfigOffset is the offset of the configuration in force on the VM.
	ConfigOffset Offset
	// Loads are the loads of the backend servers that the VM owns.
	Loads []ServerLoad
}

// Heartbeat is what two entry VMs tell each other periodically.
type Heartbeat struct {
	From         VM
	Incarnation  uint64
	ConfigOffset Offset
	Loads        []ServerLoad
	// GrantedStreams lists the sequence numbers of the sender's open streams that the receiver granted.
	GrantedStreams []uint64
	// InheritedStreams lists the sender's open streams at servers that the receiver owns and another VM granted.
	InheritedStreams []OpenStream
	// Watermarks tell how far the sender has read the platform's topics.
	Watermarks []Watermark
	// PeerStatuses are the VMs of the sender's zone that it hears itself, in a heartbeat to another zone.
	PeerStatuses []PeerStatus
}

// PeerStatus is what one entry VM knows of another's life.
type PeerStatus struct {
	VM          VM
	Incarnation uint64
	// HeartbeatAge is the time since the VM was heard.
	HeartbeatAge time.Duration
}

// Watermark tells how far an entry VM has read a topic of the platform's store.
type Watermark struct {
	Topic Topic
	// EndOffset is the offset up to which the topic was read.
	EndOffset Offset
	// Loaded is set when the topic has been read at all.
	Loaded bool
	// Staleness is the time since the beginning of the read that proved the topic to end there.
	Staleness time.Duration
	// Updates are the records that the receiver lacks, in an answer to its own mark.
	Updates []Update
	// FullSnapshot is set when the updates are all that the topic holds.
	FullSnapshot bool
}
