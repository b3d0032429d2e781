package retrier

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// defaultShare is the number of retries earned by one request, and defaultReserve the largest number saved up.
	defaultShare   = 0.1
	defaultReserve = 20
	// firstDelay is the mean delay before the first retry of a request.
	firstDelay = 20 * time.Millisecond
	// longestDelay bounds the mean delay before a retry.
	longestDelay = time.Second
)

// Retrier keeps one retry budget.
type Retrier struct {
	mutex   locker.Mutex
	share   float64
	reserve float64
	saved   float64
}

// New returns a retrier with its reserve full.
func New() *Retrier {
	return &Retrier{mutex: locker.Mutex{Order: locker.Suspects}, share: defaultShare, reserve: defaultReserve, saved: defaultReserve}
}

// limit sets what a request earns and how much is saved up at most.
func (r *Retrier) limit(share, reserve float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.share, r.reserve = share, reserve
	r.saved = min(r.saved, reserve)
}

// Deposit adds a request's part to the budget.
func (r *Retrier) Deposit() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.saved = min(r.reserve, r.saved+r.share)
}

// Balance returns the retries that the budget has.
func (r *Retrier) Balance() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.saved
}

// Withdraw takes one retry and reports whether the budget had one.
func (r *Retrier) Withdraw() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.saved < 1 {
		return false
	}
	r.saved--
	return true
}

// Delay returns the time to wait before the retry with the number, counted from 1: doubling, with full jitter.
func Delay(number int) time.Duration {
	mean := min(longestDelay, firstDelay<<min(number-1, 10))
	return time.Duration(rand.Int64N(int64(2*mean)) + 1)
}
