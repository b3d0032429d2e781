package admitter

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// burstTime is the time for which an unused rate limit is saved up.
	burstTime = 60
	// streamRetry is the time after which an account at its limit is told to come back.
	streamRetry = time.Second
)

// Admitter keeps the table of what the accounts use.
type Admitter struct {
	Timer dragonflypass.Timer
	// Budget is the largest sum of buffered request bodies in bytes.
	Budget int64

	mutex    locker.Mutex
	buffered int64
	usages   map[dragonflypass.AccountID]*usage
}

type usage struct {
	streams int
	limiter *rate.Limiter
}

// New returns an admitter with nothing in use.
func New() *Admitter {
	return &Admitter{
		mutex:  locker.Mutex{Order: locker.Accounts},
		usages: make(map[dragonflypass.AccountID]*usage),
	}
}

// Reserve takes bytes of the budget for request bodies; free returns them.
func (a *Admitter) Reserve(bytes int64) (free func(), refusal *dragonflypass.Refusal) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.buffered+bytes > a.Budget {
		return nil, dragonflypass.Refuse(dragonflypass.ReasonBusy, streamRetry, "the buffer for request bodies is full")
	}
	a.buffered += bytes
	return once(func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.buffered -= bytes
	}), nil
}

// Admit counts a request of the given size against the account's limits; end is called when it is over.
func (a *Admitter) Admit(account *dragonflypass.ClientAccount, tokens int) (end func(), refusal *dragonflypass.Refusal) {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	u, ok := a.usages[account.ID]
	if !ok {
		u = &usage{}
		a.usages[account.ID] = u
	}
	if account.Streams > 0 && u.streams >= account.Streams {
		return nil, dragonflypass.Refuse(dragonflypass.ReasonLimit, streamRetry, "account %s has %d requests in progress, its limit", account.ID, u.streams)
	}
	if refusal := u.spend(account, tokens, now); refusal != nil {
		return nil, refusal
	}
	u.streams++
	return once(func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		u.streams--
	}), nil
}

// spend takes the tokens from the account's rate limit.
func (u *usage) spend(account *dragonflypass.ClientAccount, tokens int, now time.Time) *dragonflypass.Refusal {
	if account.Rate <= 0 {
		u.limiter = nil
		return nil
	}
	burst := int(account.Rate * burstTime)
	if u.limiter == nil {
		u.limiter = rate.NewLimiter(rate.Limit(account.Rate), burst)
	}
	if u.limiter.Limit() != rate.Limit(account.Rate) {
		u.limiter.SetLimitAt(now, rate.Limit(account.Rate))
		u.limiter.SetBurstAt(now, burst)
	}
	// A request larger than the burst takes all of it.
	reservation := u.limiter.ReserveN(now, min(tokens, burst))
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	reservation.CancelAt(now)
	return dragonflypass.Refuse(dragonflypass.ReasonLimit, delay, "account %s has used up its %g tokens a second", account.ID, account.Rate)
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

// Buffered returns the sum of buffered request bodies in bytes.
func (a *Admitter) Buffered() int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.buffered
}
