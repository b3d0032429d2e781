package reserver

import (
	"sync/atomic"

	"github.com/dragonflypass/dragonflypass"
)

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
