package retrier

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// share is the number of retries earned by one request.
	share = 0.1
	// reserve is the largest number of retries saved up.
	reserve = 20
	// firstDelay is the mean delay before the first retry of a request.
	firstDelay = 20 * time.Millisecond
	// longestDelay bounds the mean delay before a retry.
	longestDelay = time.Second
)

// Retrier keeps the retry budget of one entry VM.
type Retrier struct {
	mutex locker.Mutex
	saved float64
}

// New returns a retrier with its reserve full.
func New() *Retrier {
	return &Retrier{mutex: locker.Mutex{Order: locker.Accounts}, saved: reserve}
}

// Earn adds a request's part to the budget.
func (r *Retrier) Earn() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.saved = min(reserve, r.saved+share)
}

// Spend takes one retry and reports whether the budget had one.
func (r *Retrier) Spend() bool {
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
