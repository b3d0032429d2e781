package claimer

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
)

// Refresh reads the new entries of all shards, so that the claims are as current as the log. Errors: those of the log.
func (c *Claimer) Refresh(ctx context.Context) error {
	for _, s := range c.shards {
		if err := c.readShard(ctx, s); err != nil {
			return eris.Wrap(err, "claimer: read the log")
		}
	}
	return nil
}

// Unresolved returns the claims without a known outcome, oldest first.
func (c *Claimer) Unresolved() []ClaimRecord {
	var unresolved []ClaimRecord
	for _, s := range c.shards {
		s.mutex.Lock()
		unresolved = append(unresolved, s.state.Unresolved()...)
		s.mutex.Unlock()
	}
	slices.SortFunc(unresolved, func(a, b ClaimRecord) int { return a.Claim.At.Compare(b.Claim.At) })
	return unresolved
}

// Resolve records an operator's decision on a claim: if executed is set, the outcome is final and the key stays taken;
// otherwise the key is free again. vmStopped states that the claim's VM no longer runs.
// Errors: those of the log, ErrUnknown if there is no such claim without a known outcome, ErrMayStillSend if its VM may still send the call and
// vmStopped is not set.
func (c *Claimer) Resolve(ctx context.Context, nonce dragonflypass.Nonce, executed, vmStopped bool) error {
	if err := c.Refresh(ctx); err != nil {
		return err
	}
	for _, record := range c.Unresolved() {
		if record.Claim.Nonce != nonce {
			continue
		}
		if record.State == dragonflypass.ClaimOpen && !vmStopped {
			return ErrMayStillSend
		}
		outcome := dragonflypass.ClaimOutcome{Key: record.Claim.Key, Nonce: nonce, ResolvedByOperator: true, Abandoned: !executed}
		s := c.shard(record.Claim.Key)
		if err := c.appendRecord(ctx, s, dragonflypass.LogRecord{ClaimOutcome: &outcome}); err != nil {
			return eris.Wrap(err, "claimer: record the operator's decision")
		}
		return c.readShard(ctx, s)
	}
	return dragonflypass.ErrUnknown
}

// writeCheckpoints writes checkpoints of claims whose records the log is about to remove. All VMs do so;
// whichever writes first renews the claim for all, so that the work spreads over the VMs at random.
func (c *Claimer) writeCheckpoints(ctx context.Context, s *shard) {
	if c.readShard(ctx, s) != nil {
		return
	}
	s.mutex.Lock()
	stale := s.state.StaleClaims(c.Timer.Now(), c.Retention/checkpointsPerRetention)
	s.mutex.Unlock()
	for _, record := range stale[:min(len(stale), maxCheckpointsPerSweep)] {
		checkpoint := dragonflypass.ClaimCheckpoint{Claim: record.Claim}
		if record.State != dragonflypass.ClaimOpen {
			checkpoint.Outcome = &record.Outcome
		}
		if c.appendRecord(ctx, s, dragonflypass.LogRecord{ClaimCheckpoint: &checkpoint}) != nil {
			return
		}
		c.Meter.Add(dragonflypass.CountClaimCheckpointed, 1)
	}
}
