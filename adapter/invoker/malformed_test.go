package invoker_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/invoker"
	"github.com/dragonflypass/dragonflypass/standin/corrupter"
)

// TestMalformedResponsesAreUncertain guards against parts of responses, and text that is no response, that are returned as responses
// of plain services.
func TestMalformedResponsesAreUncertain(t *testing.T) {
	// Whether a reset is noticed depends on the order in which the goroutines that read and write run.
	const attempts, timeout, shortCall, longCall = 12, 3 * time.Second, 4 << 10, 8 << 20
	for _, response := range slices.Concat(corrupter.Statuses(), corrupter.Heads(), corrupter.Bodies()) {
		if response.ContainsOther {
			// The bodies of plain services have no marks by which a response within a body could be recognized.
			continue
		}
		t.Run(response.Name, func(t *testing.T) {
			c := qt.New(t)
			server := &corrupter.Corrupter{Select: func(*http.Request) corrupter.Response { return response }}
			address, err := server.Start()
			c.Assert(err, qt.IsNil)
			defer server.Close()
			call := dragonflypass.ServiceCall{Method: http.MethodPost, Path: "/x", Body: make([]byte, shortCall)}
			if response.Early {
				call.Body = make([]byte, longCall)
			}
			services := invoker.New()
			ctx, cancel := context.WithTimeout(c.Context(), timeout)
			defer cancel()
			for i := range attempts {
				got, err := services.Call(ctx, dragonflypass.Endpoint{Address: address}, call)
				// The transport may close the connection before a service that reads on has received the whole call, and may notice a reset
				// before the response that precedes it.
				mayFail := response.Whole && response.Early && (response.UntilClose || response.Ending == corrupter.Reset)
				if mayFail && err != nil {
					c.Assert(err, qt.ErrorIs, dragonflypass.ErrUncertain)
				} else if response.Whole {
					c.Assert(err, qt.IsNil)
					c.Assert(string(got.Body), qt.Equals, corrupter.Body)
				} else {
					c.Assert(err, qt.ErrorIs, dragonflypass.ErrUncertain, qt.Commentf("%d %q", got.Status, got.Body))
				}
				c.Assert(server.Requests(), qt.Equals, i+1)
			}
			c.Check(ctx.Err(), qt.IsNil)
		})
	}
}
