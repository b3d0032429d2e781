package dragonflypass

import "time"

// Nonce identifies one claim, unique over all VMs.
type Nonce [16]byte

// ClaimKey identifies a call that must run at most once.
type ClaimKey struct {
	Account AccountID
	Service ServiceID
	// Key is the hash of the caller's idempotency key.
	Key Digest
}

// Claim requests the exclusive right to send a call that must run at most once.
type Claim struct {
	Key   ClaimKey
	Nonce Nonce
	// Body is the hash of the call's method, path and body.
	Body        Digest
	VM          VMID
	Incarnation uint64
	At          time.Time
	// Deadline is the time after which the call must not be sent.
	Deadline time.Time
}

// ClaimOutcome records the outcome of a claim or abandons it.
type ClaimOutcome struct {
	Key   ClaimKey
	Nonce Nonce
	// Abandoned is set when the call was not sent and never will be.
	Abandoned bool
	// Unknown is set when the call was sent but its outcome is unknown.
	Unknown bool
	// ResolvedByOperator is set when an operator has resolved an unknown outcome.
	ResolvedByOperator bool
	Response           ServiceResponse
}

// ClaimCheckpoint writes a claim and its outcome to the log again, so that both outlive the log's retention.
type ClaimCheckpoint struct {
	Claim Claim
	// Outcome is nil while the claim is open.
	Outcome *ClaimOutcome
}

// ClaimState is the state of a claim.
type ClaimState uint8

// The claim states.
const (
	ClaimOpen ClaimState = iota
	ClaimDone
	ClaimUnknown
)

var claimStateNames = [...]string{"open", "done", "unknown"}

// String returns the state's name as used in dumps and listings.
func (s ClaimState) String() string { return claimStateNames[s] }
