package dragonflypass

import (
	"errors"
	"fmt"
	"time"
)

// Executed is whether a refused or failed request was executed.
type Executed string

// The values of Executed.
const (
	ExecutedNo    Executed = "not"
	ExecutedMaybe Executed = "maybe"
	ExecutedYes   Executed = "done"
)

// Reason is the machine-readable kind of a refusal or failure; its values are stable.
type Reason string

// The reasons for refusals and failures.
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
	// ReasonStalledBody means that the body of the request made no progress.
	ReasonStalledBody Reason = "stalled-body"
	// ReasonMoved means that another VM has taken over the servers, so that the permit request must be sent there.
	ReasonMoved Reason = "moved"
	// ReasonElsewhere means that the permit request should be sent to the owner of the shard in Refusal.Part.
	ReasonElsewhere Reason = "elsewhere"
)

// Refusal is the error of a request that was refused or has failed.
type Refusal struct {
	Reason   Reason
	Executed Executed
	// RetryAfter is the time to wait before retrying, zero if a retry cannot succeed.
	RetryAfter time.Duration
	Detail     string
	// Part is the shard that should run the request, set for ReasonElsewhere.
	Part ShardPart
}

// Error returns a one-line description of the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Reason, r.Executed, r.Detail)
}

// Refuse returns a refusal of a request that was not executed.
func Refuse(reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Executed: ExecutedNo, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// AsRefusal returns the refusal in err's chain, if any.
func AsRefusal(err error) (*Refusal, bool) {
	return errors.AsType[*Refusal](err)
}

// Errors returned by the ports.
var (
	// ErrUnavailable means that the remote side could not be reached and nothing was sent.
	ErrUnavailable = errors.New("unavailable")
	// ErrUncertain means that the call may or may not have taken effect.
	ErrUncertain = errors.New("outcome uncertain")
	// ErrTrimmed means that the log no longer retains the requested offset.
	ErrTrimmed = errors.New("offset no longer retained")
	// ErrTruncated means that the store returned only a part of the requested records.
	ErrTruncated = errors.New("response truncated")
	// ErrRefused means that the remote side reported that it did not execute the call.
	ErrRefused = errors.New("refused before execution")
	// ErrFenced means that the remote side has seen a newer fencing number.
	ErrFenced = errors.New("fencing number is old")
	// ErrBroken means that a stream was interrupted before its last frame, or that a message was malformed.
	ErrBroken = errors.New("stream broken")
	// ErrUnknown means that the requested object does not exist on the remote side.
	ErrUnknown = errors.New("unknown")
)
