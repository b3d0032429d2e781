package inspector

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/dragonflypass/dragonflypass"
)

// Change is a difference between two configurations.
type Change struct {
	// Sign is + for what is added, - for what is removed, and ~ for what is changed.
	Sign byte
	// Subject names the changed entry, and Detail says what has changed in it.
	Subject string
	Detail  string
}

// String returns the change as one line.
func (c Change) String() string {
	if c.Detail == "" {
		return fmt.Sprintf("%c %s", c.Sign, c.Subject)
	}
	return fmt.Sprintf("%c %s: %s", c.Sign, c.Subject, c.Detail)
}

// KeyID returns a short identifier of a key, from which the key cannot be derived. It is the same for equal keys.
func KeyID(key dragonflypass.Digest) string {
	const length = 4
	return hex.EncodeToString(key[:length])
}

// Compare returns the differences of the configuration from the one in force, and the findings on its version.
func Compare(current, next *Configuration) (changes []Change, findings []Finding) {
	if next.Version <= current.Version {
		findings = append(findings, Finding{Severity: Error, Location: Location{Field: FieldVersion, Element: -1},
			Message: fmt.Sprintf("the version %d is not above %d, which is in force: the entry VMs would ignore it", next.Version, current.Version)})
	}
	changes = append(changes, compare(routesByPath(current), routesByPath(next), routeDetails)...)
	changes = append(changes, compare(servicesByName(current), servicesByName(next), serviceDetails)...)
	changes = append(changes, compare(map[string]dragonflypass.CallerLimits{"limits": current.Limits}, map[string]dragonflypass.CallerLimits{"limits": next.Limits}, limitDetails)...)
	changes = append(changes, compare(accountsByName(current), accountsByName(next), accountDetails)...)
	for name, account := range accountsByName(next) {
		if old, ok := accountsByName(current)[name]; ok {
			changes = append(changes, compareKeys(name, old, account)...)
		}
	}
	slices.SortStableFunc(changes, func(x, y Change) int { return strings.Compare(x.Subject, y.Subject) })
	if (len(current.Accounts) == 0) != (len(next.Accounts) == 0) {
		text := "requests need no key any more"
		if len(current.Accounts) == 0 {
			text = "requests need a key from now on"
		}
		changes = append(changes, Change{Sign: '~', Subject: "accounts", Detail: text})
	}
	return changes, findings
}

// compare returns the entries that are added, removed or changed; details returns what has changed in one.
func compare[T any](current, next map[string]T, details func(current, next T) []string) (changes []Change) {
	for _, name := range slices.Sorted(maps.Keys(current)) {
		if _, ok := next[name]; !ok {
			changes = append(changes, Change{Sign: '-', Subject: name})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(next)) {
		old, ok := current[name]
		if !ok {
			changes = append(changes, Change{Sign: '+', Subject: name})
		} else if list := details(old, next[name]); len(list) > 0 {
			changes = append(changes, Change{Sign: '~', Subject: name, Detail: strings.Join(list, ", ")})
		}
	}
	return changes
}

// compareKeys returns the keys that are added to an account, and those that are removed.
func compareKeys(subject string, current, next *dragonflypass.AccountPolicy) (changes []Change) {
	ids := func(account *dragonflypass.AccountPolicy) map[string]bool {
		set := make(map[string]bool)
		for _, key := range account.Keys {
			set[KeyID(key)] = true
		}
		return set
	}
	for _, change := range compare(ids(current), ids(next), func(bool, bool) []string { return nil }) {
		changes = append(changes, Change{Sign: change.Sign, Subject: subject, Detail: "key " + change.Subject})
	}
	return changes
}

// routesByPath returns the routes in use by host and prefix.
func routesByPath(c *Configuration) map[string]*dragonflypass.RoutePolicy {
	routes := make(map[string]*dragonflypass.RoutePolicy)
	for _, route := range c.Routes {
		name := "route " + strings.ToLower(route.Host) + route.Prefix
		if _, ok := routes[name]; !ok {
			routes[name] = route
		}
	}
	return routes
}

func servicesByName(c *Configuration) map[string]*dragonflypass.ServicePolicy {
	services := make(map[string]*dragonflypass.ServicePolicy)
	for _, service := range c.Services {
		services["service "+string(service.ID)] = service
	}
	return services
}

// accountsByName returns the accounts; the keys of accounts with the same name are joined.
func accountsByName(c *Configuration) map[string]*dragonflypass.AccountPolicy {
	accounts := make(map[string]*dragonflypass.AccountPolicy)
	for _, account := range c.Accounts {
		name, joined := "account "+string(account.ID), *account
		if old, ok := accounts[name]; ok {
			joined.Keys = slices.Concat(old.Keys, account.Keys)
		}
		accounts[name] = &joined
	}
	return accounts
}

// detail returns a text if the values differ, else nothing.
func detail[T comparable](name string, current, next T) []string {
	if current == next {
		return nil
	}
	return []string{fmt.Sprintf("%s %v → %v", name, current, next)}
}

func routeDetails(current, next *dragonflypass.RoutePolicy) []string {
	backends := func(route *dragonflypass.RoutePolicy) string {
		var list []string
		for _, b := range route.Backends {
			if len(route.Backends) == 1 {
				return string(b.Service)
			}
			list = append(list, fmt.Sprintf("%s×%d", b.Service, b.Weight))
		}
		return strings.Join(list, "+")
	}
	return slices.Concat(
		detail("moved from service", backends(current), backends(next)),
		detail("timeout", current.Timeout, next.Timeout), detail("latency objective", current.LatencyObjective, next.LatencyObjective),
		detail("event gap", current.MaxEventGap, next.MaxEventGap), detail("kind", current.Kind, next.Kind),
		detail("attempts", current.MaxAttempts, next.MaxAttempts), detail("priority", current.Priority, next.Priority),
		detail("public", current.Public, next.Public), detail("resumable", current.Resumable, next.Resumable),
		detail("name", current.Name, next.Name),
	)
}

func serviceDetails(current, next *dragonflypass.ServicePolicy) []string {
	list := detail("connections", current.MaxConnections, next.MaxConnections)
	var old, changed dragonflypass.EngineCostModel
	if current.CostModel != nil {
		old = *current.CostModel
	}
	if next.CostModel != nil {
		changed = *next.CostModel
	}
	if old != changed {
		list = append(list, "cost model")
	}
	return list
}

func limitDetails(current, next dragonflypass.CallerLimits) []string {
	return slices.Concat(
		detail("header bytes", current.HeaderBytes, next.HeaderBytes), detail("body bytes", current.BodyBytes, next.BodyBytes),
		detail("header timeout", current.HeaderTimeout, next.HeaderTimeout), detail("idle timeout", current.IdleTimeout, next.IdleTimeout),
	)
}

func accountDetails(current, next *dragonflypass.AccountPolicy) []string {
	priority := func(account *dragonflypass.AccountPolicy) string {
		if !account.HasPriority {
			return "of the route"
		}
		return fmt.Sprint(account.Priority)
	}
	return detail("priority", priority(current), priority(next))
}
