package generator

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Errors that the engine returns.
var (
	// ErrFull means that the engine has no free slot or not enough KV memory for a request.
	ErrFull = errors.New("generator: no free slot or not enough KV memory")
	// ErrModelNotLoaded means that the engine has not loaded the model.
	ErrModelNotLoaded = errors.New("generator: model not loaded")
	// ErrUnknownStream means that the engine has no such stream, or cannot serve it from the requested token.
	ErrUnknownStream = errors.New("generator: unknown stream")
	// ErrStreamExists means that a stream with the same identifier is running.
	ErrStreamExists = errors.New("generator: stream exists")
	// ErrExportFailed means that the KV memory of the source stream could not be copied.
	ErrExportFailed = errors.New("generator: KV memory not exported")
	// ErrDown means that the engine has crashed, or that it removed the stream.
	ErrDown = errors.New("generator: engine down")
)

const (
	// bytesPerToken is the number of bytes of text that count as one token.
	bytesPerToken = 4
	// prefillChunkTokens is the largest number of prompt tokens prefilled in one step.
	prefillChunkTokens = 2048
	// copySpeedup is the ratio of the time to compute KV memory to the time to copy it.
	copySpeedup = 20
	// crashMarker in a prompt makes the engine crash when the request starts.
	crashMarker = "<crash>"
	// lateCrashMarker in a prompt makes the engine crash at the end of the prefill.
	lateCrashMarker = "<crash late>"
)

// Engine simulates one model engine.
type Engine struct {
	// ID identifies the backend server.
	ID dragonflypass.ServerID
	// Models are the loaded models.
	Models []dragonflypass.ModelID
	// KVCapacity is the KV memory in tokens.
	KVCapacity int
	// Slots is the largest number of streams in one batch.
	Slots int
	// PrefillRate is the prefill rate in tokens per second.
	PrefillRate float64
	// DecodeRate is the generation rate of one stream in tokens per second.
	DecodeRate float64
	// ReportLag is the age of the state that Report returns.
	ReportLag time.Duration
	// Fenced makes the engine refuse orders whose fencing number is older than the latest one.
	Fenced bool

	mutex        sync.Mutex
	epoch        uint64
	down         bool
	frozen       bool
	streams      map[dragonflypass.StreamID]*Stream
	wake         chan struct{}
	reports      []dragonflypass.ServerReport
	latestFence  uint64
	startedCount int
	crashCount   int
	// Weights fetches a model's weights from the weight store; nil means that no fetch is needed.
	Weights func(model dragonflypass.ModelID) error
	// Fetch returns the text of a prompt part that another engine exports.
	Fetch func(part dragonflypass.KVSource) (string, error)
	// Copy simulates the copy of the KV memory of a stream on another engine, and returns the number of copied tokens.
	Copy func(source dragonflypass.KVSource) (int, error)
	// exportFailing makes the export of a running stream's KV memory fail.
	exportFailing bool
	// computedTokens is the total number of prompt tokens that the engine has prefilled; copied tokens are not counted.
	computedTokens int
}

// Call is a request to the engine.
type Call struct {
	// Stream identifies the request.
	Stream dragonflypass.StreamID
	// Model is the model to run.
	Model dragonflypass.ModelID
	// Prompt is the text that follows the imported parts.
	Prompt string
	// Priority orders the prefills; the lowest value goes first.
	Priority int
	// DeliveredTokens is the number of tokens of the answer that the caller already has.
	DeliveredTokens int
	// OutputTokens is the largest number of tokens in the complete answer.
	OutputTokens int
	// KVSources are the prompt parts that precede Prompt; other engines export them.
	KVSources []dragonflypass.KVSource
	// MigrateFrom is the stream whose KV memory is copied; nil means that nothing is copied.
	MigrateFrom *dragonflypass.KVSource
	// PrefillOnly requests only the prefill: the KV memory stays reserved, and no answer is generated.
	PrefillOnly bool
}

