package fake

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Network delivers messages between entry VMs in the same process.
type Network struct {
	// Latency is the one-way delay of a message.
	Latency time.Duration
	// HandlingTime is the processor time of a VM for each message that it receives; it handles them one after the other.
	HandlingTime time.Duration
	// PermitTimeout is the time within which a permit request must reach its owner, zero for no limit.
	PermitTimeout time.Duration

	mutex        sync.Mutex
	handlers     map[dragonflypass.VMID]dragonflypass.PeerHandler
	disconnected map[link]bool
	frozen       map[dragonflypass.VMID]chan struct{}
	// busyUntil holds the time until which each VM handles the messages that it has received.
	busyUntil map[dragonflypass.VMID]time.Time
	delivered int
}

type link struct{ from, to dragonflypass.VMID }

// NewNetwork returns a network without VMs.
func NewNetwork() *Network {
	return &Network{
		handlers:     make(map[dragonflypass.VMID]dragonflypass.PeerHandler),
		disconnected: make(map[link]bool),
		frozen:       make(map[dragonflypass.VMID]chan struct{}),
		busyUntil:    make(map[dragonflypass.VMID]time.Time),
	}
}

// Delivered returns the number of messages delivered so far.
func (n *Network) Delivered() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.delivered
}

// reserveHandling returns the time until the VM has handled a message that arrives now.
func (n *Network) reserveHandling(to dragonflypass.VMID) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.delivered++
	now := time.Now()
	if n.busyUntil[to].Before(now) {
		n.busyUntil[to] = now
	}
	n.busyUntil[to] = n.busyUntil[to].Add(n.HandlingTime)
	return n.busyUntil[to].Sub(now)
}

// SetHandler sets the handler of messages to the VM; nil removes the VM from the network.
func (n *Network) SetHandler(vm dragonflypass.VMID, handler dragonflypass.PeerHandler) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if handler == nil {
		delete(n.handlers, vm)
		return
	}
	n.handlers[vm] = handler
}

// SetDisconnected disconnects two VMs from each other in both directions, or reconnects them.
func (n *Network) SetDisconnected(a, b dragonflypass.VMID, disconnected bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.disconnected[link{a, b}] = disconnected
	n.disconnected[link{b, a}] = disconnected
}

// SetFrozen freezes the VM or unfreezes it. Messages to a frozen VM wait until it is unfrozen; their connections stay open.
func (n *Network) SetFrozen(vm dragonflypass.VMID, frozen bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if unfrozen, ok := n.frozen[vm]; ok && !frozen {
		close(unfrozen)
		delete(n.frozen, vm)
	}
	if frozen {
		n.frozen[vm] = make(chan struct{})
	}
}

