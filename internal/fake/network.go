package fake

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Network carries what entry VMs say to each other within one process.
type Network struct {
	// Latency is the time that each message takes.
	Latency time.Duration

	mutex    sync.Mutex
	handlers map[dragonflypass.VMID]dragonflypass.PeerHandler
	cuts     map[pair]bool
	frozen   map[dragonflypass.VMID]chan struct{}
}

type pair struct{ from, to dragonflypass.VMID }

// NewNetwork returns a network without VMs.
func NewNetwork() *Network {
	return &Network{
		handlers: make(map[dragonflypass.VMID]dragonflypass.PeerHandler),
		cuts:     make(map[pair]bool),
		frozen:   make(map[dragonflypass.VMID]chan struct{}),
	}
}

// Join has the handler answer for the VM; nil takes the VM off the network.
func (n *Network) Join(vm dragonflypass.VMID, handler dragonflypass.PeerHandler) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if handler == nil {
		delete(n.handlers, vm)
		return
	}
	n.handlers[vm] = handler
}

// Cut breaks the link between two VMs in both directions, or mends it.
func (n *Network) Cut(a, b dragonflypass.VMID, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cuts[pair{a, b}] = cut
	n.cuts[pair{b, a}] = cut
}

// Freeze has the VM answer nothing until it thaws, with connections staying open.
func (n *Network) Freeze(vm dragonflypass.VMID, frozen bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if thaw, ok := n.frozen[vm]; ok && !frozen {
		close(thaw)
		delete(n.frozen, vm)
	}
	if frozen {
		n.frozen[vm] = make(chan struct{})
	}
}

// reach returns the other VM's handler once the message has arrived there.
func (n *Network) reach(ctx context.Context, from, to dragonflypass.VMID) (dragonflypass.PeerHandler, error) {
	if wait(ctx, n.Latency) != nil {
		return nil, context.Cause(ctx)
	}
	n.mutex.Lock()
	handler, ok := n.handlers[to]
	cut := n.cuts[pair{from, to}]
	thaw := n.frozen[to]
	n.mutex.Unlock()
	if !ok || cut {
		return nil, dragonflypass.ErrUnavailable
	}
	if thaw == nil {
		return handler, nil
	}
	select {
	case <-thaw:
		return handler, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// Port is one VM's side of the network.
type Port struct {
	Network *Network
	Self    dragonflypass.VMID
	// Dead is closed when the VM's process dies.
	Dead <-chan struct{}
}

// reach returns the other VM's handler unless this VM is dead.
func (p *Port) reach(ctx context.Context, to dragonflypass.VMID) (dragonflypass.PeerHandler, error) {
	select {
	case <-p.Dead:
		return nil, dragonflypass.ErrUnavailable
	default:
		return p.Network.reach(ctx, p.Self, to)
	}
}

var _ dragonflypass.PeerClient = (*Port)(nil)

type told struct {
	permit dragonflypass.Permit
	err    error
}

// Acquire waits for a permit of the owner.
func (p *Port) Acquire(ctx context.Context, owner dragonflypass.VM, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	handler, err := p.reach(ctx, owner.ID)
	if err != nil {
		return dragonflypass.Permit{}, err
	}
	answer := make(chan told, 1)
	withdraw := handler.Acquire(request, func(permit dragonflypass.Permit, err error) { answer <- told{permit: permit, err: err} })
	select {
	case t := <-answer:
		// The answer has to find its way back.
		if _, err := p.Network.reach(ctx, owner.ID, p.Self); err != nil {
			return dragonflypass.Permit{}, dragonflypass.ErrUncertain
		}
		return t.permit, t.err
	case <-ctx.Done():
		if _, err := p.reach(context.WithoutCancel(ctx), owner.ID); err == nil {
			withdraw()
		}
		return dragonflypass.Permit{}, context.Cause(ctx)
	}
}

// Release returns a permit to its owner.
func (p *Port) Release(ctx context.Context, owner dragonflypass.VM, release dragonflypass.PermitRelease) error {
	handler, err := p.reach(ctx, owner.ID)
	if err != nil {
		return err
	}
	handler.Release(release)
	return nil
}

// ExchangeHeartbeat sends a heartbeat and returns the other side's.
func (p *Port) ExchangeHeartbeat(ctx context.Context, to dragonflypass.VM, beat dragonflypass.Heartbeat) (dragonflypass.Heartbeat, error) {
	handler, err := p.reach(ctx, to.ID)
	if err != nil {
		return dragonflypass.Heartbeat{}, err
	}
	return handler.ExchangeHeartbeat(beat), nil
}

// ConfigEntries returns configuration entries that the other side has from the offset on.
func (p *Port) ConfigEntries(ctx context.Context, to dragonflypass.VM, from dragonflypass.Offset) (dragonflypass.LogPage, error) {
	handler, err := p.reach(ctx, to.ID)
	if err != nil {
		return dragonflypass.LogPage{}, err
	}
	return handler.ConfigEntries(from), nil
}

// ReportCrash tells another entry VM of a crash.
func (p *Port) ReportCrash(ctx context.Context, to dragonflypass.VM, crash dragonflypass.ServerCrash) error {
	handler, err := p.reach(ctx, to.ID)
	if err != nil {
		return err
	}
	handler.ReportCrash(crash)
	return nil
}

// Directory is a list of VMs that trails by a lag.
type Directory struct {
	// Lag is the time by which the list trails.
	Lag time.Duration

	mutex sync.Mutex
	lists []datedList
}

type datedList struct {
	at  time.Time
	vms []dragonflypass.PlatformVM
}

var _ dragonflypass.Directory = (*Directory)(nil)

// SetLag sets the time by which the list trails.
func (d *Directory) SetLag(lag time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.Lag = lag
}

// Set replaces the list, which shows after the lag.
func (d *Directory) Set(vms []dragonflypass.PlatformVM) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lists = append(d.lists, datedList{at: time.Now(), vms: vms})
}

// VMs returns the list of Lag ago.
func (d *Directory) VMs(context.Context) ([]dragonflypass.PlatformVM, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var shown []dragonflypass.PlatformVM
	for _, list := range d.lists {
		if time.Since(list.at) >= d.Lag {
			shown = list.vms
		}
	}
	return shown, nil
}

// Prefilled tells the owner that the permit's prompt has been processed.
func (p *Port) Prefilled(ctx context.Context, owner dragonflypass.VM, stream dragonflypass.StreamID) error {
	handler, err := p.reach(ctx, owner.ID)
	if err != nil {
		return err
	}
	handler.Prefilled(stream)
	return nil
}
