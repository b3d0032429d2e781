package acquirer

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// skipTime is how long an owner that did not respond, or is leaving, is skipped.
	skipTime = time.Second
	// ownerAttempts is the number of owners that are tried before this VM grants or refuses the permit itself.
	ownerAttempts = 3
	// callTimeout limits one call to an owner.
	callTimeout = time.Second
	// shortWait is how long a permit request waits at its owner before the owner is listed in AwaitedOwners. It is well
	// below the time after which the owner drops the queued requests of a VM that sends no heartbeats.
	shortWait = time.Second
	// releaseAttempts is the number of attempts to release a permit. If all fail, the permit expires at its owner.
	releaseAttempts = 3
)

var errOwnerUnresponsive = eris.New("acquirer: the owner does not respond")

// Members provides the state of the other entry VMs.
type Members interface {
	// AliveContext returns a context that ends when the heartbeats of the VM stop or the VM restarts.
	AliveContext(ctx context.Context, id dragonflypass.VMID) (context.Context, context.CancelFunc)
	// Member returns the VM, and whether it is known.
	Member(id dragonflypass.VMID) (dragonflypass.VM, bool)
}

// Acquirer requests permits from the owners of the model servers and releases them.
type Acquirer struct {
	Self    dragonflypass.VMID
	Timer   dragonflypass.Timer
	Pool    dragonflypass.Pool
	Peers   dragonflypass.PeerClient
	Members Members
	Meter   dragonflypass.Meter
	Logger  dragonflypass.Logger
	// Local is the owner on this VM.
	Local dragonflypass.Owner
	// Owners returns the owner candidates of the shard, most preferred first. Each candidate owns the servers of the shard
	// if none before it is available.
	Owners func(shard dragonflypass.Shard) []dragonflypass.VM
	// Parts returns the shards of the service that this VM asks, in this order.
	Parts func(service dragonflypass.ServiceID) []dragonflypass.ShardPart
	// OwnerUnresponsive is called with an owner that did not respond.
	OwnerUnresponsive func(owner dragonflypass.VM)

	mutex locker.Mutex
	// skipUntil holds the time until which an owner is skipped.
	skipUntil map[dragonflypass.VMID]time.Time
	// awaited holds the permit requests that are in progress at other VMs.
	awaited map[dragonflypass.StreamID]awaitedOwner
}

// awaitedOwner is the owner from which a permit has been requested, and the time of the request.
type awaitedOwner struct {
	owner dragonflypass.VMID
	since time.Time
}

// New returns an acquirer that considers all owners available.
func New() *Acquirer {
	return &Acquirer{
		mutex: locker.Mutex{Order: locker.Queues}, skipUntil: make(map[dragonflypass.VMID]time.Time),
		awaited: make(map[dragonflypass.StreamID]awaitedOwner),
	}
}

// AwaitedOwners returns the other VMs at which permit requests of this one have been waiting for some time. They must
// receive heartbeats: an owner drops the queued requests of a VM from which it hears nothing.
func (a *Acquirer) AwaitedOwners() []dragonflypass.VMID {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var owners []dragonflypass.VMID
	for _, w := range a.awaited {
		if now.Sub(w.since) >= shortWait && !slices.Contains(owners, w.owner) {
			owners = append(owners, w.owner)
		}
	}
	return owners
}

// await records that a permit has been requested from the owner; stop removes the record.
func (a *Acquirer) await(stream dragonflypass.StreamID, owner dragonflypass.VMID) (stop func()) {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.awaited[stream] = awaitedOwner{owner: owner, since: now}
	return func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		delete(a.awaited, stream)
	}
}

// available reports whether permits may be requested from the owner.
func (a *Acquirer) available(owner dragonflypass.VMID) bool {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return !now.Before(a.skipUntil[owner])
}

// skipOwner makes the owner unavailable for skipTime.
func (a *Acquirer) skipOwner(owner dragonflypass.VMID) {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.skipUntil[owner] = now.Add(skipTime)
}

