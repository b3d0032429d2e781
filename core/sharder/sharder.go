package sharder

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/elector"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// minServers is the number of servers of a service from which each zone is a shard of its own. A prompt is divided
	// among the servers of one shard, so that few servers make a better single shard.
	minServers = 40
	// maxServers is the number of servers of a zone above which it has several shards. It bounds the time for a grant, which
	// weighs all servers of the shard.
	maxServers = 32
	// maxLoadAge is the age above which a load summary is not used.
	maxLoadAge = 3 * time.Second
	// busyOccupancy is the occupancy from which short prompts are moved to a shard whose occupancy is lower by
	// occupancyMargin.
	busyOccupancy   = 0.5
	occupancyMargin = 0.1
	// busyWait is the wait from which long prompts are moved to a shard whose wait is shorter by waitMargin.
	busyWait   = 700 * time.Millisecond
	waitMargin = 300 * time.Millisecond
)

// Sharder knows the shards of the services and their loads.
type Sharder struct {
	// Zone is the zone of this VM.
	Zone  dragonflypass.AvailabilityZone
	Timer dragonflypass.Timer
	// Servers returns the ready servers of the service.
	Servers func(service dragonflypass.ServiceID) []dragonflypass.ServerEntry
	// Evacuated reports whether the servers of the zone must receive no new requests.
	Evacuated func(zone dragonflypass.AvailabilityZone) bool

	mutex locker.Mutex
	loads map[dragonflypass.Shard]*remoteLoad
	// layouts holds the division of the servers of each service.
	layouts map[dragonflypass.ServiceID]*layout
}

// remoteLoad is the latest load summary of a shard, with what this VM has moved there since.
type remoteLoad struct {
	dragonflypass.ShardLoad
	receivedAt time.Time
}

// New returns a sharder without load summaries.
func New() *Sharder {
	return &Sharder{
		Evacuated: func(dragonflypass.AvailabilityZone) bool { return false },
		mutex:     locker.Mutex{Order: locker.Loads}, loads: make(map[dragonflypass.Shard]*remoteLoad), layouts: make(map[dragonflypass.ServiceID]*layout),
	}
}

// layout is the division of the servers of a service. It is immutable.
type layout struct {
	// entries identifies the list of servers that was divided.
	entries []dragonflypass.ServerEntry
	parts   []dragonflypass.ShardPart
	servers map[dragonflypass.ShardPart][]dragonflypass.ServerEntry
}

// Parts returns the shards of the service, sorted by zone and index.
func (s *Sharder) Parts(service dragonflypass.ServiceID) []dragonflypass.ShardPart {
	return s.layout(service).parts
}

// PartsToAsk returns a random shard of this VM's zone and one of each other zone. Each zone has another one next, to which
// its requests go if its own owner fails. Evacuated zones are left out, unless all are evacuated; if the own zone is, the
// first one is chosen at random by the number of servers, so that no other zone takes all of its requests.
func (s *Sharder) PartsToAsk(service dragonflypass.ServiceID) []dragonflypass.ShardPart {
	l := s.layout(service)
	parts := l.parts
	first := s.Zone
	if slices.ContainsFunc(parts, s.partEvacuated) {
		parts = slices.DeleteFunc(slices.Clone(parts), s.partEvacuated)
		if len(parts) == 0 {
			parts = l.parts
		} else if s.Evacuated(s.Zone) {
			first = l.randomZone(parts)
		}
	}
	var before, after []dragonflypass.ShardPart
	for start := 0; start < len(parts); {
		end := start
		for end < len(parts) && parts[end].Zone == parts[start].Zone {
			end++
		}
		chosen := parts[start+rand.IntN(end-start)]
		if chosen.Zone < first {
			before = append(before, chosen)
		} else {
			after = append(after, chosen)
		}
		start = end
	}
	return append(after, before...)
}

// partEvacuated reports whether the zone of the part is evacuated.
func (s *Sharder) partEvacuated(part dragonflypass.ShardPart) bool { return s.Evacuated(part.Zone) }

// randomZone returns the zone of one of the parts. Each server of the parts has the same probability of being in it.
func (l *layout) randomZone(parts []dragonflypass.ShardPart) dragonflypass.AvailabilityZone {
	total := 0
	for _, part := range parts {
		total += len(l.servers[part])
	}
	draw := rand.IntN(max(1, total))
	for _, part := range parts {
		if draw -= len(l.servers[part]); draw < 0 {
			return part.Zone
		}
	}
	return parts[0].Zone
}

// ShardServers returns the ready servers of the shard. The caller must not change the slice.
func (s *Sharder) ShardServers(shard dragonflypass.Shard) []dragonflypass.ServerEntry {
	return s.layout(shard.Service).servers[shard.Part]
}

// ShardOf returns the shard of the server.
func (s *Sharder) ShardOf(server dragonflypass.ServerEntry) dragonflypass.Shard {
	l := s.layout(server.Service)
	for _, part := range l.parts {
		if part.IsWhole() || part.Zone == server.Zone && slices.ContainsFunc(l.servers[part], func(entry dragonflypass.ServerEntry) bool { return entry.ID == server.ID }) {
			return dragonflypass.Shard{Service: server.Service, Part: part}
		}
	}
	return dragonflypass.Shard{Service: server.Service}
}

