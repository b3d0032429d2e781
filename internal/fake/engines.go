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

// Engines reaches model engines within one process, with the faults of real ones.
type Engines struct {
	mutex   sync.Mutex
	engines map[netip.AddrPort]*generator.Engine
	// Mangle changes the frames of a stream before they are passed on, nil for none.
	Mangle func(call dragonflypass.EngineCall, frame dragonflypass.Frame) []dragonflypass.Frame
	// CutAfter breaks each connection after so many frames, zero for never.
	CutAfter int
	// LoseCancels makes cancellations fail without effect.
	LoseCancels bool
	// streams counts the calls that reached an engine.
	streams int
}

// View is one VM's way to the engines.
type View struct {
	*Engines
	// Dead is closed when the VM's process dies.
	Dead <-chan struct{}
}

// errDead ends the streams of a VM whose process died.
var errDead = errors.New("fake: the VM is dead")

// Stream runs a request; when the VM dies the engine is left as it is.
func (v *View) Stream(ctx context.Context, call dragonflypass.EngineCall, accept func(dragonflypass.Frame) error) error {
	if v.isDead() {
		return dragonflypass.ErrUnavailable
	}
	ctx, cancel := v.life(ctx)
	defer cancel()
	return v.Engines.Stream(ctx, call, accept)
}

// Prefill processes a part of a prompt; when the VM dies the engine is left as it is.
func (v *View) Prefill(ctx context.Context, call dragonflypass.EngineCall) error {
	if v.isDead() {
		return dragonflypass.ErrUnavailable
	}
	ctx, cancel := v.life(ctx)
	defer cancel()
	return v.Engines.Prefill(ctx, call)
}

// life returns a context that ends when the VM dies.
func (v *View) life(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-v.Dead:
			cancel(errDead)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// Cancel ends a stream unless the VM is dead.
func (v *View) Cancel(ctx context.Context, server netip.AddrPort, stream dragonflypass.StreamID) error {
	if v.isDead() {
		return dragonflypass.ErrUnavailable
	}
	return v.Engines.Cancel(ctx, server, stream)
}

func (v *View) isDead() bool {
	select {
	case <-v.Dead:
		return true
	default:
		return false
	}
}

var _ dragonflypass.Engine = (*Engines)(nil)

// NewEngines returns a fake without engines.
func NewEngines() *Engines {
	return &Engines{engines: make(map[netip.AddrPort]*generator.Engine)}
}

// Add has the engine answer at the address.
func (e *Engines) Add(address netip.AddrPort, engine *generator.Engine) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.engines[address] = engine
	engine.Fetch, engine.Copy = e.fetch, e.copy
}

func (e *Engines) copy(source dragonflypass.KVSource) (int, error) {
	engine, ok := e.find(source.Address)
	if !ok {
		return 0, generator.ErrSource
	}
	return engine.Cached(source.Stream)
}

func (e *Engines) fetch(part dragonflypass.KVSource) (string, error) {
	engine, ok := e.find(part.Address)
	if !ok {
		return "", generator.ErrStream
	}
	return engine.Export(part.Stream)
}

// SetMangle sets what changes the frames of streams, nil for nothing.
func (e *Engines) SetMangle(mangle func(dragonflypass.EngineCall, dragonflypass.Frame) []dragonflypass.Frame) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.Mangle = mangle
}

// Streams returns the number of calls that reached an engine.
func (e *Engines) Streams() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.streams
}

// SetLoseCancels makes cancellations fail without effect, or work again.
func (e *Engines) SetLoseCancels(lose bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.LoseCancels = lose
}

// SetCutAfter breaks each connection after so many frames, zero for never.
func (e *Engines) SetCutAfter(frames int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.CutAfter = frames
}

func (e *Engines) find(address netip.AddrPort) (*generator.Engine, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	engine, ok := e.engines[address]
	return engine, ok
}

// Stream runs a request and passes its frames to accept.
func (e *Engines) Stream(ctx context.Context, call dragonflypass.EngineCall, accept func(dragonflypass.Frame) error) error {
	engine, ok := e.find(call.Permit.Address)
	if !ok {
		return dragonflypass.ErrUnavailable
	}
	stream, err := open(engine, call, false)
	if err != nil {
		return startError(engine, call, err)
	}
	e.mutex.Lock()
	e.streams++
	mangle, cut := e.Mangle, e.CutAfter
	e.mutex.Unlock()
	return relay(ctx, engine, stream, call, mangle, cut, accept)
}

