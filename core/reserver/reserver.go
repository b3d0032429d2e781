package reserver

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/excluder"
)

const (
	// reservationTTL is the time after which a server frees a reservation that is not renewed. The memory must be free
	// four seconds after the end of the request, even if this VM crashes.
	reservationTTL = 3500 * time.Millisecond
	// renewInterval is the time between two renewals; the reservation survives two failed renewals.
	renewInterval = 1200 * time.Millisecond
	// callTimeout is the timeout of one call to a server.
	callTimeout = 500 * time.Millisecond
	// unusedLimit is the time after which memory that the request has not begun to use is freed. A request is sent to a
	// server that can begin it at once; if a server that it depends on is gone, it is refused within two seconds.
	unusedLimit = 3 * time.Second
)

// freeRetryDelays are the delays, from the first attempt to free a reservation, after which further attempts are made.
// They are made if the first attempt failed or the outcome of an earlier call is unknown: the server may execute such a
// call up to 12 seconds later.
var freeRetryDelays = []time.Duration{
	time.Second, 2500 * time.Millisecond, 4 * time.Second, 6 * time.Second, 8 * time.Second, 10 * time.Second, 12500 * time.Millisecond,
}

// Reserver reserves, renews and frees memory at model servers.
type Reserver struct {
	Timer   dragonflypass.Timer
	Pool    dragonflypass.Pool
	Backend dragonflypass.Backend
	Meter   dragonflypass.Meter
	Logger  dragonflypass.Logger
	// Excluder names the servers at which no new reservation may be made.
	Excluder *excluder.Excluder
	// Evacuated reports whether the server is in an evacuated zone, where no new reservation may be made either.
	Evacuated func(id dragonflypass.ServerID, address netip.AddrPort) bool
}

// errExcluded is the error of a reservation at a server that expects no new requests.
var errExcluded = eris.New("reserver: the server expects no new requests")

// Reserve reserves the memory that the helpers name, either all of it or none, and renews the reservations until
// free is called. If the request does not begin to use the memory for unusedLimit, Reserve calls unused and frees it; it
// does so no more once prefilled reports that the request has been processed. On an error, failedHelper is the helper whose
// memory could not be reserved.
func (r *Reserver) Reserve(ctx context.Context, helpers []dragonflypass.Helper, prefilled func() bool, unused func()) (free func(), failedHelper dragonflypass.Helper, err error) {
	h := &hold{prefilled: prefilled, unused: unused}
	for _, helper := range helpers {
		if helper.Reservation == "" {
			continue
		}
		res := &reservation{helper: helper}
		h.reservations = append(h.reservations, res)
		if err := r.reserveNew(ctx, res); err != nil {
			r.Meter.Add(dragonflypass.CountReservationFailed, 1)
			r.Logger.Info("reservation failed", "server", helper.Server, "name", helper.Reservation, "tokens", helper.Tokens, "error", err)
			r.freeAll(h)
			return nil, helper, err
		}
	}
	if len(h.reservations) == 0 {
		return func() {}, failedHelper, nil
	}
	h.lastUsed = r.Timer.Now()
	stop := r.Timer.Every(dragonflypass.JobOrder, renewInterval, func(ctx context.Context) { r.renewAll(ctx, h) })
	return func() {
		stop()
		r.freeAll(h)
	}, failedHelper, nil
}

// reserveNew makes a reservation that is not in use yet, unless its server expects no new requests or says so now.
func (r *Reserver) reserveNew(ctx context.Context, res *reservation) error {
	if r.excluded(res.helper) {
		return errExcluded
	}
	err := r.reserve(ctx, res)
	if err == nil && r.excluded(res.helper) {
		return errExcluded
	}
	return err
}

// excluded reports whether the helper may receive no new reservation.
func (r *Reserver) excluded(helper dragonflypass.Helper) bool {
	return r.Excluder.Excluded(helper.Server, helper.Address) || r.Evacuated(helper.Server, helper.Address)
}

func (r *Reserver) reserve(ctx context.Context, res *reservation) error {
	ctx, cancel := r.Timer.WithDeadline(ctx, r.Timer.Now().Add(callTimeout))
	defer cancel()
	r.Meter.Add(dragonflypass.CountReservationOrders, 1)
	instance := r.Excluder.Instance(res.helper.Server, res.helper.Address)
	notice, err := r.Backend.Reserve(ctx, res.helper.Address, dragonflypass.Reservation{
		Name: res.helper.Reservation, Tokens: res.helper.Tokens, TTL: reservationTTL,
	})
	r.Excluder.Record(instance, notice)
	if errors.Is(err, dragonflypass.ErrUncertain) {
		res.uncertain.Store(true)
	}
	return err
}

