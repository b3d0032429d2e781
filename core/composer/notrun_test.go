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

// TestNotRunIsTrue has callers go away, servers and owners fail and the VM drain at every step of a request;
// a request said not to have run never reached a server.
func TestNotRunIsTrue(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *fake.Site, cancel context.CancelFunc)
	}{
		{name: "caller goes away", fault: func(_ *fake.Site, cancel context.CancelFunc) { cancel() }},
		{name: "VM drains", fault: func(s *fake.Site, _ context.CancelFunc) { s.Nodes[0].Drainer.Start(s.Context) }},
		{name: "owner leaves", fault: func(s *fake.Site, _ context.CancelFunc) { s.Nodes[1].Drainer.Start(s.Context) }},
		{name: "owner dies", fault: func(s *fake.Site, _ context.CancelFunc) { s.Kill(1) }},
		{name: "server dies", fault: func(s *fake.Site, _ context.CancelFunc) { s.Servers[0].Die() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, delay := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 30 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second} {
				prepare := func(s *fake.Site) { s.Network.Latency = time.Millisecond }
				synctestSite(t, 2, 1, prepare, func(c *qt.C, s *fake.Site) {
					ctx, cancel := contextWithCancel(s)
					defer cancel()
					ran := recordRuns(s)
					results := make([]*fake.Answer, 30)
					var all sync.WaitGroup
					for i := range results {
						results[i] = &fake.Answer{}
						all.Go(func() {
							s.CompleteInto(ctx, results[i], 0, prompt(fmt.Sprintf("p%d", i), 300), 20, dragonflypass.RankUrgent)
						})
					}
					time.Sleep(delay)
					test.fault(s, cancel)
					all.Wait()
					for i, a := range results {
						refusal, refused := dragonflypass.AsRefusal(a.Err)
						if refused && refusal.Executed == dragonflypass.ExecutedNo {
							c.Check(ran.has(prompt(fmt.Sprintf("p%d", i), 300)), qt.IsFalse, qt.Commentf("delay %s: %v", delay, refusal))
						}
					}
					time.Sleep(15 * time.Second)
				})
			}
		})
	}
}

// runs records the prompts that reached a server.
type runs struct {
	mutex   sync.Mutex
	prompts map[string]bool
}

func recordRuns(s *fake.Site) *runs {
	r := &runs{prompts: make(map[string]bool)}
	s.Engines.SetMangle(func(call dragonflypass.EngineCall, frame dragonflypass.Frame) []dragonflypass.Frame {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.prompts[call.Prompt] = true
		return []dragonflypass.Frame{frame}
	})
	return r
}

func (r *runs) has(prompt string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.prompts[prompt]
}
