package locker

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/petermattis/goid"
)

// Order is a table's position in the lock order; a goroutine must lock tables in ascending order.
type Order uint8

// The lock order of the shared tables.
const (
	Configuration Order = iota + 1
	Members
	Accounts
	Servers
	Queues
	Permits
	Claims
	Suspects
	Loads
	Clients
)

var orderNames = [...]string{"", "configuration", "members", "accounts", "servers", "queues", "permits", "claims", "suspects", "loads", "clients"}

// String returns the name of the tables at this position.
func (o Order) String() string { return orderNames[o] }

// Mutex protects one shared table.
type Mutex struct {
	// Order is the table's position in the lock order.
	Order Order
	mutex sync.Mutex
}

// Lock locks the mutex. While checks are enabled, it panics if the goroutine already holds a mutex of the same or a later order.
func (m *Mutex) Lock() {
	if checkEnabled.Load() {
		recordAcquire(m.Order)
	}
	m.mutex.Lock()
}

// Unlock unlocks the mutex.
func (m *Mutex) Unlock() {
	m.mutex.Unlock()
	if checkEnabled.Load() {
		recordRelease(m.Order)
	}
}

var (
	checkEnabled      atomic.Bool
	ordersMutex       sync.Mutex
	ordersByGoroutine = make(map[int64][]Order)
)

// EnableChecks enables the lock order checks. It is meant for tests and must be called before any mutex is locked.
func EnableChecks() { checkEnabled.Store(true) }

// recordAcquire adds the order to those of the mutexes that the goroutine holds or waits for.
// It panics if the last recorded one is equal or later in the lock order.
func recordAcquire(order Order) {
	id := goid.Get()
	ordersMutex.Lock()
	defer ordersMutex.Unlock()
	orders := ordersByGoroutine[id]
	if n := len(orders); n > 0 && orders[n-1] >= order {
		panic(fmt.Sprintf("locker: %s taken while holding %s", order, orders[n-1]))
	}
	ordersByGoroutine[id] = append(orders, order)
}

// recordRelease removes the order from those of the goroutine.
func recordRelease(order Order) {
	id := goid.Get()
	ordersMutex.Lock()
	defer ordersMutex.Unlock()
	orders := ordersByGoroutine[id]
	for i := len(orders) - 1; i >= 0; i-- {
		if orders[i] == order {
			orders = append(orders[:i], orders[i+1:]...)
			break
		}
	}
	if len(orders) == 0 {
		delete(ordersByGoroutine, id)
		return
	}
	ordersByGoroutine[id] = orders
}
