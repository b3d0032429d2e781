package dragonflypass

import (
	"errors"
	"fmt"
	"time"
)

// Executed tells a caller whether its refused request was run.
type Executed string

// The values of Ran.
const (
	ExecutedNo    Executed = "not"
	ExecutedMaybe Executed = "maybe"
	ExecutedYes   Executed = "done"
)

// Reason is the kind of a refusal or failure; it is stable for callers to test.
type Reason string

// The reasons of refusals.
const (
	ReasonBadRequest   Reason = "bad-request"
	ReasonUnauthorized Reason = "unauthorized"
	ReasonForbidden    Reason = "forbidden"
	ReasonNotFound     Reason = "not-found"
	ReasonMethod       Reason = "method"
	ReasonTooLarge     Reason = "too-large"
	ReasonMediaType    Reason = "media-type"
	ReasonLimit        Reason = "limit"
	ReasonBusy         Reason = "busy"
	ReasonLeaving      Reason = "leaving"
	ReasonNoServer     Reason = "no-server"
	ReasonNoLog        Reason = "no-log"
	ReasonTimeout      Reason = "timeout"
	ReasonCancelled    Reason = "cancelled"
	ReasonBroken       Reason = "broken"
	ReasonQuarantined  Reason = "quarantined"
	ReasonKeyMissing   Reason = "key-missing"
	ReasonKeyReused    Reason = "key-reused"
	ReasonInProgress   Reason = "in-progress"
	ReasonUnknown      Reason = "unknown-outcome"
	ReasonConflict     Reason = "conflict"
	ReasonNoRouting    Reason = "no-routing"
	// ReasonMoved sends a request for a permit on to the VM that has taken over.
	ReasonMoved Reason = "moved"
)

// Refusal is the error by which a request is refused or fails.
type Refusal struct {
	Reason   Reason
	Executed Executed
	// RetryAfter is the time after which to try again, zero when that is of no use.
	RetryAfter time.Duration
	Detail     string
}

// Error describes the refusal in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Reason, r.Executed, r.Detail)
}

// Refuse returns a refusal of a request that was not run.
func Refuse(reason Reason, retry time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Executed: ExecutedNo, RetryAfter: retry, Detail: fmt.Sprintf(format, args...)}
}

// AsRefusal returns the refusal in err's chain, if there is one.
func AsRefusal(err error) (*Refusal, bool) {
	return errors.AsType[*Refusal](err)
}

// The errors that ports return.
var (
	// ErrUnavailable means that the other side could not be reached and nothing was sent to it.
	ErrUnavailable = errors.New("unavailable")
	// ErrUncertain means that the call may or may not have taken effect.
	ErrUncertain = errors.New("outcome uncertain")
	// ErrTrimmed means that the log no longer keeps the offset asked for.
	ErrTrimmed = errors.New("offset no longer kept")
	// ErrRefused means that the other side answered that it did not run the call.
	ErrRefused = errors.New("refused before running")
	// ErrFenced means that the other side has seen a newer fencing number.
	ErrFenced = errors.New("fencing number is old")
	// ErrBroken means that a stream broke before its last frame.
	ErrBroken = errors.New("stream broken")
	// ErrUnknown means that the other side does not know what it was asked for.
	ErrUnknown = errors.New("unknown")
)
