package allocator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/assessor"
)

// fixedBalancer moves requests to its shard if its shard is set and they cannot be served.
type fixedBalancer struct{ part dragonflypass.ShardPart }

func (b fixedBalancer) Move(dragonflypass.ShardLoad, bool, time.Duration) (dragonflypass.ShardPart, bool) {
	return dragonflypass.ShardPart{}, false
}

func (b fixedBalancer) MoveAway(dragonflypass.Shard, bool, time.Duration) (dragonflypass.ShardPart, bool) {
	return b.part, !b.part.IsWhole()
}

// TestEvacuatedServersGetNoPermits guards against permits, also for helpers, for servers of an evacuated zone, the case that no
// other server is healthy included, and against the loss of the streams that run there.
func TestEvacuatedServersGetNoPermits(t *testing.T) {
	c := qt.New(t)
	o, evacuated, inZone := newOwner(6), true, make(map[dragonflypass.ServerID]bool)
	for i := range o.entries {
		o.entries[i].Zone = []dragonflypass.AvailabilityZone{"a", "b"}[i%2]
		inZone[o.entries[i].ID] = i%2 == 0
	}
	for range 12 {
		o.request("vm-1", 500, time.Second, 30*time.Second)
	}
	before, _, _, _ := o.totals()
	o.Evacuated = func(zone dragonflypass.AvailabilityZone) bool { return evacuated && zone == "a" }
	o.RejectUnservable()
	running, _, _, _ := o.totals()
	c.Check(running, qt.Equals, before, qt.Commentf("running streams must stay accounted for"))
	for _, entry := range o.entries {
		if !inZone[entry.ID] {
			o.Assessor.RecordOutcome(entry.ID, assessor.ConnectFailed)
		}
	}
	for _, tokens := range []int{500, 60_000, 500, 500} {
		id, _ := o.request("vm-1", tokens, 5*time.Second, 30*time.Second)
		o.advance(time.Second)
		o.sendHeartbeat("vm-1")
		permit, ok := o.permits[id]
		c.Assert(ok && !inZone[permit.Server], qt.IsTrue, qt.Commentf("%v", o.refusals[id]))
		for _, h := range permit.Helpers {
			c.Check(inZone[h.Server], qt.IsFalse)
		}
	}
	for id := range o.permits {
		o.release(id)
	}
	streams, pending, reserved, _ := o.totals()
	c.Check(streams+pending+reserved, qt.Equals, 0)
	evacuated = false
	o.RejectUnservable()
	used := make(map[bool]bool)
	for range 24 {
		id, _ := o.request("vm-1", 500, time.Second, 30*time.Second)
		used[inZone[o.permits[id].Server]] = true
	}
	c.Check(used[true], qt.IsTrue)
}

// TestQueueOfEvacuatedShardIsMoved guards against requests that wait in the queue of a shard whose zone takes none, or that are
// refused although another shard can run them.
func TestQueueOfEvacuatedShardIsMoved(t *testing.T) {
	for target, want := range map[dragonflypass.ShardPart]dragonflypass.Reason{{}: dragonflypass.ReasonNoServer, {Zone: "b"}: dragonflypass.ReasonElsewhere} {
		c := qt.New(t)
		o := newOwner(6)
		o.Balancer = fixedBalancer{part: target}
		var results []error
		for i := range uint64(40) {
			now := o.clock.Now()
			o.RequestPermit(dragonflypass.PermitRequest{
				Stream: dragonflypass.StreamID{VM: "vm-1", Incarnation: 1, Sequence: i}, Service: "m", Part: dragonflypass.ShardPart{Zone: "a"}, Moved: true,
				PromptTokens: 60_000, OutputTokens: 40, FirstTokenDeadline: now.Add(10 * time.Second), Deadline: now.Add(30 * time.Second),
			}, func(_ dragonflypass.Permit, err error) { results = append(results, err) })
		}
		_, _, _, waiting := o.totals()
		c.Assert(waiting > 0, qt.IsTrue)
		granted := len(results)
		o.Evacuated = func(dragonflypass.AvailabilityZone) bool { return true }
		o.RejectUnservable()
		c.Check(results[granted:], qt.HasLen, waiting)
		for _, err := range results[granted:] {
			refusal, ok := dragonflypass.AsRefusal(err)
			c.Assert(ok && refusal.Executed == dragonflypass.ExecutedNo, qt.IsTrue)
			c.Check(refusal.Reason, qt.Equals, want)
			c.Check(refusal.Part, qt.Equals, target)
		}
	}
}

// TestShardWithoutHealthyServersMovesRequests guards against permits for one crashed server of a zone after the other.
func TestShardWithoutHealthyServersMovesRequests(t *testing.T) {
	c := qt.New(t)
	o := newOwner(3)
	o.Balancer = fixedBalancer{part: dragonflypass.ShardPart{Zone: "b"}}
	for _, entry := range o.entries {
		o.Assessor.RecordOutcome(entry.ID, assessor.ConnectFailed)
	}
	now := o.clock.Now()
	var result error
	o.RequestPermit(dragonflypass.PermitRequest{
		Stream: dragonflypass.StreamID{VM: "vm-1", Incarnation: 1, Sequence: 1}, Service: "m", Part: dragonflypass.ShardPart{Zone: "a"},
		PromptTokens: 500, OutputTokens: 40, FirstTokenDeadline: now.Add(time.Second), Deadline: now.Add(10 * time.Second),
	}, func(_ dragonflypass.Permit, err error) { result = err })
	refusal, ok := dragonflypass.AsRefusal(result)
	c.Assert(ok, qt.IsTrue)
	c.Check(refusal.Reason, qt.Equals, dragonflypass.ReasonElsewhere)
	c.Check(refusal.Part, qt.Equals, dragonflypass.ShardPart{Zone: "b"})
}