// Stream is a running request.
type Stream struct {
	call Call
	// fullPrompt is the imported prompt parts followed by the prompt of the call.
	fullPrompt   string
	promptTokens int
	// prefilledTokens is the number of prompt tokens that have been computed or copied.
	prefilledTokens int
	// tokens is the answer starting at index call.From.
	tokens       []string
	answerLength int
	finished     bool
	removed      bool
	// changed is closed and replaced whenever the stream changes.
	changed  chan struct{}
	sequence int
}

// New returns an engine with the identifier; it makes progress only while Run is running.
func New(id dragonflypass.ServerID) *Engine {
	return &Engine{ID: id, epoch: 1, streams: make(map[dragonflypass.StreamID]*Stream), wake: make(chan struct{}, 1)}
}

// TokenCount returns the number of tokens that a text counts as.
func TokenCount(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// Start starts a request. It returns ErrDown, ErrModelNotLoaded, ErrStreamExists or ErrFull when the engine cannot run
// it, ErrExportFailed when its KV memory cannot be copied, and the error of Fetch when a prompt part cannot be fetched.
func (e *Engine) Start(call Call) (*Stream, error) {
	fullPrompt, err := e.assemblePrompt(call)
	if err != nil {
		return nil, err
	}
	copiedTokens := 0
	if call.MigrateFrom != nil {
		if copiedTokens, err = e.Copy(*call.MigrateFrom); err != nil {
			return nil, ErrExportFailed
		}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.down {
		return nil, ErrDown
	}
	if !slices.Contains(e.Models, call.Model) {
		return nil, ErrModelNotLoaded
	}
	if _, ok := e.streams[call.Stream]; ok {
		return nil, ErrStreamExists
	}
	promptTokens := TokenCount(call.Prompt) + call.DeliveredTokens
	if len(e.streams) >= e.Slots || e.reservedTokens()+promptTokens+call.OutputTokens-call.DeliveredTokens > e.KVCapacity {
		return nil, ErrFull
	}
	if strings.Contains(call.Prompt, crashMarker) {
		e.crash()
		return nil, ErrDown
	}
	e.startedCount++
	s := &Stream{call: call, fullPrompt: fullPrompt, promptTokens: promptTokens, changed: make(chan struct{}), sequence: e.startedCount}
	copiedTokens = min(copiedTokens, promptTokens)
	s.prefilledTokens = copiedTokens - copiedTokens/copySpeedup
	if !call.PrefillOnly {
		s.answerLength = AnswerLength(fullPrompt, call.OutputTokens)
	}
	e.streams[call.Stream] = s
	e.signal()
	return s, nil
}

// assemblePrompt returns the imported parts followed by the prompt of the call.
func (e *Engine) assemblePrompt(call Call) (string, error) {
	var prompt strings.Builder
	for _, part := range call.KVSources {
		text, err := e.Fetch(part)
		if err != nil {
			return "", err
		}
		prompt.WriteString(text)
	}
	prompt.WriteString(call.Prompt)
	return prompt.String(), nil
}

// Export returns the text of a prompt part, or ErrUnknownStream when its prefill has not finished.
func (e *Engine) Export(id dragonflypass.StreamID) (string, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s, ok := e.streams[id]
	if e.down || !ok || s.prefilledTokens < s.promptTokens {
		return "", ErrUnknownStream
	}
	return s.call.Prompt, nil
}

// CachedTokens returns the number of tokens in a running stream's KV memory, for the engine that copies it.
// It returns ErrExportFailed when the engine does not export the stream.
func (e *Engine) CachedTokens(id dragonflypass.StreamID) (int, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s, ok := e.streams[id]
	if e.down || e.exportFailing || !ok {
		return 0, ErrExportFailed
	}
	return s.prefilledTokens + len(s.tokens), nil
}

// Prefilled reports whether the stream's prompt has been prefilled, and returns a channel that is closed at the next
// change of the stream. It returns ErrDown once the stream has been removed.
func (e *Engine) Prefilled(s *Stream) (bool, <-chan struct{}, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if s.removed {
		return false, nil, ErrDown
	}
	return s.prefilledTokens >= s.promptTokens, s.changed, nil
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// reservedTokens returns the reserved KV memory in tokens. The caller holds the mutex.
func (e *Engine) reservedTokens() int {
	used := 0
	for _, s := range e.streams {
		used += s.reservedTokens()
	}
	return used
}

func (s *Stream) reservedTokens() int {
	return s.promptTokens + s.call.OutputTokens - s.call.DeliveredTokens
}

// Find returns the running stream with the identifier, or ErrUnknownStream.
func (e *Engine) Find(id dragonflypass.StreamID) (*Stream, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s, ok := e.streams[id]
	if !ok {
		return nil, ErrUnknownStream
	}
	return s, nil
}

// Cancel ends a stream and releases its KV memory; an unknown stream is ignored.
func (e *Engine) Cancel(id dragonflypass.StreamID) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if s, ok := e.streams[id]; ok {
		e.removeStream(s)
	}
}

// removeStream releases the stream's KV memory and wakes its waiters. The caller holds the mutex.
func (e *Engine) removeStream(s *Stream) {
	delete(e.streams, s.call.Stream)
	s.removed = true
	s.notify()
}

// Token is one token of an answer, or the end of the answer.
type Token struct {
	// Index is the position of the token in the complete answer.
	Index int
	// Text is the text of the token.
	Text string
	// End marks the end of the answer.
	End bool
	// AnswerTokens is the length of the complete answer in tokens, set with End.
	AnswerTokens int
	// PromptTokens is the length of the full prompt in tokens, set with End.
	PromptTokens int
}

// Next returns the token at the index of the complete answer. If it has not been generated yet, Next returns a channel
// that is closed at the next change of the stream. It returns ErrUnknownStream for an index before the first token of
// the stream, and ErrDown when the stream was removed before its end.
func (e *Engine) Next(s *Stream, index int) (Token, <-chan struct{}, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	offset := index - s.call.DeliveredTokens
	switch {
	case offset < 0:
		return Token{}, nil, ErrUnknownStream
	case offset < len(s.tokens):
		return Token{Index: index, Text: s.tokens[offset]}, nil, nil
	case s.finished:
		return Token{Index: index, End: true, AnswerTokens: s.call.DeliveredTokens + len(s.tokens), PromptTokens: TokenCount(s.fullPrompt)}, nil, nil
	case s.removed:
		return Token{}, nil, ErrDown
	}
	return Token{}, s.changed, nil
}

// Finish releases the KV memory of a stream whose end has been delivered.
func (e *Engine) Finish(s *Stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.streams[s.call.Stream] == s {
		e.removeStream(s)
	}
}

// Report returns the latest recorded report that is at least ReportLag old, or the oldest one. It returns ErrDown when
// the engine has crashed.
func (e *Engine) Report(now time.Time) (dragonflypass.ServerReport, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.down {
		return dragonflypass.ServerReport{}, ErrDown
	}
	report := dragonflypass.ServerReport{Server: e.ID, Epoch: e.epoch, Used: e.reservedTokens(), Models: slices.Clone(e.Models), At: now}
	for _, s := range e.streams {
		report.Streams = append(report.Streams, dragonflypass.StreamReport{Stream: s.call.Stream, Tokens: s.reservedTokens(), Prefilled: s.prefilledTokens >= s.promptTokens})
	}
	slices.SortFunc(report.Streams, func(a, b dragonflypass.StreamReport) int {
		return cmp.Or(cmp.Compare(a.Stream.VM, b.Stream.VM), cmp.Compare(a.Stream.Sequence, b.Stream.Sequence))
	})
	e.reports = append(e.reports, report)
	for len(e.reports) > 1 && now.Sub(e.reports[1].At) >= e.ReportLag {
		e.reports = e.reports[1:]
	}
	return e.reports[0], nil
}

// Used returns the reserved KV memory in tokens.
func (e *Engine) Used() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.reservedTokens()
}

// ComputedTokens returns the number of prompt tokens that the engine has prefilled; copied tokens are not counted.
func (e *Engine) ComputedTokens() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.computedTokens
}

// Started returns the number of requests that the engine has started.
func (e *Engine) Started() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.startedCount
}
