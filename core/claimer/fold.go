package claimer

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// ClaimRecord is the claim that holds a key, with its outcome.
type ClaimRecord struct {
	Claim dragonflypass.Claim
	State dragonflypass.ClaimState
	End   dragonflypass.ClaimOutcome
	// RenewedAt is the log's time of the newest record that keeps the holding.
	RenewedAt time.Time
}

// StateMachine is the state that a prefix of one shard's stream amounts to; the same prefix gives the same state everywhere.
type StateMachine struct {
	// Retention is the time for which the log keeps records.
	Retention time.Duration
	// Remember is the time for which a known outcome holds its key.
	Remember time.Duration

	offset   dragonflypass.Offset
	holdings map[dragonflypass.ClaimKey]*ClaimRecord
	// voided holds the claims given up within the retention time, so that a late copy does not revive them.
	voided map[dragonflypass.Nonce]time.Time
	pruned time.Time
}

// NewStateMachine returns the state before the first record.
func NewStateMachine(retention, remember time.Duration) *StateMachine {
	return &StateMachine{
		Retention: retention,
		Remember:  remember,
		holdings:  make(map[dragonflypass.ClaimKey]*ClaimRecord),
		voided:    make(map[dragonflypass.Nonce]time.Time),
	}
}

// Offset returns the offset of the last record folded in.
func (f *StateMachine) Offset() dragonflypass.Offset { return f.offset }

// Holding returns the claim that holds the key, nil when none does.
func (f *StateMachine) Holding(key dragonflypass.ClaimKey) *ClaimRecord { return f.holdings[key] }

// Apply folds the next entry in; entries already folded in change nothing.
func (f *StateMachine) Apply(entry dragonflypass.LogEntry) {
	if entry.Offset <= f.offset {
		return
	}
	f.offset = entry.Offset
	f.prune(entry.At)
	switch record := entry.Record; {
	case record.Claim != nil:
		f.claim(*record.Claim, entry.At)
	case record.ClaimOutcome != nil:
		f.end(*record.ClaimOutcome, entry.At)
	case record.ClaimCheckpoint != nil:
		f.copied(*record.ClaimCheckpoint, entry.At)
	}
}

// claim gives the key to the claim unless another one holds it.
func (f *StateMachine) claim(claim dragonflypass.Claim, at time.Time) {
	if f.holdings[claim.Key] != nil {
		return
	}
	if _, gone := f.voided[claim.Nonce]; gone {
		return
	}
	claim.At = at
	f.holdings[claim.Key] = &ClaimRecord{Claim: claim, RenewedAt: at}
}

// end records the outcome of the claim that holds the key; a known outcome is final.
func (f *StateMachine) end(end dragonflypass.ClaimOutcome, at time.Time) {
	holding := f.holdings[end.Key]
	if end.Abandoned {
		f.voided[end.Nonce] = at
	}
	if holding == nil || holding.Claim.Nonce != end.Nonce || holding.State == dragonflypass.ClaimDone {
		return
	}
	if end.Abandoned {
		delete(f.holdings, end.Key)
		return
	}
	holding.settle(end, at)
}

func (h *ClaimRecord) settle(end dragonflypass.ClaimOutcome, at time.Time) {
	h.End = end
	h.RenewedAt = at
	h.State = dragonflypass.ClaimDone
	if end.Unknown {
		h.State = dragonflypass.ClaimUnknown
	}
}

// copied keeps a claim whose first record the log is about to drop or has dropped.
func (f *StateMachine) copied(record dragonflypass.ClaimCheckpoint, at time.Time) {
	key := record.Claim.Key
	if _, gone := f.voided[record.Claim.Nonce]; gone {
		return
	}
	holding := f.holdings[key]
	if holding == nil {
		holding = &ClaimRecord{Claim: record.Claim}
		f.holdings[key] = holding
	}
	if holding.Claim.Nonce != record.Claim.Nonce {
		return
	}
	holding.RenewedAt = at
	if record.Outcome != nil && holding.State != dragonflypass.ClaimDone {
		holding.settle(*record.Outcome, at)
	}
}

// prune forgets, by the log's own time, outcomes older than Remember and given-up claims older than the retention.
func (f *StateMachine) prune(now time.Time) {
	if now.Sub(f.pruned) < f.Retention/100 {
		return
	}
	f.pruned = now
	for nonce, at := range f.voided {
		if now.Sub(at) > f.Retention {
			delete(f.voided, nonce)
		}
	}
	for key, holding := range f.holdings {
		if holding.State == dragonflypass.ClaimDone && now.Sub(holding.Claim.At) > f.Remember {
			delete(f.holdings, key)
		}
	}
}

// Stale returns the holdings whose newest record is older than the age at the instant.
func (f *StateMachine) Stale(now time.Time, age time.Duration) []ClaimRecord {
	var stale []ClaimRecord
	for _, holding := range f.holdings {
		if now.Sub(holding.RenewedAt) > age {
			stale = append(stale, *holding)
		}
	}
	return stale
}

// Open returns the holdings without a known outcome.
func (f *StateMachine) Open() []ClaimRecord {
	var open []ClaimRecord
	for _, holding := range f.holdings {
		if holding.State != dragonflypass.ClaimDone {
			open = append(open, *holding)
		}
	}
	return open
}
