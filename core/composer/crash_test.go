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

// crashLimit is the largest number of servers that one request may cost.
const crashLimit = 3

// restartDead starts servers anew a while after they died.
func restartDead(s *fake.Site, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(3 * time.Second):
		}
		for _, server := range s.Servers {
			if server.Down() {
				server.Revive()
			}
		}
	}
}

func deaths(s *fake.Site) int {
	total := 0
	for _, server := range s.Servers {
		total += server.Deaths()
	}
	return total
}

// TestCrashingRequest has a request that crashes every server which runs it sent
// again and again through every entry VM, among innocent neighbours.
func TestCrashingRequest(t *testing.T) {
	for _, gap := range []time.Duration{0, 50 * time.Millisecond, 700 * time.Millisecond, 4 * time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			withSite(t, 6, 6, func(c *qt.C, s *fake.Site) {
				stop := make(chan struct{})
				go restartDead(s, stop)
				var all sync.WaitGroup
				neighbours := make([]*fake.Answer, 120)
				for i := range neighbours {
					neighbours[i] = &fake.Answer{}
					all.Go(func() {
						time.Sleep(time.Duration(i) * 200 * time.Millisecond)
						s.CompleteInto(s.Context, neighbours[i], i%6, prompt(fmt.Sprintf("good%d", i), 300), 60, dragonflypass.RankNormal)
					})
				}
				time.Sleep(2 * time.Second)
				for i := range 30 {
					all.Go(func() {
						s.CompleteInto(s.Context, &fake.Answer{}, i%6, prompt("<crash>", 300), 60, dragonflypass.RankNormal)
					})
					time.Sleep(gap)
				}
				all.Wait()
				close(stop)
				c.Check(deaths(s) <= crashLimit, qt.IsTrue, qt.Commentf("%d servers lost", deaths(s)))
				for i, a := range neighbours {
					checkWhole(c, a, prompt(fmt.Sprintf("good%d", i), 300), 60)
				}
				last := s.Complete(s.Context, 3, prompt("<crash>", 300), 60, dragonflypass.RankNormal)
				refusal, ok := dragonflypass.AsRefusal(last.Err)
				c.Assert(ok, qt.IsTrue)
				c.Check(refusal.Reason, qt.Equals, dragonflypass.ReasonQuarantined)
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestCrashingRequestThatTakesLong has copies of a request that crash their servers only after seconds, so that
// others still run when word of the first crash has got round. The servers are slower than
// declared, so that copies which wait in vain at one owner go on to the next.
func TestCrashingRequestThatTakesLong(t *testing.T) {
	for _, gap := range []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			withSite(t, 6, 18, func(c *qt.C, s *fake.Site) {
				for _, server := range s.Servers {
					server.SetPrefill(1000)
				}
				stop := make(chan struct{})
				go restartDead(s, stop)
				var all sync.WaitGroup
				for i := range 20 {
					all.Go(func() {
						s.CompleteInto(s.Context, &fake.Answer{}, i%6, prompt("<crash late>", 5000), 60, dragonflypass.RankNormal)
					})
					time.Sleep(gap)
				}
				all.Wait()
				close(stop)
				c.Check(deaths(s) <= crashLimit, qt.IsTrue, qt.Commentf("%d servers lost", deaths(s)))
				time.Sleep(5 * time.Second)
				for _, server := range s.Servers {
					c.Check(server.Used(), qt.Equals, 0)
				}
			})
		})
	}
}

// TestRetryBudgetInAnOutage has all servers of one zone go; retries stay within their part of the requests.
func TestRetryBudgetInAnOutage(t *testing.T) {
	withSite(t, 3, 3, func(c *qt.C, s *fake.Site) {
		for i := range s.Servers {
			if i%3 == 0 {
				s.Servers[i].Die()
			}
		}
		const requests = 300
		var all sync.WaitGroup
		for i := range requests {
			all.Go(func() {
				s.CompleteInto(s.Context, &fake.Answer{}, i%3, prompt(fmt.Sprintf("p%d", i), 100), 10, dragonflypass.RankNormal)
			})
			time.Sleep(20 * time.Millisecond)
		}
		all.Wait()
		retried := int64(0)
		for _, node := range s.Nodes {
			retried += node.Meter.Count(dragonflypass.CountRetried)
		}
		const reserve = 3 * 20
		c.Check(retried <= requests/10+reserve, qt.IsTrue, qt.Commentf("%d retries", retried))
	})
}
