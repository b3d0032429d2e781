package retrier

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// defaultRatio is the number of retries that one request earns, and defaultCapacity is the maximum number of
	// unused retries.
	defaultRatio    = 0.1
	defaultCapacity = 20
	// initialDelay is the mean delay before the first retry of a request.
	initialDelay = 20 * time.Millisecond
	// maxDelay is the maximum mean delay before a retry.
	maxDelay = time.Second
)

// Budget is a retry budget: each request earns a fraction of a retry, up to a maximum number of unused retries, and each
// retry subtracts one.
type Budget struct {
	mutex    locker.Mutex
	ratio    float64
	capacity float64
	balance  float64
}

// New returns a full retry budget.
func New() *Budget {
	return &Budget{mutex: locker.Mutex{Order: locker.Suspects}, ratio: defaultRatio, capacity: defaultCapacity, balance: defaultCapacity}
}

// setLimits sets the number of retries that one request earns and the maximum number of unused retries.
func (b *Budget) setLimits(ratio, capacity float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ratio, b.capacity = ratio, capacity
	b.balance = min(b.balance, capacity)
}

// Deposit credits the share of a retry that one request earns.
func (b *Budget) Deposit() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.balance = min(b.capacity, b.balance+b.ratio)
}

// Balance returns the number of retries available; it may be fractional.
func (b *Budget) Balance() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.balance
}

// Withdraw takes one retry. It reports false if less than one retry is available.
func (b *Budget) Withdraw() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Refund returns a retry that was withdrawn and not made.
func (b *Budget) Refund() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.balance = min(b.capacity, b.balance+1)
}

// Delay returns the time to wait before the given retry, counted from 1. The mean doubles with each retry up to a
// maximum, and the delay is uniformly distributed between zero and twice the mean.
func Delay(retry int) time.Duration {
	mean := min(maxDelay, initialDelay<<min(retry-1, 10))
	return time.Duration(rand.Int64N(int64(2*mean)) + 1)
}
