package arbiter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass/core/arbiter"
)

var now = time.Unix(1000, 0)

func at(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

// order returns the indexes of the prompts in the order in which Arrange puts them.
func order(prompts []arbiter.Prompt, capacity arbiter.Capacity) (indexes []int) {
	for i := range prompts {
		prompts[i].Index = i
	}
	arbiter.Arrange(prompts, capacity, now)
	for _, p := range prompts {
		indexes = append(indexes, p.Index)
	}
	return indexes
}

// TestLatePromptsYield guards against late prompts that take the capacity of those that can still be on time.
func TestLatePromptsYield(t *testing.T) {
	c := qt.New(t)
	c.Check(order([]arbiter.Prompt{
		{Short: true, QueuedAt: at(-400), LatestStart: at(-200), Expires: at(1600)},
		{Short: true, QueuedAt: at(-10), LatestStart: at(200), Expires: at(1900)},
		{QueuedAt: at(-100), LatestStart: at(-1), Expires: at(9000), Work: time.Second, Value: 1},
		{QueuedAt: at(-100), LatestStart: at(900), Expires: at(9000), Work: time.Second, Value: 1},
		{Short: true, QueuedAt: at(-20), LatestStart: at(190), Expires: at(1900)},
	}, arbiter.Capacity{LongServers: 8}), qt.DeepEquals, []int{4, 1, 3, 0, 2})
}

// TestNewestFirstInBurst guards against a growing queue in which all short prompts become late together.
func TestNewestFirstInBurst(t *testing.T) {
	c := qt.New(t)
	c.Check(order([]arbiter.Prompt{
		{Short: true, QueuedAt: at(-150), LatestStart: at(50)},
		{Short: true, QueuedAt: at(-80), LatestStart: at(120)},
		{Short: true, QueuedAt: at(-5), LatestStart: at(195)},
	}, arbiter.Capacity{}), qt.DeepEquals, []int{2, 1, 0})
}

// TestHeavyPromptIsPostponed guards against one prompt that takes all servers and makes those behind it late.
func TestHeavyPromptIsPostponed(t *testing.T) {
	c := qt.New(t)
	prompts := []arbiter.Prompt{
		{LatestStart: at(900), Work: 28 * time.Second, Value: 6},
		{LatestStart: at(1000), Work: 3 * time.Second, Value: 2},
		{LatestStart: at(1500), Work: 3 * time.Second, Value: 2},
	}
	c.Check(order(prompts, arbiter.Capacity{LongServers: 8}), qt.DeepEquals, []int{1, 2, 0})
	c.Check(prompts[2].Class(), qt.Equals, arbiter.LongLate)
	// With enough servers it is served first.
	c.Check(order([]arbiter.Prompt{prompts[2], prompts[0], prompts[1]}, arbiter.Capacity{LongServers: 40}), qt.DeepEquals, []int{0, 1, 2})
}

// TestRejectionIsKnownEarly guards against late prompts that wait until their callers leave.
func TestRejectionIsKnownEarly(t *testing.T) {
	c := qt.New(t)
	prompts := []arbiter.Prompt{{Short: true, LatestStart: at(-1), Expires: at(1500)}}
	capacity := arbiter.Capacity{LateRate: 10}
	arbiter.Arrange(prompts, capacity, now)
	c.Check(arbiter.Unservable(&prompts[0], 10, capacity, now), qt.IsFalse)
	c.Check(arbiter.Unservable(&prompts[0], 20, capacity, now), qt.IsTrue)
	// Nothing is known of the rate yet.
	c.Check(arbiter.Unservable(&prompts[0], 20, arbiter.Capacity{}, now), qt.IsFalse)
	for _, draw := range []float64{0, 0.5, 1} {
		retryAfter := arbiter.RetryAfter(3*time.Second, draw)
		c.Check(retryAfter > time.Second && retryAfter <= 3*time.Second, qt.IsTrue, qt.Commentf("%s", retryAfter))
	}
}

// TestLongPromptsOutweighDelayedStreams guards against long prompts that wait although they would delay a few streams only.
func TestLongPromptsOutweighDelayedStreams(t *testing.T) {
	c := qt.New(t)
	c.Check(arbiter.DelayCost(5_000), qt.Equals, 1.0)
	c.Check(arbiter.DelayCost(0), qt.Equals, 1.0)
	c.Check(arbiter.DelayCost(190_000) < 0.5, qt.IsTrue)
	c.Check(arbiter.DelayCost(600_000) < arbiter.DelayCost(190_000), qt.IsTrue)
}
