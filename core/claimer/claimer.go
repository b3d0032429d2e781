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

// ErrMayStillSend means that a claim cannot be resolved because its VM may still send the call.
var ErrMayStillSend = eris.New("claimer: the claim's VM may still send the call")

const (
	// logTimeout bounds one call to the log.
	logTimeout = 2 * time.Second
	// maxPageEntries is the largest number of entries read from the log in one call.
	maxPageEntries = 500
	// readRetryInterval is the time between two reads of a shard while waiting for a claim to appear in it.
	readRetryInterval = 100 * time.Millisecond
	// checkpointsPerRetention is the number of checkpoints of a claim that are written within the log's retention time.
	checkpointsPerRetention = 2
	// maxCheckpointsPerSweep is the largest number of checkpoints written in one sweep of a shard.
	maxCheckpointsPerSweep = 100
	// unknownAfter is the time after a call's deadline from which the outcome of an open claim is reported as unknown.
	unknownAfter = 5 * time.Second
	// maxRecordedBody is the largest response body, in bytes, that is recorded in the log.
	maxRecordedBody = 64 << 10
)

// Claimer appends claims to the claim streams of the log and tracks the state of all claims.
type Claimer struct {
	Self        dragonflypass.VMID
	Incarnation uint64
	Timer       dragonflypass.Timer
	Pool        dragonflypass.Pool
	Log         dragonflypass.Log
	Meter       dragonflypass.Meter
	Logger      dragonflypass.Logger
	// PollInterval is the time between two reads of each shard.
	PollInterval time.Duration
	// Retention is the time for which the log retains records.
	Retention time.Duration
	// OutcomeRetention is the time after a claim for which its known outcome is retained and its key cannot be claimed again.
	OutcomeRetention time.Duration

	shards []*shard
}

// New returns a claimer with the given number of shards and the given retention times.
func New(shards int, retention, outcomeRetention time.Duration) *Claimer {
	c := &Claimer{Retention: retention, OutcomeRetention: outcomeRetention}
	for i := range shards {
		c.shards = append(c.shards, &shard{
			stream:    dragonflypass.LogStream(fmt.Sprintf("%s-%d", dragonflypass.LogStreamClaims, i)),
			mutex:     locker.Mutex{Order: locker.Claims},
			state:     NewStateMachine(retention, outcomeRetention),
			changed:   make(chan struct{}),
			abandoned: make(map[dragonflypass.Nonce]abandonedClaim),
			readLock:  make(chan struct{}, 1),
		})
	}
	return c
}

// Run reads the shards and writes checkpoints periodically until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	for _, s := range c.shards {
		stopSync := c.Timer.Every(dragonflypass.JobClaim, c.PollInterval, func(ctx context.Context) { c.syncShard(ctx, s) })
		defer stopSync()
		stopCheckpoints := c.Timer.Every(dragonflypass.JobSweep, c.Retention/(checkpointsPerRetention*8), func(ctx context.Context) { c.writeCheckpoints(ctx, s) })
		defer stopCheckpoints()
	}
	<-ctx.Done()
}

func (c *Claimer) shard(key dragonflypass.ClaimKey) *shard {
	return c.shards[xxhash.Sum64(key.Key[:])%uint64(len(c.shards))]
}

// RunOnce sends the call if its key has not been claimed before; otherwise it returns the outcome of the earlier call.
//
// send is called at most once for each key, whatever fails. It must return
// ErrUnavailable or ErrRefused only if nothing was executed. The error is a Refusal.
func (c *Claimer) RunOnce(ctx context.Context, call dragonflypass.ServiceCall, body dragonflypass.Digest, key dragonflypass.ClaimKey, send func(context.Context) (dragonflypass.ServiceResponse, error)) (dragonflypass.ServiceResponse, error) {
	s := c.shard(key)
	claim := dragonflypass.Claim{
		Key: key, Nonce: newNonce(), Body: body,
		VM: c.Self, Incarnation: c.Incarnation, At: c.Timer.Now(), Deadline: call.Deadline,
	}
	current, err := c.claimKey(ctx, s, claim, call.Deadline)
	if err != nil {
		return dragonflypass.ServiceResponse{}, err
	}
	if current.Claim.Nonce != claim.Nonce {
		c.Meter.Add(dragonflypass.CountClaimLost, 1)
		return c.earlierOutcome(ctx, s, current, body)
	}
	c.Meter.Add(dragonflypass.CountClaimMade, 1)
	if ctx.Err() != nil || !c.Timer.Now().Before(call.Deadline) {
		c.abandonClaim(s, claim)
		return dragonflypass.ServiceResponse{}, dragonflypass.Refuse(dragonflypass.ReasonTimeout, time.Second, "the call's deadline passed before it was sent")
	}
	c.Meter.Add(dragonflypass.CountAtMostOnceSent, 1)
	response, err := send(ctx)
	return c.recordOutcome(s, claim, response, err)
}

func newNonce() (nonce dragonflypass.Nonce) {
	_, _ = rand.Read(nonce[:]) // crypto/rand.Read never returns an error.
	return nonce
}

