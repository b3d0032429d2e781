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
	// ErrDown means that the engine has died.
	ErrDown = errors.New("generator: engine down")
)

const (
	// bytesPerToken is the number of bytes the engine counts as one token.
	bytesPerToken = 4
	// chunkTokens is the largest part of a prompt processed in one step, in tokens.
	chunkTokens = 2048
	// crashWord in a prompt makes the engine die.
	crashWord = "<crash>"
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
	Fetch func(part dragonflypass.Import) (string, error)
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
	Imports []dragonflypass.Import
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

// step does one batch step and returns how long it takes; zero means that there is nothing to do.
func (e *Engine) step() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.down || e.frozen {
		return 0
	}
	span := time.Duration(0)
	if s := e.firstUnfilled(); s != nil {
		chunk := min(chunkTokens, s.prompt-s.filled)
		s.filled += chunk
		if s.call.Part && s.filled >= s.prompt {
			s.notify()
		}
		span = time.Duration(float64(chunk) / e.Prefill * float64(time.Second))
	}
	for _, s := range e.streams {
		if s.filled < s.prompt || s.ended || s.call.Part {
			continue
		}
		s.grow()
		span = max(span, time.Duration(float64(time.Second)/e.Decode))
	}
	return span
}

// firstUnfilled returns the stream whose prompt is processed next, by priority.
func (e *Engine) firstUnfilled() *Stream {
	var first *Stream
	for _, s := range e.streams {
		if s.filled >= s.prompt {
			continue
		}
		if first == nil || cmp.Or(cmp.Compare(s.call.Priority, first.call.Priority), cmp.Compare(s.order, first.order)) < 0 {
			first = s
		}
	}
	return first
}

func (s *Stream) grow() {
	index := s.call.From + len(s.tokens)
	if index >= s.length {
		s.ended = true
	} else {
		s.tokens = append(s.tokens, AnswerToken(s.whole, index))
	}
	s.notify()
}

// notify wakes those who wait for the stream.
func (s *Stream) notify() {
	close(s.grown)
	s.grown = make(chan struct{})
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

// Die ends every stream as a crash of the engine would.
func (e *Engine) Die() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.die()
}

// die is called with the mutex held.
func (e *Engine) die() {
	e.down = true
	e.deaths++
	for _, s := range e.streams {
		e.drop(s)
	}
	e.reports = nil
}

// Revive starts the engine anew after it died.
func (e *Engine) Revive() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.down = false
	e.epoch++
	e.signal()
}

// Freeze stops or resumes all progress while connections stay open.
func (e *Engine) Freeze(frozen bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.frozen = frozen
	e.signal()
}

// Deaths returns how often the engine died.
func (e *Engine) Deaths() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.deaths
}

// Started returns how many requests the engine has started.
func (e *Engine) Started() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.started
}

// Obey carries out an order, unless the engine is fenced and the order's number is old, or the weights are not to be had.
func (e *Engine) Obey(order dragonflypass.Order) error {
	if err := e.fetchWeights(order); err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case e.down:
		return ErrDown
	case e.Fenced && uint64(order.Fence) < e.fence:
		return dragonflypass.ErrFenced
	}
	e.fence = max(e.fence, uint64(order.Fence))
	rest := slices.DeleteFunc(slices.Clone(e.Models), func(m dragonflypass.ModelID) bool { return m == order.Model })
	if !order.Unload {
		rest = append(rest, order.Model)
	}
	e.Models = rest
	return nil
}

func (e *Engine) fetchWeights(order dragonflypass.Order) error {
	if order.Unload || e.Weights == nil {
		return nil
	}
	return e.Weights(order.Model)
}

// Loaded returns the loaded models.
func (e *Engine) Loaded() []dragonflypass.ModelID {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.Models)
}

// Down reports whether the engine has died.
func (e *Engine) Down() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.down
}

// Dying reports whether the prompt makes the engine die.
func (e *Engine) Dying(prompt string) bool { return strings.Contains(prompt, crashWord) }

// SetLag sets the age of the reports.
func (e *Engine) SetLag(lag time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.Lag = lag
}

// Fence returns the newest fencing number that the engine has seen.
func (e *Engine) Fence() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.fence
}

// Forget has the engine lose a model.
func (e *Engine) Forget(model dragonflypass.ModelID) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.Models = slices.DeleteFunc(slices.Clone(e.Models), func(m dragonflypass.ModelID) bool { return m == model })
}
