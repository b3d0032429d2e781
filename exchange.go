package dragonflypass

import (
	"net/netip"
	"time"
)

// Header holds the end-to-end header fields of a message, keyed by canonical name.
type Header map[string][]string

// Exchange is one attempt of a caller; its request and response are forwarded unchanged.
type Exchange struct {
	// ID is the caller's identifier of this attempt.
	ID     string
	Method string
	Host   string
	// RequestURI is the path and query as the caller sent them.
	RequestURI string
	// Path is the decoded path used to select the route.
	Path   string
	Header Header
	Body   []byte
	// Credential is the caller's key, empty if none was sent.
	Credential string
	// Prompt is nil for requests without a prompt.
	Prompt *PromptShape
	// SharedParts are the parts of the prompt that other prompts may share, sorted and without duplicates.
	SharedParts []SharedPart
	// LastEventID is the identifier of the last event that the caller received of an earlier response, empty for none.
	LastEventID string
	// Fingerprint is the hash of the parts that identify a retry of the same request.
	Fingerprint Digest
	Arrived     time.Time
	// Deadline is the time at which the caller stops waiting, zero if not given.
	Deadline time.Time
	// Memory accounts for what is held for the exchange, nil if nothing does.
	Memory Memory
}

// Memory accounts for the memory that an exchange holds until it ends.
type Memory interface {
	// Take takes memory and reports whether there was enough.
	Take(bytes int64) bool
}

// PromptShape describes the prompt of a request.
type PromptShape struct {
	Model ModelID
	// Tokens is the length of the prompt in tokens.
	Tokens int
	// OutputTokens is the maximum number of tokens to generate.
	OutputTokens int
	// ExpectedTokens is the caller's estimate of the answer's length in tokens, zero for none.
	ExpectedTokens int
}

// SharedPart identifies a part of a prompt, such as a system prompt or a document, by its content.
type SharedPart string

// BackendRequest is one attempt to send an exchange to a backend server.
type BackendRequest struct {
	Exchange *Exchange
	Server   ServerID
	Address  netip.AddrPort
	// Account is the client account of the request, empty for a public route.
	Account AccountID
	// Deadline is the time at which the server must stop.
	Deadline time.Time
	// Urgency is the engine's priority, lower values first; a negative value selects the engine's default.
	Urgency int
	// Helpers are the servers that process parts of the prompt.
	Helpers []Helper
	// LastEventID is the identifier of the last event that the caller received, empty if the response starts from the beginning.
	LastEventID string
	// EventStream is set when the response is a stream of events.
	EventStream bool
	// AtMostOnce is set when the request must not reach a server twice, so that it must not be sent on a reused connection.
	AtMostOnce bool
}

// Helper is a backend server that processes a part of the prompt of another server's request.
type Helper struct {
	Server  ServerID
	Address netip.AddrPort
	// Reservation names the memory reserved there for the prompt, empty for none, and Tokens is its size.
	Reservation string
	Tokens      int
}

// ResponseHead is the status and header of a backend server's response.
type ResponseHead struct {
	Status int
	Header Header
	// Length is the length of the body in bytes, negative if unknown.
	Length int64
	// Signed is set when the response carries the server's signature.
	Signed bool
	// EventStream is set when the response is forwarded as a stream of events; any other response is forwarded as a whole.
	EventStream bool
	// Load is the load that the server reported, nil if it did not.
	Load   *LoadReport
	Notice ServerNotice
}

// ServerNotice is what a response of a backend server says about further requests.
type ServerNotice struct {
	// Leaving is set when the server is shutting down and expects no new requests.
	Leaving bool
	// RetryAfter is the time for which the server wants no requests from this VM, zero if it has not said so.
	RetryAfter time.Duration
	// WarmupTime is the remaining time for which the server is warming up, zero if it is not or has not said so.
	WarmupTime time.Duration
}

// LoadReport is the load of a plain service's server at the time of a response.
type LoadReport struct {
	Running int
	Queued  int
	Slots   int
}

// Chunk is a part of a response that is forwarded as a unit.
type Chunk struct {
	// ID identifies an event of a stream; it is empty for other data.
	ID   string
	Data []byte
	// Comment is set for the parts of a stream between its events: comments and empty lines.
	Comment bool
}

// ServerRefusal is the error of a request that a backend server reported as not executed; it matches ErrRefused.
type ServerRefusal struct {
	Status int
	// Misdirected is set when a different server responds at the address.
	Misdirected bool
	// Invalid is set when the server considers the request itself invalid.
	Invalid bool
	// FaultyHelper is the address of the helper that caused the failure, or the zero value.
	FaultyHelper netip.AddrPort
	Notice       ServerNotice
}

// Error returns a one-line description of the refusal.
func (r *ServerRefusal) Error() string { return "the backend server did not run the request" }

// Is reports whether target is ErrRefused.
func (r *ServerRefusal) Is(target error) bool { return target == ErrRefused }
