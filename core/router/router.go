package router

import (
	"crypto/sha256"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// freshnessMargin is subtracted from the limits on the table's staleness. It covers the time from the check until the
	// request is sent.
	freshnessMargin = 250 * time.Millisecond
	// otherVMRetryAfter is the retry delay given to a caller whose request another VM can accept.
	otherVMRetryAfter = 10 * time.Millisecond
	// readyStaleness is the staleness below which a VM accepts new connections. In a large fleet, the loss of the VM that
	// reads for a zone delays the next confirmation of the table to about two seconds.
	readyStaleness = 2500 * time.Millisecond
)

// Router holds the route table in effect.
type Router struct {
	Timer  dragonflypass.Timer
	Meter  dragonflypass.Meter
	Logger dragonflypass.Logger
	// FreshAsOf returns the uptime as of which the table is known to be current; loaded is false before the first read.
	FreshAsOf func() (freshAsOf time.Duration, loaded bool)
	// RevokeLimit is the maximum time for which requests with a key may still run after the key was revoked.
	RevokeLimit time.Duration
	// ApplyLimit is the time within which a new table must be in effect.
	ApplyLimit time.Duration

	current atomic.Pointer[dragonflypass.RouteTable]
}

// ApplyUpdates puts the tables of the updates into effect. It ignores a table whose version is not newer.
func (r *Router) ApplyUpdates(updates []dragonflypass.Update) {
	for _, update := range updates {
		table := update.Table
		if table == nil {
			continue
		}
		if current, ok := r.replaceOlder(table); !ok {
			r.Logger.Warn("older route table ignored", "version", table.Version, "current", current.Version)
			continue
		}
		r.Meter.Add(dragonflypass.CountConfigApplied, 1)
		r.Logger.Info("routing in effect", "version", table.Version, "routes", table.Routes(), "services", len(table.Services))
	}
}

// replaceOlder puts the table into effect unless the one in effect is as new, which it then returns.
func (r *Router) replaceOlder(table *dragonflypass.RouteTable) (current *dragonflypass.RouteTable, ok bool) {
	for {
		old := r.current.Load()
		if old != nil && table.Version <= old.Version {
			return old, false
		}
		if r.current.CompareAndSwap(old, table) {
			return table, true
		}
	}
}

// Current returns the table in effect, or nil before the first one.
func (r *Router) Current() *dragonflypass.RouteTable { return r.current.Load() }

// Staleness returns the time since the table was last known to be current. It is negative before the first read.
func (r *Router) Staleness() time.Duration {
	freshAsOf, loaded := r.FreshAsOf()
	if !loaded {
		return -1
	}
	return r.Timer.Uptime() - freshAsOf
}

// AcceptsKeys reports whether the table is fresh enough to accept the keys in it: a revoked one would have been removed.
func (r *Router) AcceptsKeys() bool {
	return r.acceptsKeys(r.Staleness())
}

// acceptsKeys is AcceptsKeys for a table with the given staleness.
func (r *Router) acceptsKeys(staleness time.Duration) bool {
	return staleness >= 0 && staleness < r.RevokeLimit-freshnessMargin
}

// Fresh reports whether the table is fresh enough for this VM to accept new connections.
func (r *Router) Fresh() bool {
	staleness := r.Staleness()
	return staleness >= 0 && staleness < readyStaleness
}

// complete reports whether a table with the given staleness is fresh enough to conclude that a route or key missing from it
// does not exist.
func (r *Router) complete(staleness time.Duration) bool {
	return staleness >= 0 && staleness < r.ApplyLimit-freshnessMargin
}

// Match is the result of a route lookup.
type Match struct {
	Table *dragonflypass.RouteTable
	Route *dragonflypass.RoutePolicy
	// Account is the client account of the request, empty if the route is public or the table requires no key.
	Account dragonflypass.AccountID
	// Priority is the priority of the request; lower values are served first.
	Priority int
	// Staleness is the time since the table was last known to be current.
	Staleness time.Duration
}

// Find returns the route, the client account and the priority of the request.
func (r *Router) Find(e *dragonflypass.Exchange) (Match, *dragonflypass.Refusal) {
	// The staleness must not be that of a newer table.
	match := Match{Staleness: r.Staleness()}
	match.Table = r.Current()
	if match.Table == nil {
		return match, dragonflypass.Refuse(dragonflypass.ReasonNoRouting, otherVMRetryAfter, "the route table has not been loaded yet")
	}
	match.Route = match.Table.Match(e.Host, e.Path)
	if match.Route == nil {
		if !r.complete(match.Staleness) {
			return match, dragonflypass.Refuse(dragonflypass.ReasonNoRouting, otherVMRetryAfter, "no route matches, but the route table may be out of date")
		}
		return match, dragonflypass.Refuse(dragonflypass.ReasonNotFound, 0, "no route matches %s%s", e.Host, e.Path)
	}
	match.Priority = match.Route.Priority
	if match.Route.Public || !match.Table.RequiresKey {
		return match, nil
	}
	return match, r.authenticate(e, &match)
}

// authenticate sets the client account to which the request's key belongs, and the account's priority.
func (r *Router) authenticate(e *dragonflypass.Exchange, match *Match) *dragonflypass.Refusal {
	if !r.acceptsKeys(match.Staleness) {
		return dragonflypass.Refuse(dragonflypass.ReasonNoRouting, otherVMRetryAfter, "keys cannot be checked: the route table was last confirmed %s ago", match.Staleness)
	}
	account := match.Table.Account(sha256.Sum256([]byte(e.Credential)))
	if account == nil {
		if !r.complete(match.Staleness) {
			return dragonflypass.Refuse(dragonflypass.ReasonNoRouting, otherVMRetryAfter, "the key is unknown, but the route table may be out of date")
		}
		return dragonflypass.Refuse(dragonflypass.ReasonUnauthorized, 0, "the key is missing or unknown")
	}
	match.Account = account.ID
	if account.HasPriority {
		match.Priority = account.Priority
	}
	return nil
}

// PickService selects one of the route's services at random by weight. It returns an empty identifier if
// no weight is positive.
func PickService(route *dragonflypass.RoutePolicy) dragonflypass.ServiceID {
	total := 0
	for _, b := range route.Backends {
		total += max(0, b.Weight)
	}
	if total == 0 {
		return ""
	}
	draw := rand.IntN(total)
	for _, b := range route.Backends {
		draw -= max(0, b.Weight)
		if draw < 0 {
			return b.Service
		}
	}
	return ""
}