// layout returns the division of the service's current servers.
func (s *Sharder) layout(service dragonflypass.ServiceID) *layout {
	entries := s.Servers(service)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if current := s.layouts[service]; current != nil && sameSlice(current.entries, entries) {
		return current
	}
	l := divide(entries)
	s.layouts[service] = l
	return l
}

// sameSlice reports whether the slices share their elements.
func sameSlice(a, b []dragonflypass.ServerEntry) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// divide divides the servers by zone, and those of a large zone by rendezvous hashing, so that few servers change their
// shard when a zone gains or loses one.
func divide(entries []dragonflypass.ServerEntry) *layout {
	l := &layout{entries: entries, servers: make(map[dragonflypass.ShardPart][]dragonflypass.ServerEntry)}
	if len(entries) < minServers {
		l.parts = []dragonflypass.ShardPart{{}}
		l.servers[l.parts[0]] = entries
		return l
	}
	zoneSizes := make(map[dragonflypass.AvailabilityZone]int)
	for i := range entries {
		zoneSizes[entries[i].Zone]++
	}
	for _, entry := range entries {
		part := dragonflypass.ShardPart{Zone: entry.Zone, Index: indexOf(entry.ID, shardsOf(zoneSizes[entry.Zone]))}
		l.servers[part] = append(l.servers[part], entry)
	}
	l.parts = slices.SortedFunc(maps.Keys(l.servers), func(a, b dragonflypass.ShardPart) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Index, b.Index))
	})
	return l
}

// shardsOf returns the number of shards of a zone with the given number of servers.
func shardsOf(servers int) int { return (servers + maxServers - 1) / maxServers }

// indexOf returns the index of the server's shard among count shards of its zone.
func indexOf(id dragonflypass.ServerID, count int) int {
	best, highest := 0, uint64(0)
	for i := range count {
		if score := elector.Score(strconv.Itoa(i), dragonflypass.VMID(id)); score > highest {
			best, highest = i, score
		}
	}
	return best
}

// RecordLoads records the load summaries of shards of other owners.
func (s *Sharder) RecordLoads(loads []dragonflypass.ShardLoad) {
	now := s.Timer.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, load := range loads {
		s.loads[load.Shard] = &remoteLoad{ShardLoad: load, receivedAt: now}
	}
}

// Load returns the latest load summary of a shard of another owner, its age, and whether there is one.
func (s *Sharder) Load(shard dragonflypass.Shard) (load dragonflypass.ShardLoad, age time.Duration, ok bool) {
	now := s.Timer.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	remote, ok := s.loads[shard]
	if !ok {
		return dragonflypass.ShardLoad{}, 0, false
	}
	return remote.ShardLoad, now.Sub(remote.receivedAt), true
}

// Move returns the shard to which a prompt should go instead of the own one, and whether there is one. The prompt takes prefillTime on one server. It is counted there until the next summary of that shard arrives.
func (s *Sharder) Move(own dragonflypass.ShardLoad, short bool, prefillTime time.Duration) (part dragonflypass.ShardPart, ok bool) {
	if short && own.Occupancy() < busyOccupancy || !short && own.Wait() < busyWait {
		return dragonflypass.ShardPart{}, false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	target := s.leastLoaded(own.Shard, short)
	switch {
	case target == nil:
		return dragonflypass.ShardPart{}, false
	case short && target.Occupancy()+occupancyMargin > own.Occupancy():
		return dragonflypass.ShardPart{}, false
	case !short && target.Wait()+waitMargin > own.Wait():
		return dragonflypass.ShardPart{}, false
	}
	target.add(prefillTime)
	return target.Shard.Part, true
}

// MoveAway returns another shard for a prompt that the own shard cannot run, and whether there is one.
func (s *Sharder) MoveAway(own dragonflypass.Shard, short bool, prefillTime time.Duration) (part dragonflypass.ShardPart, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	target := s.leastLoaded(own, short)
	if target == nil {
		return dragonflypass.ShardPart{}, false
	}
	target.add(prefillTime)
	return target.Shard.Part, true
}

// add counts a prompt that was moved to the shard.
func (l *remoteLoad) add(prefillTime time.Duration) {
	l.Streams++
	l.Backlog += prefillTime
}

// leastLoaded returns the other shard of the service with the lowest load, nil if there is none with a recent summary,
// with servers and in a zone that is not evacuated. It is called with the mutex held.
func (s *Sharder) leastLoaded(own dragonflypass.Shard, short bool) *remoteLoad {
	now := s.Timer.Now()
	var best *remoteLoad
	for shard, load := range s.loads {
		if shard.Service != own.Service || shard == own || shard.Part.IsWhole() || load.Servers == 0 || s.Evacuated(shard.Part.Zone) || now.Sub(load.receivedAt) > maxLoadAge {
			continue
		}
		if best == nil || load.lower(best, short) {
			best = load
		}
	}
	return best
}

// lower reports whether the load is lower than the other one; of equal loads, the part that sorts first is lower.
func (l *remoteLoad) lower(other *remoteLoad, short bool) bool {
	switch {
	case short && l.Occupancy() != other.Occupancy():
		return l.Occupancy() < other.Occupancy()
	case !short && l.Wait() != other.Wait():
		return l.Wait() < other.Wait()
	}
	return cmp.Or(cmp.Compare(l.Shard.Part.Zone, other.Shard.Part.Zone), cmp.Compare(l.Shard.Part.Index, other.Shard.Part.Index)) < 0
}
