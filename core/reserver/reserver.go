package reserver

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// holdTime is how long a server keeps a reservation that is not renewed: it must be back four seconds after
	// the end of its request, also when this VM dies.
	holdTime = 3500 * time.Millisecond
	// renewEvery is the time between two renewals; two may fail before the reservation lapses.
	renewEvery = 1200 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = 500 * time.Millisecond
)

// freeAgain are the times after its end at which a reservation is given up once more when an order about it was
// not answered, for it may be carried out up to 12 seconds later.
var freeAgain = []time.Duration{
	time.Second, 2500 * time.Millisecond, 4 * time.Second, 6 * time.Second, 8 * time.Second, 10 * time.Second, 12500 * time.Millisecond,
}

// Reserver reserves memory.
type Reserver struct {
	Timer   dragonflypass.Timer
	Pool    dragonflypass.Pool
	Backend dragonflypass.Backend
	Meter   dragonflypass.Meter
	Logger  dragonflypass.Logger
}

// hold is one reservation.
type hold struct {
	helper dragonflypass.Helper
	// unanswered is set once an order about the reservation was not answered.
	unanswered atomic.Bool
}

// Reserve reserves the memory that the helpers name, all of it or none, and renews it until free is called.
// The error tells the server that has no memory by the returned helper.
func (r *Reserver) Reserve(ctx context.Context, helpers []dragonflypass.Helper) (free func(), failed dragonflypass.Helper, err error) {
	var holds []*hold
	for _, h := range helpers {
		if h.Reservation == "" {
			continue
		}
		taken := &hold{helper: h}
		holds = append(holds, taken)
		if err := r.reserve(ctx, taken); err != nil {
			r.Meter.Add(dragonflypass.CountReservationFailed, 1)
			r.Logger.Info("reservation failed", "server", h.Server, "name", h.Reservation, "tokens", h.Tokens, "error", err)
			r.freeAll(holds)
			return nil, h, err
		}
	}
	if len(holds) == 0 {
		return func() {}, failed, nil
	}
	stop := r.Timer.Every(dragonflypass.JobOrder, renewEvery, func(ctx context.Context) { r.renew(ctx, holds) })
	return func() {
		stop()
		r.freeAll(holds)
	}, failed, nil
}

func (r *Reserver) reserve(ctx context.Context, h *hold) error {
	ctx, cancel := r.Timer.WithDeadline(ctx, r.Timer.Now().Add(orderTimeout))
	defer cancel()
	r.Meter.Add(dragonflypass.CountReservationOrders, 1)
	err := r.Backend.Reserve(ctx, h.helper.Address, dragonflypass.Reservation{
		Name: h.helper.Reservation, Tokens: h.helper.Tokens, TTL: holdTime,
	})
	if errors.Is(err, dragonflypass.ErrUncertain) {
		h.unanswered.Store(true)
	}
	return err
}

// renew lengthens the reservations; one whose renewal fails may lapse, which ends its request.
func (r *Reserver) renew(ctx context.Context, holds []*hold) {
	for _, h := range holds {
		if err := r.reserve(ctx, h); err != nil {
			r.Logger.Info("reservation not renewed", "server", h.helper.Server, "name", h.helper.Reservation, "error", err)
		}
	}
}

// freeAll has workers give the reservations up.
func (r *Reserver) freeAll(holds []*hold) {
	for _, h := range holds {
		r.Pool.Submit(dragonflypass.JobCancel, func(ctx context.Context) { r.free(ctx, h) })
	}
}

// free gives the reservation up, and again later when an order was not answered.
func (r *Reserver) free(ctx context.Context, h *hold) {
	if r.order(ctx, h) == nil && !h.unanswered.Load() {
		return
	}
	now := r.Timer.Now()
	for _, after := range freeAgain {
		r.Timer.At(dragonflypass.JobCancel, now.Add(after), func(ctx context.Context) {
			// A failure is made good by the next attempt, or by the reservation's lapse.
			_ = r.order(ctx, h)
		})
	}
}

func (r *Reserver) order(ctx context.Context, h *hold) error {
	ctx, cancel := r.Timer.WithDeadline(ctx, r.Timer.Now().Add(orderTimeout))
	defer cancel()
	r.Meter.Add(dragonflypass.CountReservationOrders, 1)
	return r.Backend.Free(ctx, h.helper.Address, h.helper.Reservation)
}
