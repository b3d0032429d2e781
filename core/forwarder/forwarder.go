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
	// downTime is how long an endpoint that could not be reached is tried last.
	downTime = 5 * time.Second
	// callTokens is what a call of a plain service counts against its account's rate limit.
	callTokens = 1
)

// Forwarder calls plain services.
type Forwarder struct {
	Zone     dragonflypass.AvailabilityZone
	Timer    dragonflypass.Timer
	Caller   dragonflypass.ServiceClient
	Meter    dragonflypass.Meter
	Admitter *admitter.Admitter
	Retrier  *retrier.Retrier
	Claimer  *claimer.Claimer
	Current  func() *dragonflypass.Configuration
	// Leaving reports whether this VM's shutdown has begun.
	Leaving func() bool

	mutex locker.Mutex
	down  map[netip.AddrPort]time.Time
	turn  int
}

// New returns a forwarder to which all endpoints are up.
func New() *Forwarder {
	return &Forwarder{mutex: locker.Mutex{Order: locker.Servers}, down: make(map[netip.AddrPort]time.Time)}
}

// Forward calls the service and returns its answer; the error is a Refusal.
func (f *Forwarder) Forward(ctx context.Context, call dragonflypass.ServiceCall) (dragonflypass.ServiceResponse, error) {
	service, end, refusal := f.prepare(&call)
	if refusal != nil {
		f.Meter.Add(dragonflypass.CountRefused, 1)
		return dragonflypass.ServiceResponse{}, refusal
	}
	defer end()
	f.Meter.Add(dragonflypass.CountAdmitted, 1)
	f.Retrier.Deposit()
	ctx, cancel := f.Timer.WithDeadline(ctx, call.Deadline)
	defer cancel()
	answer, err := f.route(ctx, service, call)
	if err != nil {
		f.Meter.Add(dragonflypass.CountFailed, 1)
		return answer, err
	}
	f.Meter.Add(dragonflypass.CountFinished, 1)
	return answer, nil
}

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
	end, refusal := f.Admitter.Admit(account, callTokens)
	return service, end, refusal
}

// route sends the call once or, where it may be repeated, until an endpoint answers.
func (f *Forwarder) route(ctx context.Context, service *dragonflypass.Service, call dragonflypass.ServiceCall) (dragonflypass.ServiceResponse, error) {
	if !once(service, &call) {
		return f.repeat(ctx, service, call)
	}
	if call.IdempotencyKey == "" {
		return dragonflypass.ServiceResponse{}, dragonflypass.Refuse(dragonflypass.ReasonKeyMissing, 0, "this call needs an Idempotency-Key")
	}
	if f.outlived(service, &call) {
		return dragonflypass.ServiceResponse{}, dragonflypass.Refuse(dragonflypass.ReasonKeyReused, 0, "the idempotency key is older than outcomes are kept")
	}
	key := dragonflypass.ClaimKey{Account: call.Account, Service: call.Service, Key: sha256.Sum256([]byte(call.IdempotencyKey))}
	return f.Claimer.Once(ctx, call, bodySum(&call), key, func(ctx context.Context) (dragonflypass.ServiceResponse, error) {
		return f.try(ctx, service, call)
	})
}

func once(service *dragonflypass.Service, call *dragonflypass.ServiceCall) bool {
	return slices.ContainsFunc(service.Once, func(r dragonflypass.Route) bool {
		return r.Method == call.Method && strings.HasPrefix(call.Path, r.Prefix)
	})
}

// outlived reports whether the key tells by itself that its outcome may be forgotten.
func (f *Forwarder) outlived(service *dragonflypass.Service, call *dragonflypass.ServiceCall) bool {
	return !call.KeyCreated.IsZero() && service.OutcomeRetention > 0 && f.Timer.Now().Sub(call.KeyCreated) > service.OutcomeRetention
}

func bodySum(call *dragonflypass.ServiceCall) dragonflypass.Digest {
	sum := sha256.New()
	sum.Write([]byte(call.Method + "\x00" + call.Path + "\x00"))
	sum.Write(call.Body)
	return dragonflypass.Digest(sum.Sum(nil))
}

// try sends the call to the endpoints in turn until one may have run it.
func (f *Forwarder) try(ctx context.Context, service *dragonflypass.Service, call dragonflypass.ServiceCall) (dragonflypass.ServiceResponse, error) {
	err := dragonflypass.ErrUnavailable
	for _, endpoint := range f.order(service) {
		var answer dragonflypass.ServiceResponse
		answer, err = f.Caller.Call(ctx, endpoint, call)
		f.note(endpoint, err)
		if !errors.Is(err, dragonflypass.ErrUnavailable) && !errors.Is(err, dragonflypass.ErrRefused) {
			return answer, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return dragonflypass.ServiceResponse{}, err
}

// repeat sends a call that may run several times until it is answered.
func (f *Forwarder) repeat(ctx context.Context, service *dragonflypass.Service, call dragonflypass.ServiceCall) (dragonflypass.ServiceResponse, error) {
	sent := false
	for number := 1; ; number++ {
		answer, err := f.try(ctx, service, call)
		if err == nil {
			return answer, nil
		}
		sent = sent || errors.Is(err, dragonflypass.ErrUncertain)
		if ctx.Err() != nil || !f.Retrier.Withdraw() || !waiter.Wait(ctx, f.Timer, retrier.Delay(number)) {
			return dragonflypass.ServiceResponse{}, failure(ctx, sent)
		}
		f.Meter.Add(dragonflypass.CountRetried, 1)
	}
}

func failure(ctx context.Context, sent bool) *dragonflypass.Refusal {
	refusal := dragonflypass.Refuse(dragonflypass.ReasonNoServer, time.Second, "no endpoint of the service answered")
	if ctx.Err() != nil {
		refusal.Reason = dragonflypass.ReasonTimeout
	}
	if sent {
		refusal.Executed = dragonflypass.ExecutedMaybe
	}
	return refusal
}

// order returns the endpoints: up before down, the own zone's before others, in turn.
func (f *Forwarder) order(service *dragonflypass.Service) []dragonflypass.Endpoint {
	now := f.Timer.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.turn++
	n := len(service.Endpoints)
	endpoints := make([]dragonflypass.Endpoint, 0, n)
	for i := range n {
		endpoints = append(endpoints, service.Endpoints[(f.turn+i)%n])
	}
	cost := func(e dragonflypass.Endpoint) int {
		cost := 0
		if now.Before(f.down[e.Address]) {
			cost += 2
		}
		if e.Zone != f.Zone {
			cost++
		}
		return cost
	}
	slices.SortStableFunc(endpoints, func(a, b dragonflypass.Endpoint) int { return cost(a) - cost(b) })
	return endpoints
}

func (f *Forwarder) note(endpoint dragonflypass.Endpoint, err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err == nil {
		delete(f.down, endpoint.Address)
		return
	}
	f.down[endpoint.Address] = f.Timer.Now().Add(downTime)
}
