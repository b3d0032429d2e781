package relayer

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/assessor"
	"github.com/dragonflypass/dragonflypass/core/balancer"
	"github.com/dragonflypass/dragonflypass/core/locker"
	"github.com/dragonflypass/dragonflypass/core/prober"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
	"github.com/dragonflypass/dragonflypass/core/reserver"
	"github.com/dragonflypass/dragonflypass/core/retrier"
	"github.com/dragonflypass/dragonflypass/core/router"
)

// The errors of this layer.
var (
	// errCaller means that the caller takes no more of the answer.
	errCaller = eris.New("relayer: the caller has gone away")
	// errStalled ends a stream on which nothing came in time.
	errStalled = eris.New("relayer: the stream has stalled")
)

const (
	// elsewhereRetry is the time after which a caller is told to come back where another VM will take it.
	elsewhereRetry = 10 * time.Millisecond
	// soonRetry is the time after which a caller is told to come back when no server could be reached.
	soonRetry = 200 * time.Millisecond
	// declineLimit is the number of servers that may decline a request before it is given up.
	declineLimit = 3
	// acceptTime is how long a VM takes requests after its shutdown began: the balancer needs two answers, a second
	// apart, to turn away, and what is taken later may not end before SIGKILL.
	acceptTime = 2800 * time.Millisecond
	// sweepEvery is the time between two looks at the open streams.
	sweepEvery = 100 * time.Millisecond
)

// Permits gives leave to use model servers.
type Permits interface {
	// Acquire waits for a permit; the error is a Refusal or that of ctx.
	Acquire(ctx context.Context, request dragonflypass.PermitRequest) (dragonflypass.Permit, error)
	// Prefilled notes that the permit's prompt has been processed.
	Prefilled(permit dragonflypass.Permit)
	// Release returns the permit.
	Release(permit dragonflypass.Permit, release dragonflypass.PermitRelease)
}

// Crashes tells the other entry VMs of crashes.
type Crashes interface {
	// BroadcastCrash passes word of a crash on.
	BroadcastCrash(crash dragonflypass.ServerCrash)
}

// Directory tells which backend servers may be given work.
type Directory interface {
	// Servers returns the servers of the service.
	Servers(service dragonflypass.ServiceID) []dragonflypass.ServerEntry
	// Server returns one of them.
	Server(id dragonflypass.ServerID) (dragonflypass.ServerEntry, bool)
}

// Relayer serves exchanges.
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
	Permits     Permits
	Reserver    *reserver.Reserver
	Prober      *prober.Prober
	Assessor    *assessor.Assessor
	Budgets     *retrier.Budgets
	Quarantiner *quarantiner.Quarantiner
	Crashes     Crashes
	// Owner returns the VM that owns the servers of the service.
	Owner func(service dragonflypass.ServiceID) dragonflypass.VMID
	// HandleHeartbeat takes this VM's own open streams.
	HandleHeartbeat func(dragonflypass.Heartbeat)
	// LeavingSince returns the instant at which this VM's shutdown began, zero before.
	LeavingSince func() time.Time
	// ServerUnreachable takes a server that could not be reached.
	ServerUnreachable func(server dragonflypass.ServerID)

	sequence atomic.Uint64

	mutex locker.Mutex
	open  map[dragonflypass.StreamID]*openStream
}

// New returns a relayer without exchanges.
func New() *Relayer {
	return &Relayer{
		mutex: locker.Mutex{Order: locker.Permits},
		open:  make(map[dragonflypass.StreamID]*openStream),
	}
}

// Run looks after the open streams until ctx ends.
func (r *Relayer) Run(ctx context.Context) {
	stop := r.Timer.Every(dragonflypass.JobSweep, sweepEvery, r.Sweep)
	defer stop()
	<-ctx.Done()
}

