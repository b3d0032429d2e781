package relayer

import (
	"cmp"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/appraiser"
	"github.com/dragonflypass/dragonflypass/core/assessor"
	"github.com/dragonflypass/dragonflypass/core/balancer"
	"github.com/dragonflypass/dragonflypass/core/evacuator"
	"github.com/dragonflypass/dragonflypass/core/excluder"
	"github.com/dragonflypass/dragonflypass/core/locker"
	"github.com/dragonflypass/dragonflypass/core/pacer"
	"github.com/dragonflypass/dragonflypass/core/prober"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
	"github.com/dragonflypass/dragonflypass/core/reserver"
	"github.com/dragonflypass/dragonflypass/core/retrier"
	"github.com/dragonflypass/dragonflypass/core/router"
)

// Errors that end an attempt.
var (
	// errCallerDisconnected means that the response cannot be written to the caller.
	errCallerDisconnected = eris.New("relayer: the caller has disconnected")
	// errStalled cancels a stream that has stalled.
	errStalled = eris.New("relayer: the stream has stalled")
	// errServerUnreachable cancels a stream whose server is unreachable.
	errServerUnreachable = eris.New("relayer: the server of the stream is unreachable")
	// errEvacuated ends an attempt that has sent nothing to its server because the zone of one of its servers is evacuated.
	errEvacuated = eris.New("relayer: the zone of the server is evacuated")
	// errNoHelperMemory means that a helper refused to reserve memory, so that the request was not sent.
	errNoHelperMemory = eris.New("relayer: a helper has no memory for the prompt")
	// errLeaving cancels an exchange that has not ended when the VM shuts down.
	errLeaving = eris.New("relayer: the VM is leaving")
)

const (
	// otherVMRetryAfter is the retry delay given to a caller whose request another VM will accept.
	otherVMRetryAfter = 10 * time.Millisecond
	// defaultRetryAfter is the retry delay given to a caller if no server was available or the servers failed.
	defaultRetryAfter = 200 * time.Millisecond
	// refusalLimit is the maximum number of refusals by servers after which a request may still be sent to another one.
	refusalLimit = 3
	// shutdownAcceptTime is the time after the start of a shutdown during which requests are still accepted and sent to
	// servers. The load balancer needs two failed health checks, one second apart, to stop sending requests, and requests
	// sent later might not finish before SIGKILL.
	shutdownAcceptTime = 2800 * time.Millisecond
	// maxLoadTime is the maximum time that a request waits for the route table and the registry to be read.
	maxLoadTime = 500 * time.Millisecond
	// maxUnreserved is the number of attempts of one request that may end because a helper has no memory. They are no retries:
	// nothing was sent.
	maxUnreserved = 4
	// sweepInterval is the time between two sweeps of the open streams.
	sweepInterval = 100 * time.Millisecond
)

// Permits grants permission to use model servers.
type Permits interface {
	// Acquire waits for a permit. It returns a Refusal or the error of ctx.
	Acquire(ctx context.Context, request dragonflypass.PermitRequest) (dragonflypass.Permit, error)
	// Prefilled records that the permit's prompt has been processed.
	Prefilled(permit dragonflypass.Permit)
	// Release returns the permit to its owner.
	Release(permit dragonflypass.Permit, release dragonflypass.PermitRelease)
}

// Crashes reports crashes to the other entry VMs.
type Crashes interface {
	// BroadcastCrash sends the crash to all other entry VMs.
	BroadcastCrash(crash dragonflypass.ServerCrash)
}

// Directory lists the backend servers that may receive requests.
type Directory interface {
	// Servers returns the servers of the service.
	Servers(service dragonflypass.ServiceID) []dragonflypass.ServerEntry
	// Server returns the server with the identifier, and false if it is not listed.
	Server(id dragonflypass.ServerID) (dragonflypass.ServerEntry, bool)
}