// renewAll extends the reservations, also at servers that expect no new requests, or frees them if the request has not begun
// to use the memory. A failed renewal is only logged: if the reservation expires, its server ends the request.
func (r *Reserver) renewAll(ctx context.Context, h *hold) {
	if h.freed() {
		return
	}
	if r.remainsUnused(ctx, h) {
		r.Logger.Info("reserved memory unused", "server", h.reservations[0].helper.Server, "name", h.reservations[0].helper.Reservation, "span", r.Timer.Now().Sub(h.lastUsed))
		h.unused()
		r.freeAll(h)
		return
	}
	for _, res := range h.reservations {
		r.renew(ctx, res)
	}
}

// renew extends the reservation unless it has been freed. If it is freed meanwhile, the server may carry out the renewal
// last, so the reservation is freed afterwards.
func (r *Reserver) renew(ctx context.Context, res *reservation) {
	if !res.state.CompareAndSwap(stateHeld, stateRenewing) {
		return
	}
	if err := r.reserve(ctx, res); err != nil {
		r.Logger.Info("reservation not renewed", "server", res.helper.Server, "name", res.helper.Reservation, "error", err)
	}
	if !res.state.CompareAndSwap(stateRenewing, stateHeld) {
		r.submitFree(res)
	}
}

// remainsUnused reports whether the request has not begun to use the memory for unusedLimit, by the reports of the helpers.
func (r *Reserver) remainsUnused(ctx context.Context, h *hold) bool {
	if h.prefilled() {
		return false
	}
	now := r.Timer.Now()
	switch r.use(ctx, h.reservations) {
	case useUnknown:
		return false
	case useBegun:
		h.lastUsed = now
	}
	return now.Sub(h.lastUsed) >= unusedLimit && !h.prefilled()
}

// use returns whether a request uses any of the reservations.
func (r *Reserver) use(ctx context.Context, reservations []*reservation) use {
	ctx, cancel := r.Timer.WithDeadline(ctx, r.Timer.Now().Add(callTimeout))
	defer cancel()
	for _, res := range reservations {
		instance := r.Excluder.Instance(res.helper.Server, res.helper.Address)
		usage, err := r.Backend.Usage(ctx, res.helper.Address)
		r.Excluder.Record(instance, dragonflypass.ServerNotice{WarmupTime: usage.Notice.WarmupTime})
		if err != nil {
			return useUnknown
		}
		i := slices.IndexFunc(usage.Reservations, func(u dragonflypass.ReservationUsage) bool { return u.Name == res.helper.Reservation })
		switch {
		case i < 0:
			return useUnknown
		case usage.Reservations[i].InUse:
			return useBegun
		}
	}
	return useNone
}

// freeAll frees the reservations on the worker pool.
func (r *Reserver) freeAll(h *hold) {
	for _, res := range h.reservations {
		if res.state.Swap(stateFreed) == stateHeld {
			r.submitFree(res)
		}
	}
}

func (r *Reserver) submitFree(res *reservation) {
	r.Pool.Submit(dragonflypass.JobCancel, func(ctx context.Context) { r.free(ctx, res) })
}

// free frees the reservation. If that fails or the outcome of an earlier call is unknown, it schedules further
// attempts.
func (r *Reserver) free(ctx context.Context, res *reservation) {
	if r.callFree(ctx, res) == nil && !res.uncertain.Load() {
		return
	}
	now := r.Timer.Now()
	for _, delay := range freeRetryDelays {
		r.Timer.At(dragonflypass.JobCancel, now.Add(delay), func(ctx context.Context) {
			// A failure is ignored: a later attempt frees the memory, or the reservation expires.
			_ = r.callFree(ctx, res)
		})
	}
}

// callFree frees the reservation, unless its server wants no requests for now: the reservation then expires by itself.
func (r *Reserver) callFree(ctx context.Context, res *reservation) error {
	if r.Excluder.Deferred(res.helper.Server) > 0 {
		return errExcluded
	}
	ctx, cancel := r.Timer.WithDeadline(ctx, r.Timer.Now().Add(callTimeout))
	defer cancel()
	r.Meter.Add(dragonflypass.CountReservationOrders, 1)
	instance := r.Excluder.Instance(res.helper.Server, res.helper.Address)
	notice, err := r.Backend.Free(ctx, res.helper.Address, res.helper.Reservation)
	r.Excluder.Record(instance, notice)
	return err
}
