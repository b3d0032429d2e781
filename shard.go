package dragonflypass

import (
	"fmt"
	"time"
)

// Shard is a part of the model servers of a service; one VM at a time grants the permits for them.
type Shard struct {
	Service ServiceID
	Part    ShardPart
}

// ShardPart names a part of the model servers of any service. The zero value is the part with all of them.
type ShardPart struct {
	// Zone is the zone of the servers.
	Zone AvailabilityZone
	// Index distinguishes the shards of a zone.
	Index int
}

// IsWhole reports whether the part contains all servers of a service.
func (p ShardPart) IsWhole() bool { return p.Zone == "" }

// String returns the zone, followed by the index for any but the first shard of the zone.
func (p ShardPart) String() string {
	if p.Index == 0 {
		return string(p.Zone)
	}
	return fmt.Sprintf("%s/%d", p.Zone, p.Index)
}

// ShardLoad is a summary of the load of a shard.
type ShardLoad struct {
	Shard Shard
	// Servers is the number of its servers, and Slots the number of streams that they run at the same time.
	Servers int
	Slots   int
	// Streams is the number of streams that run or are queued.
	Streams int
	// Backlog is the time that one server would take to process the prompts that are pending or queued.
	Backlog time.Duration
}

// Occupancy returns the share of the slots that are taken, one if there are none.
func (l *ShardLoad) Occupancy() float64 {
	if l.Slots == 0 {
		return 1
	}
	return float64(l.Streams) / float64(l.Slots)
}

// Wait returns the backlog of each server, if it is spread evenly.
func (l *ShardLoad) Wait() time.Duration { return l.Backlog / time.Duration(max(1, l.Servers)) }