// deliver waits for the delivery time of a message to the other VM and returns that VM's handler.
// It returns ErrUnavailable if the VM is not on the network or is disconnected, or the cause of the cancellation of ctx.
func (n *Network) deliver(ctx context.Context, from, to dragonflypass.VMID) (dragonflypass.PeerHandler, error) {
	if wait(ctx, n.Latency) != nil || wait(ctx, n.reserveHandling(to)) != nil {
		return nil, context.Cause(ctx)
	}
	n.mutex.Lock()
	handler, ok := n.handlers[to]
	disconnected := n.disconnected[link{from, to}]
	unfrozen := n.frozen[to]
	n.mutex.Unlock()
	if !ok || disconnected {
		return nil, dragonflypass.ErrUnavailable
	}
	if unfrozen == nil {
		return handler, nil
	}
	select {
	case <-unfrozen:
		return handler, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// PeerClient sends the messages of one VM over the network.
// Its methods return ErrUnavailable if this VM was killed or the other VM is unreachable, or the cause of the cancellation of ctx.
type PeerClient struct {
	Network *Network
	Self    dragonflypass.VMID
	// Killed is closed when the VM is killed.
	Killed <-chan struct{}
}

// deliver is Network.deliver for messages from this VM; it returns ErrUnavailable if this VM was killed.
func (p *PeerClient) deliver(ctx context.Context, to dragonflypass.VMID) (dragonflypass.PeerHandler, error) {
	select {
	case <-p.Killed:
		return nil, dragonflypass.ErrUnavailable
	default:
		return p.Network.deliver(ctx, p.Self, to)
	}
}

var _ dragonflypass.PeerClient = (*PeerClient)(nil)

type permitResult struct {
	permit dragonflypass.Permit
	err    error
}

// Acquire waits for a permit from the owner; the request is withdrawn when ctx ends.
// It returns ErrUncertain if the owner's answer cannot be delivered.
func (p *PeerClient) Acquire(ctx context.Context, owner dragonflypass.VM, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	deliveryCtx, cancel := ctx, context.CancelFunc(func() {})
	if p.Network.PermitTimeout > 0 {
		deliveryCtx, cancel = context.WithTimeout(ctx, p.Network.PermitTimeout)
	}
	handler, err := p.deliver(deliveryCtx, owner.ID)
	cancel()
	if err != nil {
		return dragonflypass.Permit{}, err
	}
	results := make(chan permitResult, 1)
	withdraw := handler.Acquire(request, func(permit dragonflypass.Permit, err error) { results <- permitResult{permit: permit, err: err} })
	select {
	case result := <-results:
		// The result must be delivered over the network too.
		if _, err := p.Network.deliver(ctx, owner.ID, p.Self); err != nil {
			return dragonflypass.Permit{}, dragonflypass.ErrUncertain
		}
		return result.permit, result.err
	case <-ctx.Done():
		if _, err := p.deliver(context.WithoutCancel(ctx), owner.ID); err == nil {
			withdraw()
		}
		return dragonflypass.Permit{}, context.Cause(ctx)
	}
}

// Release returns a permit to its owner.
func (p *PeerClient) Release(ctx context.Context, owner dragonflypass.VM, release dragonflypass.PermitRelease) error {
	handler, err := p.deliver(ctx, owner.ID)
	if err != nil {
		return err
	}
	handler.Release(release)
	return nil
}

// ExchangeHeartbeat sends a heartbeat and returns the heartbeat of the other VM.
func (p *PeerClient) ExchangeHeartbeat(ctx context.Context, to dragonflypass.VM, heartbeat dragonflypass.Heartbeat) (dragonflypass.Heartbeat, error) {
	handler, err := p.deliver(ctx, to.ID)
	if err != nil {
		return dragonflypass.Heartbeat{}, err
	}
	return handler.ExchangeHeartbeat(heartbeat), nil
}

// ConfigEntries returns the configuration entries of the other VM, starting at the offset.
func (p *PeerClient) ConfigEntries(ctx context.Context, to dragonflypass.VM, from dragonflypass.Offset) (dragonflypass.LogPage, error) {
	handler, err := p.deliver(ctx, to.ID)
	if err != nil {
		return dragonflypass.LogPage{}, err
	}
	return handler.ConfigEntries(from), nil
}

// ReportCrash reports the crash of a backend server to another entry VM.
func (p *PeerClient) ReportCrash(ctx context.Context, to dragonflypass.VM, crash dragonflypass.ServerCrash) error {
	handler, err := p.deliver(ctx, to.ID)
	if err != nil {
		return err
	}
	handler.ReportCrash(crash)
	return nil
}

// Directory is a list of VMs whose changes become visible after a delay.
type Directory struct {
	// Lag is the time after which a new list becomes visible.
	Lag time.Duration

	mutex    sync.Mutex
	versions []listVersion
}

type listVersion struct {
	at  time.Time
	vms []dragonflypass.PlatformVM
}

var _ dragonflypass.Directory = (*Directory)(nil)

// SetLag sets the time after which a new list becomes visible.
func (d *Directory) SetLag(lag time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.Lag = lag
}

// Set replaces the list; the new list becomes visible after the lag.
func (d *Directory) Set(vms []dragonflypass.PlatformVM) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.versions = append(d.versions, listVersion{at: time.Now(), vms: vms})
}

// VMs returns the latest list that was set at least Lag ago.
func (d *Directory) VMs(context.Context) ([]dragonflypass.PlatformVM, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var visible []dragonflypass.PlatformVM
	for _, version := range d.versions {
		if time.Since(version.at) >= d.Lag {
			visible = version.vms
		}
	}
	return visible, nil
}

// Prefilled reports to the owner that the permit's prompt has been prefilled.
func (p *PeerClient) Prefilled(ctx context.Context, owner dragonflypass.VM, stream dragonflypass.StreamID) error {
	handler, err := p.deliver(ctx, owner.ID)
	if err != nil {
		return err
	}
	handler.Prefilled(stream)
	return nil
}
