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
	// Settled is set once the VM has been up for a while, so that it may take over from others.
	Settled bool
}

// Member is an entry VM as another one sees it.
type Member struct {
	VM          VM
	Incarnation uint64
	State       MemberState
	// Heard is the instant of the last heartbeat from the VM, zero when there was none.
	Heard time.Time
	// Config is the offset of the configuration in force on the VM.
	Config Offset
	// Loads are the loads of the backend servers that the VM owns.
	Loads []ServerLoad
}

// Heartbeat is what two entry VMs tell each other periodically.
type Heartbeat struct {
	From        VM
	Incarnation uint64
	Config      Offset
	Loads       []ServerLoad
	// Kept lists the sequence numbers of the sender's open streams that the receiver granted.
	Kept []uint64
	// Held lists the sender's open streams at servers that the receiver owns and another VM granted.
	Held []HeldStream
	// Marks tell how far the sender has read the platform's topics.
	Marks []Mark
	// Seen are the VMs of the sender's zone that it hears itself, in a heartbeat to another zone.
	Seen []Sighting
}

// Sighting is what one entry VM knows of another's life.
type Sighting struct {
	VM          VM
	Incarnation uint64
	// Age is the time since the VM was heard.
	Age time.Duration
}

// Mark tells how far an entry VM has read a topic of the platform's store.
type Mark struct {
	Topic Topic
	// End is the offset up to which the topic was read.
	End Offset
	// Known is set when the topic has been read at all.
	Known bool
	// Age is the time since the beginning of the read that proved the topic to end there.
	Age time.Duration
	// Updates are the records that the receiver lacks, in an answer to its own mark.
	Updates []Update
	// Whole is set when the updates are all that the topic holds.
	Whole bool
}
