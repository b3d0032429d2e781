package forwarder

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/admitter"
	"github.com/dragonflypass/dragonflypass/core/claimer"
	"github.com/dragonflypass/dragonflypass/core/locker"
	"github.com/dragonflypass/dragonflypass/core/retrier"
	"github.com/dragonflypass/dragonflypass/core/waiter"
)

const (
	// unreachableDuration is how long an endpoint is tried last after a failed call.
	unreachableDuration = 5 * time.Second
	// callTokens is the number of tokens that one call consumes of the account's rate limit.
	callTokens = 1
)

// Forwarder forwards calls to plain services.
type Forwarder struct {
	Zone        dragonflypass.AvailabilityZone
	Timer       dragonflypass.Timer
	Client      dragonflypass.ServiceClient
	Meter       dragonflypass.Meter
	Admitter    *admitter.Admitter
	RetryBudget *retrier.Budget
	Claimer     *claimer.Claimer
	Current     func() *dragonflypass.Configuration
	// Leaving reports whether this VM's shutdown has begun.
	Leaving func() bool

	mutex            locker.Mutex
	unreachableUntil map[netip.AddrPort]time.Time
	rotation         int
}

// New returns a forwarder that considers all endpoints reachable.
func New() *Forwarder {
	return &Forwarder{mutex: locker.Mutex{Order: locker.Servers}, unreachableUntil: make(map[netip.AddrPort]time.Time)}
}

// Forward calls the service and returns its response. The error is a Refusal.
func (f *Forwarder) Forward(ctx context.Context, call dragonflypass.ServiceCall) (dragonflypass.ServiceResponse, error) {
	service, release, refusal := f.prepare(&call)
	if refusal != nil {
		f.Meter.Add(dragonflypass.CountRefused, 1)
		return dragonflypass.ServiceResponse{}, refusal
	}
	defer release()
	f.Meter.Add(dragonflypass.CountAdmitted, 1)
	f.RetryBudget.Deposit()
	ctx, cancel := f.Timer.WithDeadline(ctx, call.Deadline)
	defer cancel()
	response, err := f.execute(ctx, service, call)
	if err != nil {
		f.Meter.Add(dragonflypass.CountFailed, 1)
		return response, err
	}
	f.Meter.Add(dragonflypass.CountFinished, 1)
	return response, nil
}

// prepare checks and admits the call, and sets its rank and deadline. The returned function releases the admission.
func (f *Forwarder) prepare(call *dragonflypass.ServiceCall) (*dragonflypass.Service, func(), *dragonflypass.Refusal) {
	current := f.Current()
	account, ok := current.Accounts[call.Account]
	if !ok {
		return nil, nil, dragonflypass.Refuse(dragonflypass.ReasonUnauthorized, 0, "unknown client account")
	}
	service, ok := current.Services[call.Service]
	if !ok {
		return nil, nil, dragonflypass.Refuse(dragonflypass.ReasonNotFound, 0, "unknown service %q", call.Service)
	}
	if !account.MayCall(call.Service) {
		return nil, nil, dragonflypass.Refuse(dragonflypass.ReasonForbidden, 0, "account %s may not call service %q", account.ID, call.Service)
	}
	if f.Leaving() {
		return nil, nil, dragonflypass.Refuse(dragonflypass.ReasonLeaving, time.Second, "the VM is leaving")
	}
	call.Rank = max(service.Rank, account.Rank)
	call.Deadline = call.Arrived.Add(current.Ranks[call.Rank].Timeout)
	release, refusal := f.Admitter.Admit(account, callTokens)
	return service, release, refusal
}

// execute sends the call at most once if the service requires this, and otherwise retries it until an endpoint responds.
func (f *Forwarder) execute(ctx context.Context, service *dragonflypass.Service, call dragonflypass.ServiceCall) (dragonflypass.ServiceResponse, error) {
	if !isAtMostOnce(service, &call) {
		return f.retry(ctx, service, call)
	}
	if call.IdempotencyKey == "" {
		return dragonflypass.ServiceResponse{}, dragonflypass.Refuse(dragonflypass.ReasonKeyMissing, 0, "this call requires an Idempotency-Key header")
	}
	if f.keyExpired(service, &call) {
		return dragonflypass.ServiceResponse{}, dragonflypass.Refuse(dragonflypass.ReasonKeyReused, 0, "the idempotency key is older than the retention of outcomes")
	}
	key := dragonflypass.ClaimKey{Account: call.Account, Service: call.Service, Key: sha256.Sum256([]byte(call.IdempotencyKey))}
	return f.Claimer.RunOnce(ctx, call, requestHash(&call), key, func(ctx context.Context) (dragonflypass.ServiceResponse, error) {
		return f.tryEndpoints(ctx, service, call)
	})
}

