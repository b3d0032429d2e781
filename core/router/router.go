package router

import (
	"crypto/sha256"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// trustMargin is taken off the times for which a proof counts, for the work between a check and a send.
	trustMargin = 250 * time.Millisecond
	// elsewhereRetry is the time after which a caller is told to come back, where another VM will take it.
	elsewhereRetry = 10 * time.Millisecond
	// freshAge is the age of the newest proof up to which a VM takes new connections: a proof comes each second.
	freshAge = 2 * time.Second
)

// Router holds the route table in force.
type Router struct {
	Timer  dragonflypass.Timer
	Meter  dragonflypass.Meter
	Logger dragonflypass.Logger
	// FreshAsOf returns the uptime as of which the table is proved current; known is false before the first proof.
	FreshAsOf func() (proved time.Duration, known bool)
	// Revoke is the time after which no request with a key that was taken away may run.
	Revoke time.Duration
	// Apply is the time in which a new table must be in force.
	Apply time.Duration

	current atomic.Pointer[dragonflypass.RouteTable]
}

// ApplyUpdates puts the newest table in force; an older one never replaces a newer one.
func (r *Router) ApplyUpdates(updates []dragonflypass.Update) {
	for _, update := range updates {
		table := update.Table
		if table == nil {
			continue
		}
		old := r.current.Load()
		if old != nil && table.Version <= old.Version {
			r.Logger.Warn("older routing ignored", "version", table.Version, "current", old.Version)
			continue
		}
		r.current.Store(table)
		r.Meter.Add(dragonflypass.CountConfigApplied, 1)
		r.Logger.Info("routing in force", "version", table.Version, "routes", table.Routes(), "services", len(table.Services))
	}
}

// Current returns the table in force, nil before there is one.
func (r *Router) Current() *dragonflypass.RouteTable { return r.current.Load() }

// Age returns the time since the table was proved current, negative before the first proof.
func (r *Router) Age() time.Duration {
	proved, known := r.FreshAsOf()
	if !known {
		return -1
	}
	return r.Timer.Uptime() - proved
}

// Trusted reports whether keys in the table may still be accepted.
func (r *Router) Trusted() bool {
	age := r.Age()
	return age >= 0 && age < r.Revoke-trustMargin
}

// Fresh reports whether the table was proved current lately.
func (r *Router) Fresh() bool {
	age := r.Age()
	return age >= 0 && age < freshAge
}

// recent reports whether the table is so new that what it lacks does not exist.
func (r *Router) recent() bool {
	age := r.Age()
	return age >= 0 && age < r.Apply-trustMargin
}

// Match is the route of a request and the client account in whose name it runs.
type Match struct {
	Table *dragonflypass.RouteTable
	Route *dragonflypass.RoutePolicy
	// Account is empty on a public route.
	Account dragonflypass.AccountID
	// Priority is the rank of the request, lower values first.
	Priority int
	// Age is the time since the table was proved current.
	Age time.Duration
}

// Find returns the route and the client account of the request.
func (r *Router) Find(e *dragonflypass.Exchange) (Match, *dragonflypass.Refusal) {
	found := Match{Table: r.Current(), Age: r.Age()}
	if found.Table == nil {
		return found, dragonflypass.Refuse(dragonflypass.ReasonNoRouting, elsewhereRetry, "no routing is known yet")
	}
	found.Route = found.Table.Match(e.Host, e.Path)
	if found.Route == nil {
		if !r.recent() {
			return found, dragonflypass.Refuse(dragonflypass.ReasonNoRouting, elsewhereRetry, "the routing may have changed")
		}
		return found, dragonflypass.Refuse(dragonflypass.ReasonNotFound, 0, "no route leads to %s%s", e.Host, e.Path)
	}
	found.Priority = found.Route.Priority
	if found.Route.Public || !found.Table.RequiresKey {
		return found, nil
	}
	return found, r.authenticate(e, &found)
}

// authenticate finds the client account that holds the request's key.
func (r *Router) authenticate(e *dragonflypass.Exchange, found *Match) *dragonflypass.Refusal {
	if !r.Trusted() {
		return dragonflypass.Refuse(dragonflypass.ReasonNoRouting, elsewhereRetry, "keys cannot be checked: the routing is %s old", found.Age)
	}
	account := found.Table.Account(sha256.Sum256([]byte(e.Credential)))
	if account == nil {
		if !r.recent() {
			return dragonflypass.Refuse(dragonflypass.ReasonNoRouting, elsewhereRetry, "the keys may have changed")
		}
		return dragonflypass.Refuse(dragonflypass.ReasonUnauthorized, 0, "the key is missing or unknown")
	}
	found.Account = account.ID
	if account.HasPriority {
		found.Priority = account.Priority
	}
	return nil
}

// PickService draws one of the route's services by their weights, empty when there is none.
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
