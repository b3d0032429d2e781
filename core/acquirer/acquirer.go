package acquirer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// silentTime is how long an owner that did not answer is not asked.
	silentTime = 500 * time.Millisecond
	// callTimeout bounds one message to an owner.
	callTimeout = time.Second
	// releaseTries is the number of attempts to return a permit; after them its lease runs out.
	releaseTries = 3
)

var errSilent = eris.New("acquirer: the owner does not answer")

// Members tells of the other entry VMs.
type Members interface {
	// Attend returns a context that ends when the VM is no longer heard.
	Attend(ctx context.Context, id dragonflypass.VMID) (context.Context, context.CancelFunc)
	// Member returns what is known of the VM.
	Member(id dragonflypass.VMID) (dragonflypass.VM, bool)
}

// Acquirer gets and returns permits.
type Acquirer struct {
	Self    dragonflypass.VMID
	Timer   dragonflypass.Timer
	Pool    dragonflypass.Pool
	Peers   dragonflypass.Peers
	Members Members
	Meter   dragonflypass.Meter
	Logger  dragonflypass.Logger
	// Local is the owner's side on this VM.
	Local dragonflypass.Owner
	// Owner returns the VM that owns the servers of the service.
	Owner func(service dragonflypass.ServiceID) dragonflypass.VM
	// Silent is called when an owner did not answer.
	Silent func()

	mutex  locker.Mutex
	silent map[dragonflypass.VMID]time.Time
}

// New returns an acquirer to which all owners answer.
func New() *Acquirer {
	return &Acquirer{mutex: locker.Mutex{Order: locker.Queues}, silent: make(map[dragonflypass.VMID]time.Time)}
}

// answers reports whether the owner is worth asking.
func (a *Acquirer) answers(owner dragonflypass.VMID) bool {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return !now.Before(a.silent[owner])
}

// noteSilent has the owner not be asked for a time.
func (a *Acquirer) noteSilent(owner dragonflypass.VMID) {
	now := a.Timer.Now()
	a.mutex.Lock()
	a.silent[owner] = now.Add(silentTime)
	a.mutex.Unlock()
	a.Silent()
}

// Acquire waits for a permit; the error is a Refusal or that of ctx.
func (a *Acquirer) Acquire(ctx context.Context, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	owner := a.Owner(request.Service)
	if owner.ID != a.Self && a.answers(owner.ID) {
		permit, err := a.remote(ctx, owner, request)
		if err == nil || ctx.Err() != nil {
			return permit, err
		}
		if refusal, ok := dragonflypass.AsRefusal(err); ok {
			return permit, refusal
		}
		a.noteSilent(owner.ID)
		a.Meter.Add(dragonflypass.CountOwnerSilent, 1)
		a.Logger.Warn("owner silent", "owner", owner.ID, "service", request.Service, "stream", request.Stream.Sequence, "error", err)
	}
	return a.local(ctx, request)
}

// remote asks the owner, which may have the request wait for as long as it is heard.
func (a *Acquirer) remote(ctx context.Context, owner dragonflypass.VM, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	ctx, stop := a.Members.Attend(ctx, owner.ID)
	defer stop()
	permit, err := a.Peers.Acquire(ctx, owner, request)
	if err != nil && ctx.Err() != nil {
		return permit, errSilent
	}
	return permit, err
}

type granted struct {
	permit dragonflypass.Permit
	err    error
}

func (a *Acquirer) local(ctx context.Context, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	answer := make(chan granted, 1)
	withdraw := a.Local.Ask(request, func(permit dragonflypass.Permit, err error) { answer <- granted{permit: permit, err: err} })
	select {
	case g := <-answer:
		return g.permit, g.err
	case <-ctx.Done():
	}
	withdraw()
	select {
	case g := <-answer:
		if g.err == nil {
			a.Local.Release(dragonflypass.PermitRelease{Stream: request.Stream, Server: g.permit.Server, Outcome: dragonflypass.OutcomeCancelled})
		}
	default:
	}
	return dragonflypass.Permit{}, context.Cause(ctx)
}

// Prefilled notes that the permit's prompt has been processed.
func (a *Acquirer) Prefilled(permit dragonflypass.Permit) {
	if permit.Owner == a.Self {
		a.Local.Prefilled(permit.Stream)
		return
	}
	a.later(permit.Owner, 1, func(ctx context.Context, owner dragonflypass.VM) error {
		return a.Peers.Prefilled(ctx, owner, permit.Stream)
	})
}

// Release returns the permit.
func (a *Acquirer) Release(permit dragonflypass.Permit, release dragonflypass.PermitRelease) {
	if permit.Owner == a.Self {
		a.Local.Release(release)
		return
	}
	a.later(permit.Owner, releaseTries, func(ctx context.Context, owner dragonflypass.VM) error {
		return a.Peers.Release(ctx, owner, release)
	})
}

// later has a worker tell the owner, again when it fails.
func (a *Acquirer) later(id dragonflypass.VMID, tries int, tell func(context.Context, dragonflypass.VM) error) {
	owner, ok := a.Members.Member(id)
	if !ok {
		return
	}
	a.Pool.Submit(dragonflypass.JobPeer, func(ctx context.Context) {
		ctx, cancel := a.Timer.WithDeadline(ctx, a.Timer.Now().Add(callTimeout))
		defer cancel()
		if tell(ctx, owner) != nil && tries > 1 {
			a.later(id, tries-1, tell)
		}
	})
}
