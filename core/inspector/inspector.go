package inspector

import (
	"fmt"

	"github.com/dragonflypass/dragonflypass"
)

// Severity is how serious a finding is.
type Severity uint8

// The severities.
const (
	// Warning marks what may be intended.
	Warning Severity = iota
	// Error marks what cannot be intended, or cannot take effect.
	Error
)

// String returns the name of the severity.
func (s Severity) String() string { return [...]string{"warning", "error"}[s] }

// Section is a part of the route table.
type Section uint8

// The sections. A location in SectionTable has no index.
const (
	SectionTable Section = iota
	SectionRoutes
	SectionServices
	SectionLimits
	SectionAccounts
)

// Field is a field of an entry, FieldNone for the whole entry.
type Field uint8

// The fields.
const (
	FieldNone Field = iota
	FieldVersion
	FieldName
	FieldHost
	FieldPrefix
	FieldKind
	FieldBackends
	FieldTimeout
	FieldLatencyObjective
	FieldMaxEventGap
	FieldMaxAttempts
	FieldResumable
	FieldHeaderBytes
	FieldBodyBytes
	FieldHeaderTimeout
	FieldIdleTimeout
	FieldKeys
)

// Location is a place in the route table.
type Location struct {
	Section Section
	// Index is the position of the entry in its section.
	Index int
	Field Field
	// Element is the position in a field that is a list, negative for the whole field.
	Element int
}

// Finding is one result of an inspection.
type Finding struct {
	Severity Severity
	Location Location
	Message  string
}

// Configuration is a route table as the operators wrote it, with entries that a dragonflypass.RouteTable leaves out.
type Configuration struct {
	Version  uint64
	Routes   []*dragonflypass.RoutePolicy
	Services []*dragonflypass.ServicePolicy
	Limits   dragonflypass.CallerLimits
	Accounts []*dragonflypass.AccountPolicy
}

// inspection collects the findings on a configuration.
type inspection struct {
	*Configuration

	services map[dragonflypass.ServiceID]*dragonflypass.ServicePolicy
	findings []Finding
}

// Inspect returns what is wrong with the configuration, in the order of its sections. The servers are the numbers of registered
// servers by service, nil if they are not known.
func Inspect(config *Configuration, servers map[dragonflypass.ServiceID]int) []Finding {
	i := &inspection{Configuration: config, services: make(map[dragonflypass.ServiceID]*dragonflypass.ServicePolicy)}
	for _, service := range config.Services {
		i.services[service.ID] = service
	}
	i.addIf(config.Version == 0, Error, Location{Field: FieldVersion}, "the version must be above 0")
	i.addIf(len(config.Routes) == 0, Error, Location{}, "there are no routes: every request is rejected")
	i.inspectRoutes(servers)
	i.inspectServices()
	i.inspectLimits()
	i.inspectAccounts()
	return i.findings
}

// addIf adds a finding if the condition holds.
func (i *inspection) addIf(condition bool, severity Severity, location Location, format string, args ...any) {
	if condition {
		i.findings = append(i.findings, Finding{Severity: severity, Location: location, Message: fmt.Sprintf(format, args...)})
	}
}

// inspectServices checks the services by themselves and whether routes use them.
func (i *inspection) inspectServices() {
	used := make(map[dragonflypass.ServiceID]bool)
	for _, route := range i.Routes {
		for _, backend := range route.Backends {
			used[backend.Service] = true
		}
	}
	seen := make(map[dragonflypass.ServiceID]bool)
	for k, service := range i.Services {
		at := Location{Section: SectionServices, Index: k, Field: FieldName, Element: -1}
		i.addIf(service.ID == "", Error, at, "the name must not be empty")
		i.addIf(seen[service.ID], Error, at, "service %q is defined twice; only the last definition is used", service.ID)
		i.addIf(!used[service.ID] && service.ID != "", Warning, at, "no route uses service %q", service.ID)
		seen[service.ID] = true
	}
}

const (
	// promptHeaderBytes is the size in bytes of the head of a request with a prompt: its identifiers, its key and the fields that
	// describe the prompt.
	promptHeaderBytes = 1 << 10
	// minTokenBytes is the least and usualTokenBytes the mean number of bytes of a token of a prompt.
	minTokenBytes   = 1
	usualTokenBytes = 4
)

// inspectLimits checks the limits of requests against each other and against the largest prompt that a model server can hold.
func (i *inspection) inspectLimits() {
	limits, largest := i.Limits, int64(0)
	for _, service := range i.Services {
		if service.CostModel != nil {
			largest = max(largest, int64(service.CostModel.KVCapacity))
		}
	}
	at := func(field Field) Location { return Location{Section: SectionLimits, Field: field, Element: -1} }
	i.addIf(limits.HeaderBytes <= 0, Error, at(FieldHeaderBytes), "the limit must be above 0")
	i.addIf(limits.HeaderBytes > 0 && limits.HeaderBytes < promptHeaderBytes, Error, at(FieldHeaderBytes),
		"a request with a prompt needs about %d bytes", promptHeaderBytes)
	switch body := limits.BodyBytes; {
	case body <= 0:
		i.addIf(true, Error, at(FieldBodyBytes), "the limit must be above 0")
	case body < largest*minTokenBytes:
		i.addIf(true, Error, at(FieldBodyBytes), "a prompt of %d tokens, which fits on a server, needs %d bytes or more", largest, largest*minTokenBytes)
	case body < largest*usualTokenBytes:
		i.addIf(true, Warning, at(FieldBodyBytes), "a prompt of %d tokens, which fits on a server, usually needs about %d bytes", largest, largest*usualTokenBytes)
	}
	i.addIf(limits.HeaderTimeout <= 0, Error, at(FieldHeaderTimeout), "the time must be above 0")
	i.addIf(limits.IdleTimeout <= 0, Error, at(FieldIdleTimeout), "the time must be above 0")
	i.addIf(limits.IdleTimeout > 0 && limits.IdleTimeout < limits.HeaderTimeout, Error, at(FieldIdleTimeout),
		"the time of an idle connection, %v, is below that of a head, %v", limits.IdleTimeout, limits.HeaderTimeout)
}

// inspectAccounts checks the client accounts and their keys.
func (i *inspection) inspectAccounts() {
	i.addIf(len(i.Accounts) == 0, Warning, Location{Section: SectionAccounts, Index: -1, Element: -1},
		"there are no client accounts: every request is let in, with any key or none")
	owners, names := make(map[dragonflypass.Digest]int), make(map[dragonflypass.AccountID]bool)
	for k, account := range i.Accounts {
		at := Location{Section: SectionAccounts, Index: k, Field: FieldName, Element: -1}
		i.addIf(account.ID == "", Error, at, "the name must not be empty")
		i.addIf(account.ID != "" && names[account.ID], Warning, at, "account %q is defined twice", account.ID)
		names[account.ID] = true
		at.Field = FieldKeys
		i.addIf(len(account.Keys) == 0, Error, at, "account %q has no keys", account.ID)
		for n, key := range account.Keys {
			at.Element = n
			owner, exists := owners[key]
			i.addIf(exists && owner != k, Error, at, "the key is also one of account %q; only the last account is used", i.Accounts[owner].ID)
			i.addIf(exists && owner == k, Warning, at, "the key is listed twice")
			owners[key] = k
		}
	}
}
