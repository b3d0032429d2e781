package allocator

import (
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Balancer chooses other shards for requests.
type Balancer interface {
	// Move returns a shard with less load than the own one for a prompt, and whether there is one.
	Move(own dragonflypass.ShardLoad, short bool, prefillTime time.Duration) (dragonflypass.ShardPart, bool)
	// MoveAway returns another shard for a prompt that the own one cannot run, and whether there is one.
	MoveAway(own dragonflypass.Shard, short bool, prefillTime time.Duration) (dragonflypass.ShardPart, bool)
}

// moveToOtherShard returns the refusal that directs a request to another shard, nil if this one takes it. The mutex must be
// held.
func (a *Allocator) moveToOtherShard(c *cluster, q *queuedRequest, now time.Time) *dragonflypass.Refusal {
	if a.Balancer == nil || c.shard.Part.IsWhole() || q.request.Moved && !a.Evacuated(c.shard.Part.Zone) {
		return nil
	}
	short := c.isShort(q)
	part, ok := a.Balancer.Move(c.load(now), short, q.prefillTime)
	// The servers of a zone that has failed would refuse the request one after the other.
	if !ok && !slices.ContainsFunc(a.usableServers(c, q), func(s *server) bool { return s.healthy }) {
		part, ok = a.Balancer.MoveAway(c.shard, short, q.prefillTime)
	}
	if !ok {
		return nil
	}
	return a.elsewhere(part)
}

// elsewhere counts a request that is moved and returns the refusal that directs it to the shard.
func (a *Allocator) elsewhere(part dragonflypass.ShardPart) *dragonflypass.Refusal {
	a.Meter.Add(dragonflypass.CountPermitMoved, 1)
	refusal := dragonflypass.Refuse(dragonflypass.ReasonElsewhere, defaultRetryAfter, "the servers of shard %s have less load", part)
	refusal.Part = part
	return refusal
}

// moveEvacuated removes the queued requests of a shard whose zone is evacuated from the queue, as far as another shard can
// take them, and returns the refusals that direct them there. The mutex must be held.
func (a *Allocator) moveEvacuated(c *cluster) (moved []permitResult) {
	if a.Balancer == nil || c.shard.Part.IsWhole() || !a.Evacuated(c.shard.Part.Zone) {
		return nil
	}
	c.queue = slices.DeleteFunc(c.queue, func(q *queuedRequest) bool {
		part, ok := a.Balancer.MoveAway(c.shard, c.isShort(q), q.prefillTime)
		if ok {
			a.Meter.Add(dragonflypass.CountRequestEvacuated, 1)
			moved = append(moved, permitResult{queued: q, err: a.elsewhere(part)})
		}
		return ok
	})
	return moved
}

// redirect passes the refusals to the callbacks of the moved requests; no lock may be held.
func redirect(moved []permitResult) {
	for _, m := range moved {
		m.queued.done(m.permit, m.err)
	}
}

// ShardLoads returns the load summaries of the shards for which this VM has recently been asked for permits, or of those
// given if it owns them.
func (a *Allocator) ShardLoads(owned []dragonflypass.Shard) []dragonflypass.ShardLoad {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var loads []dragonflypass.ShardLoad
	for _, shard := range owned {
		if c := a.cluster(shard); c != nil {
			loads = append(loads, c.load(now))
		}
	}
	return loads
}