// Relayer forwards exchanges to backend servers.
type Relayer struct {
	Self        dragonflypass.VM
	Incarnation uint64
	Timer       dragonflypass.Timer
	Backend     dragonflypass.Backend
	Meter       dragonflypass.Meter
	Logger      dragonflypass.Logger
	Router      *router.Router
	Directory   Directory
	Balancer    *balancer.Balancer
	Appraiser   *appraiser.Appraiser
	Pacer       *pacer.Pacer
	Permits     Permits
	Reserver    *reserver.Reserver
	Prober      *prober.Prober
	Assessor    *assessor.Assessor
	Excluder    *excluder.Excluder
	Evacuator   *evacuator.Evacuator
	Budgets     *retrier.Budgets
	Quarantiner *quarantiner.Quarantiner
	Crashes     Crashes
	// CostModel returns the cost model of the service's engines, nil if it has none.
	CostModel func(service dragonflypass.ServiceID) *dragonflypass.EngineCostModel
	// Owner returns the VM that owns the servers of the shard.
	Owner func(shard dragonflypass.Shard) dragonflypass.VMID
	// HandleHeartbeat passes this VM's own open streams to the owner on this VM.
	HandleHeartbeat func(dragonflypass.Heartbeat)
	// Loaded are closed once the route table and the registry have been read.
	Loaded []<-chan struct{}
	// LeavingSince returns the time at which this VM's shutdown began, or the zero time before a shutdown.
	LeavingSince func() time.Time
	// ShutdownTime is the time from the start of a shutdown until EndOpen is called, zero if there is no limit.
	ShutdownTime time.Duration
	// ServerUnreachable is called with a server to which no connection could be established.
	ServerUnreachable func(server dragonflypass.ServerID)

	sequence atomic.Uint64

	// open ends when EndOpen is called, and accepting when the acceptance of requests ends during a shutdown.
	open         context.Context
	endOpen      context.CancelFunc
	accepting    context.Context
	endAccepting context.CancelFunc

	mutex   locker.Mutex
	streams map[dragonflypass.StreamID]*openStream
}

// New returns a relayer without open streams.
func New() *Relayer {
	r := &Relayer{
		mutex:   locker.Mutex{Order: locker.Permits},
		streams: make(map[dragonflypass.StreamID]*openStream),
	}
	r.open, r.endOpen = context.WithCancel(context.Background())
	r.accepting, r.endAccepting = context.WithCancel(context.Background())
	return r
}

// EndOpen ends the open exchanges at the end of a shutdown: those without a response are refused, so that their callers are
// told whether they may have run.
func (r *Relayer) EndOpen() { r.endOpen() }

// Run sweeps the open streams periodically until ctx ends.
func (r *Relayer) Run(ctx context.Context) {
	stop := r.Timer.Every(dragonflypass.JobSweep, sweepInterval, r.Sweep)
	defer stop()
	<-ctx.Done()
}

// job is an exchange in progress.
type job struct {
	exchange *dragonflypass.Exchange
	match    router.Match
	route    *dragonflypass.RoutePolicy
	service  dragonflypass.ServiceID
	writer   dragonflypass.ResponseWriter
	// deadline is the time by which the exchange must end.
	deadline time.Time
	// attemptCount is the number of servers that may have executed the request, and refusals is the number of servers
	// that reported that they did not.
	attemptCount int
	refusals     int
	// unreserved is the number of attempts that ended because a helper had no memory.
	unreserved int
	excluded   []dragonflypass.ServerID
	// maybeExecuted is set once a server may have executed the request.
	maybeExecuted bool
	// headWritten is set once the head of a response has been forwarded to the caller.
	headWritten bool
	// status is the status forwarded to the caller, zero before that.
	status int
	// firstChunkAt is the time at which the first chunk was forwarded.
	firstChunkAt time.Time
	// lastChunkAt is the time at which the last chunk was forwarded, and longestGap is the longest time between two
	// chunks.
	lastChunkAt time.Time
	longestGap  time.Duration
	// lastEventID is the identifier of the last event that the caller has received.
	lastEventID string
	// eventCount is the number of events forwarded, and endsUnnamed is set if the last of them had no identifier.
	eventCount  int
	endsUnnamed bool
	// writeTime is the time for which the events have been held up by the caller.
	writeTime time.Duration
	// abandoned is set if this VM ended the last attempt although its server had not failed.
	abandoned bool
	// attemptHistory describes the attempts for the log, and stopReason is the reason why no further attempt was made,
	// empty if none was needed.
	attemptHistory []string
	stopReason     string
}

