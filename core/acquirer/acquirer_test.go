package acquirer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/acquirer"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// peers answers for owners, and counts what they were told.
type peers struct {
	dragonflypass.PeerClient
	errs     map[dragonflypass.VMID]error
	asked    []dragonflypass.VMID
	released []dragonflypass.VMID
}

func (p *peers) Acquire(_ context.Context, owner dragonflypass.VM, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	p.asked = append(p.asked, owner.ID)
	return dragonflypass.Permit{Stream: request.Stream, Owner: owner.ID}, p.errs[owner.ID]
}

func (p *peers) Release(_ context.Context, owner dragonflypass.VM, _ dragonflypass.PermitRelease) error {
	p.released = append(p.released, owner.ID)
	return p.errs[owner.ID]
}

// members knows all VMs, of which some are not heard.
type members struct{ lost map[dragonflypass.VMID]bool }

func (m members) AliveContext(ctx context.Context, id dragonflypass.VMID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if m.lost[id] {
		cancel()
	}
	return ctx, cancel
}

func (m members) Member(id dragonflypass.VMID) (dragonflypass.VM, bool) {
	return dragonflypass.VM{ID: id}, true
}

// local is this VM's own side, which grants at once.
type local struct {
	dragonflypass.Owner
	asked int
}

func (l *local) RequestPermit(request dragonflypass.PermitRequest, told func(dragonflypass.Permit, error)) func() {
	l.asked++
	told(dragonflypass.Permit{Stream: request.Stream, Owner: "self"}, nil)
	return func() {}
}

func newAcquirer(owners ...dragonflypass.VMID) (*acquirer.Acquirer, *peers, *local, *fake.Clock, members) {
	clock, p, l, m := fake.NewClock(time.Unix(1000, 0)), &peers{errs: make(map[dragonflypass.VMID]error)}, &local{}, members{lost: make(map[dragonflypass.VMID]bool)}
	a := acquirer.New()
	a.Self, a.Timer, a.Pool, a.Peers, a.Members, a.Meter, a.Logger = "self", clock, clock, p, m, fake.NewMeter(), fake.Logger{}
	a.Local, a.OwnerUnresponsive = l, func() {}
	a.Owners = func(dragonflypass.ServiceID) (vms []dragonflypass.VM) {
		for _, id := range owners {
			vms = append(vms, dragonflypass.VM{ID: id})
		}
		return vms
	}
	return a, p, l, clock, m
}

func TestNextOwnerIsAskedWhenOneIsSilent(t *testing.T) {
	c := qt.New(t)
	a, p, _, clock, _ := newAcquirer("first", "second", "self")
	p.errs["first"] = errors.New("cut")
	permit, err := a.Acquire(t.Context(), dragonflypass.PermitRequest{Service: "m"})
	c.Assert(err, qt.IsNil)
	c.Check(permit.Owner, qt.Equals, dragonflypass.VMID("second"))
	c.Check(a.Owner("m").ID, qt.Equals, dragonflypass.VMID("second"))
	// The first is asked again after a while.
	delete(p.errs, "first")
	clock.Run(clock.Now().Add(2 * time.Second))
	permit, err = a.Acquire(t.Context(), dragonflypass.PermitRequest{Service: "m"})
	c.Assert(err, qt.IsNil)
	c.Check(permit.Owner, qt.Equals, dragonflypass.VMID("first"))
}

func TestMovedOwnerSendsOn(t *testing.T) {
	c := qt.New(t)
	a, p, l, _, _ := newAcquirer("first", "self")
	p.errs["first"] = dragonflypass.Refuse(dragonflypass.ReasonMoved, 0, "leaving")
	permit, err := a.Acquire(t.Context(), dragonflypass.PermitRequest{Service: "m"})
	c.Assert(err, qt.IsNil)
	c.Check(permit.Owner, qt.Equals, dragonflypass.VMID("self"))
	c.Check(l.asked, qt.Equals, 1)
}

func TestRefusalOfTheOwnerCounts(t *testing.T) {
	c := qt.New(t)
	a, p, l, _, _ := newAcquirer("first", "self")
	p.errs["first"] = dragonflypass.Refuse(dragonflypass.ReasonNoServer, 0, "none")
	_, err := a.Acquire(t.Context(), dragonflypass.PermitRequest{Service: "m"})
	refusal, ok := dragonflypass.AsRefusal(err)
	c.Assert(ok, qt.IsTrue)
	c.Check(refusal.Reason, qt.Equals, dragonflypass.ReasonNoServer)
	c.Check(l.asked, qt.Equals, 0)
}

// TestUnheardOwnerIsNotTold releases permits of an owner that is cut off and of one that is not.
func TestUnheardOwnerIsNotTold(t *testing.T) {
	c := qt.New(t)
	a, p, _, clock, m := newAcquirer("first", "second")
	m.lost["first"] = true
	a.Release(dragonflypass.Permit{Owner: "first", Service: "m"}, dragonflypass.PermitRelease{})
	clock.Run(clock.Now().Add(time.Second))
	c.Check(p.released, qt.HasLen, 0)
	m.lost["first"] = false
	p.errs["first"] = errors.New("answer lost")
	a.Release(dragonflypass.Permit{Owner: "first", Service: "m"}, dragonflypass.PermitRelease{})
	clock.Run(clock.Now().Add(time.Second))
	c.Check(len(p.released) > 1, qt.IsTrue, qt.Commentf("%v", p.released))
}
