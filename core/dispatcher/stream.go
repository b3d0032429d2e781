package dispatcher

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// migrationLead is the time before a server's maintenance window at which its streams are migrated.
	migrationLead = 3 * time.Second
	// stallTimeout is the time without a frame after which a stream counts as stalled.
	stallTimeout = 5 * time.Second
	// prefillStallFactor multiplies the predicted prefill time, which is added to stallTimeout before the first frame.
	prefillStallFactor = 4
	// cancelTimeout bounds the cancellation of one stream at its server.
	cancelTimeout = time.Second
	// releaseTimeout bounds one attempt to return a permit.
	releaseTimeout = time.Second
	// releaseAttempts is the number of attempts to return a permit; after them the permit's lease expires.
	releaseAttempts = 3
)

// openStream is an open stream at a backend server.
type openStream struct {
	record dragonflypass.OpenStream
	owner  dragonflypass.VMID
	// cancel ends the stream with a cause, so that the request continues elsewhere.
	cancel context.CancelCauseFunc
	// stallDeadline is the time, in nanoseconds since 1970, at which the stream counts as stalled if no further frame arrives.
	stallDeadline atomic.Int64
}

// runAttempt runs one attempt under the permit and returns the permit on every path.
// The group holds the prompt parts that other servers have prefilled, nil if this server prefills the whole prompt.
func (d *Dispatcher) runAttempt(ctx context.Context, j *job, permit dragonflypass.Permit, group *group) (dragonflypass.TokenUsage, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	prompt, tokens := j.request.Prompt, j.request.PromptTokens
	var sources []dragonflypass.KVSource
	if group != nil {
		prompt, tokens, sources = group.decodePart().text, group.decodePart().tokens, group.kvSources()
	}
	s := d.trackStream(j, permit, tokens+j.deliveredTokens, j.request.OutputTokens-j.deliveredTokens, cancel)
	tokensBefore := j.deliveredTokens
	r := &reader{dispatcher: d, job: j, stream: permit.Stream, openStream: s}
	err := d.callWithReconnect(ctx, j, dragonflypass.EngineCall{
		Permit:          permit,
		Model:           j.request.Model,
		Prompt:          prompt,
		DeliveredText:   j.deliveredText.String(),
		DeliveredTokens: j.deliveredTokens,
		OutputTokens:    j.request.OutputTokens,
		KVSources:       sources,
		MigrateFrom:     j.source.kvSource(),
		Deadline:        j.request.Deadline,
	}, r)
	if errors.Is(context.Cause(ctx), errServerMaintenance) && err != nil && group == nil {
		d.keepForMigration(ctx, j, permit, j.deliveredTokens-tokensBefore)
		return dragonflypass.TokenUsage{}, errServerMaintenance
	}
	defer d.untrackStream(permit.Stream)
	release := dragonflypass.PermitRelease{
		Stream:       permit.Stream,
		Server:       permit.Server,
		OutputTokens: j.deliveredTokens - tokensBefore,
		Outcome:      d.streamOutcome(ctx, permit, err),
	}
	d.releasePermit(permit.Owner, release)
	switch cause := context.Cause(ctx); {
	case err == nil:
		return r.usage, nil
	case errors.Is(cause, errServerMaintenance):
		return dragonflypass.TokenUsage{}, errServerMaintenance
	case errors.Is(cause, errStalled):
		return dragonflypass.TokenUsage{}, dragonflypass.ErrBroken
	}
	return dragonflypass.TokenUsage{}, err
}

// callWithReconnect runs the call and reconnects once if only the connection broke. If the source of a migration
// no longer exists, it runs the call without it.
func (d *Dispatcher) callWithReconnect(ctx context.Context, j *job, call dragonflypass.EngineCall, r *reader) error {
	err := d.callEngine(ctx, call, r)
	if call.MigrateFrom != nil && errors.Is(err, dragonflypass.ErrUnknown) {
		d.Meter.Add(dragonflypass.CountKVCopyFailed, 1)
		call.MigrateFrom = nil
		err = d.callEngine(ctx, call, r)
	}
	j.maybeExecuted = j.maybeExecuted || mayHaveExecuted(err)
	if ctx.Err() != nil || !errors.Is(err, dragonflypass.ErrBroken) {
		return err
	}
	call.Attempt++
	call.Reconnect = true
	call.DeliveredTokens = j.deliveredTokens
	if err := d.callEngine(ctx, call, r); err == nil || errors.Is(err, errCallerDisconnected) {
		return err
	}
	return dragonflypass.ErrBroken
}

