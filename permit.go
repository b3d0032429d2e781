package dragonflypass

import (
	"net/netip"
	"time"
)

// PermitRequest asks the owner of backend servers for permission to run a stream on one of them.
type PermitRequest struct {
	Stream StreamID
	// ID is the caller's identifier of the request, used in logs.
	ID      string
	Account AccountID
	// Weight is the account's weight within its rank.
	Weight       float64
	Model        ModelID
	Rank         Rank
	PromptTokens int
	// OutputTokens is the maximum number of tokens to generate.
	OutputTokens int
	// ExpectedTokens is the number of tokens that are likely to be generated.
	ExpectedTokens int
	// ExpectedOutput is the length of the answer that the entry VM expects from those of other requests, zero if it knows none.
	ExpectedOutput OutputEstimate
	// TimePerToken is the estimated time per generated token, above the mean of recent requests.
	TimePerToken time.Duration
	Fingerprint  Fingerprint
	// Parts are the parts of the prompt that other prompts may share, sorted; the platform's path leaves them out, because the
	// VM of the caller checks them.
	Parts    []SharedPart
	Deadline time.Time
	// LatestStart is the time after which the request can no longer finish by its deadline.
	LatestStart time.Time
	// FirstTokenDeadline is the time by which the first token is due.
	FirstTokenDeadline time.Time
	// AbandonedAt is the time at which the caller leaves if it has received no event, zero if it is not known.
	AbandonedAt time.Time
	// StreamFailures is the number of streams of this request that failed at a backend server.
	StreamFailures int
	// Begun is set once the caller has received a part of the answer.
	Begun bool
	// ExcludedServers lists the servers on which the request has failed.
	ExcludedServers []ServerID
	// PinnedServer is the only server that may run the stream, empty for any.
	PinnedServer ServerID
	// Group is shared by all streams of a prompt that is split over several servers, zero for other prompts.
	Group uint64
	// Service is the service whose servers may run the request, empty if the model selects the servers.
	Service ServiceID
	// Part names the shard whose servers may run the request.
	Part ShardPart
	// Moved is set if another shard has moved the request to this one, which therefore does not move it again.
	Moved bool
	// Priority is the priority of the route or account, lower values first.
	Priority int
	// MaxEventGap is the longest acceptable time between two events, zero for no limit.
	MaxEventGap time.Duration
}

// Shard returns the shard whose servers may run the request.
func (r *PermitRequest) Shard() Shard { return Shard{Service: r.Service, Part: r.Part} }

// Tokens returns the maximum server memory that the request may need, in tokens.
func (r *PermitRequest) Tokens() int { return r.PromptTokens + r.OutputTokens }

// Permit is permission to run one stream on one backend server; it is identified by the stream.
type Permit struct {
	Stream  StreamID
	Owner   VMID
	Server  ServerID
	Address netip.AddrPort
	// Shard is the shard that granted the permit; only the requesting VM sets it.
	Shard Shard
	// Priority is the engine's priority for the stream; lower values run first.
	Priority int
	// Helpers are the servers that process parts of the prompt.
	Helpers []Helper
	// TimeToFirstToken is the predicted time to the first token.
	TimeToFirstToken time.Duration
}

// PermitRelease returns a permit to its owner with the outcome of the stream.
type PermitRelease struct {
	Stream StreamID
	Server ServerID
	// OutputTokens is the number of tokens that were generated.
	OutputTokens int
	Outcome      StreamOutcome
	// FaultyHelper is the helper that caused the failure, empty if none did.
	FaultyHelper ServerID
	// Leaving lists the servers of the permit that have said that they leave.
	Leaving []ServerID
}

// OpenStream is a stream that an entry VM has open at a backend server.
type OpenStream struct {
	Stream StreamID
	Server ServerID
	// Tokens is the maximum KV memory that the stream may need, in tokens.
	Tokens      int
	Fingerprint Fingerprint
	// Parts are those of the permit request.
	Parts    []SharedPart
	Rank     Rank
	Account  AccountID
	Deadline time.Time
	// Service is the service whose servers run the stream, empty if the model selects the servers.
	Service ServiceID
	// Part names the shard that granted the permit.
	Part ShardPart
	// MaxEventGap is the longest acceptable time between two events, zero for no limit.
	MaxEventGap time.Duration
	// PromptTokens is the length of the prompt in tokens, and Prefilled is set once it has been processed.
	PromptTokens int
	Prefilled    bool
	// Helpers are the servers that process parts of the prompt.
	Helpers []ServerID
	// TimeToFirstToken is the predicted time to the first token.
	TimeToFirstToken time.Duration
}

// Shard returns the shard that granted the permit of the stream.
func (s *OpenStream) Shard() Shard { return Shard{Service: s.Service, Part: s.Part} }

// StreamOutcome is the outcome of a stream at a backend server.
type StreamOutcome uint8

// The stream outcomes.
const (
	// OutcomeDone means that the server completed the stream.
	OutcomeDone StreamOutcome = iota
	// OutcomeUnsent means that nothing was executed at the server.
	OutcomeUnsent
	// OutcomeCancelled means that the server confirmed the stream's cancellation.
	OutcomeCancelled
	// OutcomeLost means that the outcome is unknown and the server may still be running the stream.
	OutcomeLost
	// OutcomeRefused means that the server reported that it did not execute the request.
	OutcomeRefused
)
