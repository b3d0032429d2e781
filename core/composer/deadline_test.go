package composer_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// deadlineTolerance is the maximum time by which a request may end after its deadline.
const deadlineTolerance = 100 * time.Millisecond

// completeAll sends prompts through the nodes in turn, calls fault while they run, and waits for all answers.
func completeAll(s *fake.Site, count, output int, rank dragonflypass.Rank, fault func()) []*fake.Answer {
	var wg sync.WaitGroup
	results := make([]*fake.Answer, count)
	for i := range results {
		results[i] = &fake.Answer{}
		wg.Go(func() {
			s.CompleteInto(s.Context, results[i], i%len(s.Nodes), prompt(fmt.Sprintf("p%d", i), 500), output, rank)
		})
	}
	time.Sleep(500 * time.Millisecond)
	fault()
	wg.Wait()
	return results
}

func TestRequestsEndWithinRankTimeout(t *testing.T) {
	timeout := dragonflypass.DefaultRanks()[dragonflypass.RankUrgent].Timeout
	tests := []struct {
		name  string
		count int
		fault func(s *fake.Site)
		// complete means that every caller must get its complete answer despite the fault.
		complete bool
	}{
		{name: "no fault", count: 12, fault: func(*fake.Site) {}, complete: true},
		{name: "server freezes during streams", count: 12, complete: true, fault: func(s *fake.Site) { s.Servers[0].Freeze(true) }},
		{name: "all servers freeze", count: 12, fault: func(s *fake.Site) {
			for _, server := range s.Servers {
				server.Freeze(true)
			}
		}},
		{name: "server crashes", count: 12, complete: true, fault: func(s *fake.Site) { s.Servers[1].Crash() }},
		{name: "all servers crash", count: 12, fault: func(s *fake.Site) {
			for _, server := range s.Servers {
				server.Crash()
			}
		}},
		{name: "server crashes and restarts", count: 12, complete: true, fault: func(s *fake.Site) {
			s.Servers[1].Crash()
			time.Sleep(time.Second)
			s.Servers[1].Restart()
		}},
		{name: "owner freezes and resumes", count: 12, complete: true, fault: func(s *fake.Site) {
			s.Network.SetFrozen("vm-1", true)
			time.Sleep(15 * time.Second)
			s.Network.SetFrozen("vm-1", false)
		}},
		{name: "peer links cut", count: 12, complete: true, fault: func(s *fake.Site) {
			s.Network.SetDisconnected("vm-1", "vm-2", true)
			s.Network.SetDisconnected("vm-2", "vm-3", true)
		}},
		{name: "queue overload", count: 600, fault: func(*fake.Site) {}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withSite(t, 3, 3, func(c *qt.C, s *fake.Site) {
				start := time.Now()
				results := completeAll(s, test.count, 60, dragonflypass.RankUrgent, func() { test.fault(s) })
				for i, a := range results {
					c.Check(a.EndedAt.Sub(start) <= timeout+deadlineTolerance, qt.IsTrue, qt.Commentf("request %d took %s", i, a.EndedAt.Sub(start)))
					if test.complete {
						checkCompleteAnswer(c, a, prompt(fmt.Sprintf("p%d", i), 500), 60)
					}
					checkExecutionStatus(c, a)
				}
			})
		})
	}
}

// checkExecutionStatus checks that a request reported as not executed returned no tokens.
func checkExecutionStatus(c *qt.C, a *fake.Answer) {
	c.Helper()
	refusal, ok := dragonflypass.AsRefusal(a.Err)
	if a.Err == nil {
		return
	}
	c.Assert(ok, qt.IsTrue, qt.Commentf("error %v", a.Err))
	if refusal.Executed == dragonflypass.ExecutedNo {
		c.Check(a.Tokens(), qt.Equals, 0)
	}
}

func TestOwnerCrashes(t *testing.T) {
	timeout := dragonflypass.DefaultRanks()[dragonflypass.RankUrgent].Timeout
	withSite(t, 3, 3, func(c *qt.C, s *fake.Site) {
		start := time.Now()
		var wg sync.WaitGroup
		results := make([]*fake.Answer, 80)
		for i := range results {
			results[i] = &fake.Answer{}
			wg.Go(func() {
				s.CompleteInto(s.Context, results[i], 1+i%2, prompt(fmt.Sprintf("p%d", i), 500), 60, dragonflypass.RankUrgent)
			})
		}
		time.Sleep(500 * time.Millisecond)
		s.Kill(0)
		wg.Wait()
		for i, a := range results {
			c.Check(a.EndedAt.Sub(start) <= timeout+deadlineTolerance, qt.IsTrue)
			checkCompleteAnswer(c, a, prompt(fmt.Sprintf("p%d", i), 500), 60)
		}
	})
}
