package allocator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
)

// TestBurstOfShortPromptsStaysOnTime replays a burst of a third more short prompts than the servers have slots for. Each
// stream holds its slot for two seconds and its caller leaves after two. It guards against a queue in which all prompts
// become late together, and against callers that wait in vain and are not told.
func TestBurstOfShortPromptsStaysOnTime(t *testing.T) {
	c := qt.New(t)
	const servers, perSecond, seconds = 4, 43, 8
	const objective, callerTimeout, duration = 400 * time.Millisecond, 2 * time.Second, 2 * time.Second
	o := newOwner(servers)
	onTime, late, waitedInVain, requested := 0, 0, 0, 0
	request := func() {
		requested++
		o.sequence++
		arrived, id, answered := o.clock.Now(), dragonflypass.StreamID{VM: "vm-1", Incarnation: 1, Sequence: o.sequence}, false
		withdraw := o.RequestPermit(dragonflypass.PermitRequest{
			Stream: id, Service: "m", PromptTokens: 500, OutputTokens: 40, MaxEventGap: time.Second,
			FirstTokenDeadline: arrived.Add(objective), AbandonedAt: arrived.Add(callerTimeout), Deadline: arrived.Add(10 * time.Second),
		}, func(permit dragonflypass.Permit, err error) {
			answered = true
			if err != nil {
				refusal, _ := dragonflypass.AsRefusal(err)
				c.Check(refusal.RetryAfter > 0, qt.IsTrue)
				c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo)
				return
			}
			if o.clock.Now().Add(permit.TimeToFirstToken).After(arrived.Add(objective)) {
				late++
			} else {
				onTime++
			}
			o.permits[id] = permit
			o.clock.After(permit.TimeToFirstToken, func() { o.Prefilled(id) })
			o.clock.After(duration, func() { o.release(id) })
		})
		o.clock.After(callerTimeout, func() {
			if !answered {
				waitedInVain++
				withdraw()
			}
		})
	}
	for i := range perSecond * seconds {
		o.clock.After(time.Duration(i)*time.Second/perSecond, request)
	}
	for range seconds + 4 {
		o.sendHeartbeat("vm-1")
		o.advance(time.Second)
	}
	possible := servers * o.costModel.Slots * int(time.Second*seconds/duration)
	comment := qt.Commentf("%d on time, %d late, %d waited in vain, of %d with slots for %d", onTime, late, waitedInVain, requested, possible)
	c.Check(onTime >= possible*85/100, qt.IsTrue, comment)
	c.Check(waitedInVain, qt.Equals, 0, comment)
}
