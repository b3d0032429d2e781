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

// The errors of the engine.
var (
	// ErrFull means that the engine has no slot or memory for a request.
	ErrFull = errors.New("generator: no slot or memory")
	// ErrModel means that the engine does not run the model.
	ErrModel = errors.New("generator: model not loaded")
	// ErrStream means that the engine does not know the stream.
	ErrStream = errors.New("generator: unknown stream")
	// ErrExists means that the stream is already there.
	ErrExists = errors.New("generator: stream exists")
	// ErrSource means that a stream's KV memory could not be copied.
	ErrSource = errors.New("generator: KV memory not exported")
	// ErrDown means that the engine has died.
	ErrDown = errors.New("generator: engine down")
)

const (
	// bytesPerToken is the number of bytes the engine counts as one token.
	bytesPerToken = 4
	// chunkTokens is the largest part of a prompt processed in one step, in tokens.
	chunkTokens = 2048
	// copySpeed is how many times faster KV memory is copied than computed.
	copySpeed = 20
	// crashWord in a prompt makes the engine die when it is started.
	crashWord = "<crash>"
	// lateCrashWord in a prompt makes the engine die when the prompt has been processed.
	lateCrashWord = "<crash late>"
)

// Engine is the state of one engine.
type Engine struct {
	ID     dragonflypass.ServerID
	Models []dragonflypass.ModelID
	// Memory is the KV memory in tokens.
	Memory int
	Slots  int
	// Prefill is the prompt processing rate in tokens a second.
	Prefill float64
	// Decode is the generation rate of one stream in tokens a second.
	Decode float64
	// Lag is the age of the reports.
	Lag time.Duration
	// Fenced makes the engine refuse orders with an old fencing number.
	Fenced bool

	mutex   sync.Mutex
	epoch   uint64
	down    bool
	frozen  bool
	streams map[dragonflypass.StreamID]*Stream
	wake    chan struct{}
	reports []dragonflypass.ServerReport
	fence   uint64
	started int
	deaths  int
	// Weights fetches a model's weights from the weight store, nil where they are always at hand.
	Weights func(model dragonflypass.ModelID) error
	// Fetch returns the text of a part that another engine exports.
	Fetch func(part dragonflypass.KVSource) (string, error)
	// Copy returns the number of tokens in the KV memory that another engine exports of a stream.
	Copy func(source dragonflypass.KVSource) (int, error)
	// silent is set while the engine exports no running stream.
	silent bool
	// computed is the number of prompt tokens processed.
	computed int
}

// Call is a request to the engine.
type Call struct {
	Stream   dragonflypass.StreamID
	Model    dragonflypass.ModelID
	Prompt   string
	Priority int
	// From is the number of tokens of the answer that the caller has.
	From int
	// Output is the largest number of tokens of the whole answer.
	Output int
	// Imports are the parts of the prompt before Prompt, which other engines export.
	Imports []dragonflypass.KVSource
	// Source is the stream whose KV memory is copied, nil for none.
	Source *dragonflypass.KVSource
	// Part has the prompt processed and held without an answer.
	Part bool
}

// Stream is one running request.
type Stream struct {
	call Call
	// whole is the prompt with its imported parts.
	whole  string
	prompt int
	// filled is the number of prompt tokens processed.
	filled int
	// tokens is the answer from index call.From on.
	tokens []string
	length int
	ended  bool
	gone   bool
	// grown is closed and replaced when tokens are added.
	grown chan struct{}
	order int
}

// New returns an engine of the given identity; Run must be called for it to work.
func New(id dragonflypass.ServerID) *Engine {
	return &Engine{ID: id, epoch: 1, streams: make(map[dragonflypass.StreamID]*Stream), wake: make(chan struct{}, 1)}
}

