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

// The errors that end a stream.
var (
	// errServerMaintenance ends a stream whose server's maintenance window starts soon; its request continues at another server.
	errServerMaintenance = eris.New("dispatcher: the maintenance window of the backend server starts soon")
	// errStalled ends a stream that makes no progress.
	errStalled = eris.New("dispatcher: the stream has stalled")
	// errCallerDisconnected ends a stream whose caller has disconnected.
	errCallerDisconnected = eris.New("dispatcher: the caller has disconnected")
)

const (
	// maxStreamFailures is the number of broken streams after which a request fails.
	maxStreamFailures = 3
	// maxRetries is the largest number of retries of one request.
	maxRetries = 6
	// sweepInterval is the time between two checks of the open streams.
	sweepInterval = 500 * time.Millisecond
)

// Members lists the other entry VMs and detects their failures.
type Members interface {
	// Others returns the other entry VMs whose state is not gone.
	Others() []dragonflypass.Member
	// AliveContext returns a context that ends when the VM's heartbeats stop.
	AliveContext(ctx context.Context, id dragonflypass.VMID) (context.Context, context.CancelFunc)
}

// LocalOwner is the owner of backend servers on this VM.
type LocalOwner interface {
	// Acquire waits for a permit and returns it.
	Acquire(ctx context.Context, request dragonflypass.PermitRequest) (dragonflypass.Permit, error)
	// Release ends a permit and frees its memory.
	Release(release dragonflypass.PermitRelease)
	// HandleHeartbeat records the open streams that a heartbeat lists.
	HandleHeartbeat(heartbeat dragonflypass.Heartbeat)
	// Loads returns the load summaries of the owned servers.
	Loads() []dragonflypass.ServerLoad
}

// Dispatcher serves completion requests.
type Dispatcher struct {
	Self        dragonflypass.VM
	Incarnation uint64
	Timer       dragonflypass.Timer
	Pool        dragonflypass.Pool
	Peers       dragonflypass.PeerClient
	Engine      dragonflypass.Engine
	Meter       dragonflypass.Meter
	Members     Members
	LocalOwner  LocalOwner
	Placement   dragonflypass.Placement
	Admitter    *admitter.Admitter
	Estimator   *estimator.Estimator
	RetryBudget *retrier.Budget
	Quarantiner *quarantiner.Quarantiner
	Current     func() *dragonflypass.Configuration
	// OwnerOf returns the VM that owns a backend server.
	OwnerOf func(dragonflypass.ServerID) dragonflypass.VMID
	// Leaving reports whether this VM's shutdown has begun.
	Leaving func() bool
	// ZoneDelay is the additional network delay to a VM in another zone.
	ZoneDelay time.Duration

	sequence atomic.Uint64
	// startedAt is the time at which Run began, in nanoseconds since 1970.
	startedAt atomic.Int64

	mutex       locker.Mutex
	openStreams map[dragonflypass.StreamID]*openStream
	// sentTokens holds the prompt tokens sent to each owner since the heartbeat with its last load summary.
	sentTokens map[dragonflypass.VMID]sentTokens
}

// New returns a dispatcher with no request in progress.
func New() *Dispatcher {
	return &Dispatcher{
		mutex:       locker.Mutex{Order: locker.Permits},
		openStreams: make(map[dragonflypass.StreamID]*openStream),
		sentTokens:  make(map[dragonflypass.VMID]sentTokens),
	}
}

// Run checks the open streams periodically until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	d.startedAt.Store(d.Timer.Now().UnixNano())
	stop := d.Timer.Every(dragonflypass.JobSweep, sweepInterval, d.Sweep)
	defer stop()
	<-ctx.Done()
}

// job is one request in progress.
type job struct {
	request *dragonflypass.Request
	account *dragonflypass.ClientAccount
	weight  float64
	// windowBound is set when the VM's own maintenance window sets the deadline; the request must then have time
	// for its longest answer instead of the expected one.
	windowBound bool
	sink        dragonflypass.Sink
	// deliveredText is the text of the answer passed to the caller so far; deliveredTokens is its length in tokens.
	deliveredText   strings.Builder
	deliveredTokens int
	excludedServers []dragonflypass.ServerID
	streamFailures  int
	retries         int
	// maybeExecuted is set once any part of the request may have reached a backend server.
	maybeExecuted bool
	lastFrameAt   time.Time
	// source is the stream from which the request is being migrated, nil for none.
	source *migrationSource
	// decodeTime is the time between the first and the last token.
	decodeTime time.Duration
}

