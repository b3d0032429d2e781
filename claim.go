package dragonflypass

import "time"

// Nonce identifies one claim, whoever made it.
type Nonce [16]byte

// ClaimKey identifies a call that runs at most once.
type ClaimKey struct {
	Account AccountID
	Service ServiceID
	// Key is the sum of the caller's idempotency key.
	Key Digest
}

// Claim asks for the sole right to send a call that runs at most once.
type Claim struct {
	Key   ClaimKey
	Nonce Nonce
	// Body is the sum of the call's method, path and body.
	Body        Digest
	VM          VMID
	Incarnation uint64
	At          time.Time
	// Deadline is the instant after which the call is not sent any more.
	Deadline time.Time
}

// ClaimOutcome records the outcome of a claim, or gives the claim up.
type ClaimOutcome struct {
	Key   ClaimKey
	Nonce Nonce
	// Abandoned is set when the claim's call was not and will not be sent.
	Abandoned bool
	// Unknown is set when the call was sent and its outcome is not known.
	Unknown bool
	// ResolvedByOperator is set when an operator has settled an unknown outcome.
	ResolvedByOperator bool
	Response           ServiceResponse
}

// ClaimCheckpoint repeats a claim with its outcome, so that both outlive the log's retention.
type ClaimCheckpoint struct {
	Claim Claim
	// Outcome is nil while the claim's outcome is open.
	Outcome *ClaimOutcome
}

// ClaimState is where a claim stands.
type ClaimState uint8

// The states of a claim.
const (
	ClaimOpen ClaimState = iota
	ClaimDone
	ClaimUnknown
)

var claimStateNames = [...]string{"open", "done", "unknown"}

// String returns the state's name in dumps and listings.
func (s ClaimState) String() string { return claimStateNames[s] }