// Acquire waits for a permit; the error is a Refusal or that of ctx.
func (a *Acquirer) Acquire(ctx context.Context, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	parts := a.Parts(request.Service)
	request.Part, parts = parts[0], parts[1:]
	for range ownerAttempts {
		owner := a.Owner(request.Shard())
		permit, err := a.acquireFrom(ctx, owner, request)
		permit.Shard = request.Shard()
		if err == nil || ctx.Err() != nil {
			return permit, err
		}
		refusal, refused := dragonflypass.AsRefusal(err)
		switch {
		case refused && refusal.Reason == dragonflypass.ReasonElsewhere:
			request.Part, request.Moved = refusal.Part, true
		case refused && refusal.Reason == dragonflypass.ReasonMoved:
			a.skipOwner(owner.ID)
		case refused || owner.ID == a.Self:
			return permit, err
		default:
			a.skipOwner(owner.ID)
			a.OwnerUnresponsive(owner)
			a.Meter.Add(dragonflypass.CountOwnerUnresponsive, 1)
			a.Logger.Warn("owner silent", "owner", owner.ID, "service", request.Service, "shard", request.Part, "id", request.ID, "error", err)
			if len(parts) > 0 {
				// The owner may only be slow, and then still grants permits for its shard.
				request.Part, request.Moved, parts = parts[0], true, parts[1:]
			}
		}
	}
	permit, err := a.acquireLocal(ctx, request)
	permit.Shard = request.Shard()
	return permit, err
}

// acquireFrom requests a permit from one owner, which may be this VM.
func (a *Acquirer) acquireFrom(ctx context.Context, owner dragonflypass.VM, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	if owner.ID == a.Self {
		return a.acquireLocal(ctx, request)
	}
	return a.acquireRemote(ctx, owner, request)
}

// Owner returns the VM from which this one requests permits of the shard: the first available candidate, or itself.
func (a *Acquirer) Owner(shard dragonflypass.Shard) dragonflypass.VM {
	for _, vm := range a.Owners(shard) {
		if vm.ID == a.Self || a.available(vm.ID) {
			return vm
		}
	}
	return dragonflypass.VM{ID: a.Self}
}

// acquireRemote requests a permit from the owner on another VM. The owner may queue the request, so the call lasts until
// the owner responds, its heartbeats stop or ctx ends.
func (a *Acquirer) acquireRemote(ctx context.Context, owner dragonflypass.VM, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	ctx, stop := a.Members.AliveContext(ctx, owner.ID)
	defer stop()
	defer a.await(request.Stream, owner.ID)()
	permit, err := a.Peers.Acquire(ctx, owner, request)
	if err != nil && ctx.Err() != nil {
		return permit, errOwnerUnresponsive
	}
	return permit, err
}

// permitResult is the permit or the error that an owner passes to the callback of a request.
type permitResult struct {
	permit dragonflypass.Permit
	err    error
}

func (a *Acquirer) acquireLocal(ctx context.Context, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	result := make(chan permitResult, 1)
	withdraw := a.Local.RequestPermit(request, func(permit dragonflypass.Permit, err error) { result <- permitResult{permit: permit, err: err} })
	select {
	case r := <-result:
		return r.permit, r.err
	case <-ctx.Done():
	}
	withdraw()
	select {
	case r := <-result:
		if r.err == nil {
			a.Local.Release(dragonflypass.PermitRelease{Stream: request.Stream, Server: r.permit.Server, Outcome: dragonflypass.OutcomeCancelled})
		}
	default:
	}
	return dragonflypass.Permit{}, context.Cause(ctx)
}

// Prefilled reports to the owner that the permit's prompt has been processed.
func (a *Acquirer) Prefilled(permit dragonflypass.Permit) {
	for _, id := range a.permitOwners(permit) {
		if id == a.Self {
			a.Local.Prefilled(permit.Stream)
			continue
		}
		a.submitCall(id, 1, func(ctx context.Context, owner dragonflypass.VM) error {
			return a.Peers.Prefilled(ctx, owner, permit.Stream)
		})
	}
}

// Release returns the permit to its owner.
func (a *Acquirer) Release(permit dragonflypass.Permit, release dragonflypass.PermitRelease) {
	for _, id := range a.permitOwners(permit) {
		if id == a.Self {
			a.Local.Release(release)
			continue
		}
		a.submitCall(id, releaseAttempts, func(ctx context.Context, owner dragonflypass.VM) error {
			return a.Peers.Release(ctx, owner, release)
		})
	}
}

// permitOwners returns the VMs that account for the permit: the VM that granted it and, if the owner has changed since,
// the current owner.
func (a *Acquirer) permitOwners(permit dragonflypass.Permit) []dragonflypass.VMID {
	current := a.Owner(permit.Shard).ID
	if current == permit.Owner {
		return []dragonflypass.VMID{current}
	}
	return []dragonflypass.VMID{permit.Owner, current}
}

// submitCall makes a worker call the owner and retries a failed call until the attempts are used up. An owner whose
// heartbeats have stopped is not called: its permits expire, and calls to other owners must not wait behind calls to it.
func (a *Acquirer) submitCall(id dragonflypass.VMID, attempts int, call func(context.Context, dragonflypass.VM) error) {
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
		if call(ctx, owner) != nil && attempts > 1 {
			a.submitCall(id, attempts-1, call)
		}
	})
}
