package dragonflypass

import (
	"net/netip"
	"strconv"
	"time"
)

// ServerState is the state that a backend server publishes in the registry.
type ServerState uint8

// The server states.
const (
	ServerReady ServerState = iota
	ServerDraining
)

var serverStateNames = [...]string{"ready", "draining"}

// String returns the state's name as used in logs.
func (s ServerState) String() string { return serverStateNames[s] }

// ServerEntry is the entry of a backend server in the platform's registry.
type ServerEntry struct {
	ID      ServerID
	Service ServiceID
	Address netip.AddrPort
	Zone    AvailabilityZone
	State   ServerState
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// WarmupTime is the remaining time for which the server is slow after its start.
	WarmupTime time.Duration
	// StartedAt is the start time of the server by its own clock, in milliseconds since 1970. A change means a restart under
	// the same identifier.
	StartedAt int64
}

// Topic is the name of a topic of the platform's store; only the latest record of each key is relevant.
type Topic string

// The topics that the system reads or writes.
const (
	// TopicRouting holds the operators' route table under one key, and a record for each evacuated zone.
	TopicRouting Topic = "routing"
	// TopicServers holds the registry of backend servers, each under its identifier.
	TopicServers Topic = "servers"
	// TopicMembers holds the entry VMs, each under its identifier.
	TopicMembers Topic = "members"
)

// Update is the latest record of a key; at most one of Table, EvacuatedZone, Server and Member is set.
type Update struct {
	Key    string
	Offset Offset
	// Raw is the record as stored, empty if the key was deleted.
	Raw   []byte
	Table *RouteTable
	// EvacuatedZone is the zone whose servers must receive no new work while the record exists.
	EvacuatedZone AvailabilityZone
	Server        *ServerEntry
	Member        *VM
	// ReadAt is the uptime as of which the record was read, by this VM or another one.
	ReadAt time.Duration
	// Err is the error from decoding the record, nil if it was decoded or the key was deleted.
	Err error
}

// Version returns the version of the record, zero if its kind has none. A record never replaces one of a higher version.
func (u *Update) Version() uint64 {
	if u.Table == nil {
		return 0
	}
	return u.Table.Version
}

// Era numbers the copies that the platform's store has been restored from. A restored store lacks the latest records of the
// era before and uses their offsets again. Zero means that the era is not known.
type Era uint64

// String returns the number by which the store calls the era, which is lower by one, or "unknown".
func (e Era) String() string {
	if e == 0 {
		return "unknown"
	}
	return strconv.FormatUint(uint64(e-1), 10)
}

// UpdatePage is the content of a topic, or the changes to it.
type UpdatePage struct {
	// Era is the era in which the store responded, zero if the response did not state it.
	Era Era
	// EndOffset is the offset of the next record of the topic.
	EndOffset Offset
	Updates   []Update
}
