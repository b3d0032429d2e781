package claimer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

// shard is one claim stream with the state of its claims.
type shard struct {
	stream dragonflypass.LogStream

	mutex locker.Mutex
	state *StateMachine
	// changed is closed and replaced each time entries have been applied.
	changed chan struct{}
	// abandoned holds this VM's claims whose calls will not be sent, until the log shows that they hold no key.
	abandoned map[dragonflypass.Nonce]abandonedClaim
	// pendingOutcomes holds outcomes that are not in the log yet.
	pendingOutcomes []dragonflypass.ClaimOutcome
	// readLock is locked while the stream is read, so that entries are applied in order.
	readLock chan struct{}
}

// abandonedClaim is the key of a claim and the time at which this VM abandoned it.
type abandonedClaim struct {
	key dragonflypass.ClaimKey
	at  time.Time
}

// abandon records that the claim's call will not be sent.
func (s *shard) abandon(claim dragonflypass.Claim, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.abandoned[claim.Nonce] = abandonedClaim{key: claim.Key, at: now}
}

// outcomesToWrite returns the outcomes to append to the log: the pending ones,
// and one for each abandoned claim that holds its key.
func (s *shard) outcomesToWrite(now time.Time) []dragonflypass.ClaimOutcome {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	outcomes := slices.Clone(s.pendingOutcomes)
	for nonce, claim := range s.abandoned {
		if current := s.state.Lookup(claim.key); current != nil && current.Claim.Nonce == nonce {
			outcomes = append(outcomes, dragonflypass.ClaimOutcome{Key: claim.key, Nonce: nonce, Abandoned: true})
		}
		if now.Sub(claim.at) > s.state.Retention {
			delete(s.abandoned, nonce)
		}
	}
	return outcomes
}

// removePending removes an outcome that has been appended to the log.
func (s *shard) removePending(outcome dragonflypass.ClaimOutcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pendingOutcomes = slices.DeleteFunc(s.pendingOutcomes, func(pending dragonflypass.ClaimOutcome) bool { return pending.Nonce == outcome.Nonce })
}

// readShard reads the new entries of the shard's stream and applies them.
func (c *Claimer) readShard(ctx context.Context, s *shard) error {
	select {
	case s.readLock <- struct{}{}:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	defer func() { <-s.readLock }()
	for {
		s.mutex.Lock()
		from := s.state.Offset() + 1
		s.mutex.Unlock()
		page, err := c.readPage(ctx, s, from)
		if errors.Is(err, dragonflypass.ErrTrimmed) && page.FirstOffset > from {
			page, err = c.readPage(ctx, s, page.FirstOffset)
		}
		if err != nil {
			return err
		}
		if len(page.Entries) == 0 {
			return nil
		}
		s.apply(page.Entries)
	}
}

func (c *Claimer) readPage(ctx context.Context, s *shard, from dragonflypass.Offset) (dragonflypass.LogPage, error) {
	ctx, cancel := c.Timer.WithDeadline(ctx, c.Timer.Now().Add(logTimeout))
	defer cancel()
	return c.Log.Read(ctx, s.stream, from, maxPageEntries)
}

// apply applies the entries and wakes the calls that wait for a change. An abandoned claim needs no further outcome
// once the log abandons it or shows that another claim holds its key.
func (s *shard) apply(entries []dragonflypass.LogEntry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, entry := range entries {
		s.state.Apply(entry)
		if outcome := entry.Record.ClaimOutcome; outcome != nil && outcome.Abandoned {
			delete(s.abandoned, outcome.Nonce)
		}
		if claim := entry.Record.Claim; claim != nil && !s.isCurrent(claim) {
			delete(s.abandoned, claim.Nonce)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// isCurrent reports whether the claim holds its key. The caller must hold the mutex.
func (s *shard) isCurrent(claim *dragonflypass.Claim) bool {
	current := s.state.Lookup(claim.Key)
	return current != nil && current.Claim.Nonce == claim.Nonce
}

func (s *shard) currentClaim(key dragonflypass.ClaimKey) (ClaimRecord, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if current := s.state.Lookup(key); current != nil {
		return *current, true
	}
	return ClaimRecord{}, false
}

// syncShard reads the new entries and then appends this VM's outcomes that are not in the log yet.
func (c *Claimer) syncShard(ctx context.Context, s *shard) {
	if c.readShard(ctx, s) != nil {
		c.Meter.Add(dragonflypass.CountLogFailed, 1)
		return
	}
	outcomes := s.outcomesToWrite(c.Timer.Now())
	for _, outcome := range outcomes {
		if c.appendRecord(ctx, s, dragonflypass.LogRecord{ClaimOutcome: &outcome}) != nil {
			return
		}
		s.removePending(outcome)
	}
	if len(outcomes) > 0 {
		_ = c.readShard(ctx, s)
	}
}

func (c *Claimer) appendRecord(ctx context.Context, s *shard, record dragonflypass.LogRecord) error {
	ctx, cancel := c.Timer.WithDeadline(ctx, c.Timer.Now().Add(logTimeout))
	defer cancel()
	_, err := c.Log.Append(ctx, s.stream, record)
	if err != nil {
		c.Meter.Add(dragonflypass.CountLogFailed, 1)
	}
	return err
}
