package locker

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/petermattis/goid"
)

// Order is a table's place in the lock order; a goroutine takes locks in rising order only.
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
)

var orderNames = [...]string{"", "configuration", "members", "accounts", "servers", "queues", "permits", "claims", "suspects"}

// String returns the name of the table group.
func (o Order) String() string { return orderNames[o] }

// Mutex protects one shared table.
type Mutex struct {
	// Order is the table's place in the lock order.
	Order Order
	mutex sync.Mutex
}

// Lock takes the mutex and panics, while checking is on, when the goroutine holds one of the same or a later order.
func (m *Mutex) Lock() {
	if checking.Load() {
		register(m.Order)
	}
	m.mutex.Lock()
}

// Unlock releases the mutex.
func (m *Mutex) Unlock() {
	m.mutex.Unlock()
	if checking.Load() {
		unregister(m.Order)
	}
}

var (
	checking atomic.Bool
	heldLock sync.Mutex
	held     = make(map[int64][]Order)
)

// Check turns the checking of the lock order on; it is meant for tests, before any lock is taken.
func Check() { checking.Store(true) }

func register(order Order) {
	id := goid.Get()
	heldLock.Lock()
	defer heldLock.Unlock()
	orders := held[id]
	if n := len(orders); n > 0 && orders[n-1] >= order {
		panic(fmt.Sprintf("locker: %s taken while holding %s", order, orders[n-1]))
	}
	held[id] = append(orders, order)
}

func unregister(order Order) {
	id := goid.Get()
	heldLock.Lock()
	defer heldLock.Unlock()
	orders := held[id]
	for i := len(orders) - 1; i >= 0; i-- {
		if orders[i] == order {
			orders = append(orders[:i], orders[i+1:]...)
			break
		}
	}
	if len(orders) == 0 {
		delete(held, id)
		return
	}
	held[id] = orders
}
