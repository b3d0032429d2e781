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
	// checkEvery is the time between two comparisons of what servers run with what they are to run.
	checkEvery = time.Second
	// callTimeout bounds one call to a server or to the log.
	callTimeout = 5 * time.Second
	// clockMargin is added to the old owner's lease before a server that checks no numbers gets orders.
	clockMargin = 2 * time.Second
	// firstBackOff and longestBackOff bound the time after a refused order.
	firstBackOff   = time.Second
	longestBackOff = 30 * time.Second
)

// Servers tells of the owned servers.
type Servers interface {
	// Owned returns the servers that this VM owns.
	Owned() []dragonflypass.BackendServer
	// Loaded returns the models that they report as loaded.
	Loaded() map[dragonflypass.ServerID][]dragonflypass.ModelID
}

// Orderer gives orders to the owned servers.
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
	Current     func() *dragonflypass.Configuration
	// Lease is the time after which an owner that was not heard has lost its servers.
	Lease time.Duration

	mutex  locker.Mutex
	rights map[dragonflypass.ServerID]*right
	// checked is the instant of the last comparison; after a pause longer than the lease all rights are gone.
	checked time.Time
}

// right is this VM's right to give one server orders.
type right struct {
	since time.Time
	// fence is the offset of the assignment in the log, zero while there is none.
	fence dragonflypass.Offset
	busy  bool
	// fails counts refused orders in a row, after which orders wait until retry.
	fails int
	retry time.Time
}

// New returns an orderer without rights.
func New() *Orderer {
	return &Orderer{mutex: locker.Mutex{Order: locker.Servers}, rights: make(map[dragonflypass.ServerID]*right)}
}

// Run compares until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	stop := o.Timer.Every(dragonflypass.JobOrder, checkEvery, o.Check)
	defer stop()
	<-ctx.Done()
}

// task is one order that is due.
type task struct {
	server dragonflypass.BackendServer
	order  dragonflypass.Order
}

// Check compares what the owned servers run with what they are to run, and starts the orders that are due.
func (o *Orderer) Check(context.Context) {
	now := o.Timer.Now()
	owned, loaded := o.Servers.Owned(), o.Servers.Loaded()
	desired := planner.Desired(o.Current(), now)
	o.mutex.Lock()
	o.renew(owned, now)
	var due []task
	for _, server := range owned {
		r := o.rights[server.ID]
		models, reported := loaded[server.ID]
		if !reported || r.busy || now.Before(r.retry) || (!server.Fenced && now.Sub(r.since) < o.Lease+clockMargin) {
			continue
		}
		if order, ok := difference(models, desired[server.ID]); ok {
			r.busy = true
			order.Fence = r.fence
			due = append(due, task{server: server, order: order})
		}
	}
	o.mutex.Unlock()
	for _, t := range due {
		if !o.Pool.Submit(dragonflypass.JobOrder, func(ctx context.Context) { o.carry(ctx, t) }) {
			o.settle(t.server.ID, nil, now)
		}
	}
}

// renew drops the rights to servers that are not owned any more, all of them after a pause, and adds new ones.
func (o *Orderer) renew(owned []dragonflypass.BackendServer, now time.Time) {
	if now.Sub(o.checked) > o.Lease {
		clear(o.rights)
	}
	o.checked = now
	kept := make(map[dragonflypass.ServerID]*right, len(owned))
	for _, server := range owned {
		r, ok := o.rights[server.ID]
		if !ok {
			r = &right{since: now}
		}
		kept[server.ID] = r
	}
	o.rights = kept
}

// difference returns the next order that brings the loaded models closer to the desired ones: loading goes first.
func difference(loaded, desired []dragonflypass.ModelID) (dragonflypass.Order, bool) {
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

// carry gives one order, after taking the right to do so from the log where there is none yet.
func (o *Orderer) carry(ctx context.Context, t task) {
	ctx, cancel := o.Timer.WithDeadline(ctx, o.Timer.Now().Add(callTimeout))
	defer cancel()
	err := o.assign(ctx, &t)
	if err == nil {
		o.Meter.Add(dragonflypass.CountOrderSent, 1)
		err = o.Engine.Order(ctx, t.server.Address, t.order)
	}
	o.settle(t.server.ID, err, o.Timer.Now())
	if err == nil {
		o.Logger.Info("order carried out", "server", t.server.ID, "model", t.order.Model, "unload", t.order.Unload, "fence", t.order.Fence)
	}
}

// assign appends the assignment whose offset is the fencing number; without the log there are no orders.
func (o *Orderer) assign(ctx context.Context, t *task) error {
	if t.order.Fence > 0 {
		return nil
	}
	assignment := &dragonflypass.Assignment{Server: t.server.ID, VM: o.Self, Incarnation: o.Incarnation}
	offset, err := o.Log.Append(ctx, dragonflypass.LogStreamOrders, dragonflypass.LogRecord{Assignment: assignment})
	if err != nil {
		o.Meter.Add(dragonflypass.CountLogFailed, 1)
		return err
	}
	t.order.Fence = offset
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if r, ok := o.rights[t.server.ID]; ok {
		r.fence = offset
	}
	return nil
}

// settle notes how an order went: refused ones wait longer each time, and an old number is given up.
func (o *Orderer) settle(id dragonflypass.ServerID, err error, now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	r, ok := o.rights[id]
	if !ok {
		return
	}
	r.busy = false
	// The report must show the order's effect before the next one.
	r.retry = now.Add(2 * checkEvery)
	if err == nil {
		r.fails = 0
		return
	}
	o.Meter.Add(dragonflypass.CountOrderFailed, 1)
	if errors.Is(err, dragonflypass.ErrFenced) {
		o.Meter.Add(dragonflypass.CountOrderFenced, 1)
		r.fence = 0
	}
	r.retry = now.Add(backOff(id, r.fails))
	r.fails++
}

// backOff is the time to wait after the given number of refused orders before this
// one: doubling, and from half to one and a half times that, differing between servers.
func backOff(id dragonflypass.ServerID, fails int) time.Duration {
	span := min(longestBackOff, firstBackOff<<min(fails, 6))
	part := xxhash.Sum64String(string(id)+string(rune('0'+fails%10))) % 1000
	return span/2 + span*time.Duration(part)/1000
}
