package invoker_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/invoker"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// TestServicesThatAnswerWithoutEnd guards against the memory that answers of plain services take while they go on without end.
func TestServicesThatAnswerWithoutEnd(t *testing.T) {
	const calls, memoryLimit, timeLimit = 200, 20 << 20, 20 * time.Second
	for name, answer := range map[string][2]string{
		"header fields":       {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"interim responses":   {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body without length": {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"chunked body":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"},
		"trailer":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, stop, err := fake.ServeEndless(answer[0], answer[1])
			c.Assert(err, qt.IsNil)
			defer stop()
			services := invoker.New()
			ctx, cancel := context.WithTimeout(t.Context(), timeLimit)
			defer cancel()
			used := fake.PeakMemory(func() {
				var wg sync.WaitGroup
				for range calls {
					wg.Go(func() {
						_, err := services.Call(ctx, dragonflypass.Endpoint{Address: address}, dragonflypass.ServiceCall{Method: "GET", Path: "/"})
						c.Check(err, qt.ErrorIs, dragonflypass.ErrUncertain)
					})
				}
				wg.Wait()
			})
			c.Check(ctx.Err(), qt.IsNil)
			c.Check(used < memoryLimit, qt.IsTrue, qt.Commentf("%d bytes more at the peak", used))
		})
	}
}
