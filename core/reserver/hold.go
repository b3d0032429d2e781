package reserver

import (
	"sync/atomic"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// hold is the memory that is reserved for one request.
type hold struct {
	reservations []*reservation
	// prefilled reports whether the request's prompt has been processed, and unused is called before memory that the request
	// has not begun to use is freed.
	prefilled func() bool
	unused    func()
	// lastUsed is the time at which a request was last seen to use the memory, or of the reservation before that. After the
	// first renewal only the renewals access it, which do not overlap.
	lastUsed time.Time
}

// freed reports whether the memory has been freed; all reservations are freed together.
func (h *hold) freed() bool { return h.reservations[0].state.Load() == stateFreed }

// reservation is the memory reserved at one helper.
type reservation struct {
	helper dragonflypass.Helper
	// state is one of the states below.
	state atomic.Uint32
	// uncertain is set once the outcome of a call about the reservation is unknown.
	uncertain atomic.Bool
}

// The states of a reservation.
const (
	stateHeld uint32 = iota
	// stateRenewing means that a renewal is in progress.
	stateRenewing
	// stateFreed means that the reservation is not renewed any more. A renewal that was in progress frees it at its end.
	stateFreed
)

// use is whether a request uses reserved memory.
type use uint8

const (
	useUnknown use = iota
	useNone
	useBegun
)
