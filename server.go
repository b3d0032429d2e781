package dragonflypass

import (
	"net/netip"
	"time"
)

// ServerID identifies a backend server.
type ServerID string

// BackendServer is a model engine as configured by the operators.
type BackendServer struct {
	ID      ServerID
	Zone    AvailabilityZone
	Address netip.AddrPort
	Models  []ModelID
	// KVCapacity is the KV memory in tokens.
	KVCapacity int
	// Slots is the maximum number of requests in one batch.
	Slots int
	// PrefillRate is the prompt processing rate in tokens per second.
	PrefillRate float64
	// DecodeRate is the generation rate of one stream in tokens per second.
	DecodeRate float64
	// Fenced is set when the server rejects orders with a stale fencing number.
	Fenced bool
}

// Serves reports whether the server is configured to run the model.
func (s *BackendServer) Serves(model ModelID) bool {
	for _, m := range s.Models {
		if m == model {
			return true
		}
	}
	return false
}

// ServerReport is a backend server's report of its state, which may be out of date.
type ServerReport struct {
	Server ServerID
	// Epoch changes each time the server starts.
	Epoch uint64
	// Used is the KV memory in use in tokens.
	Used int
	// Models are the loaded models, empty if the server does not report them.
	Models  []ModelID
	Streams []StreamReport
	At      time.Time
}

// StreamReport is a stream in a server's report.
type StreamReport struct {
	Stream StreamID
	// Tokens is the KV memory that the stream uses, in tokens.
	Tokens int
	// Prefilled is set when the stream's prompt has been processed.
	Prefilled bool
}

// ServerLoad is an owner's load summary of a backend server, which other VMs use to place requests.
type ServerLoad struct {
	Server ServerID
	// Free is the KV memory in tokens that is neither used nor reserved.
	Free int
	// Streams is the number of requests running there.
	Streams int
	// Wait is the predicted time until a new request of each length class starts.
	Wait [ClassCount]time.Duration
	// NextMaintenance is the start of the next maintenance window, after which the server takes no requests, zero if none is planned.
	NextMaintenance time.Time
	// Models are the loaded models if they differ from the configured ones, else empty.
	Models []ModelID
}

// Service is a plain service, served in addition to the model engines.
type Service struct {
	ID        ServiceID
	Endpoints []Endpoint
	Rank      Rank
	// Once lists the routes whose calls run at most once per idempotency key.
	Once []Route
	// OutcomeRetention is how long the outcome of an idempotency key is kept.
	OutcomeRetention time.Duration
}

// Route selects calls of a plain service by method and path prefix.
type Route struct {
	Method string
	Prefix string
}

// Endpoint is an address of a plain service.
type Endpoint struct {
	Address netip.AddrPort
	Zone    AvailabilityZone
}

// Model is a model that callers may request.
type Model struct {
	ID      ModelID
	Version string
	// Limit is the maximum length of prompt and output together, in tokens.
	Limit int
}

// ClientAccount is a caller's account.
type ClientAccount struct {
	ID AccountID
	// Keys are the SHA-256 hashes of the account's bearer keys.
	Keys   []Digest
	Models []ModelID
	// Services lists the plain services that the account may call.
	Services []ServiceID
	// Rank is the most urgent rank that the account may request.
	Rank Rank
	// Weight scales the account's share within a rank; the normal weight is 1.
	Weight float64
	// Rate is the limit on tokens per second at each entry VM, zero for no limit.
	Rate float64
	// Streams is the limit on requests in flight at each entry VM, zero for no limit.
	Streams int
}

// MayUse reports whether the account may use the model.
func (a *ClientAccount) MayUse(model ModelID) bool {
	for _, m := range a.Models {
		if m == model {
			return true
		}
	}
	return false
}

// MayCall reports whether the account may call the plain service.
func (a *ClientAccount) MayCall(service ServiceID) bool {
	for _, s := range a.Services {
		if s == service {
			return true
		}
	}
	return false
}

// ServerUsage is a model server's report of its memory and requests, which may be out of date.
type ServerUsage struct {
	// Running and Queued are the numbers of requests in the batch and waiting for it.
	Running int
	Queued  int
	// Used and Total are in tokens of KV memory.
	Used  int
	Total int
	// Slowdown is the factor by which the server is slower than configured, 1 if it is not.
	Slowdown float64
	// StartedAt is the start time of the server by its own clock, in milliseconds since 1970.
	StartedAt int64
	// Reservations are the current memory reservations.
	Reservations []ReservationUsage
	Notice       ServerNotice
}

// Reservation is memory reserved at a model server.
type Reservation struct {
	Name string
	// Tokens is the size of the reserved memory in tokens.
	Tokens int
	// TTL is the time after which the reservation expires unless it is renewed.
	TTL time.Duration
}

// ReservationUsage is a reservation in a server's report.
type ReservationUsage struct {
	Name   string
	Tokens int
	Age    time.Duration
	// InUse is set while a request uses the memory.
	InUse bool
}
