package claimer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

// shard is one claim stream with its table.
type shard struct {
	stream dragonflypass.LogStream

	mutex locker.Mutex
	fold  *StateMachine
	// changed is closed and replaced each time the fold moves.
	changed chan struct{}
	// given holds this VM's claims that will not be sent, until the log shows that they are void.
	given map[dragonflypass.Nonce]given
	// ends holds outcomes that are not in the log yet.
	ends []dragonflypass.ClaimOutcome
	// reading is held while the stream is read, so that entries are folded in order.
	reading chan struct{}
}

// given is a claim that was given up at the instant.
type given struct {
	key dragonflypass.ClaimKey
	at  time.Time
}

// give notes that the claim's call will not be sent.
func (s *shard) give(claim dragonflypass.Claim, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.given[claim.Nonce] = given{key: claim.Key, at: now}
}

// owed returns the outcomes to be written: those not in the log yet and the
// void ones of claims that surfaced after they were given up.
func (s *shard) owed(now time.Time) []dragonflypass.ClaimOutcome {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	owed := slices.Clone(s.ends)
	for nonce, g := range s.given {
		if holding := s.fold.Holding(g.key); holding != nil && holding.Claim.Nonce == nonce {
			owed = append(owed, dragonflypass.ClaimOutcome{Key: g.key, Nonce: nonce, Abandoned: true})
		}
		if now.Sub(g.at) > s.fold.Retention {
			delete(s.given, nonce)
		}
	}
	return owed
}

func (s *shard) paid(end dragonflypass.ClaimOutcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ends = slices.DeleteFunc(s.ends, func(e dragonflypass.ClaimOutcome) bool { return e.Nonce == end.Nonce })
}

// read folds in what is new in the shard's stream.
func (c *Claimer) read(ctx context.Context, s *shard) error {
	select {
	case s.reading <- struct{}{}:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	defer func() { <-s.reading }()
	for {
		s.mutex.Lock()
		from := s.fold.Offset() + 1
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
	return c.Log.Read(ctx, s.stream, from, pageLimit)
}

func (s *shard) apply(entries []dragonflypass.LogEntry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, entry := range entries {
		s.fold.Apply(entry)
		if end := entry.Record.ClaimOutcome; end != nil && end.Abandoned {
			delete(s.given, end.Nonce)
		}
		if claim := entry.Record.Claim; claim != nil && !s.holds(claim) {
			delete(s.given, claim.Nonce)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// holds reports whether the claim holds its key; it is called with the mutex held.
func (s *shard) holds(claim *dragonflypass.Claim) bool {
	holding := s.fold.Holding(claim.Key)
	return holding != nil && holding.Claim.Nonce == claim.Nonce
}

func (s *shard) holding(key dragonflypass.ClaimKey) (ClaimRecord, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if held := s.fold.Holding(key); held != nil {
		return *held, true
	}
	return ClaimRecord{}, false
}

// follow reads what is new and writes what this VM still owes the log.
func (c *Claimer) follow(ctx context.Context, s *shard) {
	if c.read(ctx, s) != nil {
		c.Meter.Add(dragonflypass.CountLogFailed, 1)
		return
	}
	owed := s.owed(c.Timer.Now())
	for _, end := range owed {
		if c.append(ctx, s, dragonflypass.LogRecord{ClaimOutcome: &end}) != nil {
			return
		}
		s.paid(end)
	}
	if len(owed) > 0 {
		_ = c.read(ctx, s)
	}
}

func (c *Claimer) append(ctx context.Context, s *shard, record dragonflypass.LogRecord) error {
	ctx, cancel := c.Timer.WithDeadline(ctx, c.Timer.Now().Add(logTimeout))
	defer cancel()
	_, err := c.Log.Append(ctx, s.stream, record)
	if err != nil {
		c.Meter.Add(dragonflypass.CountLogFailed, 1)
	}
	return err
}
