package fake

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/standin/generator"
)

// Engines connects to model engines in the same process and can inject faults.
type Engines struct {
	mutex   sync.Mutex
	engines map[netip.AddrPort]*generator.Engine
	// TransformFrame replaces each frame of a stream before it is delivered; nil leaves the frames unchanged.
	TransformFrame func(call dragonflypass.EngineCall, frame dragonflypass.Frame) []dragonflypass.Frame
	// BreakAfter is the number of frames after which each stream breaks, zero for never.
	BreakAfter int
	// FailCancels makes cancellations fail without effect.
	FailCancels bool
	// streamCalls counts the calls of Stream that an engine accepted.
	streamCalls int
}

// EngineAccess is the access of one VM to the engines; it ends when the VM is killed.
type EngineAccess struct {
	*Engines
	// Killed is closed when the VM is killed.
	Killed <-chan struct{}
}

// errKilled ends the streams of a VM that was killed.
var errKilled = errors.New("fake: the VM was killed")

// Stream runs a request. If the VM is killed, Stream returns an error and the engine continues to run the request.
func (a *EngineAccess) Stream(ctx context.Context, call dragonflypass.EngineCall, accept func(dragonflypass.Frame) error) error {
	if a.isKilled() {
		return dragonflypass.ErrUnavailable
	}
	ctx, cancel := a.untilKilled(ctx)
	defer cancel()
	return a.Engines.Stream(ctx, call, accept)
}

// Prefill processes a prompt part. If the VM is killed, Prefill returns an error and the engine continues to run the request.
func (a *EngineAccess) Prefill(ctx context.Context, call dragonflypass.EngineCall) error {
	if a.isKilled() {
		return dragonflypass.ErrUnavailable
	}
	ctx, cancel := a.untilKilled(ctx)
	defer cancel()
	return a.Engines.Prefill(ctx, call)
}

// untilKilled returns a context that ends when the VM is killed.
func (a *EngineAccess) untilKilled(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-a.Killed:
			cancel(errKilled)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// Cancel ends a stream; it returns ErrUnavailable if the VM was killed.
func (a *EngineAccess) Cancel(ctx context.Context, server netip.AddrPort, stream dragonflypass.StreamID) error {
	if a.isKilled() {
		return dragonflypass.ErrUnavailable
	}
	return a.Engines.Cancel(ctx, server, stream)
}

func (a *EngineAccess) isKilled() bool {
	select {
	case <-a.Killed:
		return true
	default:
		return false
	}
}

var _ dragonflypass.Engine = (*Engines)(nil)

// NewEngines returns Engines without any engine.
func NewEngines() *Engines {
	return &Engines{engines: make(map[netip.AddrPort]*generator.Engine)}
}

// Add makes the engine reachable at the address and connects it to the other engines.
func (e *Engines) Add(address netip.AddrPort, engine *generator.Engine) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.engines[address] = engine
	engine.Fetch, engine.Copy = e.exportStream, e.cachedTokens
}

func (e *Engines) cachedTokens(source dragonflypass.KVSource) (int, error) {
	engine, ok := e.engineAt(source.Address)
	if !ok {
		return 0, generator.ErrExportFailed
	}
	return engine.CachedTokens(source.Stream)
}

func (e *Engines) exportStream(source dragonflypass.KVSource) (string, error) {
	engine, ok := e.engineAt(source.Address)
	if !ok {
		return "", generator.ErrUnknownStream
	}
	return engine.Export(source.Stream)
}

// SetTransformFrame sets TransformFrame for streams that start later.
func (e *Engines) SetTransformFrame(transform func(dragonflypass.EngineCall, dragonflypass.Frame) []dragonflypass.Frame) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.TransformFrame = transform
}

// StreamCalls returns the number of calls of Stream that an engine accepted.
func (e *Engines) StreamCalls() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.streamCalls
}

// SetFailCancels sets whether cancellations fail without effect.
func (e *Engines) SetFailCancels(fail bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.FailCancels = fail
}

// SetBreakAfter sets BreakAfter for streams that start later.
func (e *Engines) SetBreakAfter(frames int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.BreakAfter = frames
}

func (e *Engines) engineAt(address netip.AddrPort) (*generator.Engine, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	engine, ok := e.engines[address]
	return engine, ok
}

// Stream runs a request and passes its frames to accept. It returns the errors that dragonflypass.Engine documents.
func (e *Engines) Stream(ctx context.Context, call dragonflypass.EngineCall, accept func(dragonflypass.Frame) error) error {
	engine, ok := e.engineAt(call.Permit.Address)
	if !ok {
		return dragonflypass.ErrUnavailable
	}
	stream, err := openStream(engine, call, false)
	if err != nil {
		return startError(engine, call, err)
	}
	e.mutex.Lock()
	e.streamCalls++
	transform, breakAfter := e.TransformFrame, e.BreakAfter
	e.mutex.Unlock()
	return relayFrames(ctx, engine, stream, call, transform, breakAfter, accept)
}

