package inspector

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/dragonflypass/dragonflypass"
)

// inspectRoutes checks the routes by themselves, against each other and against the services.
func (i *inspection) inspectRoutes(servers map[dragonflypass.ServiceID]int) {
	type key struct{ host, prefix string }
	seen, names := make(map[key]int), make(map[string]bool)
	for k, route := range i.Routes {
		at := Location{Section: SectionRoutes, Index: k, Element: -1}
		in := func(field Field) Location {
			at.Field = field
			return at
		}
		i.addIf(route.Name == "", Warning, in(FieldName), "the route has no name; logs cannot tell it from others")
		i.addIf(route.Name != "" && names[route.Name], Warning, in(FieldName), "another route has the name %q too; logs cannot tell them apart", route.Name)
		names[route.Name] = true
		if fault := hostFault(route.Host); fault != "" {
			i.addIf(true, Error, in(FieldHost), "the route can never match: %s", fault)
		}
		i.inspectPrefix(route, in(FieldPrefix))
		id := key{strings.ToLower(route.Host), route.Prefix}
		if first, ok := seen[id]; ok {
			i.addIf(true, Error, in(FieldPrefix), "the route can never match: route %q has the same host and prefix, and the first of them is used", i.Routes[first].Name)
		} else {
			seen[id] = k
			i.inspectSplit(route, in(FieldPrefix))
		}
		i.inspectBackends(route, in(FieldBackends), servers)
		i.inspectTimes(route, in)
	}
}

// inspectPrefix checks that a path can have the prefix.
func (i *inspection) inspectPrefix(route *dragonflypass.RoutePolicy, at Location) {
	i.addIf(!strings.HasPrefix(route.Prefix, "/"), Error, at, "the route can never match: the prefix %q does not start with a slash", route.Prefix)
	i.addIf(!strings.HasSuffix(route.Prefix, "/"), Error, at, "the route can never match: the prefix %q does not end with a slash", route.Prefix)
	i.addIf(strings.ContainsAny(route.Prefix, "%?#"), Warning, at,
		"the prefix %q is compared with the decoded path, without the query; a request has these characters there only if it encodes them", route.Prefix)
}

// inspectSplit warns of a route whose prefix is below that of another route.
func (i *inspection) inspectSplit(route *dragonflypass.RoutePolicy, at Location) {
	var parent *dragonflypass.RoutePolicy
	for _, other := range i.Routes {
		below := strings.EqualFold(other.Host, route.Host) && len(other.Prefix) < len(route.Prefix) && strings.HasPrefix(route.Prefix, other.Prefix)
		if below && other.Prefix != "" && (parent == nil || len(other.Prefix) > len(parent.Prefix)) {
			parent = other
		}
	}
	if parent != nil {
		i.addIf(true, Warning, at,
			"the prefix is below %q of route %q: a path with percent-encoded slashes, or with dot segments, may take the other one of the two routes than the server that reads it expects",
			parent.Prefix, parent.Name)
	}
}

// inspectBackends checks the services of a route.
func (i *inspection) inspectBackends(route *dragonflypass.RoutePolicy, at Location, servers map[dragonflypass.ServiceID]int) {
	total, seen := 0, make(map[dragonflypass.ServiceID]bool)
	for n, backend := range route.Backends {
		at.Element = n
		total += max(0, backend.Weight)
		service, defined := i.services[backend.Service]
		i.addIf(!defined, Error, at, "service %q is not defined", backend.Service)
		i.addIf(seen[backend.Service], Warning, at, "service %q is listed twice", backend.Service)
		seen[backend.Service] = true
		i.addIf(servers != nil && defined && backend.Weight > 0 && servers[backend.Service] == 0, Error, at, "service %q has no registered servers", backend.Service)
		if !defined {
			continue
		}
		isModel, isStream := service.CostModel != nil, route.Kind == dragonflypass.KindStream
		i.addIf(isStream && !isModel, Error, at, "the route streams, but service %q has no cost model", backend.Service)
		i.addIf(isModel && !isStream, Warning, at, "service %q has a cost model, but the route does not stream: its requests do not wait for permits", backend.Service)
	}
	at.Element = -1
	i.addIf(len(route.Backends) == 0, Error, at, "the route has no service: every request is rejected")
	i.addIf(len(route.Backends) > 0 && total == 0, Error, at, "the weights of all services are 0: every request is rejected")
}

// inspectTimes checks the times and the number of attempts of a route.
func (i *inspection) inspectTimes(route *dragonflypass.RoutePolicy, in func(Field) Location) {
	isStream := route.Kind == dragonflypass.KindStream
	i.addIf(route.Timeout <= 0, Error, in(FieldTimeout), "the timeout must be above 0: every request ends at once")
	i.addIf(route.Timeout > 0 && route.LatencyObjective > route.Timeout, Error, in(FieldLatencyObjective),
		"the latency objective, %v, is above the timeout, %v", route.LatencyObjective, route.Timeout)
	i.addIf(route.LatencyObjective <= 0, Warning, in(FieldLatencyObjective), "there is no latency objective: the requests have no target time")
	i.addIf(route.Timeout > 0 && route.MaxEventGap > route.Timeout, Error, in(FieldMaxEventGap),
		"the event gap, %v, is above the timeout, %v", route.MaxEventGap, route.Timeout)
	i.addIf(route.MaxEventGap > 0 && !isStream, Warning, in(FieldMaxEventGap), "the route does not stream: the event gap has no effect")
	i.addIf(route.Resumable && !isStream, Warning, in(FieldResumable), "the route does not stream: it cannot be resumed")
	i.addIf(route.MaxAttempts > 1 && route.Kind == dragonflypass.KindOnce, Error, in(FieldMaxAttempts),
		"%d attempts contradict a kind that is sent at most once", route.MaxAttempts)
	i.addIf(route.MaxAttempts > 1 && isStream && !route.Resumable, Warning, in(FieldMaxAttempts),
		"the stream is not resumable: a request that a server may have run is not sent again, whatever the number of attempts")
}

// hostFault returns why no request can have the host, empty if one can. The host of a request includes the port, if the client
// sends one.
func hostFault(host string) string {
	invalid := func(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune("/\\?#@<>\"{}|^`%", r) }
	name, port := host, ""
	if end := strings.LastIndexByte(host, ':'); end >= 0 && !strings.HasSuffix(host, "]") {
		name, port = host[:end], host[end+1:]
		if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
			if _, err := netip.ParseAddr(host); err == nil {
				return "an IPv6 address must be in brackets"
			}
			return "the port is not a number from 1 to 65535"
		}
	}
	switch {
	case host == "":
		return "the host is empty"
	case strings.Contains(host, "://"):
		return "the host must not have a scheme"
	case strings.Contains(host, "*"):
		return "a host is compared as a whole; wildcards have no effect"
	case strings.ContainsFunc(host, invalid):
		return "the host contains a character that no host has"
	case strings.HasPrefix(name, "["):
		if address, err := netip.ParseAddr(strings.Trim(name, "[]")); err != nil || !address.Is6() {
			return "the text in brackets is not an IPv6 address"
		}
	case strings.ContainsAny(name, ":[]"):
		return "an IPv6 address must be in brackets"
	case name == "" || strings.Contains(name, "..") || strings.HasPrefix(name, "."):
		return "the host has an empty label"
	}
	return ""
}
