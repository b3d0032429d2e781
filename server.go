package dragonflypass

import (
	"net/netip"
	"time"
)

// ServerID names a backend server.
type ServerID string

// BackendServer is a model engine as the operators declare it.
type BackendServer struct {
	ID      ServerID
	Zone    AvailabilityZone
	Address netip.AddrPort
	Models  []ModelID
	// KVCapacity is the KV memory in tokens.
	KVCapacity int
	// Slots is the largest number of requests in one batch.
	Slots int
	// PrefillRate is the prompt processing rate in tokens a second.
	PrefillRate float64
	// DecodeRate is the generation rate of one stream in tokens a second.
	DecodeRate float64
	// Fenced is set when the server refuses orders with an old fencing number.
	Fenced bool
}

// Serves reports whether the server is declared to run the model.
func (s *BackendServer) Serves(model ModelID) bool {
	for _, m := range s.Models {
		if m == model {
			return true
		}
	}
	return false
}

// ServerReport is what a backend server says of itself, with a lag.
type ServerReport struct {
	Server ServerID
	// Epoch changes each time the server starts.
	Epoch uint64
	// Used is the KV memory in use in tokens.
	Used int
	// Models are the models that are loaded, none when the server does not say.
	Models  []ModelID
	Streams []StreamReport
	At      time.Time
}

// StreamReport is one stream in a server's report.
type StreamReport struct {
	Stream StreamID
	// Tokens is the KV memory the stream holds in tokens.
	Tokens int
	// Prefilled is set when the stream's prompt has been processed.
	Prefilled bool
}

// ServerLoad is an owner's digest of one backend server, from which other VMs place requests.
type ServerLoad struct {
	Server ServerID
	// Free is the KV memory in tokens that is neither used nor reserved.
	Free int
	// Streams is the number of requests running there.
	Streams int
	// Wait is the predicted time to the start of a new request of each length class.
	Wait [ClassCount]time.Duration
	// NextMaintenance is the instant after which the server takes no work, zero when none is planned.
	NextMaintenance time.Time
	// Models are the loaded models where they are not the declared ones, else none.
	Models []ModelID
}

// Service is a plain service beside the model engines.
type Service struct {
	ID        ServiceID
	Endpoints []Endpoint
	Rank      Rank
	// Once lists the routes that may run at most once for each idempotency key.
	Once []Route
	// OutcomeRetention is how long the outcome of a key is kept.
	OutcomeRetention time.Duration
}

// Route selects calls of a plain service by method and path prefix.
type Route struct {
	Method string
	Prefix string
}

// Endpoint is one address of a plain service.
type Endpoint struct {
	Address netip.AddrPort
	Zone    AvailabilityZone
}

// Model is a model that callers may ask for.
type Model struct {
	ID      ModelID
	Version string
	// Limit is the longest prompt plus output in tokens.
	Limit int
}

// ClientAccount is a caller's account.
type ClientAccount struct {
	ID AccountID
	// Keys are the SHA-256 sums of the account's bearer keys.
	Keys   []Digest
	Models []ModelID
	// Services lists the plain services that the account may call.
	Services []ServiceID
	// Rank is the most urgent rank that the account may ask for.
	Rank Rank
	// Weight scales the account's share within a rank; 1 is usual.
	Weight float64
	// Rate is the limit on tokens a second at each entry VM, zero when there is none.
	Rate float64
	// Streams is the limit on requests in progress at each entry VM, zero when there is none.
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

// ServerUsage is what a model server says of its memory and requests, with a lag.
type ServerUsage struct {
	// Running and Queued are the numbers of requests in the batch and before it.
	Running int
	Queued  int
	// Used and Total are in tokens of KV memory.
	Used  int
	Total int
	// Slowdown is the factor by which the server is slower than declared, 1 when it is not.
	Slowdown float64
	// StartedAt is the instant of the server's start by its own clock.
	StartedAt int64
	// Reservations are the pieces of memory set aside.
	Reservations []ReservationUsage
}

// Reservation is memory set aside at a model server.
type Reservation struct {
	Name string
	// Tokens is the memory in tokens.
	Tokens int
	// TTL is the time after which the server takes the memory back unless the reservation is renewed.
	TTL time.Duration
}

// ReservationUsage is one reservation in a server's report.
type ReservationUsage struct {
	Name   string
	Tokens int
	Age    time.Duration
}
