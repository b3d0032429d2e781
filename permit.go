package dragonflypass

import (
	"net/netip"
	"time"
)

// PermitRequest asks the owner of backend servers for leave to run a stream on one of them.
type PermitRequest struct {
	Stream StreamID
	// ID is the caller's identifier of the request, for logs.
	ID      string
	Account AccountID
	// Weight is the account's share within its rank.
	Weight       float64
	Model        ModelID
	Rank         Rank
	PromptTokens int
	// OutputTokens is the largest number of tokens to generate.
	OutputTokens int
	// ExpectedTokens is the number of tokens that is likely to be generated.
	ExpectedTokens int
	// TimePerToken is the time for each generated token as observed lately, leaning to the slow side.
	TimePerToken time.Duration
	Fingerprint  Fingerprint
	Deadline     time.Time
	// LatestStart is the instant after which the request cannot end by its deadline.
	LatestStart time.Time
	// FirstTokenDeadline is the instant by which the first token is due.
	FirstTokenDeadline time.Time
	// StreamFailures counts the streams of this request that broke at a backend server.
	StreamFailures int
	// ExcludedServers names servers on which the request has failed.
	ExcludedServers []ServerID
	// PinnedServer names the one server that may run the stream, empty for any.
	PinnedServer ServerID
	// Group is the same for all streams of a prompt that several servers hold together, zero for others.
	Group uint64
	// Service names the service whose servers may run the request, empty where the model decides.
	Service ServiceID
	// Priority is the route's or account's rank, lower values first.
	Priority int
	// MaxEventGap is the longest time between two events that is still on time, zero for none.
	MaxEventGap time.Duration
}

// Tokens returns the tokens of server memory that the request may need at most.
func (r *PermitRequest) Tokens() int { return r.PromptTokens + r.OutputTokens }

// Permit is leave to run one stream on one backend server; the stream's identifier names it.
type Permit struct {
	Stream  StreamID
	Owner   VMID
	Server  ServerID
	Address netip.AddrPort
	// Service names the service for which the permit was asked; it is known to the asking VM only.
	Service ServiceID
	// Priority is the engine's priority for the stream, lower values running first.
	Priority int
	// Helpers are the servers that process parts of the prompt.
	Helpers []Helper
	// TimeToFirstToken is the predicted time to the first token.
	TimeToFirstToken time.Duration
}

// PermitRelease returns a permit with what is known of the stream's end.
type PermitRelease struct {
	Stream StreamID
	Server ServerID
	// OutputTokens is the number of tokens that were generated.
	OutputTokens int
	Outcome      StreamOutcome
	// FaultyHelper is the server at fault when a helper was, else empty.
	FaultyHelper ServerID
}

// OpenStream is a stream that an entry VM has open at a backend server.
type OpenStream struct {
	Stream StreamID
	Server ServerID
	// Tokens is the KV memory that the stream may need at most, in tokens.
	Tokens      int
	Fingerprint Fingerprint
	Rank        Rank
	Account     AccountID
	Deadline    time.Time
	// Service names the service whose servers run the stream, empty where the model decides.
	Service ServiceID
	// MaxEventGap is the longest time between two events that is still on time, zero for none.
	MaxEventGap time.Duration
	// PromptTokens is the length of the prompt in tokens, and Prefilled is set once it has been processed.
	PromptTokens int
	Prefilled    bool
	// Helpers are the servers that process parts of the prompt.
	Helpers []ServerID
	// TimeToFirstToken is the predicted time to the first token.
	TimeToFirstToken time.Duration
}

// StreamOutcome is how a stream at a backend server ended.
type StreamOutcome uint8

// The outcomes of a stream.
const (
	// OutcomeDone means that the server ended the stream.
	OutcomeDone StreamOutcome = iota
	// OutcomeUnsent means that nothing ran at the server.
	OutcomeUnsent
	// OutcomeCancelled means that the server confirmed the stream's cancellation.
	OutcomeCancelled
	// OutcomeLost means that the stream's end is not known and the server may still hold it.
	OutcomeLost
	// OutcomeRefused means that the server stated that it did not run the request.
	OutcomeRefused
)