// startError turns an engine's refusal into the port's errors.
func startError(engine *generator.Engine, call dragonflypass.EngineCall, err error) error {
	switch {
	case errors.Is(err, generator.ErrDown) && !engine.CrashesOn(call.Prompt):
		return dragonflypass.ErrUnavailable
	case errors.Is(err, generator.ErrDown):
		return dragonflypass.ErrBroken
	case errors.Is(err, generator.ErrStream) && call.Reconnect, errors.Is(err, generator.ErrSource):
		return dragonflypass.ErrUnknown
	}
	return dragonflypass.ErrRefused
}

// Prefill processes a part of a prompt and holds its KV memory.
func (e *Engines) Prefill(ctx context.Context, call dragonflypass.EngineCall) error {
	engine, ok := e.find(call.Permit.Address)
	if !ok {
		return dragonflypass.ErrUnavailable
	}
	stream, err := open(engine, call, true)
	if err != nil {
		return startError(engine, call, err)
	}
	for {
		filled, grown, err := engine.Filled(stream)
		if err != nil {
			return dragonflypass.ErrBroken
		}
		if filled {
			return nil
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func open(engine *generator.Engine, call dragonflypass.EngineCall, part bool) (*generator.Stream, error) {
	if call.Reconnect {
		return engine.Find(call.Permit.Stream)
	}
	return engine.Start(generator.Call{
		Stream: call.Permit.Stream, Model: call.Model, Prompt: call.Prompt, Priority: call.Permit.Priority,
		From: call.DeliveredTokens, Output: call.OutputTokens, Imports: call.KVSources, Source: call.MigrateFrom, Part: part,
	})
}

// relay passes a stream's frames on until its end or a fault.
func relay(ctx context.Context, engine *generator.Engine, stream *generator.Stream, call dragonflypass.EngineCall,
	mangle func(dragonflypass.EngineCall, dragonflypass.Frame) []dragonflypass.Frame, cut int, accept func(dragonflypass.Frame) error,
) error {
	index := call.DeliveredTokens
	for passed := 0; ; {
		token, grown, err := engine.Next(stream, index)
		if err != nil {
			return dragonflypass.ErrBroken
		}
		if grown != nil {
			select {
			case <-grown:
				continue
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		}
		frames := []dragonflypass.Frame{newFrame(call, token)}
		if mangle != nil {
			frames = mangle(call, frames[0])
		}
		for _, frame := range frames {
			if cut > 0 && passed >= cut {
				return dragonflypass.ErrBroken
			}
			passed++
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
		frame.Tokens, frame.End, frame.Count, frame.PromptTokens = 0, true, token.Count, token.Prompt
		frame.Finish = dragonflypass.FinishStop
	}
	return frame
}

// Cancel ends a stream and returns its memory.
func (e *Engines) Cancel(_ context.Context, server netip.AddrPort, stream dragonflypass.StreamID) error {
	engine, ok := e.find(server)
	e.mutex.Lock()
	lose := e.LoseCancels
	e.mutex.Unlock()
	if !ok || lose || engine.Down() {
		return dragonflypass.ErrUnavailable
	}
	engine.Cancel(stream)
	return nil
}

// Report returns the server's lagging report.
func (e *Engines) Report(ctx context.Context, server netip.AddrPort) (dragonflypass.ServerReport, error) {
	engine, ok := e.find(server)
	if !ok {
		return dragonflypass.ServerReport{}, dragonflypass.ErrUnavailable
	}
	report, err := engine.Report(time.Now())
	if err != nil {
		return report, dragonflypass.ErrUnavailable
	}
	return report, ctx.Err()
}

// Order has the server load or unload a model.
func (e *Engines) Order(_ context.Context, server netip.AddrPort, order dragonflypass.Order) error {
	engine, ok := e.find(server)
	if !ok || engine.Down() {
		return dragonflypass.ErrUnavailable
	}
	err := engine.Execute(order)
	if err != nil && !errors.Is(err, dragonflypass.ErrFenced) {
		return dragonflypass.ErrRefused
	}
	return err
}
