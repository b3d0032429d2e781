package allocator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/arbiter"
	"github.com/dragonflypass/dragonflypass/core/predictor"
)

const (
	// shortHalfLife and longHalfLife are the half-lives of the observed loads of short and of long prompts.
	shortHalfLife = 1500 * time.Millisecond
	longHalfLife  = 8 * time.Second
	// maxShortOccupancy is the largest share of a server's slots that short streams should fill.
	maxShortOccupancy = 0.75
	// maxShortLoad and maxLongLoad are the largest shares of a server's time that short and long prompts should take.
	maxShortLoad = 0.35
	maxLongLoad  = 0.5
	// minLongShare is the minimum share of the servers that is left to long prompts, unless short prompts need those
	// servers.
	minLongShare = 0.35
	// backlogTarget is the time within which the queued long prompts should be processed.
	backlogTarget = 4 * time.Second
	// shrinkInterval is the minimum time between two reductions of the number of servers reserved for short prompts.
	shrinkInterval = 50 * time.Millisecond
)

// unlisted is the position of a server that is not in the serverList; it is after those reserved for short prompts.
const unlisted = math.MaxInt

// load is an exponentially decaying sum of processing time.
type load struct {
	halfLife  time.Duration
	total     float64
	updatedAt time.Time
}

// add adds the processing time of a prompt that arrives at now.
func (l *load) add(prefillTime time.Duration, now time.Time) {
	l.total = l.decayed(now) + prefillTime.Seconds()
	l.updatedAt = now
}

func (l *load) decayed(now time.Time) float64 {
	return l.total * math.Exp2(-now.Sub(l.updatedAt).Seconds()/l.halfLife.Seconds())
}

// rate returns the processing time that arrives per second.
func (l *load) rate(now time.Time) float64 { return l.decayed(now) * math.Ln2 / l.halfLife.Seconds() }

// cluster holds the servers of one shard and the requests that are queued for them.
type cluster struct {
	shard     dragonflypass.Shard
	costModel *dragonflypass.EngineCostModel
	servers   map[dragonflypass.ServerID]*server
	// serverList holds the servers that may receive requests in a fixed order; the first ones are reserved for short prompts.
	// Those in evacuated zones are only in servers, where their running streams are accounted for.
	serverList []*server
	queue      []*queuedRequest

	// shortPermits is the number of permits for short prompts.
	shortPermits int
	// shortServers is the number of servers reserved for short prompts, at least 1.
	shortServers        int
	lastShrink          time.Time
	shortLoad, longLoad load
	// cancelDispatch cancels the dispatch that is scheduled at dispatchAt; it is nil if none is scheduled.
	cancelDispatch func()
	dispatchAt     time.Time
	// lastRequest is the time of the last permit request. No long prompt is granted a permit before longGrantsFrom.
	lastRequest    time.Time
	longGrantsFrom time.Time
	// ownerSince is the time from which this VM has acted as the owner, and ownerCandidate is set if it may own the shard.
	ownerSince     time.Time
	ownerCandidate bool

	// dispatchedAt is the time of the last dispatch, and blocked is set if it left requests queued; blockedSince
	// is then the time from which all have.
	dispatchedAt time.Time
	blocked      bool
	blockedSince time.Time
	// shortGrants and lateGrants are the observed rates at which short prompts and late short prompts get permits.
	shortGrants, lateGrants load
	// available holds the servers that the dispatch in progress may use.
	available []*server

	// options, arranged and scratch are buffers that are reused to avoid allocations.
	options  []option
	arranged []arbiter.Prompt
	scratch  []*queuedRequest
}

// server is the state of one model server.
type server struct {
	entry  dragonflypass.ServerEntry
	engine *predictor.Engine
	// backlog is the predicted pending work, including the permits granted so far in the current dispatch.
	backlog predictor.Backlog
	// position is the server's index in the serverList of the cluster, unlisted if it is not there.
	position int
	// reservedTokens is the memory that permits reserve, in tokens.
	reservedTokens int
	streams        int
	// healthy is the server's health at the start of the dispatch in progress.
	healthy bool
	// throttled is set if the server may receive no request now because it is warming up.
	throttled bool
	// pending are the permits whose prompts the server still has to process, in whole or in part.
	pending []*permit
}

// removePending removes the permit from the server's pending permits.
func (s *server) removePending(p *permit) {
	s.pending = slices.DeleteFunc(s.pending, func(other *permit) bool { return other == p })
}

// postponePending updates the predictions for the pending prompts that have to wait for the permit's part.
func (s *server) postponePending(p *permit) {
	if p.parts == 1 {
		return
	}
	for _, other := range s.pending {
		if at, ok := s.engine.PrefillEnd(other.request.Stream); ok && other != p && at.After(other.firstToken) {
			other.firstToken = at
			other.server.engine.DelayDecode(other.request.Stream, at)
		}
	}
}

// missedDeadlines returns the number of pending prompts that would miss their first-token deadline because of the delay.
func (s *server) missedDeadlines(delay time.Duration) float64 {
	count := 0.0
	for _, p := range s.pending {
		deadline := p.request.FirstTokenDeadline
		if at, ok := s.engine.PrefillEnd(p.request.Stream); ok && !p.firstToken.After(deadline) && at.Add(delay).After(deadline) {
			count++
		}
	}
	return count
}

func (s *server) freeTokens(costModel *dragonflypass.EngineCostModel) int {
	return costModel.KVCapacity - s.reservedTokens
}

