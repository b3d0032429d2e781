package loader

import (
	"cmp"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dragonflypass/dragonflypass/adapter/encoder"
	"github.com/dragonflypass/dragonflypass/core/rationer"
)

const (
	mebibyte = 1 << 20
	// connectionBytes is the memory that a connection with a request takes: the stack of its goroutine, its buffers and the
	// header. Connections may take one connectionShare-th of the memory, and what is held for clients one heldShare-th.
	connectionBytes = 16 << 10
	connectionShare = 8
	heldShare       = 4
	// maxShare is the largest part of the memory that either may take by an explicit setting.
	maxShare = 2
	// reservedShare is the part of each limit that is reserved for clients that hold nothing.
	reservedShare = 8
	// OtherConnections is the number of connections to each of the ports for probes, metrics and operators.
	OtherConnections = 64
	// otherPorts is the number of these ports, and systemDescriptors the number of descriptors besides those of connections of
	// clients and other VMs: to the store, for health checks and of the process itself.
	otherPorts        = 2
	systemDescriptors = 128
	// maxPeerConnections is the default number of connections of other VMs, if there are enough descriptors.
	maxPeerConnections = 512
	// evictionGrace is the time without progress after which a body or a connection gives way to others that find no room.
	evictionGrace = time.Second
	// minConnections is the least default number of connections.
	minConnections = 16
	// defaultBodyStall is the idle time that the platform allows clients.
	defaultBodyStall = 15 * time.Second
)

// ClientLimits limit what clients hold at once. Those for one client apply to the connections from one address.
type ClientLimits struct {
	Bodies            int              `json:"bodies"`
	ClientBodies      int              `json:"client_bodies"`
	Connections       int              `json:"connections"`
	ClientConnections int              `json:"client_connections"`
	PeerConnections   int              `json:"peers"`
	BodyStall         encoder.Duration `json:"stall"`
}

// DescriptorLimit returns the number of descriptors that the process may open.
func DescriptorLimit() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		const usualLimit = 1024
		return usualLimit
	}
	const highest = 1 << 20
	return int(min(limit.Cur, highest))
}

// setDefaults derives the defaults from the memory and the descriptors. Half of the descriptors are left for connections to servers.
func (l *ClientLimits) setDefaults(memory int64, descriptors int) {
	l.PeerConnections = cmp.Or(l.PeerConnections, min(maxPeerConnections, descriptors/8))
	byDescriptors := (descriptors - l.PeerConnections - otherPorts*OtherConnections - systemDescriptors) / 2
	l.Connections = cmp.Or(l.Connections, max(minConnections, min(int(memory/connectionShare/connectionBytes), byDescriptors)))
	l.ClientConnections = cmp.Or(l.ClientConnections, l.Connections-l.Connections/reservedShare)
	l.Bodies = cmp.Or(l.Bodies, l.Connections)
	l.ClientBodies = cmp.Or(l.ClientBodies, l.Bodies-l.Bodies/reservedShare)
	setDefaultDuration(&l.BodyStall, defaultBodyStall)
}

// check returns the faults of the limits and of the memory held for clients, whose setting has the given name. The memory is zero if
// it is not limited.
func (l *ClientLimits) check(heldName string, held, body, memory int64, descriptors int) Faults {
	var faults Faults
	addIf := func(invalid bool, name, format string, args ...any) {
		if invalid {
			faults = append(faults, Fault{Path: "/limits/" + name, Message: fmt.Sprintf(format, args...)})
		}
	}
	addIf(held < 2*body, heldName, "must be at least twice limits/body, %d bytes", 2*body)
	addIf(memory > 0 && held > memory/maxShare, heldName, "must be at most half of limits/memory, %d bytes", memory/maxShare)
	addIf(memory > 0 && int64(l.Connections)*connectionBytes > memory/maxShare, "connections", "must be at most %d, since each takes %d KB of limits/memory", memory/maxShare/connectionBytes, connectionBytes>>10)
	needed := l.Connections + l.PeerConnections + otherPorts*OtherConnections + systemDescriptors
	addIf(needed > descriptors, "connections", "needs %d descriptors with limits/peers; the limit of the process is %d", needed, descriptors)
	addIf(l.ClientConnections > l.Connections, "client_connections", "must be at most limits/connections, %d", l.Connections)
	addIf(l.Bodies > l.Connections, "bodies", "must be at most limits/connections, %d", l.Connections)
	addIf(l.ClientBodies > l.Bodies, "client_bodies", "must be at most limits/bodies, %d", l.Bodies)
	return faults
}

// rations returns the limits for clients that may hold that many bytes.
func (l *ClientLimits) rations(held int64) rationer.Limits {
	return rationer.Limits{
		Bytes: held, ReservedBytes: held / reservedShare,
		Bodies: l.Bodies, ClientBodies: l.ClientBodies, ReservedBodies: l.Bodies / reservedShare,
		Connections: l.Connections, ClientConnections: l.ClientConnections, ReservedConnections: l.Connections / reservedShare,
		Grace: evictionGrace,
	}
}

// PortRations returns the limits of a port that takes connections only.
func PortRations(connections int) rationer.Limits {
	reserved := connections / reservedShare
	return rationer.Limits{Connections: connections, ClientConnections: connections - reserved, ReservedConnections: reserved, Grace: evictionGrace}
}

// Rations returns the limits on what clients hold.
func (l *RelayLimits) Rations() rationer.Limits { return l.rations(l.HeldBytes) }

// Rations returns the limits on what clients hold.
func (l *Limits) Rations() rationer.Limits { return l.rations(l.BufferBytes) }

// memoryBytes returns the memory of the process. Without a setting, it is that for which the buffer is the default share.
func (l *Limits) memoryBytes() int64 {
	return cmp.Or(l.MemoryMiB*mebibyte, heldShare*l.BufferBytes)
}
