package composer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// TestNotExecutedIsReportedCorrectly interrupts requests at every step: callers disconnect, servers and owners fail, or
// the VM drains. A request that is reported as not executed must never have reached a server.
func TestNotExecutedIsReportedCorrectly(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *fake.Site, cancel context.CancelFunc)
	}{
		{name: "caller disconnects", fault: func(_ *fake.Site, cancel context.CancelFunc) { cancel() }},
		{name: "VM drains", fault: func(s *fake.Site, _ context.CancelFunc) { s.Nodes[0].Drainer.Start(s.Context) }},
		{name: "owner leaves", fault: func(s *fake.Site, _ context.CancelFunc) { s.Nodes[1].Drainer.Start(s.Context) }},
		{name: "owner crashes", fault: func(s *fake.Site, _ context.CancelFunc) { s.Kill(1) }},
		{name: "server crashes", fault: func(s *fake.Site, _ context.CancelFunc) { s.Servers[0].Crash() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, delay := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 30 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second} {
				prepare := func(s *fake.Site) { s.Network.Latency = time.Millisecond }
				withPreparedSite(t, 2, 1, prepare, func(c *qt.C, s *fake.Site) {
					ctx, cancel := contextWithCancel(s)
					defer cancel()
					executed := recordExecutedPrompts(s)
					results := make([]*fake.Answer, 30)
					var wg sync.WaitGroup
					for i := range results {
						results[i] = &fake.Answer{}
						wg.Go(func() {
							s.CompleteInto(ctx, results[i], 0, prompt(fmt.Sprintf("p%d", i), 300), 20, dragonflypass.RankUrgent)
						})
					}
					time.Sleep(delay)
					test.fault(s, cancel)
					wg.Wait()
					for i, a := range results {
						refusal, isRefusal := dragonflypass.AsRefusal(a.Err)
						if isRefusal && refusal.Executed == dragonflypass.ExecutedNo {
							c.Check(executed.contains(prompt(fmt.Sprintf("p%d", i), 300)), qt.IsFalse, qt.Commentf("delay %s: %v", delay, refusal))
						}
					}
					time.Sleep(15 * time.Second)
				})
			}
		})
	}
}

// executedPrompts records the prompts for which a server has sent a frame.
type executedPrompts struct {
	mutex   sync.Mutex
	prompts map[string]bool
}

func recordExecutedPrompts(s *fake.Site) *executedPrompts {
	r := &executedPrompts{prompts: make(map[string]bool)}
	s.Engines.SetTransformFrame(func(call dragonflypass.EngineCall, frame dragonflypass.Frame) []dragonflypass.Frame {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.prompts[call.Prompt] = true
		return []dragonflypass.Frame{frame}
	})
	return r
}

func (r *executedPrompts) contains(prompt string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.prompts[prompt]
}