// Tokens returns the engine's count of tokens in a text.
func Tokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// Start begins a request.
func (e *Engine) Start(call Call) (*Stream, error) {
	whole, err := e.gather(call)
	if err != nil {
		return nil, err
	}
	copied := 0
	if call.Source != nil {
		if copied, err = e.Copy(*call.Source); err != nil {
			return nil, ErrSource
		}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.down {
		return nil, ErrDown
	}
	if !slices.Contains(e.Models, call.Model) {
		return nil, ErrModel
	}
	if _, ok := e.streams[call.Stream]; ok {
		return nil, ErrExists
	}
	prompt := Tokens(call.Prompt) + call.From
	if len(e.streams) >= e.Slots || e.used()+prompt+call.Output-call.From > e.Memory {
		return nil, ErrFull
	}
	if strings.Contains(call.Prompt, crashWord) {
		e.die()
		return nil, ErrDown
	}
	e.started++
	s := &Stream{call: call, whole: whole, prompt: prompt, grown: make(chan struct{}), order: e.started}
	copied = min(copied, prompt)
	s.filled = copied - copied/copySpeed
	if !call.Part {
		s.length = AnswerLength(whole, call.Output)
	}
	e.streams[call.Stream] = s
	e.signal()
	return s, nil
}

// gather returns the prompt with its imported parts.
func (e *Engine) gather(call Call) (string, error) {
	var whole strings.Builder
	for _, part := range call.Imports {
		text, err := e.Fetch(part)
		if err != nil {
			return "", err
		}
		whole.WriteString(text)
	}
	whole.WriteString(call.Prompt)
	return whole.String(), nil
}

// Export returns the text of a part that was processed.
func (e *Engine) Export(id dragonflypass.StreamID) (string, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s, ok := e.streams[id]
	if e.down || !ok || s.filled < s.prompt {
		return "", ErrStream
	}
	return s.call.Prompt, nil
}

// Cached returns the number of tokens in a running stream's KV memory, for an engine that copies it.
func (e *Engine) Cached(id dragonflypass.StreamID) (int, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s, ok := e.streams[id]
	if e.down || e.silent || !ok {
		return 0, ErrSource
	}
	return s.filled + len(s.tokens), nil
}

// Filled reports whether the stream's prompt has been processed, or returns a channel that is closed when it may have been.
func (e *Engine) Filled(s *Stream) (bool, <-chan struct{}, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if s.gone {
		return false, nil, ErrDown
	}
	return s.filled >= s.prompt, s.grown, nil
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// used is the KV memory in use in tokens; it is called with the mutex held.
func (e *Engine) used() int {
	used := 0
	for _, s := range e.streams {
		used += s.memory()
	}
	return used
}

func (s *Stream) memory() int { return s.prompt + s.call.Output - s.call.From }

// Find returns a running stream.
func (e *Engine) Find(id dragonflypass.StreamID) (*Stream, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s, ok := e.streams[id]
	if !ok {
		return nil, ErrStream
	}
	return s, nil
}

// Cancel ends a stream and returns its memory.
func (e *Engine) Cancel(id dragonflypass.StreamID) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if s, ok := e.streams[id]; ok {
		e.drop(s)
	}
}

// drop is called with the mutex held.
func (e *Engine) drop(s *Stream) {
	delete(e.streams, s.call.Stream)
	s.gone = true
	s.notify()
}

// Token is what a reader of a stream gets next.
type Token struct {
	Index int
	Text  string
	End   bool
	Count int
	// Prompt is the prompt's length in tokens, set with End.
	Prompt int
}

// Next returns the token at the index of the whole answer, or a channel that is closed when there may be one.
func (e *Engine) Next(s *Stream, index int) (Token, <-chan struct{}, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	at := index - s.call.From
	switch {
	case at < 0:
		return Token{}, nil, ErrStream
	case at < len(s.tokens):
		return Token{Index: index, Text: s.tokens[at]}, nil, nil
	case s.ended:
		return Token{Index: index, End: true, Count: s.call.From + len(s.tokens), Prompt: Tokens(s.whole)}, nil, nil
	case s.gone:
		return Token{}, nil, ErrDown
	}
	return Token{}, s.grown, nil
}

// Finish returns the memory of a stream whose end was delivered.
func (e *Engine) Finish(s *Stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.streams[s.call.Stream] == s {
		e.drop(s)
	}
}

// Report returns the engine's report of Lag ago.
func (e *Engine) Report(now time.Time) (dragonflypass.ServerReport, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.down {
		return dragonflypass.ServerReport{}, ErrDown
	}
	report := dragonflypass.ServerReport{Server: e.ID, Epoch: e.epoch, Used: e.used(), Models: slices.Clone(e.Models), At: now}
	for _, s := range e.streams {
		report.Streams = append(report.Streams, dragonflypass.StreamReport{Stream: s.call.Stream, Tokens: s.memory(), Prefilled: s.filled >= s.prompt})
	}
	slices.SortFunc(report.Streams, func(a, b dragonflypass.StreamReport) int {
		return cmp.Or(cmp.Compare(a.Stream.VM, b.Stream.VM), cmp.Compare(a.Stream.Sequence, b.Stream.Sequence))
	})
	e.reports = append(e.reports, report)
	for len(e.reports) > 1 && now.Sub(e.reports[1].At) >= e.Lag {
		e.reports = e.reports[1:]
	}
	return e.reports[0], nil
}

// Used returns the KV memory in use in tokens.
func (e *Engine) Used() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.used()
}

// Computed returns the number of prompt tokens that the engine has processed.
func (e *Engine) Computed() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.computed
}

// Started returns how many requests the engine has started.
func (e *Engine) Started() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.started
}