// mayHaveExecuted reports whether the server may have executed a call that ended with the error.
func mayHaveExecuted(err error) bool {
	return !errors.Is(err, dragonflypass.ErrUnavailable) && !errors.Is(err, dragonflypass.ErrRefused)
}

// callEngine makes one call; it succeeds only if the answer's last frame arrived.
func (d *Dispatcher) callEngine(ctx context.Context, call dragonflypass.EngineCall, r *reader) error {
	r.attempt = call.Attempt
	err := d.Engine.Stream(ctx, call, r.accept)
	if err == nil && !r.endSeen {
		return dragonflypass.ErrBroken
	}
	return err
}

// streamOutcome returns how the stream ended at the server. It cancels the stream there if the server may still run it.
func (d *Dispatcher) streamOutcome(ctx context.Context, permit dragonflypass.Permit, err error) dragonflypass.StreamOutcome {
	switch {
	case err == nil:
		return dragonflypass.OutcomeDone
	case errors.Is(err, dragonflypass.ErrUnavailable), errors.Is(err, dragonflypass.ErrRefused):
		return dragonflypass.OutcomeUnsent
	}
	return d.cancelStream(ctx, permit)
}

// cancelStream cancels the stream at its server. It returns OutcomeCancelled, or OutcomeLost if the cancellation failed.
func (d *Dispatcher) cancelStream(ctx context.Context, permit dragonflypass.Permit) dragonflypass.StreamOutcome {
	ctx, cancel := d.Timer.WithDeadline(context.WithoutCancel(ctx), d.Timer.Now().Add(cancelTimeout))
	defer cancel()
	if d.Engine.Cancel(ctx, permit.Address, permit.Stream) != nil {
		return dragonflypass.OutcomeLost
	}
	return dragonflypass.OutcomeCancelled
}

// releasePermit returns a permit to its owner, in a worker if the owner is another VM.
func (d *Dispatcher) releasePermit(owner dragonflypass.VMID, release dragonflypass.PermitRelease) {
	if owner == d.Self.ID {
		d.LocalOwner.Release(release)
		return
	}
	d.releaseRemote(owner, release, releaseAttempts)
}

// releaseRemote returns a permit to another VM and retries if that fails.
func (d *Dispatcher) releaseRemote(owner dragonflypass.VMID, release dragonflypass.PermitRelease, attempts int) {
	for _, member := range d.Members.Others() {
		if member.VM.ID != owner {
			continue
		}
		d.Pool.Submit(dragonflypass.JobPeer, func(ctx context.Context) {
			ctx, cancel := d.Timer.WithDeadline(ctx, d.Timer.Now().Add(releaseTimeout))
			defer cancel()
			if d.Peers.Release(ctx, member.VM, release) != nil && attempts > 1 {
				d.releaseRemote(owner, release, attempts-1)
			}
		})
		return
	}
}

// reader checks the frames of a stream and passes the valid ones to the caller.
type reader struct {
	dispatcher *Dispatcher
	job        *job
	stream     dragonflypass.StreamID
	openStream *openStream
	attempt    int
	usage      dragonflypass.TokenUsage
	endSeen    bool
	// begun is set once the server has sent a token of its answer.
	begun bool
}

