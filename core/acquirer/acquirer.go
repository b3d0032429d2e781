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
	silentTime = time.Second
	// ownerTries is the number of owners that are asked before this VM decides by itself.
	ownerTries = 3
	// callTimeout bounds one message to an owner.
	callTimeout = time.Second
	// releaseTries is the number of attempts to return a permit; after them its lease runs out.
	releaseTries = 3
)

var errSilent = eris.New("acquirer: the owner does not answer")

// Members tells of the other entry VMs.
type Members interface {
	// AliveContext returns a context that ends when the VM is no longer heard.
	AliveContext(ctx context.Context, id dragonflypass.VMID) (context.Context, context.CancelFunc)
	// Member returns what is known of the VM.
	Member(id dragonflypass.VMID) (dragonflypass.VM, bool)
}

// Acquirer gets and returns permits.
type Acquirer struct {
	Self    dragonflypass.VMID
	Timer   dragonflypass.Timer
	Pool    dragonflypass.Pool
	Peers   dragonflypass.PeerClient
	Members Members
	Meter   dragonflypass.Meter
	Logger  dragonflypass.Logger
	// Local is the owner's side on this VM.
	Local dragonflypass.Owner
	// Owners returns the VMs that are to own the servers of the service, each where those before it do not answer.
	Owners func(service dragonflypass.ServiceID) []dragonflypass.VM
	// OwnerUnresponsive is called when an owner did not answer.
	OwnerUnresponsive func()

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

// skip has the owner not be asked for a time.
func (a *Acquirer) skip(owner dragonflypass.VMID) {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.silent[owner] = now.Add(silentTime)
}

// Acquire waits for a permit; the error is a Refusal or that of ctx.
func (a *Acquirer) Acquire(ctx context.Context, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	permit, err := a.acquire(ctx, request)
	permit.Service = request.Service
	return permit, err
}

func (a *Acquirer) acquire(ctx context.Context, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	for range ownerTries {
		owner := a.Owner(request.Service)
		permit, err := a.ask(ctx, owner, request)
		if err == nil || ctx.Err() != nil {
			return permit, err
		}
		refusal, refused := dragonflypass.AsRefusal(err)
		switch {
		case refused && refusal.Reason == dragonflypass.ReasonMoved:
			a.skip(owner.ID)
		case refused || owner.ID == a.Self:
			return permit, err
		default:
			a.skip(owner.ID)
			a.OwnerUnresponsive()
			a.Meter.Add(dragonflypass.CountOwnerSilent, 1)
			a.Logger.Warn("owner silent", "owner", owner.ID, "service", request.Service, "id", request.ID, "error", err)
		}
	}
	return a.local(ctx, request)
}

// ask asks one owner, which may be this VM.
func (a *Acquirer) ask(ctx context.Context, owner dragonflypass.VM, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	if owner.ID == a.Self {
		return a.local(ctx, request)
	}
	return a.remote(ctx, owner, request)
}

// Owner returns the VM that this one asks for permits of the service: the first that answers, or itself.
func (a *Acquirer) Owner(service dragonflypass.ServiceID) dragonflypass.VM {
	for _, vm := range a.Owners(service) {
		if vm.ID == a.Self || a.answers(vm.ID) {
			return vm
		}
	}
	return dragonflypass.VM{ID: a.Self}
}

// remote asks the owner, which may have the request wait for as long as it is heard.
func (a *Acquirer) remote(ctx context.Context, owner dragonflypass.VM, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	ctx, stop := a.Members.AliveContext(ctx, owner.ID)
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
	withdraw := a.Local.RequestPermit(request, func(permit dragonflypass.Permit, err error) { answer <- granted{permit: permit, err: err} })
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
	for _, id := range a.concerned(permit) {
		if id == a.Self {
			a.Local.Prefilled(permit.Stream)
			continue
		}
		a.later(id, 1, func(ctx context.Context, owner dragonflypass.VM) error {
			return a.Peers.Prefilled(ctx, owner, permit.Stream)
		})
	}
}

// Release returns the permit.
func (a *Acquirer) Release(permit dragonflypass.Permit, release dragonflypass.PermitRelease) {
	for _, id := range a.concerned(permit) {
		if id == a.Self {
			a.Local.Release(release)
			continue
		}
		a.later(id, releaseTries, func(ctx context.Context, owner dragonflypass.VM) error {
			return a.Peers.Release(ctx, owner, release)
		})
	}
}

// concerned returns the VMs that count the permit: its owner, and the one that has taken over since.
func (a *Acquirer) concerned(permit dragonflypass.Permit) []dragonflypass.VMID {
	now := a.Owner(permit.Service).ID
	if now == permit.Owner {
		return []dragonflypass.VMID{now}
	}
	return []dragonflypass.VMID{permit.Owner, now}
}

// later has a worker tell the owner, again when it fails. An owner that is not heard is not told, for its
// permits lapse, and the messages to others are not to wait behind those to it.
func (a *Acquirer) later(id dragonflypass.VMID, tries int, tell func(context.Context, dragonflypass.VM) error) {
	owner, ok := a.Members.Member(id)
	if !ok {
		return
	}
	a.Pool.Submit(dragonflypass.JobPeer, func(ctx context.Context) {
		ctx, stop := a.Members.AliveContext(ctx, id)
		defer stop()
		ctx, cancel := a.Timer.WithDeadline(ctx, a.Timer.Now().Add(callTimeout))
		defer cancel()
		if ctx.Err() != nil {
			return
		}
		if tell(ctx, owner) != nil && tries > 1 {
			a.later(id, tries-1, tell)
		}
	})
}
