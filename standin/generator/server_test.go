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

// serve runs an engine behind its HTTP interface until the test ends.
func serve(t *testing.T, id dragonflypass.ServerID) (*generator.Engine, netip.AddrPort) {
	t.Helper()
	e := generator.New(id)
	e.Models, e.Memory, e.Slots, e.Prefill, e.Decode = []dragonflypass.ModelID{model}, 100_000, 8, 100_000, 1000
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

// errEnough stops a stream in the middle of its answer.
var errEnough = errors.New("enough")

// TestCopyOverHTTP has the second engine go on with an answer that the first began.
func TestCopyOverHTTP(t *testing.T) {
	const prompt, output, begun = 8000, 40, 10
	tests := []struct {
		name  string
		fault func(source *generator.Engine)
		err   error
	}{
		{name: "copied", fault: func(*generator.Engine) {}},
		{name: "export fails", fault: func(source *generator.Engine) { source.SetExportFailing(true) }, err: dragonflypass.ErrUnknown},
		{name: "source died", fault: func(source *generator.Engine) { source.Crash() }, err: dragonflypass.ErrUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			source, sourceAddress := serve(t, "source")
			target, targetAddress := serve(t, "target")
			port := streamer.New()
			text := strings.Repeat("<long>ab", prompt*4/8)
			call := func(sequence uint64, address netip.AddrPort) dragonflypass.EngineCall {
				stream := dragonflypass.StreamID{VM: "vm-1", Incarnation: 1, Sequence: sequence}
				return dragonflypass.EngineCall{
					Permit: dragonflypass.Permit{Stream: stream, Address: address}, Model: model, Prompt: text, OutputTokens: output,
				}
			}
			var answer strings.Builder
			first := call(1, sourceAddress)
			tokens := 0
			err := port.Stream(t.Context(), first, func(frame dragonflypass.Frame) error {
				answer.WriteString(frame.Text)
				if tokens += frame.Tokens; tokens == begun {
					return errEnough
				}
				return nil
			})
			c.Assert(errors.Is(err, errEnough), qt.IsTrue, qt.Commentf("%v", err))
			test.fault(source)
			second := call(2, targetAddress)
			second.DeliveredTokens, second.DeliveredText = begun, answer.String()
			second.MigrateFrom = &dragonflypass.KVSource{Address: sourceAddress, Stream: first.Permit.Stream}
			err = port.Stream(t.Context(), second, func(frame dragonflypass.Frame) error {
				answer.WriteString(frame.Text)
				return nil
			})
			if test.err != nil {
				c.Check(errors.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
				c.Check(target.Used(), qt.Equals, 0)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(answer.String(), qt.Equals, generator.Answer(text, output))
			c.Check(target.Computed() < prompt/10, qt.IsTrue, qt.Commentf("%d tokens computed", target.Computed()))
		})
	}
}