// cluster returns the cluster of the shard, which is created on first use, or nil if the service has no known cost
// model. The mutex must be held.
func (a *Allocator) cluster(shard dragonflypass.Shard) *cluster {
	c, ok := a.clusters[shard]
	if !ok {
		costModel := a.CostModel(shard.Service)
		if costModel == nil {
			return nil
		}
		c = &cluster{shard: shard, costModel: costModel, servers: make(map[dragonflypass.ServerID]*server), shortServers: 1}
		c.shortLoad.halfLife, c.longLoad.halfLife = shortHalfLife, longHalfLife
		c.shortGrants.halfLife, c.lateGrants.halfLife = lateHalfLife, lateHalfLife
		a.clusters[shard] = c
		a.refresh(c)
	}
	return c
}

// refresh updates the cost model and the servers of the cluster from the registry; the mutex must be held.
func (a *Allocator) refresh(c *cluster) {
	if costModel := a.CostModel(c.shard.Service); costModel != nil && *costModel != *c.costModel {
		c.costModel = costModel
		for _, s := range c.servers {
			s.engine.CostModel = costModel
		}
	}
	entries := a.Servers(c.shard)
	listed := make(map[dragonflypass.ServerID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
		existing, ok := c.servers[entry.ID]
		if ok && existing.entry.Address == entry.Address && existing.entry.StartedAt == entry.StartedAt {
			existing.entry = entry
			continue
		}
		// A restarted server has lost its streams, so it starts with an empty state.
		c.servers[entry.ID] = &server{entry: entry, engine: predictor.New(c.costModel)}
	}
	for id := range c.servers {
		if !listed[id] {
			delete(c.servers, id)
		}
	}
	c.serverList = c.serverList[:0]
	for _, s := range c.servers {
		if a.Evacuated(s.entry.Zone) {
			s.position = unlisted
			continue
		}
		c.serverList = append(c.serverList, s)
	}
	slices.SortFunc(c.serverList, func(x, y *server) int {
		return cmp.Or(cmp.Compare(serverHash(x.entry.ID), serverHash(y.entry.ID)), cmp.Compare(x.entry.ID, y.entry.ID))
	})
	for i, s := range c.serverList {
		s.position = i
	}
	// The new servers may run what the others could not.
	c.blocked = false
}

// load returns a summary of the load.
func (c *cluster) load(now time.Time) dragonflypass.ShardLoad {
	load := dragonflypass.ShardLoad{Shard: c.shard, Servers: len(c.serverList), Slots: len(c.serverList) * c.costModel.Slots, Streams: len(c.queue)}
	for _, q := range c.queue {
		load.Backlog += q.prefillTime
	}
	for _, s := range c.serverList {
		load.Streams += s.streams
		s.engine.Advance(now)
		load.Backlog += s.engine.PendingTime()
	}
	return load
}

// serverHash returns the key for the fixed order of the servers, which does not depend on their zones.
func serverHash(id dragonflypass.ServerID) uint64 { return xxhash.Sum64String(string(id)) }

func (c *cluster) dequeue(q *queuedRequest) {
	c.queue = slices.DeleteFunc(c.queue, func(other *queuedRequest) bool { return other == q })
}

// resize sets the number of servers reserved for short prompts: those that long prompts do not need, but at least as
// many as short prompts need.
func (c *cluster) resize(now time.Time) {
	backlog := time.Duration(0)
	for _, q := range c.queue {
		if !c.isShort(q) {
			backlog += q.prefillTime
		}
	}
	longNeeded := int(math.Ceil(c.longLoad.rate(now)/maxLongLoad+backlog.Seconds()/backlogTarget.Seconds())) + 1
	shortNeeded := max(
		int(math.Ceil(float64(c.shortPermits)/(maxShortOccupancy*float64(c.costModel.Slots)))),
		int(math.Ceil(c.shortLoad.rate(now)/maxShortLoad)),
	)
	longNeeded = max(longNeeded, int(minLongShare*float64(len(c.serverList))))
	target := max(1, min(max(shortNeeded, len(c.serverList)-longNeeded), len(c.serverList)-1))
	switch {
	case target > c.shortServers:
		c.shortServers = target
	case target < c.shortServers && now.Sub(c.lastShrink) > shrinkInterval:
		c.shortServers--
		c.lastShrink = now
	}
	c.shortServers = max(1, min(c.shortServers, len(c.serverList)-1))
}

// ServerState is the state of one model server in a state dump.
type ServerState struct {
	Service dragonflypass.ServiceID
	Server  dragonflypass.ServerID
	// Streams is the number of streams with a permit for the server, and Pending the number of prompts that it still has
	// to process, in whole or in part.
	Streams int
	Pending int
	// Reserved is the memory that permits reserve, in tokens.
	Reserved int
	// ShortPromptsOnly is set if the server is reserved for short prompts.
	ShortPromptsOnly bool
}

// State returns the states of the servers, sorted by identifier, and the number of queued requests.
func (a *Allocator) State() (states []ServerState, waiting int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, c := range a.clusters {
		waiting += len(c.queue)
		for _, s := range c.servers {
			states = append(states, ServerState{
				Service: c.shard.Service, Server: s.entry.ID, Streams: s.streams, Pending: len(s.pending), Reserved: s.reservedTokens, ShortPromptsOnly: s.position < c.shortServers,
			})
		}
	}
	slices.SortFunc(states, func(x, y ServerState) int { return cmp.Compare(x.Server, y.Server) })
	return states, waiting
}