// Relay serves an exchange. The error is a Refusal if nothing was written to the caller, else ErrBroken.
func (r *Relayer) Relay(ctx context.Context, e *dragonflypass.Exchange, writer dragonflypass.ResponseWriter) error {
	r.awaitLoaded(ctx)
	match, refusal := r.Router.Find(e)
	if leavingSince := r.LeavingSince(); refusal == nil && !leavingSince.IsZero() && e.Arrived.Sub(leavingSince) > shutdownAcceptTime {
		refusal = leavingRefusal()
	}
	if refusal == nil {
		refusal = r.Quarantiner.Refuses(fingerprintOf(match, e), e.SharedParts)
	}
	if refusal != nil {
		r.Meter.Add(dragonflypass.CountRefused, 1)
		r.Meter.RecordResult(dragonflypass.ExchangeResult{
			Outcome: refusal.Reason, Rank: rankOf(match.Priority), Class: classOf(e.Prompt), TimeToFirstChunk: -1, TotalTime: r.Timer.Now().Sub(e.Arrived),
		})
		r.Logger.Info("request refused", "id", e.ID, "reason", refusal.Reason, "detail", refusal.Detail, "routing_age", match.Staleness)
		return refusal
	}
	j := &job{exchange: e, match: match, route: match.Route, writer: writer, lastEventID: e.LastEventID, service: router.PickService(match.Route)}
	j.deadline = e.Arrived.Add(match.Route.Timeout)
	if !e.Deadline.IsZero() && e.Deadline.Before(j.deadline) {
		j.deadline = e.Deadline
	}
	r.Meter.Add(dragonflypass.CountAdmitted, 1)
	r.Budgets.Deposit(j.service)
	ctx, cancelOpen := context.WithCancelCause(ctx)
	defer cancelOpen(nil)
	defer context.AfterFunc(r.open, func() { cancelOpen(errLeaving) })()
	ctx, cancel := r.Timer.WithDeadline(ctx, j.deadline)
	defer cancel()
	serve := r.serveBuffered
	if j.route.Kind == dragonflypass.KindStream {
		serve = r.serveStream
	}
	err := serve(ctx, j)
	r.finish(ctx, j, err)
	return err
}

// mayStart reports whether the request may be sent to a server. It may not if this VM is shutting down and might end before
// the request does, unless the caller has received a part of the response. The request may have waited since it arrived: for
// its body, for a permit, or for a server that then failed.
func (r *Relayer) mayStart(j *job) bool {
	leavingSince := r.LeavingSince()
	if leavingSince.IsZero() || r.ShutdownTime == 0 || j.headWritten {
		return true
	}
	return r.Timer.Now().Sub(leavingSince) <= shutdownAcceptTime || !j.deadline.After(leavingSince.Add(r.ShutdownTime))
}

// leavingRefusal returns the refusal of a request that has not been sent to a server.
func leavingRefusal() *dragonflypass.Refusal {
	return dragonflypass.Refuse(dragonflypass.ReasonLeaving, otherVMRetryAfter, "the VM is leaving")
}

// awaitLoaded waits for a short time after the start of the process until the route table and the registry have been read:
// a caller whose request is refused meanwhile may have no retry left when they have been read.
func (r *Relayer) awaitLoaded(ctx context.Context) {
	var deadline <-chan struct{}
	for _, loaded := range r.Loaded {
		select {
		case <-loaded:
			continue
		default:
		}
		if deadline == nil {
			waitCtx, cancel := r.Timer.WithDeadline(ctx, r.Timer.Now().Add(maxLoadTime))
			defer cancel()
			deadline = waitCtx.Done()
		}
		select {
		case <-loaded:
		case <-deadline:
			return
		}
	}
}

// fingerprintOf returns the fingerprint that is the same for each retry of the exchange.
func fingerprintOf(match router.Match, e *dragonflypass.Exchange) dragonflypass.Fingerprint {
	f := dragonflypass.Fingerprint{Account: match.Account, Body: e.Fingerprint}
	if e.Prompt != nil {
		f.Model = e.Prompt.Model
	}
	return f
}

// fingerprint returns the fingerprint of the exchange.
func (j *job) fingerprint() dragonflypass.Fingerprint { return fingerprintOf(j.match, j.exchange) }

// outcomeAnswered is the logged outcome of an exchange whose response was forwarded completely.
const outcomeAnswered = dragonflypass.Reason("answered")

// finish counts and logs the result of an exchange.
func (r *Relayer) finish(ctx context.Context, j *job, err error) {
	outcome, counter := dragonflypass.Reason(""), dragonflypass.CountFinished
	refusal, refused := dragonflypass.AsRefusal(err)
	switch {
	case err == nil:
		r.recordOutput(j)
	case !refused && ctx.Err() != nil && r.Timer.Now().Before(j.deadline):
		// The response was interrupted because the caller disconnected.
		outcome, counter = dragonflypass.ReasonCancelled, dragonflypass.CountCancelled
	case !refused && ctx.Err() != nil:
		outcome, counter = dragonflypass.ReasonTimeout, dragonflypass.CountTimeout
	case refused && refusal.Executed == dragonflypass.ExecutedNo:
		outcome, counter = refusal.Reason, dragonflypass.CountRefused
	case refused && refusal.Reason == dragonflypass.ReasonTimeout:
		outcome, counter = refusal.Reason, dragonflypass.CountTimeout
	case refused && refusal.Reason == dragonflypass.ReasonCancelled:
		outcome, counter = refusal.Reason, dragonflypass.CountCancelled
	default:
		outcome, counter = dragonflypass.ReasonBroken, dragonflypass.CountFailed
	}
	r.Meter.Add(counter, 1)
	if j.headWritten && outcome == dragonflypass.ReasonBroken && j.abandoned {
		r.Meter.Add(dragonflypass.CountResponseCut, 1)
	}
	now := r.Timer.Now()
	timeToFirstChunk := time.Duration(-1)
	if !j.firstChunkAt.IsZero() {
		timeToFirstChunk = j.firstChunkAt.Sub(j.exchange.Arrived)
	}
	r.Meter.RecordResult(dragonflypass.ExchangeResult{
		Service: j.service, Outcome: outcome, Rank: rankOf(j.match.Priority), Class: classOf(j.exchange.Prompt), TimeToFirstChunk: timeToFirstChunk, TotalTime: now.Sub(j.exchange.Arrived),
	})
	r.Logger.Info("request ended", "id", j.exchange.ID, "route", j.route.Name, "service", j.service, "outcome", cmp.Or(outcome, outcomeAnswered),
		"account", j.match.Account, "status", j.status, "first", timeToFirstChunk, "pause", j.longestGap, "whole", now.Sub(j.exchange.Arrived), "left", j.deadline.Sub(now),
		"events", j.eventCount, "prompt", promptTokens(j.exchange), "attempts", j.attemptHistory, "stop", j.stopReason, "routing", j.match.Table.Version, "routing_age", j.match.Staleness, "error", err)
}

