package admitter

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// burstSeconds is the largest burst of an account, in seconds of its rate limit.
	burstSeconds = 60
	// limitRetryAfter is the delay after which a refused client may retry.
	limitRetryAfter = time.Second
)

// Admitter enforces the limits of client accounts.
type Admitter struct {
	Timer dragonflypass.Timer

	mutex  locker.Mutex
	usages map[dragonflypass.AccountID]*usage
}

type usage struct {
	requests int
	limiter  *rate.Limiter
}

// New returns an admitter without any usage.
func New() *Admitter {
	return &Admitter{
		mutex:  locker.Mutex{Order: locker.Accounts},
		usages: make(map[dragonflypass.AccountID]*usage),
	}
}

// Admit counts a request of the given size in tokens against the account's limits; end must be called when the request
// ends. It refuses the request if the account has reached a limit.
func (a *Admitter) Admit(account *dragonflypass.ClientAccount, tokens int) (end func(), refusal *dragonflypass.Refusal) {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	u, ok := a.usages[account.ID]
	if !ok {
		u = &usage{}
		a.usages[account.ID] = u
	}
	if account.Streams > 0 && u.requests >= account.Streams {
		return nil, dragonflypass.Refuse(dragonflypass.ReasonLimit, limitRetryAfter, "account %s has %d requests in progress, its limit", account.ID, u.requests)
	}
	if refusal := u.takeTokens(account, tokens, now); refusal != nil {
		return nil, refusal
	}
	u.requests++
	return once(func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		u.requests--
	}), nil
}

// takeTokens takes the tokens from the account's rate limiter or returns a refusal.
func (u *usage) takeTokens(account *dragonflypass.ClientAccount, tokens int, now time.Time) *dragonflypass.Refusal {
	if account.Rate <= 0 {
		u.limiter = nil
		return nil
	}
	burst := int(account.Rate * burstSeconds)
	if u.limiter == nil {
		u.limiter = rate.NewLimiter(rate.Limit(account.Rate), burst)
	}
	if u.limiter.Limit() != rate.Limit(account.Rate) {
		u.limiter.SetLimitAt(now, rate.Limit(account.Rate))
		u.limiter.SetBurstAt(now, burst)
	}
	// A request larger than the burst uses the whole burst; the limiter would never admit it otherwise.
	reservation := u.limiter.ReserveN(now, min(tokens, burst))
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	reservation.CancelAt(now)
	return dragonflypass.Refuse(dragonflypass.ReasonLimit, delay, "account %s has reached its rate limit of %g tokens per second", account.ID, account.Rate)
}

func once(run func()) func() {
	done := false
	return func() {
		if !done {
			done = true
			run()
		}
	}
}
