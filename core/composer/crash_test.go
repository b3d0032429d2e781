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

// crashLimit is the largest number of servers that one request may crash.
const crashLimit = 3

// restartCrashedServers regularly restarts the servers that have crashed, until stop is closed.
func restartCrashedServers(s *fake.Site, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(3 * time.Second):
		}
		for _, server := range s.Servers {
			if server.Down() {
				server.Restart()
			}
		}
	}
}

func crashCount(s *fake.Site) int {
	total := 0
	for _, server := range s.Servers {
		total += server.CrashCount()
	}
	return total
}

// TestCrashingRequest repeatedly sends a request that crashes every server on which it runs, through all entry VMs. The
// request must be quarantined, and the harmless requests sent at the same time must succeed.
func TestCrashingRequest(t *testing.T) {
	for _, gap := range []time.Duration{0, 50 * time.Millisecond, 700 * time.Millisecond, 4 * time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			withSite(t, 6, 6, func(c *qt.C, s *fake.Site) {
				stop := make(chan struct{})
				go restartCrashedServers(s, stop)
				var wg sync.WaitGroup
				harmless := make([]*fake.Answer, 120)
				for i := range harmless {
					harmless[i] = &fake.Answer{}
					wg.Go(func() {
						time.Sleep(time.Duration(i) * 200 * time.Millisecond)
						s.CompleteInto(s.Context, harmless[i], i%6, prompt(fmt.Sprintf("good%d", i), 300), 60, dragonflypass.RankNormal)
					})
				}
				time.Sleep(2 * time.Second)
				for i := range 30 {
					wg.Go(func() {
						s.CompleteInto(s.Context, &fake.Answer{}, i%6, prompt("<crash>", 300), 60, dragonflypass.RankNormal)
					})
					time.Sleep(gap)
				}
				wg.Wait()
				close(stop)
				c.Check(crashCount(s) <= crashLimit, qt.IsTrue, qt.Commentf("%d servers crashed", crashCount(s)))
				for i, a := range harmless {
					checkCompleteAnswer(c, a, prompt(fmt.Sprintf("good%d", i), 300), 60)
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

// TestRequestCrashesServersAfterDelay sends copies of a request that crashes its server after some seconds. Other copies
// are therefore still running when all VMs have received the report of the first crash. The servers are slower than
// configured, so that copies time out in the queue of one owner and go on to the next.
func TestRequestCrashesServersAfterDelay(t *testing.T) {
	for _, gap := range []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			withSite(t, 6, 18, func(c *qt.C, s *fake.Site) {
				for _, server := range s.Servers {
					server.SetPrefill(1000)
				}
				stop := make(chan struct{})
				go restartCrashedServers(s, stop)
				var wg sync.WaitGroup
				for i := range 20 {
					wg.Go(func() {
						s.CompleteInto(s.Context, &fake.Answer{}, i%6, prompt("<crash late>", 5000), 60, dragonflypass.RankNormal)
					})
					time.Sleep(gap)
				}
				wg.Wait()
				close(stop)
				c.Check(crashCount(s) <= crashLimit, qt.IsTrue, qt.Commentf("%d servers crashed", crashCount(s)))
				time.Sleep(5 * time.Second)
				for _, server := range s.Servers {
					c.Check(server.Used(), qt.Equals, 0)
				}
			})
		})
	}
}

// TestRetryBudgetInZoneOutage crashes all servers of one zone. The retries must not exceed their share of the requests.
func TestRetryBudgetInZoneOutage(t *testing.T) {
	withSite(t, 3, 3, func(c *qt.C, s *fake.Site) {
		for i := range s.Servers {
			if i%3 == 0 {
				s.Servers[i].Crash()
			}
		}
		const requests = 300
		var wg sync.WaitGroup
		for i := range requests {
			wg.Go(func() {
				s.CompleteInto(s.Context, &fake.Answer{}, i%3, prompt(fmt.Sprintf("p%d", i), 100), 10, dragonflypass.RankNormal)
			})
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
		retries := int64(0)
		for _, node := range s.Nodes {
			retries += node.Meter.Count(dragonflypass.CountRetried)
		}
		const retryBurst = 3 * 20
		c.Check(retries <= requests/10+retryBurst, qt.IsTrue, qt.Commentf("%d retries", retries))
	})
}

// TestSharedPartCrashesModelServersOneAfterTheOther sends different prompts that have one part in common which crashes every
// server, among sound ones of the same account that share the other part.
func TestSharedPartCrashesModelServersOneAfterTheOther(t *testing.T) {
	withSite(t, 6, 6, func(c *qt.C, s *fake.Site) {
		stop := make(chan struct{})
		go restartCrashedServers(s, stop)
		var wg sync.WaitGroup
		sound := make([]*fake.Answer, 120)
		for i := range sound {
			sound[i] = &fake.Answer{}
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 200 * time.Millisecond)
				s.CompleteInto(s.Context, sound[i], i%6, prompt(fmt.Sprintf("good%d", i), 300), 60, dragonflypass.RankNormal, "shared")
			})
		}
		for i := range 30 {
			wg.Go(func() {
				s.CompleteInto(s.Context, &fake.Answer{}, i%6, prompt(fmt.Sprintf("<crash> %d", i), 300), 60, dragonflypass.RankNormal, "cause", "shared")
			})
			time.Sleep(700 * time.Millisecond)
		}
		wg.Wait()
		close(stop)
		// Each crash may take a request along that is sent to a second server before the first crash is known.
		c.Check(crashCount(s) <= 2*crashLimit, qt.IsTrue, qt.Commentf("%d servers crashed", crashCount(s)))
		for i, a := range sound {
			checkCompleteAnswer(c, a, prompt(fmt.Sprintf("good%d", i), 300), 60)
		}
		time.Sleep(5 * time.Second)
	})
}
