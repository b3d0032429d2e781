package orderer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
	"github.com/dragonflypass/dragonflypass/core/planner"
)

const (
	// checkInterval is the time between two comparisons of the loaded models with the desired ones.
	checkInterval = time.Second
	// callTimeout bounds one order, including the append to the log that it may need.
	callTimeout = 5 * time.Second
	// clockSkewMargin is added to the lease. A server that does not check fencing numbers receives no orders for the sum of
	// both after this VM becomes its owner, so that the previous owner's lease has expired.
	clockSkewMargin = 2 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed order, before jitter.
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
)

// Servers provides the owned servers and the models loaded on them.
type Servers interface {
	// Owned returns the servers that this VM owns.
	Owned() []dragonflypass.BackendServer
	// Loaded returns the models that the owned servers report as loaded; a server without a report is missing.
	Loaded() map[dragonflypass.ServerID][]dragonflypass.ModelID
}

// Orderer sends orders to the owned servers.
type Orderer struct {
	Self        dragonflypass.VMID
	Incarnation uint64
	Timer       dragonflypass.Timer
	Pool        dragonflypass.Pool
	Log         dragonflypass.Log
	Engine      dragonflypass.Engine
	Servers     Servers
	Meter       dragonflypass.Meter
	Logger      dragonflypass.Logger
	// Current returns the configuration in effect.
	Current func() *dragonflypass.Configuration
	// Lease is the time without a heartbeat after which an owner loses its servers.
	Lease time.Duration

	mutex  locker.Mutex
	states map[dragonflypass.ServerID]*serverState
	// lastCheck is the time of the last check. After a gap longer than the lease, all states are discarded,
	// since another VM may have owned the servers in the meantime.
	lastCheck time.Time
}

// serverState is the state of the orders to one owned server.
type serverState struct {
	// ownedSince is the time at which a check first found the server owned by this VM.
	ownedSince time.Time
	// fence is the offset of this VM's assignment in the log, zero if there is none.
	fence        dragonflypass.Offset
	orderRunning bool
	// failures counts consecutive failed orders; no order is sent before retryAt.
	failures int
	retryAt  time.Time
}

// New returns an orderer without server states.
func New() *Orderer {
	return &Orderer{mutex: locker.Mutex{Order: locker.Servers}, states: make(map[dragonflypass.ServerID]*serverState)}
}

// Run checks the owned servers periodically until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	stop := o.Timer.Every(dragonflypass.JobOrder, checkInterval, o.Check)
	defer stop()
	<-ctx.Done()
}

// dueOrder is an order that is due.
type dueOrder struct {
	server dragonflypass.BackendServer
	order  dragonflypass.Order
}

// Check compares the models loaded on the owned servers with the desired ones and starts the orders that are due.
func (o *Orderer) Check(context.Context) {
	now := o.Timer.Now()
	owned, loaded := o.Servers.Owned(), o.Servers.Loaded()
	desired := planner.Desired(o.Current(), now)
	o.mutex.Lock()
	o.updateOwned(owned, now)
	var due []dueOrder
	for _, server := range owned {
		s := o.states[server.ID]
		models, reported := loaded[server.ID]
		if !reported || s.orderRunning || now.Before(s.retryAt) || (!server.Fenced && now.Sub(s.ownedSince) < o.Lease+clockSkewMargin) {
			continue
		}
		if order, ok := nextOrder(models, desired[server.ID]); ok {
			s.orderRunning = true
			order.Fence = s.fence
			due = append(due, dueOrder{server: server, order: order})
		}
	}
	o.mutex.Unlock()
	for _, d := range due {
		if !o.Pool.Submit(dragonflypass.JobOrder, func(ctx context.Context) { o.sendOrder(ctx, d) }) {
			o.recordResult(d.server.ID, nil, now)
		}
	}
}