// promptTokens returns the length of the exchange's prompt in tokens, zero if it has none.
func promptTokens(e *dragonflypass.Exchange) int {
	if e.Prompt == nil {
		return 0
	}
	return e.Prompt.Tokens
}

// refuse returns the error for an exchange that has failed: ErrBroken if the caller has already received a part of
// the response, else a Refusal.
func (r *Relayer) refuse(ctx context.Context, j *job, reason dragonflypass.Reason, retryAfter time.Duration, detail string) error {
	if j.headWritten {
		return eris.Wrap(dragonflypass.ErrBroken, detail)
	}
	refusal := &dragonflypass.Refusal{Reason: reason, Executed: dragonflypass.ExecutedNo, RetryAfter: retryAfter, Detail: detail}
	if j.maybeExecuted {
		refusal.Executed = dragonflypass.ExecutedMaybe
	}
	switch {
	case ctx.Err() != nil && !r.Timer.Now().Before(j.deadline):
		refusal.Reason, refusal.Detail = dragonflypass.ReasonTimeout, "the request did not finish before its deadline"
	case errors.Is(context.Cause(ctx), errLeaving):
		refusal.Reason, refusal.RetryAfter, refusal.Detail = dragonflypass.ReasonLeaving, otherVMRetryAfter, "the VM is leaving"
	case ctx.Err() != nil:
		refusal.Reason, refusal.Detail = dragonflypass.ReasonCancelled, "the caller has disconnected"
	}
	return refusal
}

// backendRequest returns the request for one attempt at the server. A retry uses a new connection: the failure of
// the first server may have affected other servers, and a reused connection would not reveal that before the
// request is sent.
func (j *job) backendRequest(server dragonflypass.ServerID) dragonflypass.BackendRequest {
	return dragonflypass.BackendRequest{
		Exchange: j.exchange, Server: server, Account: j.match.Account, Deadline: j.deadline, Urgency: -1,
		LastEventID: j.lastEventID, EventStream: j.route.Kind == dragonflypass.KindStream, AtMostOnce: !j.route.Retryable() || j.attemptCount > 0,
	}
}

// The reasons why a request is not sent to another server.
const (
	stopEnded         = "ended"
	stopAttempts      = "attempts"
	stopNotRepeatable = "not-repeatable"
	stopRefused       = "declined"
	stopBudget        = "budget"
)

// mayRetry reports whether the request may be sent to another server, and sets the stop reason if not.
func (r *Relayer) mayRetry(ctx context.Context, j *job) bool {
	switch {
	case ctx.Err() != nil:
		j.stopReason = stopEnded
	case j.attemptCount >= j.route.MaxAttempts:
		j.stopReason = stopAttempts
	case j.maybeExecuted && !j.route.Retryable():
		j.stopReason = stopNotRepeatable
	case j.refusals > refusalLimit || (j.refusals > 0 && j.route.MaxAttempts == 1):
		// A route with a single attempt sends a request once, even if its server refuses it.
		j.stopReason = stopRefused
	case !r.takeRetry(j.service):
		j.stopReason = stopBudget
	default:
		return true
	}
	return false
}

// takeRetry takes one retry from the budget of the service and reports whether one was available.
func (r *Relayer) takeRetry(service dragonflypass.ServiceID) bool {
	if !r.Budgets.Withdraw(service) {
		r.Meter.Add(dragonflypass.CountRetryBudgetSpent, 1)
		return false
	}
	r.Meter.Add(dragonflypass.CountRetried, 1)
	return true
}
