package dragonflypass

import (
	"net/netip"
	"time"
)

// ServerState is what a backend server says of itself in the registry.
type ServerState uint8

// The states of a registered server.
const (
	ServerReady ServerState = iota
	ServerDraining
)

var serverStateNames = [...]string{"ready", "draining"}

// String returns the state's name in logs.
func (s ServerState) String() string { return serverStateNames[s] }

// ServerEntry is a backend server's entry in the platform's registry.
type ServerEntry struct {
	ID      ServerID
	Service ServiceID
	Address netip.AddrPort
	Zone    AvailabilityZone
	State   ServerState
	// Slots is the number of requests that the server runs at once.
	Slots int
	// WarmupTime is how long the server remains slow after its start.
	WarmupTime time.Duration
	// StartedAt is the instant of the server's start by its own clock; it tells a restart under the same identifier.
	StartedAt int64
}

// Topic names a topic of the platform's store whose newest record of each key counts.
type Topic string

// The topics of the platform's store that the system reads or writes.
const (
	// TopicRouting holds the operators' route table under one key.
	TopicRouting Topic = "routing"
	// TopicServers holds the registry of backend servers, each under its identifier.
	TopicServers Topic = "servers"
	// TopicMembers holds the entry VMs, each under its identifier.
	TopicMembers Topic = "members"
)

// Update is the newest record of a key; at most one of Table, Server and Member is set.
type Update struct {
	Key    string
	Offset Offset
	// Raw is the record as the store holds it, empty when the key was dropped.
	Raw    []byte
	Table  *RouteTable
	Server *ServerEntry
	Member *VM
	// Err tells why the record could not be read, nil when it could or the key was dropped.
	Err error
}

// UpdatePage is what a topic holds, or what has changed in it.
type UpdatePage struct {
	// EndOffset is the offset that the next record of the topic will get.
	EndOffset Offset
	Updates   []Update
}
