package claimer

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// ClaimRecord is the claim that holds a key, with its outcome.
type ClaimRecord struct {
	Claim   dragonflypass.Claim
	State   dragonflypass.ClaimState
	Outcome dragonflypass.ClaimOutcome
	// RenewedAt is the log timestamp of the newest record of the claim.
	RenewedAt time.Time
}

// StateMachine is the state after a prefix of one shard's stream has been applied; the same prefix gives the same state on every VM.
type StateMachine struct {
	// Retention is the time for which the log retains records.
	Retention time.Duration
	// OutcomeRetention is the time after a claim for which its known outcome is retained.
	OutcomeRetention time.Duration

	offset dragonflypass.Offset
	claims map[dragonflypass.ClaimKey]*ClaimRecord
	// abandoned holds the claims abandoned within the retention time, so that a delayed record of a claim does not restore it.
	abandoned map[dragonflypass.Nonce]time.Time
	// prunedAt is the log timestamp of the last pruning.
	prunedAt time.Time
}

// NewStateMachine returns the state before the first record.
func NewStateMachine(retention, outcomeRetention time.Duration) *StateMachine {
	return &StateMachine{
		Retention:        retention,
		OutcomeRetention: outcomeRetention,
		claims:           make(map[dragonflypass.ClaimKey]*ClaimRecord),
		abandoned:        make(map[dragonflypass.Nonce]time.Time),
	}
}

// Offset returns the offset of the last applied entry.
func (m *StateMachine) Offset() dragonflypass.Offset { return m.offset }

// Lookup returns the claim that holds the key, nil if there is none.
func (m *StateMachine) Lookup(key dragonflypass.ClaimKey) *ClaimRecord { return m.claims[key] }

// Apply applies the next log entry; an entry that was applied before has no effect.
func (m *StateMachine) Apply(entry dragonflypass.LogEntry) {
	if entry.Offset <= m.offset {
		return
	}
	m.offset = entry.Offset
	m.prune(entry.At)
	switch record := entry.Record; {
	case record.Claim != nil:
		m.applyClaim(*record.Claim, entry.At)
	case record.ClaimOutcome != nil:
		m.applyOutcome(*record.ClaimOutcome, entry.At)
	case record.ClaimCheckpoint != nil:
		m.applyCheckpoint(*record.ClaimCheckpoint, entry.At)
	}
}

// applyClaim assigns the key to the claim unless another claim holds it.
func (m *StateMachine) applyClaim(claim dragonflypass.Claim, at time.Time) {
	if m.claims[claim.Key] != nil {
		return
	}
	if _, abandoned := m.abandoned[claim.Nonce]; abandoned {
		return
	}
	claim.At = at
	m.claims[claim.Key] = &ClaimRecord{Claim: claim, RenewedAt: at}
}

// applyOutcome records the outcome of the claim that holds the key; a known outcome is final.
func (m *StateMachine) applyOutcome(outcome dragonflypass.ClaimOutcome, at time.Time) {
	current := m.claims[outcome.Key]
	if outcome.Abandoned {
		m.abandoned[outcome.Nonce] = at
	}
	if current == nil || current.Claim.Nonce != outcome.Nonce || current.State == dragonflypass.ClaimDone {
		return
	}
	if outcome.Abandoned {
		delete(m.claims, outcome.Key)
		return
	}
	current.setOutcome(outcome, at)
}

func (r *ClaimRecord) setOutcome(outcome dragonflypass.ClaimOutcome, at time.Time) {
	r.Outcome = outcome
	r.RenewedAt = at
	r.State = dragonflypass.ClaimDone
	if outcome.Unknown {
		r.State = dragonflypass.ClaimUnknown
	}
}

// applyCheckpoint renews or restores a claim whose first record the log is about to remove or has removed.
func (m *StateMachine) applyCheckpoint(checkpoint dragonflypass.ClaimCheckpoint, at time.Time) {
	key := checkpoint.Claim.Key
	if _, abandoned := m.abandoned[checkpoint.Claim.Nonce]; abandoned {
		return
	}
	current := m.claims[key]
	if current == nil {
		current = &ClaimRecord{Claim: checkpoint.Claim}
		m.claims[key] = current
	}
	if current.Claim.Nonce != checkpoint.Claim.Nonce {
		return
	}
	current.RenewedAt = at
	if checkpoint.Outcome != nil && current.State != dragonflypass.ClaimDone {
		current.setOutcome(*checkpoint.Outcome, at)
	}
}

// prune removes claims with a known outcome that are older than OutcomeRetention and abandoned claims that are older
// than Retention. Ages are measured by log timestamps.
func (m *StateMachine) prune(now time.Time) {
	if now.Sub(m.prunedAt) < m.Retention/100 {
		return
	}
	m.prunedAt = now
	for nonce, at := range m.abandoned {
		if now.Sub(at) > m.Retention {
			delete(m.abandoned, nonce)
		}
	}
	for key, record := range m.claims {
		if record.State == dragonflypass.ClaimDone && now.Sub(record.Claim.At) > m.OutcomeRetention {
			delete(m.claims, key)
		}
	}
}

// StaleClaims returns the claims whose newest record is older than age at the time now.
func (m *StateMachine) StaleClaims(now time.Time, age time.Duration) []ClaimRecord {
	var stale []ClaimRecord
	for _, record := range m.claims {
		if now.Sub(record.RenewedAt) > age {
			stale = append(stale, *record)
		}
	}
	return stale
}

// Unresolved returns the claims without a known outcome.
func (m *StateMachine) Unresolved() []ClaimRecord {
	var unresolved []ClaimRecord
	for _, record := range m.claims {
		if record.State != dragonflypass.ClaimDone {
			unresolved = append(unresolved, *record)
		}
	}
	return unresolved
}
