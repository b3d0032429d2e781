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

// deadlineSlack is the time after its deadline by which a request has ended.
const deadlineSlack = 100 * time.Millisecond

// answers sends prompts through the nodes in turn and waits for all of them, with fault caused while they run.
func answers(s *fake.Site, count, output int, rank dragonflypass.Rank, fault func()) []*fake.Answer {
	var all sync.WaitGroup
	results := make([]*fake.Answer, count)
	for i := range results {
		results[i] = &fake.Answer{}
		all.Go(func() {
			s.CompleteInto(s.Context, results[i], i%len(s.Nodes), prompt(fmt.Sprintf("p%d", i), 500), output, rank)
		})
	}
	time.Sleep(500 * time.Millisecond)
	fault()
	all.Wait()
	return results
}

func TestEndsWithinRanksTime(t *testing.T) {
	within := dragonflypass.DefaultRanks()[dragonflypass.RankUrgent].Timeout
	tests := []struct {
		name  string
		count int
		fault func(s *fake.Site)
		// whole is set when every caller gets its whole answer all the same.
		whole bool
	}{
		{name: "no fault", count: 12, fault: func(*fake.Site) {}, whole: true},
		{name: "server freezes in mid-stream", count: 12, whole: true, fault: func(s *fake.Site) { s.Servers[0].Freeze(true) }},
		{name: "all servers freeze", count: 12, fault: func(s *fake.Site) {
			for _, server := range s.Servers {
				server.Freeze(true)
			}
		}},
		{name: "server dies", count: 12, whole: true, fault: func(s *fake.Site) { s.Servers[1].Die() }},
		{name: "all servers die", count: 12, fault: func(s *fake.Site) {
			for _, server := range s.Servers {
				server.Die()
			}
		}},
		{name: "server dies and comes back", count: 12, whole: true, fault: func(s *fake.Site) {
			s.Servers[1].Die()
			time.Sleep(time.Second)
			s.Servers[1].Revive()
		}},
		{name: "owner frozen, then wakes", count: 12, whole: true, fault: func(s *fake.Site) {
			s.Network.Freeze("vm-1", true)
			time.Sleep(15 * time.Second)
			s.Network.Freeze("vm-1", false)
		}},
		{name: "peer links cut", count: 12, whole: true, fault: func(s *fake.Site) {
			s.Network.Cut("vm-1", "vm-2", true)
			s.Network.Cut("vm-2", "vm-3", true)
		}},
		{name: "queue floods", count: 600, fault: func(*fake.Site) {}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withSite(t, 3, 3, func(c *qt.C, s *fake.Site) {
				begun := time.Now()
				results := answers(s, test.count, 60, dragonflypass.RankUrgent, func() { test.fault(s) })
				for i, a := range results {
					c.Check(a.Ended.Sub(begun) <= within+deadlineSlack, qt.IsTrue, qt.Commentf("request %d took %s", i, a.Ended.Sub(begun)))
					if test.whole {
						checkWhole(c, a, prompt(fmt.Sprintf("p%d", i), 500), 60)
					}
					checkRan(c, a)
				}
			})
		})
	}
}

// checkRan checks that a request said not to have run gave no token.
func checkRan(c *qt.C, a *fake.Answer) {
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

func TestOwnerDies(t *testing.T) {
	within := dragonflypass.DefaultRanks()[dragonflypass.RankUrgent].Timeout
	withSite(t, 3, 3, func(c *qt.C, s *fake.Site) {
		begun := time.Now()
		var all sync.WaitGroup
		results := make([]*fake.Answer, 80)
		for i := range results {
			results[i] = &fake.Answer{}
			all.Go(func() {
				s.CompleteInto(s.Context, results[i], 1+i%2, prompt(fmt.Sprintf("p%d", i), 500), 60, dragonflypass.RankUrgent)
			})
		}
		time.Sleep(500 * time.Millisecond)
		s.Kill(0)
		all.Wait()
		for i, a := range results {
			c.Check(a.Ended.Sub(begun) <= within+deadlineSlack, qt.IsTrue)
			checkWhole(c, a, prompt(fmt.Sprintf("p%d", i), 500), 60)
		}
	})
}
