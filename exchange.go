package dragonflypass

import (
	"net/netip"
	"time"
)

// Header holds the end-to-end header fields of a message by their canonical names.
type Header map[string][]string

// Exchange is one attempt of a caller whose request and answer pass through unchanged.
type Exchange struct {
	// ID is the caller's identifier of this attempt.
	ID     string
	Method string
	Host   string
	// RequestURI is the path with its query, as the caller sent it.
	RequestURI string
	// Path is the decoded path by which the route is chosen.
	Path   string
	Header Header
	Body   []byte
	// Credential is the caller's key, empty when none was sent.
	Credential string
	// Prompt is nil for requests that carry none.
	Prompt *PromptShape
	// LastEventID is the last event that the caller has of an earlier answer, empty for none.
	LastEventID string
	// Fingerprint is the sum of what makes the request the same when it is sent again.
	Fingerprint Digest
	Arrived     time.Time
	// Deadline is the instant at which the caller stops waiting, zero when it does not say.
	Deadline time.Time
}

// PromptShape is what a request tells of the prompt it carries.
type PromptShape struct {
	Model ModelID
	// Tokens is the length of the prompt.
	Tokens int
	// OutputTokens is the largest number of tokens to generate.
	OutputTokens int
	// ExpectedTokens is the caller's estimate of the answer's length, zero for none.
	ExpectedTokens int
}

// BackendRequest is one sending of an exchange to a backend server.
type BackendRequest struct {
	Exchange *Exchange
	Server   ServerID
	Address  netip.AddrPort
	// Account is the client account in whose name the request runs, empty for a public route.
	Account AccountID
	// Deadline is the instant at which the server is to stop.
	Deadline time.Time
	// Urgency is the engine's priority, lower values first; negative for the engine's default.
	Urgency int
	// Helpers are the servers that process parts of the prompt.
	Helpers []Helper
	// LastEventID is the last event that the caller has, empty when the answer begins anew.
	LastEventID string
	// EventStream is set when the answer is a series of events.
	EventStream bool
	// AtMostOnce is set when the request must not reach a server twice, so that no used connection may carry it.
	AtMostOnce bool
}

// Helper is a backend server that processes a part of another one's prompt.
type Helper struct {
	Server  ServerID
	Address netip.AddrPort
	// Reservation names the memory set aside there for the prompt, empty for none, and Tokens is its size.
	Reservation string
	Tokens      int
}

// ResponseHead begins a backend server's answer.
type ResponseHead struct {
	Status int
	Header Header
	// Length is the length of the body in bytes, negative when the answer does not tell.
	Length int64
	// Signed is set when the answer bears the server's signature.
	Signed bool
	// Load is what the server says of its load, nil when it does not.
	Load *LoadReport
}

// LoadReport is the load of a plain service's server at the time of an answer.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
}

// Chunk is a part of an answer that is passed on as a whole.
type Chunk struct {
	// ID identifies an event of a stream, empty for other bytes.
	ID   string
	Data []byte
}

// ServerRefusal is a backend server's statement that it did not run a request; it matches ErrRefused.
type ServerRefusal struct {
	Status int
	// Misdirected is set when another server answers at the address.
	Misdirected bool
	// Invalid is set when the server takes the request itself for faulty.
	Invalid bool
	// FaultyHelper is the address of the server at fault when a helper was, else the zero value.
	FaultyHelper netip.AddrPort
	// RetryAfter is the time after which the server takes requests again, zero when it does not say.
	RetryAfter time.Duration
}

// Error describes the refusal in one line.
func (r *ServerRefusal) Error() string { return "the backend server did not run the request" }

// Is reports that a server's refusal is an ErrRefused.
func (r *ServerRefusal) Is(target error) bool { return target == ErrRefused }
