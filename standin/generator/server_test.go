package generator_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/streamer"
	"github.com/dragonflypass/dragonflypass/standin/generator"
)

const model = dragonflypass.ModelID("small")

// startEngine runs an engine and its HTTP server until the test ends.
func startEngine(t *testing.T, id dragonflypass.ServerID) (*generator.Engine, netip.AddrPort) {
	t.Helper()
	e := generator.New(id)
	e.Models, e.KVCapacity, e.Slots, e.PrefillRate, e.DecodeRate = []dragonflypass.ModelID{model}, 100_000, 8, 100_000, 1000
	e.Copy = generator.CopyHTTP
	server := httptest.NewServer(e.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		e.Run(ctx)
		close(stopped)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
		server.Close()
	})
	return e, netip.MustParseAddrPort(server.Listener.Addr().String())
}

// errStopReading makes the client stop reading in the middle of an answer.
var errStopReading = errors.New("enough")

// TestCopyOverHTTP migrates a running stream from one engine to another over HTTP. The answer must be complete and
// nearly all of the prompt copied instead of computed; a failed copy must return an error and leave no memory reserved.
func TestCopyOverHTTP(t *testing.T) {
	const promptTokens, outputTokens, deliveredTokens = 8000, 40, 10
	tests := []struct {
		name  string
		fault func(source *generator.Engine)
		err   error
	}{
		{name: "copied", fault: func(*generator.Engine) {}},
		{name: "export fails", fault: func(source *generator.Engine) { source.SetExportFailing(true) }, err: dragonflypass.ErrUnknown},
		{name: "source crashed", fault: func(source *generator.Engine) { source.Crash() }, err: dragonflypass.ErrUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			source, sourceAddress := startEngine(t, "source")
			target, targetAddress := startEngine(t, "target")
			client := streamer.New()
			prompt := strings.Repeat("<long>ab", promptTokens*4/8)
			call := func(sequence uint64, address netip.AddrPort) dragonflypass.EngineCall {
				stream := dragonflypass.StreamID{VM: "vm-1", Incarnation: 1, Sequence: sequence}
				return dragonflypass.EngineCall{
					Permit: dragonflypass.Permit{Stream: stream, Address: address}, Model: model, Prompt: prompt, OutputTokens: outputTokens,
				}
			}
			var answer strings.Builder
			sourceCall := call(1, sourceAddress)
			receivedTokens := 0
			err := client.Stream(t.Context(), sourceCall, func(frame dragonflypass.Frame) error {
				answer.WriteString(frame.Text)
				if receivedTokens += frame.Tokens; receivedTokens == deliveredTokens {
					return errStopReading
				}
				return nil
			})
			c.Assert(errors.Is(err, errStopReading), qt.IsTrue, qt.Commentf("%v", err))
			test.fault(source)
			targetCall := call(2, targetAddress)
			targetCall.DeliveredTokens, targetCall.DeliveredText = deliveredTokens, answer.String()
			targetCall.MigrateFrom = &dragonflypass.KVSource{Address: sourceAddress, Stream: sourceCall.Permit.Stream}
			err = client.Stream(t.Context(), targetCall, func(frame dragonflypass.Frame) error {
				answer.WriteString(frame.Text)
				return nil
			})
			if test.err != nil {
				c.Check(errors.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
				c.Check(target.Used(), qt.Equals, 0)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(answer.String(), qt.Equals, generator.Answer(prompt, outputTokens))
			c.Check(target.ComputedTokens() < promptTokens/10, qt.IsTrue, qt.Commentf("%d tokens computed", target.ComputedTokens()))
		})
	}
}