// accept handles a frame. It drops repeated frames and those of another stream or attempt; a gap breaks the stream.
func (r *reader) accept(frame dragonflypass.Frame) error {
	j := r.job
	if frame.Stream != r.stream || frame.Attempt != r.attempt || frame.Index < j.deliveredTokens {
		r.dispatcher.Meter.Add(dragonflypass.CountFrameDropped, 1)
		return nil
	}
	if frame.Index > j.deliveredTokens || (frame.End && frame.Count != j.deliveredTokens) {
		return dragonflypass.ErrBroken
	}
	if frame.End {
		r.endSeen = true
		r.usage = dragonflypass.TokenUsage{PromptTokens: frame.PromptTokens, OutputTokens: frame.Count, Finish: frame.Finish}
	} else {
		if !r.begun {
			r.begun = true
			r.dispatcher.Quarantiner.RecordBegun(j.request.Model, j.request.Parts)
		}
		j.deliveredText.WriteString(frame.Text)
		j.deliveredTokens += frame.Tokens
		r.dispatcher.recordFrameTimes(j, frame.Tokens)
		if j.source != nil {
			r.dispatcher.Meter.Add(dragonflypass.CountMigrated, 1)
			r.dispatcher.releaseSource(j)
		}
		r.openStream.stallDeadline.Store(j.lastFrameAt.Add(stallTimeout).UnixNano())
	}
	if err := j.sink.Accept(frame); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// recordFrameTimes records the time from arrival to the first frame, or the time per token since the last frame.
func (d *Dispatcher) recordFrameTimes(j *job, tokens int) {
	now := d.Timer.Now()
	if j.lastFrameAt.IsZero() {
		d.Meter.Observe(dragonflypass.MeasureFirstToken, j.request.Rank, j.request.Class(), now.Sub(j.request.Arrived))
	} else {
		timePerToken := now.Sub(j.lastFrameAt) / time.Duration(max(1, tokens))
		d.Meter.Observe(dragonflypass.MeasureTimePerToken, j.request.Rank, j.request.Class(), timePerToken)
		j.decodeTime += timePerToken * time.Duration(tokens)
	}
	j.lastFrameAt = now
	d.Meter.Add(dragonflypass.CountTokens, int64(tokens))
}

// trackStream adds an open stream with the prompt and output tokens that it may need at its server.
func (d *Dispatcher) trackStream(j *job, permit dragonflypass.Permit, promptTokens, outputTokens int, cancel context.CancelCauseFunc) *openStream {
	prefill, _ := slowestRates(d.Current(), j.request.Model)
	s := &openStream{
		owner:  permit.Owner,
		cancel: cancel,
		record: dragonflypass.OpenStream{
			Stream: permit.Stream, Server: permit.Server, Tokens: promptTokens + outputTokens,
			Fingerprint: j.request.Fingerprint, Parts: j.request.Parts, Rank: j.request.Rank, Account: j.request.Account, Deadline: j.request.Deadline,
		},
	}
	s.stallDeadline.Store(d.Timer.Now().Add(stallTimeout + prefillStallFactor*seconds(float64(promptTokens)/prefill)).UnixNano())
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.openStreams[permit.Stream] = s
	return s
}

func (d *Dispatcher) untrackStream(stream dragonflypass.StreamID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.openStreams, stream)
}

// OpenStreams returns the sequence numbers of the open streams whose permits the owner granted, and the open streams
// at servers that it owns now but whose permits another VM granted.
func (d *Dispatcher) OpenStreams(owner dragonflypass.VMID) (granted []uint64, inherited []dragonflypass.OpenStream) {
	d.mutex.Lock()
	streams := make([]*openStream, 0, len(d.openStreams))
	for _, s := range d.openStreams {
		streams = append(streams, s)
	}
	d.mutex.Unlock()
	for _, s := range streams {
		switch {
		case s.owner == owner:
			granted = append(granted, s.record.Stream.Sequence)
		case d.OwnerOf(s.record.Server) == owner:
			inherited = append(inherited, s.record)
		}
	}
	return granted, inherited
}

// OpenCount returns the number of open streams.
func (d *Dispatcher) OpenCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.openStreams)
}

// Sweep reports this VM's own open streams to its local owner. It ends streams that have stalled and
// streams whose server's maintenance window starts soon, so that their requests continue elsewhere.
func (d *Dispatcher) Sweep(context.Context) {
	granted, inherited := d.OpenStreams(d.Self.ID)
	d.LocalOwner.HandleHeartbeat(dragonflypass.Heartbeat{From: d.Self, Incarnation: d.Incarnation, GrantedStreams: granted, InheritedStreams: inherited})
	now := d.Timer.Now()
	current := d.Current()
	type cancellation struct {
		cancel context.CancelCauseFunc
		cause  error
	}
	var cancellations []cancellation
	d.mutex.Lock()
	for _, s := range d.openStreams {
		windowStart := current.NextMaintenance(string(s.record.Server), now)
		switch {
		case !windowStart.IsZero() && windowStart.Sub(now) <= migrationLead:
			cancellations = append(cancellations, cancellation{cancel: s.cancel, cause: errServerMaintenance})
		case now.UnixNano() > s.stallDeadline.Load():
			cancellations = append(cancellations, cancellation{cancel: s.cancel, cause: errStalled})
		}
	}
	d.mutex.Unlock()
	for _, c := range cancellations {
		c.cancel(c.cause)
	}
}