// claimKey returns the claim that holds the key; this is the given claim if it comes first in the log.
func (c *Claimer) claimKey(ctx context.Context, s *shard, claim dragonflypass.Claim, deadline time.Time) (ClaimRecord, error) {
	if current, ok := s.currentClaim(claim.Key); ok {
		return current, nil
	}
	err := c.appendRecord(ctx, s, dragonflypass.LogRecord{Claim: &claim})
	if errors.Is(err, dragonflypass.ErrUnavailable) || errors.Is(err, dragonflypass.ErrRefused) {
		return ClaimRecord{}, c.refuseNoLog()
	}
	ctx, cancel := c.Timer.WithDeadline(ctx, minTime(deadline, c.Timer.Now().Add(logTimeout)))
	defer cancel()
	current, ok := c.awaitClaim(ctx, s, claim)
	if !ok {
		c.abandonClaim(s, claim)
		return ClaimRecord{}, c.refuseNoLog()
	}
	if current.Claim.Nonce != claim.Nonce {
		// If the append was delayed, the claim may reach the log after the key is free again. It must not hold the key then.
		s.abandon(claim, c.Timer.Now())
	}
	return current, nil
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *Claimer) refuseNoLog() *dragonflypass.Refusal {
	return dragonflypass.Refuse(dragonflypass.ReasonNoLog, time.Second, "calls that run at most once need the platform's log, which is unavailable")
}

// awaitClaim reads the shard until any claim holds the key. The append of the given claim may have failed or be delayed.
func (c *Claimer) awaitClaim(ctx context.Context, s *shard, claim dragonflypass.Claim) (ClaimRecord, bool) {
	for {
		_ = c.readShard(ctx, s)
		if current, ok := s.currentClaim(claim.Key); ok {
			return current, true
		}
		if !waiter.Wait(ctx, c.Timer, readRetryInterval) {
			return ClaimRecord{}, false
		}
	}
}

// abandonClaim records that the claim's call will not be sent. The claim is
// abandoned in the log now or, if its append is delayed, once it appears there.
func (c *Claimer) abandonClaim(s *shard, claim dragonflypass.Claim) {
	c.Meter.Add(dragonflypass.CountClaimAbandoned, 1)
	s.abandon(claim, c.Timer.Now())
	c.Pool.Submit(dragonflypass.JobClaim, func(ctx context.Context) { c.syncShard(ctx, s) })
}

// recordOutcome queues the outcome of a call that this VM sent, to be appended to the log, and returns it.
// If nothing was executed, it abandons the claim instead.
func (c *Claimer) recordOutcome(s *shard, claim dragonflypass.Claim, response dragonflypass.ServiceResponse, err error) (dragonflypass.ServiceResponse, error) {
	if errors.Is(err, dragonflypass.ErrUnavailable) || errors.Is(err, dragonflypass.ErrRefused) {
		c.abandonClaim(s, claim)
		return dragonflypass.ServiceResponse{}, dragonflypass.Refuse(dragonflypass.ReasonNoServer, time.Second, "no endpoint of the service accepted the call")
	}
	outcome := dragonflypass.ClaimOutcome{Key: claim.Key, Nonce: claim.Nonce, Unknown: err != nil, Response: response}
	if len(response.Body) > maxRecordedBody {
		outcome.Response.Body = nil
	}
	s.mutex.Lock()
	s.pendingOutcomes = append(s.pendingOutcomes, outcome)
	s.mutex.Unlock()
	c.Pool.Submit(dragonflypass.JobClaim, func(ctx context.Context) { c.syncShard(ctx, s) })
	if err != nil {
		return dragonflypass.ServiceResponse{}, refuseUnknown()
	}
	return response, nil
}

func refuseUnknown() *dragonflypass.Refusal {
	return &dragonflypass.Refusal{
		Reason: dragonflypass.ReasonUnknown, Executed: dragonflypass.ExecutedMaybe,
		Detail: "the call was sent and its outcome is unknown; it will not be sent again",
	}
}

// earlierOutcome returns the outcome of the call whose claim holds the key. It waits while that call is in progress.
func (c *Claimer) earlierOutcome(ctx context.Context, s *shard, current ClaimRecord, body dragonflypass.Digest) (dragonflypass.ServiceResponse, error) {
	for {
		if current.Claim.Body != body {
			return dragonflypass.ServiceResponse{}, dragonflypass.Refuse(dragonflypass.ReasonKeyReused, 0, "the idempotency key was used for another call")
		}
		switch current.State {
		case dragonflypass.ClaimDone:
			c.Meter.Add(dragonflypass.CountClaimReplayed, 1)
			response := current.Outcome.Response
			response.Replayed = true
			return response, nil
		case dragonflypass.ClaimUnknown:
			return dragonflypass.ServiceResponse{}, refuseUnknown()
		}
		if c.Timer.Now().Sub(current.Claim.Deadline) > unknownAfter {
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
		updated, ok := s.currentClaim(current.Claim.Key)
		if !ok || updated.Claim.Nonce != current.Claim.Nonce {
			return dragonflypass.ServiceResponse{}, dragonflypass.Refuse(dragonflypass.ReasonInProgress, time.Second, "the earlier call with this key was not sent; retry the call")
		}
		current = updated
	}
}

// refuseInProgress refuses a retry whose first call has no outcome yet: the retry was not sent, but the first call may have been executed.
func (c *Claimer) refuseInProgress() *dragonflypass.Refusal {
	return &dragonflypass.Refusal{
		Reason: dragonflypass.ReasonInProgress, Executed: dragonflypass.ExecutedMaybe, RetryAfter: time.Second,
		Detail: "a call with this key is in progress",
	}
}
