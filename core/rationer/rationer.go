package rationer

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// retryAfter is the delay after which a refused client may retry: by then, bodies without progress can be evicted.
	retryAfter = time.Second
	// logInterval is the minimum time between two log lines about a client.
	logInterval = time.Minute
	// loggedLimit is the maximum number of clients about which lines are remembered.
	loggedLimit = 1024
	// clientPrefixBits is the length of the prefix of the IPv6 addresses that count as one client: a single host can use all of
	// such a network.
	clientPrefixBits = 64
	// progressBytes is the number of bytes that count as progress of a body, so that single bytes do not hold its place.
	progressBytes = 1 << 10
)

// Limits are the limits on what clients hold at once; each must be positive.
type Limits struct {
	// Bytes is the memory for all clients, of which ReservedBytes are kept for bodies of clients without another open body.
	Bytes         int64
	ReservedBytes int64
	// Bodies, ClientBodies and ReservedBodies are the same for the number of bodies being received: all of them, those of one
	// client, and those kept.
	Bodies         int
	ClientBodies   int
	ReservedBodies int
	// Connections, ClientConnections and ReservedConnections are the same for the number of connections.
	Connections         int
	ClientConnections   int
	ReservedConnections int
	// Grace is the time without progress after which a body or a connection gives way to others that find no room.
	Grace time.Duration
}

// Rationer keeps the account of all clients. Limits, Meter and Logger are set before use.
type Rationer struct {
	Limits Limits
	Meter  dragonflypass.Meter
	Logger dragonflypass.Logger

	mutex       locker.Mutex
	bytes       int64
	clients     map[netip.Addr]*client
	bodies      map[*Ration]struct{}
	connections map[*Connection]struct{}
	// nextBodyEviction and nextConnectionEviction are the earliest times at which one may have to give way. They keep a flood
	// of refusals from searching all of them each time.
	nextBodyEviction       time.Time
	nextConnectionEviction time.Time
	// freed is closed when memory is given back, nil while nobody waits for it.
	freed chan struct{}
	// logged has the time of the last log line about each client.
	logged map[netip.Addr]time.Time
}

// client is what one client holds.
type client struct {
	bodies      int
	connections int
}

// New returns a rationer without clients.
func New() *Rationer {
	return &Rationer{
		mutex: locker.Mutex{Order: locker.Clients}, clients: make(map[netip.Addr]*client), bodies: make(map[*Ration]struct{}),
		connections: make(map[*Connection]struct{}), logged: make(map[netip.Addr]time.Time),
	}
}

// Usage is what all clients hold.
type Usage struct {
	Bytes       int64
	Bodies      int
	Connections int
}

// Usage returns what all clients hold.
func (r *Rationer) Usage() Usage {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return Usage{Bytes: r.bytes, Bodies: len(r.bodies), Connections: len(r.connections)}
}

// clientOf returns the address under which a client is accounted for.
func clientOf(address netip.Addr) netip.Addr {
	address = address.Unmap().WithZone("")
	if !address.Is6() {
		return address
	}
	prefix, err := address.Prefix(clientPrefixBits)
	if err != nil {
		return address
	}
	return prefix.Addr()
}

// get returns the account of a client. The caller must hold the mutex.
func (r *Rationer) get(address netip.Addr) *client {
	c, ok := r.clients[address]
	if !ok {
		c = &client{}
		r.clients[address] = c
	}
	return c
}

// drop forgets a client that holds nothing. The caller must hold the mutex.
func (r *Rationer) drop(address netip.Addr) {
	if c := r.clients[address]; c != nil && *c == (client{}) {
		delete(r.clients, address)
	}
}

// mayLog reports whether a line about the client is due, and records it. The caller must hold the mutex.
func (r *Rationer) mayLog(address netip.Addr, now time.Time) bool {
	if last, ok := r.logged[address]; ok && now.Sub(last) < logInterval {
		return false
	}
	if len(r.logged) >= loggedLimit {
		for other, last := range r.logged {
			if now.Sub(last) >= logInterval {
				delete(r.logged, other)
			}
		}
	}
	if len(r.logged) >= loggedLimit {
		return false
	}
	r.logged[address] = now
	return true
}

