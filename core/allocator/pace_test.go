package allocator_test

import (
	"cmp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/pacer"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// TestSlowServerIsPredictedSlower guards against first tokens that are predicted at the usual speed of servers that are slow,
// whether the owner sees it from the processing of prompts or from the generation of answers, and against placements there
// while other servers are idle.
func TestSlowServerIsPredictedSlower(t *testing.T) {
	const slowdown, events, tokens, rounds, usualPrefill = 3, 20, 2500, 60, 65 * time.Millisecond
	for name, phase := range map[string]struct{ prefill, passes time.Duration }{"prompts": {slowdown, 1}, "answers": {1, slowdown}} {
		for _, servers := range []int{1, 4} {
			c := qt.New(t)
			o := newOwner(servers)
			p := pacer.New()
			p.Timer, p.Logger = o.clock, fake.Logger{}
			o.Pace, o.RecordPace = p.Pace, p.Record
			counts := make(map[dragonflypass.ServerID]int)
			var slow dragonflypass.ServerID
			var predicted time.Duration
			for range rounds {
				id, _ := o.request("vm-1", tokens, 150*time.Millisecond, 10*time.Second)
				permit, ok := o.permits[id]
				c.Assert(ok, qt.IsTrue)
				slow = cmp.Or(slow, permit.Server)
				predicted = permit.TimeToFirstToken
				prefill, passes := usualPrefill, (events-1)*o.costModel.PassTime(1, tokens)
				if permit.Server == slow {
					prefill, passes = phase.prefill*prefill, phase.passes*passes
				}
				o.advance(prefill)
				o.Prefilled(id)
				o.advance(passes)
				delete(o.permits, id)
				o.Release(dragonflypass.PermitRelease{Stream: id, Server: permit.Server, Outcome: dragonflypass.OutcomeDone, OutputTokens: events * o.costModel.StepsPerPass})
				o.advance(10 * time.Millisecond)
				counts[permit.Server]++
			}
			if servers == 1 {
				c.Check(predicted > usualPrefill*3/2, qt.IsTrue, qt.Commentf("%s: %v", name, predicted))
				continue
			}
			c.Check(counts[slow] < rounds/4, qt.IsTrue, qt.Commentf("%s: %v", name, counts))
		}
	}
}

// TestExpectedOutputKeepsMemory guards against memory that is reserved for fewer tokens than answers usually have.
func TestExpectedOutputKeepsMemory(t *testing.T) {
	c := qt.New(t)
	for high, reserved := range map[int]int{0: 1040, 10: 1040, 500: 1500} {
		o := newOwner(1)
		o.RequestPermit(dragonflypass.PermitRequest{
			Stream: dragonflypass.StreamID{VM: "vm-1", Sequence: 1}, Service: "m", PromptTokens: 1000, OutputTokens: 600,
			ExpectedOutput:     dragonflypass.OutputEstimate{Mean: high / 2, High: high},
			FirstTokenDeadline: o.clock.Now().Add(time.Second), Deadline: o.clock.Now().Add(10 * time.Second),
		}, func(dragonflypass.Permit, error) {})
		_, _, tokens, _ := o.totals()
		c.Check(tokens, qt.Equals, reserved)
	}
}
