package composer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// TestRequestWaitingAtEndOfShutdownIsRefused ends a shutdown while one prompt waits for a permit and another for its server.
func TestRequestWaitingAtEndOfShutdownIsRefused(t *testing.T) {
	withRelaySite(t, 1, 1, 1, func(c *qt.C, s *fake.RelaySite) {
		s.ModelServers[0].TimeToHead = 20 * time.Second
		answers := make([]chan *fake.ResponseRecorder, 2)
		for i, tokens := range []int{500, 150_000} {
			answers[i] = make(chan *fake.ResponseRecorder, 1)
			e := fake.NewExchange(fmt.Sprintf("stream-%d", i), "/single/x", tokens)
			go func() { answers[i] <- s.Send(0, e) }()
			time.Sleep(500 * time.Millisecond)
		}
		s.Nodes[0].Leave(s.Context)
		time.Sleep(time.Second)
		start := time.Now()
		s.Nodes[0].Relayer.EndOpen()
		for i, executed := range []dragonflypass.Executed{dragonflypass.ExecutedMaybe, dragonflypass.ExecutedNo} {
			refusal, ok := dragonflypass.AsRefusal((<-answers[i]).Err)
			c.Assert(ok, qt.IsTrue)
			c.Check(refusal.Executed, qt.Equals, executed)
			c.Check(refusal.Reason, qt.Equals, dragonflypass.ReasonLeaving)
		}
		c.Check(time.Since(start) < 100*time.Millisecond, qt.IsTrue)
		checkNothingReserved(c, s)
	})
}