// report counts what happened to a client, and logs it if a line is due.
func (r *Rationer) report(counter dragonflypass.Counter, address netip.Addr, what string, now time.Time) {
	r.Meter.Add(counter, 1)
	r.mutex.Lock()
	due := r.mayLog(address, now)
	held := client{}
	if c := r.clients[address]; c != nil {
		held = *c
	}
	r.mutex.Unlock()
	if due {
		r.Logger.Warn("client over the limits", "client", address, "what", what, "bodies", held.bodies, "connections", held.connections)
	}
}

// refuse counts the refusal of a body and returns it.
func (r *Rationer) refuse(address netip.Addr, what string, now time.Time) *dragonflypass.Refusal {
	r.report(dragonflypass.CountBodyRefused, address, what, now)
	return dragonflypass.Refuse(dragonflypass.ReasonBusy, retryAfter, "%s", what)
}

// Ration is the memory that one exchange holds. Its body has a place among the open bodies until it has been received.
type Ration struct {
	rationer *Rationer
	address  netip.Addr
	// first is set if the client had no other open body.
	first bool
	stop  func()

	// The fields below are guarded by the mutex of the rationer.
	held       int64
	receiving  bool
	evicted    bool
	progressAt time.Time

	// unaccounted is the number of bytes received since the last progress; only the receiving goroutine uses it.
	unaccounted int64
}

// OpenBody gives a body of the client a place; stop is called at most once, while the body is being received, if it must give way
// to others. The ration must be closed. It refuses the body if there is no place.
func (r *Rationer) OpenBody(address netip.Addr, now time.Time, stop func()) (*Ration, *dragonflypass.Refusal) {
	address = clientOf(address)
	r.mutex.Lock()
	c := r.get(address)
	first := c.bodies == 0
	available := r.Limits.Bodies
	if !first {
		available -= r.Limits.ReservedBodies
	}
	var evicted *Ration
	if len(r.bodies) >= available || c.bodies >= r.Limits.ClientBodies {
		evicted = r.evictBody(now, address, c.bodies >= r.Limits.ClientBodies, nil)
		if evicted == nil {
			r.drop(address)
			r.mutex.Unlock()
			return nil, r.refuse(address, "too many open request bodies", now)
		}
	}
	ration := &Ration{rationer: r, address: address, first: first, stop: stop, receiving: true, progressAt: now}
	r.bodies[ration] = struct{}{}
	// The eviction may have dropped the account of the client.
	r.get(address).bodies++
	r.mutex.Unlock()
	evicted.end(now)
	return ration, nil
}

// Open returns a ration for an exchange without a body.
func (r *Rationer) Open(address netip.Addr) *Ration {
	return &Ration{rationer: r, address: clientOf(address)}
}

// evictBody takes the place and the memory of the body that has made no progress for longest, at least for the grace time, except for
// the given one. It returns nil if there is none. The caller must hold the mutex, and call end once it does not.
func (r *Rationer) evictBody(now time.Time, address netip.Addr, ofClient bool, except *Ration) *Ration {
	if now.Before(r.nextBodyEviction) {
		return nil
	}
	var oldest *Ration
	next := now.Add(r.Limits.Grace)
	for ration := range r.bodies {
		if due := ration.progressAt.Add(r.Limits.Grace); due.After(now) {
			next = minTime(next, due)
			continue
		}
		if ration == except {
			continue
		}
		if ofClient && ration.address != address {
			next = now
			continue
		}
		if oldest == nil || ration.progressAt.Before(oldest.progressAt) {
			oldest = ration
		}
	}
	if oldest == nil {
		r.nextBodyEviction = next
		return nil
	}
	oldest.evicted = true
	oldest.leave()
	oldest.release(oldest.held)
	return oldest
}