// startError converts the error of an engine that did not start a request to one that dragonflypass.Engine documents.
func startError(engine *generator.Engine, call dragonflypass.EngineCall, err error) error {
	switch {
	case errors.Is(err, generator.ErrDown) && !engine.CrashesOn(call.Prompt):
		return dragonflypass.ErrUnavailable
	case errors.Is(err, generator.ErrDown):
		return dragonflypass.ErrBroken
	case errors.Is(err, generator.ErrUnknownStream) && call.Reconnect, errors.Is(err, generator.ErrExportFailed):
		return dragonflypass.ErrUnknown
	}
	return dragonflypass.ErrRefused
}

// Prefill processes a prompt part and keeps its KV memory until the stream is cancelled.
// It returns the errors that dragonflypass.Engine documents.
func (e *Engines) Prefill(ctx context.Context, call dragonflypass.EngineCall) error {
	engine, ok := e.engineAt(call.Permit.Address)
	if !ok {
		return dragonflypass.ErrUnavailable
	}
	stream, err := openStream(engine, call, true)
	if err != nil {
		return startError(engine, call, err)
	}
	for {
		prefilled, progress, err := engine.Prefilled(stream)
		if err != nil {
			return dragonflypass.ErrBroken
		}
		if prefilled {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func openStream(engine *generator.Engine, call dragonflypass.EngineCall, promptPart bool) (*generator.Stream, error) {
	if call.Reconnect {
		return engine.Find(call.Permit.Stream)
	}
	return engine.Start(generator.Call{
		Stream: call.Permit.Stream, Model: call.Model, Prompt: call.Prompt, Priority: call.Permit.Priority,
		DeliveredTokens: call.DeliveredTokens, OutputTokens: call.OutputTokens, KVSources: call.KVSources, MigrateFrom: call.MigrateFrom, PrefillOnly: promptPart,
	})
}

// relayFrames passes the frames of a stream to accept until the stream ends or fails.
func relayFrames(ctx context.Context, engine *generator.Engine, stream *generator.Stream, call dragonflypass.EngineCall,
	transform func(dragonflypass.EngineCall, dragonflypass.Frame) []dragonflypass.Frame, breakAfter int, accept func(dragonflypass.Frame) error,
) error {
	index := call.DeliveredTokens
	for relayed := 0; ; {
		token, progress, err := engine.Next(stream, index)
		if err != nil {
			return dragonflypass.ErrBroken
		}
		if progress != nil {
			select {
			case <-progress:
				continue
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		}
		frames := []dragonflypass.Frame{newFrame(call, token)}
		if transform != nil {
			frames = transform(call, frames[0])
		}
		for _, frame := range frames {
			if breakAfter > 0 && relayed >= breakAfter {
				return dragonflypass.ErrBroken
			}
			relayed++
			if err := accept(frame); err != nil {
				return err
			}
		}
		if token.End {
			engine.Finish(stream)
			return nil
		}
		index++
	}
}

func newFrame(call dragonflypass.EngineCall, token generator.Token) dragonflypass.Frame {
	frame := dragonflypass.Frame{Stream: call.Permit.Stream, Attempt: call.Attempt, Index: token.Index, Text: token.Text, Tokens: 1}
	if token.End {
		frame.Tokens, frame.End, frame.Count, frame.PromptTokens = 0, true, token.AnswerTokens, token.PromptTokens
		frame.Finish = dragonflypass.FinishStop
	}
	return frame
}

// Cancel ends a stream and frees its memory.
// It returns ErrUnavailable if there is no engine at the address, the engine is down or FailCancels is set.
func (e *Engines) Cancel(_ context.Context, server netip.AddrPort, stream dragonflypass.StreamID) error {
	engine, ok := e.engineAt(server)
	e.mutex.Lock()
	fail := e.FailCancels
	e.mutex.Unlock()
	if !ok || fail || engine.Down() {
		return dragonflypass.ErrUnavailable
	}
	engine.Cancel(stream)
	return nil
}

// Report returns a delayed report of the server, or ErrUnavailable.
func (e *Engines) Report(ctx context.Context, server netip.AddrPort) (dragonflypass.ServerReport, error) {
	engine, ok := e.engineAt(server)
	if !ok {
		return dragonflypass.ServerReport{}, dragonflypass.ErrUnavailable
	}
	report, err := engine.Report(time.Now())
	if err != nil {
		return report, dragonflypass.ErrUnavailable
	}
	return report, ctx.Err()
}

// Order instructs the server to load or unload a model. It returns ErrFenced, ErrRefused or ErrUnavailable.
func (e *Engines) Order(_ context.Context, server netip.AddrPort, order dragonflypass.Order) error {
	engine, ok := e.engineAt(server)
	if !ok || engine.Down() {
		return dragonflypass.ErrUnavailable
	}
	err := engine.Execute(order)
	if err != nil && !errors.Is(err, dragonflypass.ErrFenced) {
		return dragonflypass.ErrRefused
	}
	return err
}