// updateOwned adds states for newly owned servers and removes those of servers that are no longer owned.
// After a gap longer than the lease, it replaces all states.
func (o *Orderer) updateOwned(owned []dragonflypass.BackendServer, now time.Time) {
	if now.Sub(o.lastCheck) > o.Lease {
		clear(o.states)
	}
	o.lastCheck = now
	states := make(map[dragonflypass.ServerID]*serverState, len(owned))
	for _, server := range owned {
		s, ok := o.states[server.ID]
		if !ok {
			s = &serverState{ownedSince: now}
		}
		states[server.ID] = s
	}
	o.states = states
}

// nextOrder returns the next order that brings the loaded models closer to the desired ones.
// Models are loaded before others are unloaded.
func nextOrder(loaded, desired []dragonflypass.ModelID) (dragonflypass.Order, bool) {
	for _, model := range desired {
		if !slices.Contains(loaded, model) {
			return dragonflypass.Order{Model: model}, true
		}
	}
	for _, model := range loaded {
		if !slices.Contains(desired, model) {
			return dragonflypass.Order{Model: model, Unload: true}, true
		}
	}
	return dragonflypass.Order{}, false
}

// sendOrder sends the order to the server and records the result. If there is no fencing number yet, it obtains one first.
func (o *Orderer) sendOrder(ctx context.Context, d dueOrder) {
	ctx, cancel := o.Timer.WithDeadline(ctx, o.Timer.Now().Add(callTimeout))
	defer cancel()
	err := o.ensureFence(ctx, &d)
	if err == nil {
		o.Meter.Add(dragonflypass.CountOrderSent, 1)
		err = o.Engine.Order(ctx, d.server.Address, d.order)
	}
	o.recordResult(d.server.ID, err, o.Timer.Now())
	if err == nil {
		o.Logger.Info("model order executed", "server", d.server.ID, "model", d.order.Model, "unload", d.order.Unload, "fence", d.order.Fence)
	}
}

// ensureFence appends an assignment to the log if there is none yet; its offset is the fencing number.
// If the log is unavailable, no order is sent.
func (o *Orderer) ensureFence(ctx context.Context, d *dueOrder) error {
	if d.order.Fence > 0 {
		return nil
	}
	assignment := &dragonflypass.Assignment{Server: d.server.ID, VM: o.Self, Incarnation: o.Incarnation}
	offset, err := o.Log.Append(ctx, dragonflypass.LogStreamOrders, dragonflypass.LogRecord{Assignment: assignment})
	if err != nil {
		o.Meter.Add(dragonflypass.CountLogFailed, 1)
		return err
	}
	d.order.Fence = offset
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if s, ok := o.states[d.server.ID]; ok {
		s.fence = offset
	}
	return nil
}

// recordResult records the result of an order. After consecutive failures, the next order is delayed longer each time.
// A fencing number that the server rejected as stale is dropped.
func (o *Orderer) recordResult(id dragonflypass.ServerID, err error, now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	s, ok := o.states[id]
	if !ok {
		return
	}
	s.orderRunning = false
	// The server's report must show the effect of this order before the next one is sent.
	s.retryAt = now.Add(2 * checkInterval)
	if err == nil {
		s.failures = 0
		return
	}
	o.Meter.Add(dragonflypass.CountOrderFailed, 1)
	if errors.Is(err, dragonflypass.ErrFenced) {
		o.Meter.Add(dragonflypass.CountOrderFenced, 1)
		s.fence = 0
	}
	s.retryAt = now.Add(backoff(id, s.failures))
	s.failures++
}

// backoff returns the delay after a failed order. It doubles with each earlier failure and is scaled
// by a factor between one half and one and a half that differs between servers.
func backoff(id dragonflypass.ServerID, failures int) time.Duration {
	delay := min(maxBackoff, minBackoff<<min(failures, 6))
	jitter := xxhash.Sum64String(string(id)+string(rune('0'+failures%10))) % 1000
	return delay/2 + delay*time.Duration(jitter)/1000
}
