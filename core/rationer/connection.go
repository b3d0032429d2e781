package rationer

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Connection is the place of one connection.
type Connection struct {
	rationer *Rationer
	address  netip.Addr
	stop     func()
	// idleSince is the time, in nanoseconds since 1970, since which the connection has no request, zero while it has one. It is
	// atomic so that a request takes no lock.
	idleSince atomic.Int64
	// closed is guarded by the mutex of the rationer.
	closed bool
}

// Connect gives a connection of the client a place; stop is called at most once if it must give way to others while it has no
// request. It returns nil if there is no place. The connection must be closed.
func (r *Rationer) Connect(address netip.Addr, now time.Time, stop func()) *Connection {
	address = clientOf(address)
	r.mutex.Lock()
	c := r.get(address)
	available := r.Limits.Connections
	if c.connections > 0 {
		available -= r.Limits.ReservedConnections
	}
	var evicted *Connection
	if len(r.connections) >= available || c.connections >= r.Limits.ClientConnections {
		evicted = r.evictConnection(now, address, c.connections >= r.Limits.ClientConnections)
		if evicted == nil {
			// The connection of a body that gives way is closed, which leaves its place to a later one.
			stalled := r.evictBody(now, address, c.connections >= r.Limits.ClientConnections, nil)
			r.drop(address)
			r.mutex.Unlock()
			stalled.end(now)
			r.report(dragonflypass.CountConnectionRefused, address, "too many connections", now)
			return nil
		}
	}
	connection := &Connection{rationer: r, address: address, stop: stop}
	connection.idleSince.Store(now.UnixNano())
	r.connections[connection] = struct{}{}
	r.get(address).connections++
	r.mutex.Unlock()
	if evicted != nil {
		r.report(dragonflypass.CountConnectionEvicted, evicted.address, "a connection without a request gave way", now)
		evicted.stop()
	}
	return connection
}

// evictConnection takes the place of the connection that has had no request for longest, at least for the grace time. It returns
// nil if there is none. The caller must hold the mutex.
func (r *Rationer) evictConnection(now time.Time, address netip.Addr, ofClient bool) *Connection {
	if now.Before(r.nextConnectionEviction) {
		return nil
	}
	var oldest *Connection
	var oldestSince int64
	next := now.Add(r.Limits.Grace)
	for connection := range r.connections {
		since := connection.idleSince.Load()
		if since == 0 {
			continue
		}
		if due := time.Unix(0, since).Add(r.Limits.Grace); due.After(now) {
			next = minTime(next, due)
			continue
		}
		if ofClient && connection.address != address {
			next = now
			continue
		}
		if oldest == nil || since < oldestSince {
			oldest, oldestSince = connection, since
		}
	}
	if oldest == nil {
		r.nextConnectionEviction = next
		return nil
	}
	oldest.leave()
	return oldest
}

// Begin records that the head of a request has been received.
func (c *Connection) Begin() { c.idleSince.Store(0) }

// Idle records that the connection has no request any more.
func (c *Connection) Idle(now time.Time) { c.idleSince.Store(now.UnixNano()) }

// Close gives back the place. It may be called more than once.
func (c *Connection) Close() {
	c.rationer.mutex.Lock()
	defer c.rationer.mutex.Unlock()
	c.leave()
}

// leave gives back the place. The caller must hold the mutex.
func (c *Connection) leave() {
	if c.closed {
		return
	}
	c.closed = true
	r := c.rationer
	delete(r.connections, c)
	r.get(c.address).connections--
	r.drop(c.address)
}
