package dispatcher

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/admitter"
	"github.com/dragonflypass/dragonflypass/core/estimator"
	"github.com/dragonflypass/dragonflypass/core/locker"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
	"github.com/dragonflypass/dragonflypass/core/retrier"
	"github.com/dragonflypass/dragonflypass/core/waiter"
)

// The errors of this layer.
var (
	// errMoved ends a stream whose server is about to be taken down.
	errMoved = eris.New("dispatcher: the backend server is about to be taken down")
	// errStalled ends a stream that makes no progress.
	errStalled = eris.New("dispatcher: the stream has stalled")
	// errCaller ends a stream whose caller takes no more frames.
	errCaller = eris.New("dispatcher: the caller has gone away")
)

const (
	// breakLimit is the number of broken streams after which a request is given up.
	breakLimit = 3
	// retryLimit is the number of further attempts of one request.
	retryLimit = 6
	// sweepEvery is the time between two looks at the open streams.
	sweepEvery = 500 * time.Millisecond
)

// Owners tells of the other entry VMs and of the owners of backend servers.
type Owners interface {
	// Others returns the other entry VMs that are not gone.
	Others() []dragonflypass.Member
	// AliveContext returns a context that ends when the VM is no longer heard.
	AliveContext(ctx context.Context, id dragonflypass.VMID) (context.Context, context.CancelFunc)
}

// Local is the owner's side on this VM.
type Local interface {
	// Acquire waits for a permit.
	Acquire(ctx context.Context, request dragonflypass.PermitRequest) (dragonflypass.Permit, error)
	// Release takes a permit back.
	Release(release dragonflypass.PermitRelease)
	// HandleHeartbeat notes open streams.
	HandleHeartbeat(beat dragonflypass.Heartbeat)
	// Loads returns the digests of the owned servers.
	Loads() []dragonflypass.ServerLoad
}

// Dispatcher serves completions.
type Dispatcher struct {
	Self        dragonflypass.VM
	Incarnation uint64
	Timer       dragonflypass.Timer
	Pool        dragonflypass.Pool
	Peers       dragonflypass.PeerClient
	Engine      dragonflypass.Engine
	Meter       dragonflypass.Meter
	Owners      Owners
	Local       Local
	Placement   dragonflypass.Placement
	Admitter    *admitter.Admitter
	Estimator   *estimator.Estimator
	Retrier     *retrier.Retrier
	Quarantiner *quarantiner.Quarantiner
	Current     func() *dragonflypass.Configuration
	// Owner returns the VM that owns a backend server.
	Owner func(dragonflypass.ServerID) dragonflypass.VMID
	// Leaving reports whether this VM's shutdown has begun.
	Leaving func() bool
	// ZoneDelay is the added network time to another zone.
	ZoneDelay time.Duration

	sequence atomic.Uint64
	// started is the instant of Run in nanoseconds since 1970.
	started atomic.Int64

	mutex locker.Mutex
	held  map[dragonflypass.StreamID]*heldStream
	// placed holds what was sent to an owner since its last digest.
	placed map[dragonflypass.VMID]placed
}

// New returns a dispatcher with no request in progress.
func New() *Dispatcher {
	return &Dispatcher{
		mutex:  locker.Mutex{Order: locker.Permits},
		held:   make(map[dragonflypass.StreamID]*heldStream),
		placed: make(map[dragonflypass.VMID]placed),
	}
}

// Run looks after the open streams until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	d.started.Store(d.Timer.Now().UnixNano())
	stop := d.Timer.Every(dragonflypass.JobSweep, sweepEvery, d.Sweep)
	defer stop()
	<-ctx.Done()
}

// job is one request in progress.
type job struct {
	request *dragonflypass.Request
	account *dragonflypass.ClientAccount
	weight  float64
	// bounded is set when the VM's own window sets the deadline, so that the answer's limit counts.
	bounded bool
	sink    dragonflypass.Sink
	// delivered is the answer's text passed to the caller, and tokens its length.
	delivered strings.Builder
	tokens    int
	exclude   []dragonflypass.ServerID
	breaks    int
	retries   int
	// sent is set once anything may have reached a backend server.
	sent bool
	last time.Time
	// source is the stream from which the request is being moved, nil for none.
	source *source
	// between is the time between the first and the last token.
	between time.Duration
}

// Complete serves a request and passes its answer to the sink.
// The error is a Refusal; its Ran is "not" only when nothing reached a backend server.
func (d *Dispatcher) Complete(ctx context.Context, ask CompletionRequest, sink dragonflypass.Sink) (dragonflypass.TokenUsage, error) {
	j, end, refusal := d.prepare(ask)
	if refusal != nil {
		d.Meter.Add(dragonflypass.CountRefused, 1)
		return dragonflypass.TokenUsage{}, refusal
	}
	defer end()
	j.sink = sink
	d.Meter.Add(dragonflypass.CountAdmitted, 1)
	d.Retrier.Deposit()
	ctx, cancel := d.Timer.WithDeadline(ctx, j.request.Deadline)
	defer cancel()
	usage, err := d.serve(ctx, j)
	d.finish(j, usage, err)
	return usage, err
}

