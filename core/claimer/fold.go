package claimer

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Holding is the claim that holds a key, with its outcome.
type Holding struct {
	Claim dragonflypass.Claim
	State dragonflypass.ClaimState
	End   dragonflypass.ClaimEnd
	// Kept is the log's time of the newest record that keeps the holding.
	Kept time.Time
}

// Fold is the state that a prefix of one shard's stream amounts to; the same prefix gives the same state everywhere.
type Fold struct {
	// Retention is the time for which the log keeps records.
	Retention time.Duration
	// Remember is the time for which a known outcome holds its key.
	Remember time.Duration

	offset   dragonflypass.Offset
	holdings map[dragonflypass.ClaimKey]*Holding
	// voided holds the claims given up within the retention time, so that a late copy does not revive them.
	voided map[dragonflypass.Nonce]time.Time
	pruned time.Time
}

// NewFold returns the state before the first record.
func NewFold(retention, remember time.Duration) *Fold {
	return &Fold{
		Retention: retention,
		Remember:  remember,
		holdings:  make(map[dragonflypass.ClaimKey]*Holding),
		voided:    make(map[dragonflypass.Nonce]time.Time),
	}
}

// Offset returns the offset of the last record folded in.
func (f *Fold) Offset() dragonflypass.Offset { return f.offset }

// Holding returns the claim that holds the key, nil when none does.
func (f *Fold) Holding(key dragonflypass.ClaimKey) *Holding { return f.holdings[key] }

// Apply folds the next entry in; entries already folded in change nothing.
func (f *Fold) Apply(entry dragonflypass.Entry) {
	if entry.Offset <= f.offset {
		return
	}
	f.offset = entry.Offset
	f.prune(entry.At)
	switch record := entry.Record; {
	case record.Claim != nil:
		f.claim(*record.Claim, entry.At)
	case record.End != nil:
		f.end(*record.End, entry.At)
	case record.Copy != nil:
		f.copied(*record.Copy, entry.At)
	}
}

// claim gives the key to the claim unless another one holds it.
func (f *Fold) claim(claim dragonflypass.Claim, at time.Time) {
	if f.holdings[claim.Key] != nil {
		return
	}
	if _, gone := f.voided[claim.Nonce]; gone {
		return
	}
	claim.At = at
	f.holdings[claim.Key] = &Holding{Claim: claim, Kept: at}
}

// end records the outcome of the claim that holds the key; a known outcome is final.
func (f *Fold) end(end dragonflypass.ClaimEnd, at time.Time) {
	holding := f.holdings[end.Key]
	if end.Void {
		f.voided[end.Nonce] = at
	}
	if holding == nil || holding.Claim.Nonce != end.Nonce || holding.State == dragonflypass.ClaimDone {
		return
	}
	if end.Void {
		delete(f.holdings, end.Key)
		return
	}
	holding.settle(end, at)
}

func (h *Holding) settle(end dragonflypass.ClaimEnd, at time.Time) {
	h.End = end
	h.Kept = at
	h.State = dragonflypass.ClaimDone
	if end.Unknown {
		h.State = dragonflypass.ClaimUnknown
	}
}

// copied keeps a claim whose first record the log is about to drop or has dropped.
func (f *Fold) copied(record dragonflypass.ClaimCopy, at time.Time) {
	key := record.Claim.Key
	if _, gone := f.voided[record.Claim.Nonce]; gone {
		return
	}
	holding := f.holdings[key]
	if holding == nil {
		holding = &Holding{Claim: record.Claim}
		f.holdings[key] = holding
	}
	if holding.Claim.Nonce != record.Claim.Nonce {
		return
	}
	holding.Kept = at
	if record.End != nil && holding.State != dragonflypass.ClaimDone {
		holding.settle(*record.End, at)
	}
}

// prune forgets, by the log's own time, outcomes older than Remember and given-up claims older than the retention.
func (f *Fold) prune(now time.Time) {
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
func (f *Fold) Stale(now time.Time, age time.Duration) []Holding {
	var stale []Holding
	for _, holding := range f.holdings {
		if now.Sub(holding.Kept) > age {
			stale = append(stale, *holding)
		}
	}
	return stale
}

// Open returns the holdings without a known outcome.
func (f *Fold) Open() []Holding {
	var open []Holding
	for _, holding := range f.holdings {
		if holding.State != dragonflypass.ClaimDone {
			open = append(open, *holding)
		}
	}
	return open
}
