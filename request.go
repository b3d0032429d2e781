package dragonflypass

import "time"

// AccountID identifies a client account.
type AccountID string

// ModelID identifies a model that callers may request.
type ModelID string

// ServiceID identifies a plain service.
type ServiceID string

// Digest is a SHA-256 hash.
type Digest [32]byte

// Fingerprint identifies a request by its content, so that its retries are recognized.
type Fingerprint struct {
	Account AccountID
	Model   ModelID
	Body    Digest
}

// Request is a caller's request for a completion.
type Request struct {
	ID      string
	Account AccountID
	Model   ModelID
	Rank    Rank
	// Prompt is the text that the model continues.
	Prompt string
	// PromptTokens is the estimated length of Prompt in tokens.
	PromptTokens int
	// OutputTokens is the maximum number of tokens to generate.
	OutputTokens int
	// ExpectedTokens is the number of tokens that are likely to be generated.
	ExpectedTokens int
	Fingerprint    Fingerprint
	// Parts are the parts of the prompt that other prompts may share, sorted and without duplicates.
	Parts   []SharedPart
	Arrived time.Time
	// Deadline is the time by which the request finishes or fails.
	Deadline time.Time
}

// Tokens returns the maximum server memory that the request may need, in tokens.
func (r *Request) Tokens() int { return r.PromptTokens + r.OutputTokens }

// Class returns the length class of the request's prompt.
func (r *Request) Class() LengthClass { return ClassOf(r.PromptTokens) }

// Frame is a part of a streamed answer.
type Frame struct {
	Stream  StreamID
	Attempt int
	// Index is the number of tokens of the answer that precede this frame.
	Index int
	Text  string
	// Tokens is the number of tokens in Text.
	Tokens int
	// End marks the last frame, which carries no text.
	End bool
	// Count is the number of tokens of the whole answer, set in the last frame.
	Count int
	// PromptTokens is the exact length of the prompt in tokens, set in the last frame.
	PromptTokens int
	Finish       FinishReason
}

// FinishReason is the reason why an answer ended.
type FinishReason string

// The finish reasons.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// StreamID identifies a stream at a backend server; it is unique across restarts of the entry VM.
type StreamID struct {
	VM          VMID
	Incarnation uint64
	Sequence    uint64
}

// TokenUsage holds the token counts of a finished completion.
type TokenUsage struct {
	PromptTokens int
	OutputTokens int
	Finish       FinishReason
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	ID      string
	Service ServiceID
	Account AccountID
	Rank    Rank
	Method  string
	// Path is the path relative to the service's root, with its query.
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is the caller's idempotency key, empty if none was sent.
	IdempotencyKey string
	// KeyCreated is the time at which the key was created, zero if the key does not contain it.
	KeyCreated time.Time
	Arrived    time.Time
	Deadline   time.Time
}

// ServiceResponse is the complete response of a plain service.
type ServiceResponse struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed is set when the response was recorded from an earlier call with the same key.
	Replayed bool
}