// job is one exchange in progress.
type job struct {
	exchange *dragonflypass.Exchange
	found    router.Match
	route    *dragonflypass.RoutePolicy
	service  dragonflypass.ServiceID
	to       dragonflypass.ResponseWriter
	// deadline is the instant by which the exchange has its final answer.
	deadline time.Time
	// attempts is the number of servers that may have run the request, and declined the number of those
	// that stated that they did not.
	attempts int
	declined int
	exclude  []dragonflypass.ServerID
	// ran is set once a server may have run the request.
	ran bool
	// begun is set once the head of an answer was passed on.
	begun bool
	// status is the status passed on, or zero.
	status int
	// first is the instant at which the first piece was passed on.
	first time.Time
	// passed is the instant at which the last piece was passed on, and pause the longest time between two.
	passed time.Time
	pause  time.Duration
	// last identifies the last event passed on.
	last string
	// events is the number of events passed on.
	events int
	// trail names the attempts for the log, and stop tells why there was no further one, empty when none was wanted.
	trail []string
	stop  string
}

// Relay serves an exchange; the error is a Refusal when nothing was passed on, else ErrBroken.
func (r *Relayer) Relay(ctx context.Context, e *dragonflypass.Exchange, to dragonflypass.ResponseWriter) error {
	found, refusal := r.Router.Find(e)
	if left := r.LeavingSince(); refusal == nil && !left.IsZero() && e.Arrived.Sub(left) > acceptTime {
		refusal = dragonflypass.Refuse(dragonflypass.ReasonLeaving, elsewhereRetry, "the VM is leaving")
	}
	if refusal == nil && r.Quarantiner.Check(print(found, e)) == quarantiner.Quarantined {
		refusal = dragonflypass.Refuse(dragonflypass.ReasonQuarantined, 0, "backend servers crashed while running this request")
	}
	if refusal != nil {
		r.Meter.Add(dragonflypass.CountRefused, 1)
		r.Meter.RecordResult(dragonflypass.ExchangeResult{
			Outcome: refusal.Reason, Rank: rankOf(found.Priority), Class: classOf(e.Prompt), TimeToFirstChunk: -1, TotalTime: r.Timer.Now().Sub(e.Arrived),
		})
		r.Logger.Info("request refused", "id", e.ID, "reason", refusal.Reason, "detail", refusal.Detail, "routing_age", found.Age)
		return refusal
	}
	j := &job{exchange: e, found: found, route: found.Route, to: to, last: e.LastEventID, service: router.PickService(found.Route)}
	j.deadline = e.Arrived.Add(found.Route.Timeout)
	if !e.Deadline.IsZero() && e.Deadline.Before(j.deadline) {
		j.deadline = e.Deadline
	}
	r.Meter.Add(dragonflypass.CountAdmitted, 1)
	r.Budgets.Deposit(j.service)
	ctx, cancel := r.Timer.WithDeadline(ctx, j.deadline)
	defer cancel()
	serve := r.whole
	if j.route.Kind == dragonflypass.KindStream {
		serve = r.streamed
	}
	err := serve(ctx, j)
	r.finish(ctx, j, err)
	return err
}

// print is what makes the exchange the same when it is sent again.
func print(found router.Match, e *dragonflypass.Exchange) dragonflypass.Fingerprint {
	f := dragonflypass.Fingerprint{Account: found.Account, Body: e.Fingerprint}
	if e.Prompt != nil {
		f.Model = e.Prompt.Model
	}
	return f
}

// answered is the outcome in the log of an exchange whose answer was passed on whole.
const answered = dragonflypass.Reason("answered")

