package claimer

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
)

// Open returns the claims without a known outcome, the oldest first.
func (c *Claimer) Open() []ClaimRecord {
	var open []ClaimRecord
	for _, s := range c.shards {
		s.mutex.Lock()
		open = append(open, s.fold.Open()...)
		s.mutex.Unlock()
	}
	slices.SortFunc(open, func(a, b ClaimRecord) int { return a.Claim.At.Compare(b.Claim.At) })
	return open
}

// Resolve records an operator's word on a claim: ran keeps the key for good, else it is free again.
// Errors: ErrUnknown when no such claim is open, ErrOpen when its VM may still send the call and gone is not set.
func (c *Claimer) Resolve(ctx context.Context, nonce dragonflypass.Nonce, ran, gone bool) error {
	for _, holding := range c.Open() {
		if holding.Claim.Nonce != nonce {
			continue
		}
		if holding.State == dragonflypass.ClaimOpen && !gone {
			return ErrOpen
		}
		end := dragonflypass.ClaimOutcome{Key: holding.Claim.Key, Nonce: nonce, ResolvedByOperator: true, Abandoned: !ran}
		s := c.shard(holding.Claim.Key)
		if err := c.append(ctx, s, dragonflypass.LogRecord{ClaimOutcome: &end}); err != nil {
			return eris.Wrap(err, "claimer: record the settlement")
		}
		return c.read(ctx, s)
	}
	return dragonflypass.ErrUnknown
}

// keep copies holdings whose records the log will drop, spread over the VMs by chance of who comes first.
func (c *Claimer) keep(ctx context.Context, s *shard) {
	if c.read(ctx, s) != nil {
		return
	}
	s.mutex.Lock()
	stale := s.fold.Stale(c.Timer.Now(), c.Retention/keepParts)
	s.mutex.Unlock()
	for _, holding := range stale[:min(len(stale), copiesAtOnce)] {
		record := dragonflypass.ClaimCheckpoint{Claim: holding.Claim}
		if holding.State != dragonflypass.ClaimOpen {
			record.Outcome = &holding.End
		}
		if c.append(ctx, s, dragonflypass.LogRecord{ClaimCheckpoint: &record}) != nil {
			return
		}
		c.Meter.Add(dragonflypass.CountClaimCopied, 1)
	}
}
