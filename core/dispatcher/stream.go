package dispatcher

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// moveLead is the time before a server's window at which its streams are moved.
	moveLead = 3 * time.Second
	// stallTime is the time without a frame after which a stream counts as stalled.
	stallTime = 5 * time.Second
	// prefillPatience multiplies the predicted prompt processing time that is added before the first frame.
	prefillPatience = 4
	// cancelTimeout bounds one cancellation at a server.
	cancelTimeout = time.Second
	// releaseTimeout bounds one attempt to return a permit.
	releaseTimeout = time.Second
	// releaseTries is the number of attempts to return a permit; after them its lease runs out.
	releaseTries = 3
)

// heldStream is an open stream at a backend server.
type heldStream struct {
	held  dragonflypass.OpenStream
	owner dragonflypass.VMID
	// move ends the stream so that the request goes on elsewhere.
	move context.CancelCauseFunc
	// stalls is the instant, in nanoseconds since 1970, at which the stream counts as stalled without a further frame.
	stalls atomic.Int64
}

// stream runs one attempt under the permit and returns the permit on every path.
// The group's parts are the prompt before what this server processes, nil where it processes all.
func (d *Dispatcher) stream(ctx context.Context, j *job, permit dragonflypass.Permit, group *group) (dragonflypass.TokenUsage, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	prompt, tokens := j.request.Prompt, j.request.PromptTokens
	var imports []dragonflypass.KVSource
	if group != nil {
		prompt, tokens, imports = group.head().text, group.head().tokens, group.imports()
	}
	open := d.hold(j, permit, tokens+j.tokens, j.request.OutputTokens-j.tokens, cancel)
	before := j.tokens
	r := &reader{dispatcher: d, job: j, stream: permit.Stream, open: open}
	err := d.run(ctx, j, dragonflypass.EngineCall{
		Permit:          permit,
		Model:           j.request.Model,
		Prompt:          prompt,
		DeliveredText:   j.delivered.String(),
		DeliveredTokens: j.tokens,
		OutputTokens:    j.request.OutputTokens,
		KVSources:       imports,
		MigrateFrom:     j.source.export(),
		Deadline:        j.request.Deadline,
	}, r)
	if errors.Is(context.Cause(ctx), errMoved) && err != nil && group == nil {
		d.keep(ctx, j, permit, j.tokens-before)
		return dragonflypass.TokenUsage{}, errMoved
	}
	defer d.unhold(permit.Stream)
	release := dragonflypass.PermitRelease{
		Stream:       permit.Stream,
		Server:       permit.Server,
		OutputTokens: j.tokens - before,
		Outcome:      d.outcome(ctx, permit, err),
	}
	d.release(permit.Owner, release)
	switch cause := context.Cause(ctx); {
	case err == nil:
		return r.usage, nil
	case errors.Is(cause, errMoved):
		return dragonflypass.TokenUsage{}, errMoved
	case errors.Is(cause, errStalled):
		return dragonflypass.TokenUsage{}, dragonflypass.ErrBroken
	}
	return dragonflypass.TokenUsage{}, err
}

// run streams, and takes the stream up again once when only the connection broke.
func (d *Dispatcher) run(ctx context.Context, j *job, call dragonflypass.EngineCall, r *reader) error {
	err := d.attempt(ctx, call, r)
	if call.MigrateFrom != nil && errors.Is(err, dragonflypass.ErrUnknown) {
		d.Meter.Add(dragonflypass.CountCopyFailed, 1)
		call.MigrateFrom = nil
		err = d.attempt(ctx, call, r)
	}
	j.sent = j.sent || reached(err)
	if ctx.Err() != nil || !errors.Is(err, dragonflypass.ErrBroken) {
		return err
	}
	call.Attempt++
	call.Reconnect = true
	call.DeliveredTokens = j.tokens
	if err := d.attempt(ctx, call, r); err == nil || errors.Is(err, errCaller) {
		return err
	}
	return dragonflypass.ErrBroken
}

// reached reports whether a call that ended with the error may have run at the server.
func reached(err error) bool {
	return !errors.Is(err, dragonflypass.ErrUnavailable) && !errors.Is(err, dragonflypass.ErrRefused)
}

// attempt makes one call; it succeeds only when the answer's own last frame came.
func (d *Dispatcher) attempt(ctx context.Context, call dragonflypass.EngineCall, r *reader) error {
	r.attempt = call.Attempt
	err := d.Engine.Stream(ctx, call, r.accept)
	if err == nil && !r.ended {
		return dragonflypass.ErrBroken
	}
	return err
}

// outcome tells how the stream ended at the server, cancelling it there when this side cut it.
func (d *Dispatcher) outcome(ctx context.Context, permit dragonflypass.Permit, err error) dragonflypass.StreamOutcome {
	switch {
	case err == nil:
		return dragonflypass.OutcomeDone
	case errors.Is(err, dragonflypass.ErrUnavailable), errors.Is(err, dragonflypass.ErrRefused):
		return dragonflypass.OutcomeUnsent
	}
	return d.cancel(ctx, permit)
}

// cancel ends the stream at its server.
func (d *Dispatcher) cancel(ctx context.Context, permit dragonflypass.Permit) dragonflypass.StreamOutcome {
	ctx, cancel := d.Timer.WithDeadline(context.WithoutCancel(ctx), d.Timer.Now().Add(cancelTimeout))
	defer cancel()
	if d.Engine.Cancel(ctx, permit.Address, permit.Stream) != nil {
		return dragonflypass.OutcomeLost
	}
	return dragonflypass.OutcomeCancelled
}