// finish counts and logs the end of an exchange.
func (r *Relayer) finish(ctx context.Context, j *job, err error) {
	outcome, counter := dragonflypass.Reason(""), dragonflypass.CountFinished
	refusal, refused := dragonflypass.AsRefusal(err)
	switch {
	case err == nil:
	case !refused && ctx.Err() != nil && r.Timer.Now().Before(j.deadline):
		// The answer broke off because its caller left.
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
	now := r.Timer.Now()
	first := time.Duration(-1)
	if !j.first.IsZero() {
		first = j.first.Sub(j.exchange.Arrived)
	}
	r.Meter.RecordResult(dragonflypass.ExchangeResult{
		Service: j.service, Outcome: outcome, Rank: rankOf(j.found.Priority), Class: classOf(j.exchange.Prompt), TimeToFirstChunk: first, TotalTime: now.Sub(j.exchange.Arrived),
	})
	r.Logger.Info("request ended", "id", j.exchange.ID, "route", j.route.Name, "service", j.service, "outcome", cmp.Or(outcome, answered),
		"account", j.found.Account, "status", j.status, "first", first, "pause", j.pause, "whole", now.Sub(j.exchange.Arrived), "left", j.deadline.Sub(now),
		"events", j.events, "prompt", promptTokens(j.exchange), "attempts", j.trail, "stop", j.stop, "routing", j.found.Table.Version, "routing_age", j.found.Age, "error", err)
}

// promptTokens is the length of the exchange's prompt in tokens, zero where it has none.
func promptTokens(e *dragonflypass.Exchange) int {
	if e.Prompt == nil {
		return 0
	}
	return e.Prompt.Tokens
}

// refusal turns the error that ended an exchange into what its caller is told.
func (r *Relayer) refusal(ctx context.Context, j *job, reason dragonflypass.Reason, retry time.Duration, detail string) error {
	if j.begun {
		return eris.Wrap(dragonflypass.ErrBroken, detail)
	}
	refusal := &dragonflypass.Refusal{Reason: reason, Executed: dragonflypass.ExecutedNo, RetryAfter: retry, Detail: detail}
	if j.ran {
		refusal.Executed = dragonflypass.ExecutedMaybe
	}
	switch {
	case ctx.Err() != nil && !r.Timer.Now().Before(j.deadline):
		refusal.Reason, refusal.Detail = dragonflypass.ReasonTimeout, "the request did not end in its time"
	case ctx.Err() != nil:
		refusal.Reason, refusal.Detail = dragonflypass.ReasonCancelled, "the caller has gone away"
	}
	return refusal
}

// delivery describes one sending of the exchange. What has failed once goes out on a new connection, for whatever
// ended the first server may have ended others, and a used connection would not tell before the request is sent.
func (j *job) delivery(server dragonflypass.ServerID) dragonflypass.BackendRequest {
	return dragonflypass.BackendRequest{
		Exchange: j.exchange, Server: server, Account: j.found.Account, Deadline: j.deadline, Urgency: -1,
		LastEventID: j.last, EventStream: j.route.Kind == dragonflypass.KindStream, AtMostOnce: !j.route.Repeatable() || j.attempts > 0,
	}
}

// The reasons for which a request is not sent to another server.
const (
	stopEnded      = "ended"
	stopAttempts   = "attempts"
	stopRepeatable = "not-repeatable"
	stopDeclined   = "declined"
	stopBudget     = "budget"
)

// mayRetry reports whether the request may be sent to one more server.
func (r *Relayer) mayRetry(ctx context.Context, j *job) bool {
	switch {
	case ctx.Err() != nil:
		j.stop = stopEnded
	case j.attempts >= j.route.MaxAttempts:
		j.stop = stopAttempts
	case j.ran && !j.route.Repeatable():
		j.stop = stopRepeatable
	case j.declined > declineLimit || (j.declined > 0 && j.route.MaxAttempts == 1):
		// A route of a single attempt is sent once, whatever its server states.
		j.stop = stopDeclined
	case !r.spend(j.service):
		j.stop = stopBudget
	default:
		return true
	}
	return false
}

// spend takes one repeat from the budget of the service.
func (r *Relayer) spend(service dragonflypass.ServiceID) bool {
	if !r.Budgets.Withdraw(service) {
		r.Meter.Add(dragonflypass.CountRetryBudgetSpent, 1)
		return false
	}
	r.Meter.Add(dragonflypass.CountRetried, 1)
	return true
}
