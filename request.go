package dragonflypass

import "time"

// AccountID names a client account.
type AccountID string

// ModelID names a model that callers may ask for.
type ModelID string

// ServiceID names a plain service.
type ServiceID string

// Digest is a SHA-256 sum.
type Digest [32]byte

// Fingerprint identifies a request by what it asks for, whoever sends it again.
type Fingerprint struct {
	Account AccountID
	Model   ModelID
	Body    Digest
}

// Request is one completion asked for by a caller.
type Request struct {
	ID      string
	Account AccountID
	Model   ModelID
	Rank    Rank
	// Prompt is the text that the model continues.
	Prompt string
	// PromptTokens is the estimated length of Prompt in tokens.
	PromptTokens int
	// OutputTokens is the largest number of tokens to generate.
	OutputTokens int
	// ExpectedTokens is the number of tokens that is likely to be generated.
	ExpectedTokens int
	Fingerprint    Fingerprint
	Arrived        time.Time
	// Deadline is the instant by which the request finishes or fails.
	Deadline time.Time
}

// Tokens returns the tokens of server memory that the request may need at most.
func (r *Request) Tokens() int { return r.PromptTokens + r.OutputTokens }

// Class returns the length class of the request's prompt.
func (r *Request) Class() LengthClass { return ClassOf(r.PromptTokens) }

// Frame is one piece of a streamed answer.
type Frame struct {
	Stream  StreamID
	Attempt int
	// Index counts the tokens of the answer before this frame.
	Index int
	Text  string
	// Tokens is the number of tokens in Text.
	Tokens int
	// End marks the last frame, which carries no text.
	End bool
	// Count is the number of tokens of the whole answer; it is set in the last frame.
	Count int
	// PromptTokens is the prompt's exact length; it is set in the last frame.
	PromptTokens int
	Finish       FinishReason
}

// FinishReason tells why an answer ended.
type FinishReason string

// The reasons for which an answer ends.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// StreamID names one stream at a backend server, unique over restarts of the entry VM.
type StreamID struct {
	VM          VMID
	Incarnation uint64
	Sequence    uint64
}

// TokenUsage counts the tokens of a finished completion.
type TokenUsage struct {
	PromptTokens int
	OutputTokens int
	Finish       FinishReason
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	ID      string
	Service ServiceID
	Account AccountID
	Rank    Rank
	Method  string
	// Path is the path below the service's root, with its query.
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is the caller's idempotency key, empty when none was sent.
	IdempotencyKey string
	// KeyCreated is the instant at which the key was made, zero when the key does not tell.
	KeyCreated time.Time
	Arrived    time.Time
	Deadline   time.Time
}

// ServiceResponse is the whole response of a plain service.
type ServiceResponse struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed is set when the answer was recorded from an earlier run with the same key.
	Replayed bool
}