// release returns a permit to its owner, from a worker when the owner is another VM.
func (d *Dispatcher) release(owner dragonflypass.VMID, release dragonflypass.PermitRelease) {
	if owner == d.Self.ID {
		d.Local.Release(release)
		return
	}
	d.releaseLater(owner, release, releaseTries)
}

func (d *Dispatcher) releaseLater(owner dragonflypass.VMID, release dragonflypass.PermitRelease, tries int) {
	for _, member := range d.Owners.Others() {
		if member.VM.ID != owner {
			continue
		}
		d.Pool.Submit(dragonflypass.JobPeer, func(ctx context.Context) {
			ctx, cancel := d.Timer.WithDeadline(ctx, d.Timer.Now().Add(releaseTimeout))
			defer cancel()
			if d.Peers.Release(ctx, member.VM, release) != nil && tries > 1 {
				d.releaseLater(owner, release, tries-1)
			}
		})
		return
	}
}

// reader checks a stream's frames and passes the caller its own.
type reader struct {
	dispatcher *Dispatcher
	job        *job
	stream     dragonflypass.StreamID
	open       *heldStream
	attempt    int
	usage      dragonflypass.TokenUsage
	ended      bool
}

// accept takes a frame: one of another stream or attempt, or one that repeats, is dropped; a gap breaks the stream.
func (r *reader) accept(frame dragonflypass.Frame) error {
	j := r.job
	if frame.Stream != r.stream || frame.Attempt != r.attempt || frame.Index < j.tokens {
		r.dispatcher.Meter.Add(dragonflypass.CountFrameDropped, 1)
		return nil
	}
	if frame.Index > j.tokens || (frame.End && frame.Count != j.tokens) {
		return dragonflypass.ErrBroken
	}
	if frame.End {
		r.ended = true
		r.usage = dragonflypass.TokenUsage{PromptTokens: frame.PromptTokens, OutputTokens: frame.Count, Finish: frame.Finish}
	} else {
		j.delivered.WriteString(frame.Text)
		j.tokens += frame.Tokens
		r.dispatcher.observe(j, frame.Tokens)
		if j.source != nil {
			r.dispatcher.Meter.Add(dragonflypass.CountMoved, 1)
			r.dispatcher.letGo(j)
		}
		r.open.stalls.Store(j.last.Add(stallTime).UnixNano())
	}
	if err := j.sink.Accept(frame); err != nil {
		return errCaller
	}
	return nil
}

// observe records the times of a frame's coming.
func (d *Dispatcher) observe(j *job, tokens int) {
	now := d.Timer.Now()
	if j.last.IsZero() {
		d.Meter.Observe(dragonflypass.MeasureFirstToken, j.request.Rank, j.request.Class(), now.Sub(j.request.Arrived))
	} else {
		span := now.Sub(j.last) / time.Duration(max(1, tokens))
		d.Meter.Observe(dragonflypass.MeasureBetween, j.request.Rank, j.request.Class(), span)
		j.between += span * time.Duration(tokens)
	}
	j.last = now
	d.Meter.Add(dragonflypass.CountTokens, int64(tokens))
}

// hold notes a stream with the prompt and output tokens that it may need at its server.
func (d *Dispatcher) hold(j *job, permit dragonflypass.Permit, prompt, output int, move context.CancelCauseFunc) *heldStream {
	prefill, _ := rates(d.Current(), j.request.Model)
	h := &heldStream{
		owner: permit.Owner,
		move:  move,
		held: dragonflypass.OpenStream{
			Stream: permit.Stream, Server: permit.Server, Tokens: prompt + output,
			Fingerprint: j.request.Fingerprint, Rank: j.request.Rank, Account: j.request.Account, Deadline: j.request.Deadline,
		},
	}
	h.stalls.Store(d.Timer.Now().Add(stallTime + prefillPatience*seconds(float64(prompt)/prefill)).UnixNano())
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.held[permit.Stream] = h
	return h
}

func (d *Dispatcher) unhold(stream dragonflypass.StreamID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.held, stream)
}

// OpenStreams returns the open streams that the VM granted, by their sequence numbers, and
// those that another one granted at backend servers that the VM owns now.
func (d *Dispatcher) OpenStreams(owner dragonflypass.VMID) (kept []uint64, held []dragonflypass.OpenStream) {
	d.mutex.Lock()
	all := make([]*heldStream, 0, len(d.held))
	for _, h := range d.held {
		all = append(all, h)
	}
	d.mutex.Unlock()
	for _, h := range all {
		switch {
		case h.owner == owner:
			kept = append(kept, h.held.Stream.Sequence)
		case d.Owner(h.held.Server) == owner:
			held = append(held, h.held)
		}
	}
	return kept, held
}

// Open returns the number of open streams.
func (d *Dispatcher) Open() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.held)
}

// Sweep claims this VM's own streams, and ends those that stalled or whose
// server is about to be taken down, so that their requests go on elsewhere.
func (d *Dispatcher) Sweep(context.Context) {
	kept, held := d.OpenStreams(d.Self.ID)
	d.Local.HandleHeartbeat(dragonflypass.Heartbeat{From: d.Self, Incarnation: d.Incarnation, GrantedStreams: kept, InheritedStreams: held})
	now := d.Timer.Now()
	current := d.Current()
	type end struct {
		move  context.CancelCauseFunc
		cause error
	}
	var ends []end
	d.mutex.Lock()
	for _, h := range d.held {
		closing := current.NextMaintenance(string(h.held.Server), now)
		switch {
		case !closing.IsZero() && closing.Sub(now) <= moveLead:
			ends = append(ends, end{move: h.move, cause: errMoved})
		case now.UnixNano() > h.stalls.Load():
			ends = append(ends, end{move: h.move, cause: errStalled})
		}
	}
	d.mutex.Unlock()
	for _, e := range ends {
		e.move(e.cause)
	}
}