// Complete serves a request and passes its answer to the sink.
// The error is a Refusal; its Executed is ExecutedNo only if nothing reached a backend server.
func (d *Dispatcher) Complete(ctx context.Context, completion CompletionRequest, sink dragonflypass.Sink) (dragonflypass.TokenUsage, error) {
	j, releaseAdmission, refusal := d.prepare(completion)
	if refusal != nil {
		d.Meter.Add(dragonflypass.CountRefused, 1)
		return dragonflypass.TokenUsage{}, refusal
	}
	defer releaseAdmission()
	j.sink = sink
	d.Meter.Add(dragonflypass.CountAdmitted, 1)
	d.RetryBudget.Deposit()
	ctx, cancel := d.Timer.WithDeadline(ctx, j.request.Deadline)
	defer cancel()
	usage, err := d.serve(ctx, j)
	d.recordResult(j, usage, err)
	return usage, err
}

// serve makes attempts until the answer is complete or no further attempt is allowed.
func (d *Dispatcher) serve(ctx context.Context, j *job) (dragonflypass.TokenUsage, error) {
	attempt := d.attemptSingle
	if d.needsGroup(j) {
		attempt = d.attemptGroup
	}
	defer d.releaseSource(j)
	for {
		usage, server, err := attempt(ctx, j)
		if err == nil {
			return usage, nil
		}
		if ctx.Err() != nil || server == "" || !d.awaitRetry(ctx, j, server, err) {
			return dragonflypass.TokenUsage{}, d.refusalFor(ctx, j, err)
		}
	}
}

// attemptSingle makes one attempt at one server. It returns the ID of that server, empty if none was found.
func (d *Dispatcher) attemptSingle(ctx context.Context, j *job) (dragonflypass.TokenUsage, dragonflypass.ServerID, error) {
	permit, err := d.acquire(ctx, j)
	if err != nil {
		return dragonflypass.TokenUsage{}, "", err
	}
	usage, err := d.runAttempt(ctx, j, permit, nil)
	return usage, permit.Server, err
}

// awaitRetry reports whether another attempt follows the error, and waits for the retry delay if so.
func (d *Dispatcher) awaitRetry(ctx context.Context, j *job, server dragonflypass.ServerID, err error) bool {
	j.excludedServers = append(j.excludedServers, server)
	switch {
	case errors.Is(err, errServerMaintenance):
		d.Meter.Add(dragonflypass.CountResumed, 1)
		return true
	case errors.Is(err, errCallerDisconnected):
		return false
	case errors.Is(err, dragonflypass.ErrBroken):
		j.streamFailures++
	}
	j.retries++
	if j.streamFailures >= maxStreamFailures || j.retries > maxRetries {
		return false
	}
	if j.deliveredTokens > 0 {
		d.Meter.Add(dragonflypass.CountResumed, 1)
		return true
	}
	if !d.RetryBudget.Withdraw() {
		d.Meter.Add(dragonflypass.CountRetryBudgetSpent, 1)
		return false
	}
	d.Meter.Add(dragonflypass.CountRetried, 1)
	return waiter.Wait(ctx, d.Timer, retrier.Delay(j.retries))
}

// refusalFor converts the error that ended a request to a refusal for its caller.
func (d *Dispatcher) refusalFor(ctx context.Context, j *job, err error) *dragonflypass.Refusal {
	executed := dragonflypass.ExecutedNo
	if j.maybeExecuted {
		executed = dragonflypass.ExecutedMaybe
	}
	refuse := func(reason dragonflypass.Reason, retryAfter time.Duration, detail string) *dragonflypass.Refusal {
		return &dragonflypass.Refusal{Reason: reason, Executed: executed, RetryAfter: retryAfter, Detail: detail}
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refuse(dragonflypass.ReasonTimeout, time.Second, "the request exceeded the time limit of its rank")
	case ctx.Err() != nil, errors.Is(err, errCallerDisconnected):
		return refuse(dragonflypass.ReasonCancelled, 0, "the caller has disconnected")
	}
	if original, ok := dragonflypass.AsRefusal(err); ok {
		return refuse(original.Reason, original.RetryAfter, original.Detail)
	}
	if errors.Is(err, dragonflypass.ErrRefused) {
		return refuse(dragonflypass.ReasonBusy, time.Second, "the backend servers refused the request")
	}
	if errors.Is(err, dragonflypass.ErrUnavailable) {
		return refuse(dragonflypass.ReasonNoServer, time.Second, "no backend server could be reached")
	}
	return refuse(dragonflypass.ReasonBroken, time.Second, "the streams of the backend servers broke before the answer was complete")
}

// recordResult counts the result of the request and updates the estimates from a completed one.
func (d *Dispatcher) recordResult(j *job, usage dragonflypass.TokenUsage, err error) {
	if err == nil {
		d.Meter.Add(dragonflypass.CountFinished, 1)
		d.Meter.Observe(dragonflypass.MeasureTotalTime, j.request.Rank, j.request.Class(), d.Timer.Now().Sub(j.request.Arrived))
		d.Estimator.RecordCompletion(j.request.Account, j.request.Model, len(j.request.Prompt), usage.PromptTokens, usage.OutputTokens)
		if usage.OutputTokens > 1 {
			d.Estimator.RecordTimePerToken(j.request.Model, j.decodeTime/time.Duration(usage.OutputTokens-1))
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
