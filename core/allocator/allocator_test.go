package allocator_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/allocator"
	"github.com/dragonflypass/dragonflypass/core/assessor"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// owner is an allocator with its servers, in virtual time.
type owner struct {
	*allocator.Allocator
	clock   *fake.Clock
	law     *dragonflypass.EngineCostModel
	entries []dragonflypass.ServerEntry
	// granted holds the permits that were not released yet, and answers how often each request was answered.
	granted  map[dragonflypass.StreamID]dragonflypass.Permit
	answers  map[dragonflypass.StreamID]int
	refusals map[dragonflypass.StreamID]error
	sequence uint64
}

func newOwner(servers int) *owner {
	o := &owner{
		Allocator: allocator.New(), clock: fake.NewClock(time.Unix(1000, 0)), law: fake.RelayCostModel(),
		granted: make(map[dragonflypass.StreamID]dragonflypass.Permit), answers: make(map[dragonflypass.StreamID]int),
		refusals: make(map[dragonflypass.StreamID]error),
	}
	for i := range servers {
		o.entries = append(o.entries, dragonflypass.ServerEntry{
			ID: dragonflypass.ServerID(fmt.Sprintf("s-%d", i)), Service: "m", Slots: o.law.Slots, StartedAt: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	judge := assessor.New()
	judge.Timer, judge.Meter, judge.Logger = o.clock, fake.NewMeter(), fake.Logger{}
	o.Self, o.Timer, o.Meter, o.Logger, o.Assessor = "vm-0", o.clock, fake.NewMeter(), fake.Logger{}, judge
	o.ServerUnreachable = func(dragonflypass.ServerID) {}
	o.CostModel = func(dragonflypass.ServiceID) *dragonflypass.EngineCostModel { return o.law }
	o.Servers = func(dragonflypass.ServiceID) []dragonflypass.ServerEntry { return o.entries }
	return o
}

// ask asks for a permit in the name of the VM.
func (o *owner) ask(vm dragonflypass.VMID, tokens int, goal, deadline time.Duration) (dragonflypass.StreamID, func()) {
	o.sequence++
	id := dragonflypass.StreamID{VM: vm, Incarnation: 1, Sequence: o.sequence}
	now := o.clock.Now()
	withdraw := o.RequestPermit(dragonflypass.PermitRequest{
		Stream: id, Service: "m", PromptTokens: tokens, OutputTokens: 40, FirstTokenDeadline: now.Add(goal), Deadline: now.Add(deadline), MaxEventGap: time.Second,
	}, func(permit dragonflypass.Permit, err error) {
		o.answers[id]++
		if err != nil {
			o.refusals[id] = err
			return
		}
		o.granted[id] = permit
	})
	return id, withdraw
}

// release returns the permit.
func (o *owner) release(id dragonflypass.StreamID) {
	permit := o.granted[id]
	delete(o.granted, id)
	o.Release(dragonflypass.PermitRelease{Stream: id, Server: permit.Server, Outcome: dragonflypass.OutcomeDone})
}

// beat tells of the streams of a VM that were granted.
func (o *owner) beat(vm dragonflypass.VMID) {
	beat := dragonflypass.Heartbeat{From: dragonflypass.VM{ID: vm}, Incarnation: 1}
	for id := range o.granted {
		if id.VM == vm {
			beat.GrantedStreams = append(beat.GrantedStreams, id.Sequence)
		}
	}
	o.HandleHeartbeat(beat)
}

func (o *owner) advance(span time.Duration) { o.clock.Run(o.clock.Now().Add(span)) }

// held sums up what the servers are accounted for.
func (o *owner) held() (streams, pending, reserved, waiting int) {
	rows, waiting := o.State()
	for _, row := range rows {
		streams += row.Streams
		pending += row.Pending
		reserved += row.Reserved
	}
	return streams, pending, reserved, waiting
}

func TestLongPromptsAreDivided(t *testing.T) {
	c := qt.New(t)
	o := newOwner(8)
	short, _ := o.ask("vm-1", 500, 200*time.Millisecond, 10*time.Second)
	c.Check(o.granted[short].Helpers, qt.HasLen, 0)
	o.advance(time.Second)
	long, _ := o.ask("vm-1", 200_000, 4*time.Second, 10*time.Second)
	o.advance(time.Second)
	c.Assert(o.answers[long], qt.Equals, 1)
	permit := o.granted[long]
	c.Check(len(permit.Helpers) > 1, qt.IsTrue, qt.Commentf("%+v", permit))
	for i, h := range permit.Helpers {
		c.Check(h.Server, qt.Not(qt.Equals), permit.Server)
		for _, other := range permit.Helpers[:i] {
			c.Check(h.Server, qt.Not(qt.Equals), other.Server)
		}
	}
}

func TestPromptLargerThanAServer(t *testing.T) {
	c := qt.New(t)
	o := newOwner(6)
	id, _ := o.ask("vm-1", 600_000, 40*time.Second, 90*time.Second)
	o.advance(time.Second)
	permit, ok := o.granted[id]
	c.Assert(ok, qt.IsTrue)
	reserved := 0
	for _, h := range permit.Helpers {
		reserved += h.Tokens
		c.Check(h.Tokens == 0, qt.Equals, h.Reservation == "")
	}
	c.Check(600_000-reserved < o.law.KVCapacity, qt.IsTrue, qt.Commentf("%d of 600,000 tokens reserved", reserved))
	o.release(id)
	streams, pending, kept, _ := o.held()
	c.Check(streams+pending+kept, qt.Equals, 0)
}

// TestLongPromptsDoNotStarve has prompts wait that no number of servers can process in time.
func TestLongPromptsDoNotStarve(t *testing.T) {
	c := qt.New(t)
	o := newOwner(3)
	var ids []dragonflypass.StreamID
	for range 5 {
		id, _ := o.ask("vm-1", 150_000, 200*time.Millisecond, 60*time.Second)
		ids = append(ids, id)
	}
	for range 600 {
		o.advance(100 * time.Millisecond)
		o.beat("vm-1")
		o.Sweep(context.Background())
		for _, id := range ids {
			if permit, ok := o.granted[id]; ok && o.clock.Now().Sub(time.Unix(1000, 0)) > permit.TimeToFirstToken {
				o.Prefilled(id)
				o.release(id)
			}
		}
	}
	for _, id := range ids {
		c.Check(o.answers[id], qt.Equals, 1, qt.Commentf("%v %v", id, o.refusals[id]))
		c.Check(o.refusals[id], qt.IsNil)
	}
}

func TestRequestsThatCannotEndAreRefused(t *testing.T) {
	c := qt.New(t)
	o := newOwner(2)
	id, _ := o.ask("vm-1", 100_000, time.Second, 500*time.Millisecond)
	refusal, ok := dragonflypass.AsRefusal(o.refusals[id])
	c.Assert(ok, qt.IsTrue)
	c.Check(refusal.Reason, qt.Equals, dragonflypass.ReasonTimeout)
	c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo)
}

func TestLostVMsAreGivenUp(t *testing.T) {
	c := qt.New(t)
	o := newOwner(1)
	for range 30 {
		o.ask("vm-1", 3000, time.Second, 30*time.Second)
	}
	_, _, _, waiting := o.held()
	c.Check(len(o.granted) > 0 && waiting > 0, qt.IsTrue, qt.Commentf("%d granted, %d wait", len(o.granted), waiting))
	for range 60 {
		o.advance(100 * time.Millisecond)
		o.Sweep(context.Background())
	}
	for range 60 {
		o.advance(100 * time.Millisecond)
		o.Sweep(context.Background())
	}
	streams, pending, reserved, waiting := o.held()
	c.Check(streams+pending+reserved+waiting, qt.Equals, 0)
}

func TestNewOwnerTakesStreamsOver(t *testing.T) {
	c := qt.New(t)
	o := newOwner(2)
	o.ask("vm-1", 500, time.Second, 10*time.Second)
	held := dragonflypass.OpenStream{
		Stream: dragonflypass.StreamID{VM: "vm-2", Incarnation: 1, Sequence: 9}, Service: "m", Server: "s-1", Helpers: []dragonflypass.ServerID{"s-0"},
		PromptTokens: 50_000, TimeToFirstToken: time.Second, Deadline: o.clock.Now().Add(time.Minute),
	}
	beat := dragonflypass.Heartbeat{From: dragonflypass.VM{ID: "vm-2"}, Incarnation: 1, InheritedStreams: []dragonflypass.OpenStream{held}}
	o.HandleHeartbeat(beat)
	o.HandleHeartbeat(beat)
	streams, pending, _, _ := o.held()
	c.Check(streams, qt.Equals, 2)
	c.Check(pending, qt.Equals, 3)
	o.advance(100 * time.Millisecond)
	// The VM's next life knows nothing of the stream.
	o.HandleHeartbeat(dragonflypass.Heartbeat{From: dragonflypass.VM{ID: "vm-2"}, Incarnation: 2})
	streams, _, _, _ = o.held()
	c.Check(streams, qt.Equals, 1)
}

func TestLeavingOwnerSendsOn(t *testing.T) {
	c := qt.New(t)
	o := newOwner(1)
	for range 30 {
		o.ask("vm-1", 3000, time.Second, 30*time.Second)
	}
	o.Leave()
	moved := 0
	for _, err := range o.refusals {
		if refusal, ok := dragonflypass.AsRefusal(err); ok && refusal.Reason == dragonflypass.ReasonMoved {
			moved++
		}
	}
	c.Check(moved, qt.Equals, 30-len(o.granted))
	_, _, _, waiting := o.held()
	c.Check(waiting, qt.Equals, 0)
}

// TestAccountingHolds plays random requests, ends, lost messages and changes of the servers.
func TestAccountingHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOwner(rapid.IntRange(1, 6).Draw(t, "servers"))
		all := o.entries
		withdraws := make(map[dragonflypass.StreamID]func())
		withdrawn := make(map[dragonflypass.StreamID]bool)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1, 2:
				vm := dragonflypass.VMID(fmt.Sprintf("vm-%d", rapid.IntRange(1, 3).Draw(t, "vm")))
				tokens := rapid.SampledFrom([]int{0, 1, 800, 20_000, 120_000, 450_000, 900_000}).Draw(t, "tokens")
				id, withdraw := o.ask(vm, tokens, 2*time.Second, time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline"))*time.Second)
				withdraws[id] = withdraw
			case 3:
				for id := range o.granted {
					o.Prefilled(id)
					break
				}
			case 4:
				for id := range o.granted {
					o.release(id)
					o.Release(dragonflypass.PermitRelease{Stream: id})
					break
				}
			case 5:
				for id, withdraw := range withdraws {
					if o.answers[id] == 0 {
						withdraw()
						withdrawn[id] = true
						break
					}
				}
			case 6:
				o.entries = all[:rapid.IntRange(0, len(all)).Draw(t, "listed")]
				o.RejectUnservable()
			case 7:
				o.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
				for _, vm := range []dragonflypass.VMID{"vm-1", "vm-2", "vm-3"} {
					o.beat(vm)
				}
				o.Sweep(context.Background())
			}
			rows, _ := o.State()
			for _, row := range rows {
				if row.Streams > o.law.Slots || row.Reserved > o.law.KVCapacity || row.Reserved < 0 || row.Streams < 0 {
					t.Fatalf("%+v", row)
				}
			}
		}
		o.entries = all
		o.RejectUnservable()
		// All VMs end: whatever waits or is held lapses.
		for range 300 {
			o.advance(100 * time.Millisecond)
			o.Sweep(context.Background())
		}
		if streams, pending, reserved, waiting := o.held(); streams+pending+reserved+waiting != 0 {
			t.Fatalf("%d streams, %d pending, %d reserved, %d waiting at the end", streams, pending, reserved, waiting)
		}
		for id := range withdraws {
			if n := o.answers[id]; n > 1 || (n == 0 && !withdrawn[id]) {
				t.Fatalf("%v answered %d times", id, n)
			}
		}
	})
}