// isAtMostOnce reports whether the call matches a route that the service must not execute twice.
func isAtMostOnce(service *dragonflypass.Service, call *dragonflypass.ServiceCall) bool {
	return slices.ContainsFunc(service.Once, func(route dragonflypass.Route) bool {
		return route.Method == call.Method && strings.HasPrefix(call.Path, route.Prefix)
	})
}

// keyExpired reports whether the idempotency key contains its creation time and is older than outcomes are kept.
func (f *Forwarder) keyExpired(service *dragonflypass.Service, call *dragonflypass.ServiceCall) bool {
	return !call.KeyCreated.IsZero() && service.OutcomeRetention > 0 && f.Timer.Now().Sub(call.KeyCreated) > service.OutcomeRetention
}

// requestHash returns the hash by which a reuse of an idempotency key for another request is detected.
func requestHash(call *dragonflypass.ServiceCall) dragonflypass.Digest {
	hash := sha256.New()
	hash.Write([]byte(call.Method + "\x00" + call.Path + "\x00"))
	hash.Write(call.Body)
	return dragonflypass.Digest(hash.Sum(nil))
}

// tryEndpoints sends the call to one endpoint after the other, until one responds or may have executed it.
func (f *Forwarder) tryEndpoints(ctx context.Context, service *dragonflypass.Service, call dragonflypass.ServiceCall) (dragonflypass.ServiceResponse, error) {
	err := dragonflypass.ErrUnavailable
	for _, endpoint := range f.sortEndpoints(service) {
		var response dragonflypass.ServiceResponse
		response, err = f.Client.Call(ctx, endpoint, call)
		f.recordOutcome(endpoint, err)
		if !errors.Is(err, dragonflypass.ErrUnavailable) && !errors.Is(err, dragonflypass.ErrRefused) {
			return response, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return dragonflypass.ServiceResponse{}, err
}

// retry sends a call that may be executed several times until an endpoint responds or the retry budget is spent.
func (f *Forwarder) retry(ctx context.Context, service *dragonflypass.Service, call dragonflypass.ServiceCall) (dragonflypass.ServiceResponse, error) {
	maybeExecuted := false
	for attempt := 1; ; attempt++ {
		response, err := f.tryEndpoints(ctx, service, call)
		if err == nil {
			return response, nil
		}
		maybeExecuted = maybeExecuted || errors.Is(err, dragonflypass.ErrUncertain)
		if ctx.Err() != nil || !f.RetryBudget.Withdraw() || !waiter.Wait(ctx, f.Timer, retrier.Delay(attempt)) {
			return dragonflypass.ServiceResponse{}, noServerRefusal(ctx, maybeExecuted)
		}
		f.Meter.Add(dragonflypass.CountRetried, 1)
	}
}

// noServerRefusal returns the refusal of a call to which no endpoint responded.
func noServerRefusal(ctx context.Context, maybeExecuted bool) *dragonflypass.Refusal {
	refusal := dragonflypass.Refuse(dragonflypass.ReasonNoServer, time.Second, "no endpoint of the service responded")
	if ctx.Err() != nil {
		refusal.Reason = dragonflypass.ReasonTimeout
	}
	if maybeExecuted {
		refusal.Executed = dragonflypass.ExecutedMaybe
	}
	return refusal
}

// sortEndpoints returns the endpoints in the order in which to try them: reachable ones first, then those of the own
// zone, and equal ones in rotation.
func (f *Forwarder) sortEndpoints(service *dragonflypass.Service) []dragonflypass.Endpoint {
	now := f.Timer.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.rotation++
	n := len(service.Endpoints)
	endpoints := make([]dragonflypass.Endpoint, 0, n)
	for i := range n {
		endpoints = append(endpoints, service.Endpoints[(f.rotation+i)%n])
	}
	penalty := func(e dragonflypass.Endpoint) int {
		sum := 0
		if now.Before(f.unreachableUntil[e.Address]) {
			sum += 2
		}
		if e.Zone != f.Zone {
			sum++
		}
		return sum
	}
	slices.SortStableFunc(endpoints, func(a, b dragonflypass.Endpoint) int { return penalty(a) - penalty(b) })
	return endpoints
}

// recordOutcome marks the endpoint as unreachable after a failed call, and as reachable after a successful one.
func (f *Forwarder) recordOutcome(endpoint dragonflypass.Endpoint, err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err == nil {
		delete(f.unreachableUntil, endpoint.Address)
		return
	}
	f.unreachableUntil[endpoint.Address] = f.Timer.Now().Add(unreachableDuration)
}
