package streamer_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/streamer"
	"github.com/dragonflypass/dragonflypass/standin/corrupter"
)

// TestMalformedResponsesOfEngines guards against streams that are taken for complete, and orders and cancellations that are taken for
// done or refused, when the engine's response is malformed or ends early.
func TestMalformedResponsesOfEngines(t *testing.T) {
	const attempts, timeout, promptBytes = 2, 3 * time.Second, 8 << 20
	for _, response := range slices.Concat(corrupter.Statuses(), corrupter.Heads(), corrupter.Bodies(), corrupter.Streams()) {
		t.Run(response.Name, func(t *testing.T) {
			c := qt.New(t)
			server := &corrupter.Corrupter{Select: func(*http.Request) corrupter.Response { return response }}
			address, err := server.Start()
			c.Assert(err, qt.IsNil)
			defer server.Close()
			engines := streamer.New()
			defer engines.Close()
			ctx, cancel := context.WithTimeout(c.Context(), timeout)
			defer cancel()
			prompt := "p"
			if response.Early {
				prompt = strings.Repeat("p", promptBytes)
			}
			permit := dragonflypass.Permit{Address: address, Server: "s"}
			for range attempts {
				c.Assert(engines.Stream(ctx, dragonflypass.EngineCall{Permit: permit, Prompt: prompt}, func(dragonflypass.Frame) error { return nil }), qt.ErrorIs, dragonflypass.ErrBroken)
				c.Assert(engines.Prefill(ctx, dragonflypass.EngineCall{Permit: permit, Prompt: prompt}), qt.ErrorIs, dragonflypass.ErrBroken)
			}
			if strings.HasPrefix(response.Name, "status") {
				c.Check(engines.Cancel(ctx, address, permit.Stream), qt.IsNotNil)
				err := engines.Order(ctx, address, dragonflypass.Order{})
				c.Check(err, qt.IsNotNil)
				c.Check(err, qt.Not(qt.ErrorIs), dragonflypass.ErrRefused)
			}
			c.Check(ctx.Err(), qt.IsNil)
		})
	}
}