// end reports the eviction of a body and stops its reader. It does nothing for nil.
func (n *Ration) end(now time.Time) {
	if n == nil {
		return
	}
	n.rationer.report(dragonflypass.CountBodyEvicted, n.address, "a request body made no progress and gave way", now)
	n.stop()
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Record records that bytes of the body have been received. It reports whether the body has made progress.
func (n *Ration) Record(bytes int, now time.Time) bool {
	n.unaccounted += int64(bytes)
	if n.unaccounted < progressBytes {
		return false
	}
	n.unaccounted = 0
	n.rationer.mutex.Lock()
	defer n.rationer.mutex.Unlock()
	n.progressAt = now
	return true
}

// Take takes memory for the exchange; other bodies may have to give way. If there is too little, it returns a channel that is closed
// when some memory is given back, and the time at which another body may have to give way.
func (n *Ration) Take(bytes int64, now time.Time) (granted bool, freed <-chan struct{}, retryAt time.Time) {
	r := n.rationer
	r.mutex.Lock()
	available := r.Limits.Bytes
	if !n.first {
		available -= r.Limits.ReservedBytes
	}
	var evicted []*Ration
	for !n.evicted && r.bytes+bytes > available {
		other := r.evictBody(now, n.address, false, n)
		if other == nil {
			break
		}
		evicted = append(evicted, other)
	}
	if granted = !n.evicted && r.bytes+bytes <= available; granted {
		r.bytes += bytes
		n.held += bytes
	} else {
		if r.freed == nil {
			r.freed = make(chan struct{})
		}
		freed, retryAt = r.freed, r.nextBodyEviction
	}
	r.mutex.Unlock()
	for _, other := range evicted {
		other.end(now)
	}
	return granted, freed, retryAt
}

// Hold charges memory that is in use already, even if there is too little. Others then get none until some is given back.
func (n *Ration) Hold(bytes int64) {
	n.rationer.mutex.Lock()
	defer n.rationer.mutex.Unlock()
	n.rationer.bytes += bytes
	n.held += bytes
}

// Wait records that the body waits for memory, which is not the fault of its client.
func (n *Ration) Wait(now time.Time) {
	n.rationer.mutex.Lock()
	defer n.rationer.mutex.Unlock()
	n.progressAt = now
}

// Refuse counts the refusal of an exchange for which there is too little memory, and returns it.
func (n *Ration) Refuse(now time.Time) *dragonflypass.Refusal {
	return n.rationer.refuse(n.address, "the memory for request bodies and responses is in use", now)
}

// release gives memory back and wakes those that wait for it. The caller must hold the mutex.
func (n *Ration) release(bytes int64) {
	r := n.rationer
	r.bytes -= bytes
	n.held -= bytes
	if bytes > 0 && r.freed != nil {
		close(r.freed)
		r.freed = nil
	}
}

// Give gives back a part of the memory.
func (n *Ration) Give(bytes int64) {
	n.rationer.mutex.Lock()
	defer n.rationer.mutex.Unlock()
	n.release(min(bytes, n.held))
}

// Evicted reports whether the body had to give way to others.
func (n *Ration) Evicted() bool {
	n.rationer.mutex.Lock()
	defer n.rationer.mutex.Unlock()
	return n.evicted
}

// Received gives back the place of the body, which has been received or refused. The memory stays with the exchange. It returns false
// if the body had to give way before.
func (n *Ration) Received() bool {
	n.rationer.mutex.Lock()
	defer n.rationer.mutex.Unlock()
	n.leave()
	return !n.evicted
}

// leave gives back the place of the body. The caller must hold the mutex.
func (n *Ration) leave() {
	if !n.receiving {
		return
	}
	n.receiving = false
	delete(n.rationer.bodies, n)
	n.rationer.get(n.address).bodies--
	n.rationer.drop(n.address)
}

// Close gives back the place and the memory. It may be called more than once.
func (n *Ration) Close() {
	n.rationer.mutex.Lock()
	defer n.rationer.mutex.Unlock()
	n.leave()
	n.release(n.held)
}

// Stalled counts a body that was refused because it made no progress, and returns the refusal.
func (n *Ration) Stalled(limit time.Duration, now time.Time) *dragonflypass.Refusal {
	n.rationer.report(dragonflypass.CountBodyStalled, n.address, "a request body made no progress", now)
	return dragonflypass.Refuse(dragonflypass.ReasonStalledBody, 0, "the body made no progress for %s", cmp.Or(limit, n.rationer.Limits.Grace))
}