// serve runs attempts until one ends the answer or none may follow.
func (d *Dispatcher) serve(ctx context.Context, j *job) (dragonflypass.TokenUsage, error) {
	attempt := d.single
	if d.needsGroup(j) {
		attempt = d.grouped
	}
	defer d.letGo(j)
	for {
		usage, server, err := attempt(ctx, j)
		if err == nil {
			return usage, nil
		}
		if ctx.Err() != nil || server == "" || !d.again(ctx, j, server, err) {
			return dragonflypass.TokenUsage{}, d.refusal(ctx, j, err)
		}
	}
}

// single makes one attempt at one server and returns the server at which it failed, empty when none was found.
func (d *Dispatcher) single(ctx context.Context, j *job) (dragonflypass.TokenUsage, dragonflypass.ServerID, error) {
	permit, err := d.acquire(ctx, j)
	if err != nil {
		return dragonflypass.TokenUsage{}, "", err
	}
	usage, err := d.stream(ctx, j, permit, nil)
	return usage, permit.Server, err
}

// again decides whether another attempt follows the error and waits for its time.
func (d *Dispatcher) again(ctx context.Context, j *job, server dragonflypass.ServerID, err error) bool {
	j.exclude = append(j.exclude, server)
	switch {
	case errors.Is(err, errMoved):
		d.Meter.Add(dragonflypass.CountResumed, 1)
		return true
	case errors.Is(err, errCaller):
		return false
	case errors.Is(err, dragonflypass.ErrBroken):
		j.breaks++
	}
	j.retries++
	if j.breaks >= breakLimit || j.retries > retryLimit {
		return false
	}
	if j.tokens > 0 {
		d.Meter.Add(dragonflypass.CountResumed, 1)
		return true
	}
	if !d.Retrier.Withdraw() {
		d.Meter.Add(dragonflypass.CountRetryBudgetSpent, 1)
		return false
	}
	d.Meter.Add(dragonflypass.CountRetried, 1)
	return waiter.Wait(ctx, d.Timer, retrier.Delay(j.retries))
}

// refusal turns the error that ended a request into what its caller is told.
func (d *Dispatcher) refusal(ctx context.Context, j *job, err error) *dragonflypass.Refusal {
	ran := dragonflypass.ExecutedNo
	if j.sent {
		ran = dragonflypass.ExecutedMaybe
	}
	tell := func(reason dragonflypass.Reason, retry time.Duration, detail string) *dragonflypass.Refusal {
		return &dragonflypass.Refusal{Reason: reason, Executed: ran, RetryAfter: retry, Detail: detail}
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return tell(dragonflypass.ReasonTimeout, time.Second, "the request did not end in its rank's time")
	case ctx.Err() != nil, errors.Is(err, errCaller):
		return tell(dragonflypass.ReasonCancelled, 0, "the caller has gone away")
	}
	if known, ok := dragonflypass.AsRefusal(err); ok {
		return tell(known.Reason, known.RetryAfter, known.Detail)
	}
	if errors.Is(err, dragonflypass.ErrRefused) {
		return tell(dragonflypass.ReasonBusy, time.Second, "the backend servers refused the request")
	}
	if errors.Is(err, dragonflypass.ErrUnavailable) {
		return tell(dragonflypass.ReasonNoServer, time.Second, "no backend server could be reached")
	}
	return tell(dragonflypass.ReasonBroken, time.Second, "the backend servers broke off the answer")
}

// finish counts the request's end and learns from it.
func (d *Dispatcher) finish(j *job, usage dragonflypass.TokenUsage, err error) {
	if err == nil {
		d.Meter.Add(dragonflypass.CountFinished, 1)
		d.Meter.Observe(dragonflypass.MeasureWhole, j.request.Rank, j.request.Class(), d.Timer.Now().Sub(j.request.Arrived))
		d.Estimator.RecordCompletion(j.request.Account, j.request.Model, len(j.request.Prompt), usage.PromptTokens, usage.OutputTokens)
		if usage.OutputTokens > 1 {
			d.Estimator.RecordTimePerToken(j.request.Model, j.between/time.Duration(usage.OutputTokens-1))
		}
		return
	}
	refusal, _ := dragonflypass.AsRefusal(err)
	switch {
	case refusal != nil && refusal.Reason == dragonflypass.ReasonTimeout:
		d.Meter.Add(dragonflypass.CountTimeout, 1)
	case refusal != nil && refusal.Reason == dragonflypass.ReasonCancelled:
		d.Meter.Add(dragonflypass.CountCancelled, 1)
	case refusal != nil && refusal.Executed == dragonflypass.ExecutedNo:
		d.Meter.Add(dragonflypass.CountRefused, 1)
	default:
		d.Meter.Add(dragonflypass.CountFailed, 1)
	}
}
