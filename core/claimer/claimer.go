package claimer

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
	"github.com/dragonflypass/dragonflypass/core/waiter"
)

// ErrOpen means that a claim cannot be settled because its VM may still send the call.
var ErrOpen = eris.New("claimer: the claim's VM may still send the call")

const (
	// logTimeout bounds one call to the log.
	logTimeout = 2 * time.Second
	// pageLimit is the largest number of entries read from the log at once.
	pageLimit = 500
	// readRetry is the time between two readings while a claim is looked for.
	readRetry = 100 * time.Millisecond
	// keepParts is the number of copies of a claim written within the log's retention time.
	keepParts = 2
	// copiesAtOnce is the largest number of copies written in one sweep of a shard.
	copiesAtOnce = 100
	// overdue is the time after a call's deadline from which an open claim counts as one of unknown outcome.
	overdue = 5 * time.Second
	// answerLimit is the largest answer body, in bytes, that is recorded.
	answerLimit = 64 << 10
)

// Claimer makes claims and follows the claim streams.
type Claimer struct {
	Self        dragonflypass.VMID
	Incarnation uint64
	Timer       dragonflypass.Timer
	Pool        dragonflypass.Pool
	Log         dragonflypass.Log
	Meter       dragonflypass.Meter
	Logger      dragonflypass.Logger
	// Poll is the time between two readings of each shard.
	Poll time.Duration
	// Retention is the time for which the log keeps records.
	Retention time.Duration
	// OutcomeRetention is the time for which a known outcome holds its key.
	OutcomeRetention time.Duration

	shards []*shard
}

// New returns a claimer over the given number of shards.
func New(shards int, retention, remember time.Duration) *Claimer {
	c := &Claimer{Retention: retention, OutcomeRetention: remember}
	for i := range shards {
		c.shards = append(c.shards, &shard{
			stream:  dragonflypass.LogStream(fmt.Sprintf("%s-%d", dragonflypass.LogStreamClaims, i)),
			mutex:   locker.Mutex{Order: locker.Claims},
			fold:    NewStateMachine(retention, remember),
			changed: make(chan struct{}),
			given:   make(map[dragonflypass.Nonce]given),
			reading: make(chan struct{}, 1),
		})
	}
	return c
}

// Run follows the shards until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	for _, s := range c.shards {
		stopRead := c.Timer.Every(dragonflypass.JobClaim, c.Poll, func(ctx context.Context) { c.follow(ctx, s) })
		defer stopRead()
		stopKeep := c.Timer.Every(dragonflypass.JobSweep, c.Retention/(keepParts*8), func(ctx context.Context) { c.keep(ctx, s) })
		defer stopKeep()
	}
	<-ctx.Done()
}

func (c *Claimer) shard(key dragonflypass.ClaimKey) *shard {
	return c.shards[xxhash.Sum64(key.Key[:])%uint64(len(c.shards))]
}

// Once runs the call if its key was never claimed, and else returns what became of the earlier run.
//
// send is called at most once for each key, whatever fails; it returns
// ErrUnavailable or ErrRefused only when nothing ran. The error is a Refusal.
func (c *Claimer) Once(ctx context.Context, call dragonflypass.ServiceCall, body dragonflypass.Digest, key dragonflypass.ClaimKey, send func(context.Context) (dragonflypass.ServiceResponse, error)) (dragonflypass.ServiceResponse, error) {
	s := c.shard(key)
	claim := dragonflypass.Claim{
		Key: key, Nonce: newNonce(), Body: body,
		VM: c.Self, Incarnation: c.Incarnation, At: c.Timer.Now(), Deadline: call.Deadline,
	}
	held, err := c.claim(ctx, s, claim, call.Deadline)
	if err != nil {
		return dragonflypass.ServiceResponse{}, err
	}
	if held.Claim.Nonce != claim.Nonce {
		c.Meter.Add(dragonflypass.CountClaimLost, 1)
		return c.earlier(ctx, s, held, body)
	}
	c.Meter.Add(dragonflypass.CountClaimMade, 1)
	if ctx.Err() != nil || !c.Timer.Now().Before(call.Deadline) {
		c.giveUp(s, claim)
		return dragonflypass.ServiceResponse{}, dragonflypass.Refuse(dragonflypass.ReasonTimeout, time.Second, "the call's time was over before it was sent")
	}
	c.Meter.Add(dragonflypass.CountOnceSent, 1)
	answer, err := send(ctx)
	return c.conclude(s, claim, answer, err)
}

func newNonce() (nonce dragonflypass.Nonce) {
	_, _ = rand.Read(nonce[:]) // It never fails.
	return nonce
}

