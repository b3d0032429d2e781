package streamer_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/streamer"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// endlessAnswers are answers of a faulty engine: a start, and what follows without end.
var endlessAnswers = map[string][2]string{
	"status line":         {"HTTP/1.1 200 ", "O"},
	"header line":         {"HTTP/1.1 200 OK\r\nX: ", "x"},
	"header fields":       {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
	"interim responses":   {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"no protocol":         {"", "\x00\xff"},
	"body without length": {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	"string":              {"HTTP/1.1 200 OK\r\n\r\n{\"server\":\"", "x"},
	"spaces":              {"HTTP/1.1 200 OK\r\n\r\n", " "},
	"frame":               {"HTTP/1.1 200 OK\r\n\r\ndata: {\"text\":\"", "x"},
	"refusal":             {"HTTP/1.1 503 Service Unavailable\r\n\r\n", "x"},
}

// TestEnginesThatAnswerWithoutEnd guards against the memory that answers of engines take while they go on without end, to each kind
// of call.
func TestEnginesThatAnswerWithoutEnd(t *testing.T) {
	const calls, memoryLimit, timeLimit = 200, 20 << 20, 20 * time.Second
	for name, answer := range endlessAnswers {
		for kind, call := range map[string]func(context.Context, *streamer.Streamer, dragonflypass.Permit) error{
			"report": func(ctx context.Context, s *streamer.Streamer, p dragonflypass.Permit) error {
				_, err := s.Report(ctx, p.Address)
				return err
			},
			"stream": func(ctx context.Context, s *streamer.Streamer, p dragonflypass.Permit) error {
				return s.Stream(ctx, dragonflypass.EngineCall{Permit: p, Prompt: "p"}, func(dragonflypass.Frame) error { return nil })
			},
		} {
			t.Run(kind+", "+name, func(t *testing.T) {
				c := qt.New(t)
				address, stop, err := fake.ServeEndless(answer[0], answer[1])
				c.Assert(err, qt.IsNil)
				defer stop()
				engines := streamer.New()
				defer engines.Close()
				ctx, cancel := context.WithTimeout(t.Context(), timeLimit)
				defer cancel()
				used := fake.PeakMemory(func() {
					var wg sync.WaitGroup
					for range calls {
						wg.Go(func() { c.Check(call(ctx, engines, dragonflypass.Permit{Address: address, Server: "s"}), qt.IsNotNil) })
					}
					wg.Wait()
				})
				c.Check(ctx.Err(), qt.IsNil)
				c.Check(used < memoryLimit, qt.IsTrue, qt.Commentf("%d bytes more at the peak", used))
			})
		}
	}
}