// claim returns the claim that holds the key, which is the given one when it came first in the log.
func (c *Claimer) claim(ctx context.Context, s *shard, claim dragonflypass.Claim, deadline time.Time) (ClaimRecord, error) {
	if held, ok := s.holding(claim.Key); ok {
		return held, nil
	}
	err := c.append(ctx, s, dragonflypass.LogRecord{Claim: &claim})
	if errors.Is(err, dragonflypass.ErrUnavailable) || errors.Is(err, dragonflypass.ErrRefused) {
		return ClaimRecord{}, c.refuseNoLog()
	}
	ctx, cancel := c.Timer.WithDeadline(ctx, minTime(deadline, c.Timer.Now().Add(logTimeout)))
	defer cancel()
	held, ok := c.find(ctx, s, claim)
	if !ok {
		c.giveUp(s, claim)
		return ClaimRecord{}, c.refuseNoLog()
	}
	if held.Claim.Nonce != claim.Nonce {
		// The append may still be on its way, and find the key free again.
		s.give(claim, c.Timer.Now())
	}
	return held, nil
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *Claimer) refuseNoLog() *dragonflypass.Refusal {
	return dragonflypass.Refuse(dragonflypass.ReasonNoLog, time.Second, "calls that run at most once need the platform's log, which does not answer")
}

// find reads the stream until some claim holds the key; the given one's append may have failed or be on its way.
func (c *Claimer) find(ctx context.Context, s *shard, claim dragonflypass.Claim) (ClaimRecord, bool) {
	for {
		_ = c.read(ctx, s)
		if held, ok := s.holding(claim.Key); ok {
			return held, true
		}
		if !waiter.Wait(ctx, c.Timer, readRetry) {
			return ClaimRecord{}, false
		}
	}
}

// giveUp has the claim made void, now or when it surfaces in the log; its call is not sent any more.
func (c *Claimer) giveUp(s *shard, claim dragonflypass.Claim) {
	c.Meter.Add(dragonflypass.CountClaimVoided, 1)
	s.give(claim, c.Timer.Now())
	c.Pool.Submit(dragonflypass.JobClaim, func(ctx context.Context) { c.follow(ctx, s) })
}

// conclude records the outcome of a call that was this VM's to send.
func (c *Claimer) conclude(s *shard, claim dragonflypass.Claim, answer dragonflypass.ServiceResponse, err error) (dragonflypass.ServiceResponse, error) {
	if errors.Is(err, dragonflypass.ErrUnavailable) || errors.Is(err, dragonflypass.ErrRefused) {
		c.giveUp(s, claim)
		return dragonflypass.ServiceResponse{}, dragonflypass.Refuse(dragonflypass.ReasonNoServer, time.Second, "no endpoint of the service took the call")
	}
	end := dragonflypass.ClaimOutcome{Key: claim.Key, Nonce: claim.Nonce, Unknown: err != nil, Response: answer}
	if len(answer.Body) > answerLimit {
		end.Response.Body = nil
	}
	s.mutex.Lock()
	s.ends = append(s.ends, end)
	s.mutex.Unlock()
	c.Pool.Submit(dragonflypass.JobClaim, func(ctx context.Context) { c.follow(ctx, s) })
	if err != nil {
		return dragonflypass.ServiceResponse{}, refuseUnknown()
	}
	return answer, nil
}

func refuseUnknown() *dragonflypass.Refusal {
	return &dragonflypass.Refusal{
		Reason: dragonflypass.ReasonUnknown, Executed: dragonflypass.ExecutedMaybe,
		Detail: "the call was sent and its outcome is not known; it will not be sent again",
	}
}

// earlier returns what became of the call that holds the key, waiting while it is under way.
func (c *Claimer) earlier(ctx context.Context, s *shard, held ClaimRecord, body dragonflypass.Digest) (dragonflypass.ServiceResponse, error) {
	for {
		if held.Claim.Body != body {
			return dragonflypass.ServiceResponse{}, dragonflypass.Refuse(dragonflypass.ReasonKeyReused, 0, "the idempotency key was used for another call")
		}
		switch held.State {
		case dragonflypass.ClaimDone:
			c.Meter.Add(dragonflypass.CountClaimReplayed, 1)
			answer := held.End.Response
			answer.Replayed = true
			return answer, nil
		case dragonflypass.ClaimUnknown:
			return dragonflypass.ServiceResponse{}, refuseUnknown()
		}
		if c.Timer.Now().Sub(held.Claim.Deadline) > overdue {
			return dragonflypass.ServiceResponse{}, refuseUnknown()
		}
		s.mutex.Lock()
		changed := s.changed
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return dragonflypass.ServiceResponse{}, c.refuseInProgress()
		}
		now, ok := s.holding(held.Claim.Key)
		if !ok || now.Claim.Nonce != held.Claim.Nonce {
			return dragonflypass.ServiceResponse{}, dragonflypass.Refuse(dragonflypass.ReasonInProgress, time.Second, "the earlier call with this key was not sent; send it again")
		}
		held = now
	}
}

// refuseInProgress answers a repeat whose first call has no outcome yet: this one was not sent, the first may have run.
func (c *Claimer) refuseInProgress() *dragonflypass.Refusal {
	return &dragonflypass.Refusal{
		Reason: dragonflypass.ReasonInProgress, Executed: dragonflypass.ExecutedMaybe, RetryAfter: time.Second,
		Detail: "a call with this key is under way",
	}
}
