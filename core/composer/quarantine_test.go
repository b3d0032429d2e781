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

// newCrashingExchange returns a lookup that crashes every server that runs it. All of them are the same request.
func newCrashingExchange(id string) *dragonflypass.Exchange {
	e := fake.NewExchange(id, "/read/x", 0)
	e.Body = []byte(fake.CrashBody)
	e.Fingerprint = fake.NewExchange(fake.CrashBody, "/read/x", 0).Fingerprint
	return e
}

// quarantineRequest sends the request that crashes servers through the first VM until it is quarantined there.
func quarantineRequest(c *qt.C, s *fake.RelaySite) {
	c.Helper()
	for i := range 4 {
		s.Send(0, newCrashingExchange(fmt.Sprint("crashing-", i)))
	}
	time.Sleep(100 * time.Millisecond)
	c.Assert(plainCrashCount(s), qt.Equals, crashLimit)
}

func plainCrashCount(s *fake.RelaySite) int {
	total := 0
	for _, b := range s.PlainServers {
		total += b.CrashCount()
	}
	return total
}

// checkRequestRefused checks that the VM refuses the request that crashes servers, and sends it to none.
func checkRequestRefused(c *qt.C, s *fake.RelaySite, node int) {
	c.Helper()
	got := s.Send(node, newCrashingExchange(fmt.Sprint("refused-", node)))
	c.Check(refusalReason(got.Err), qt.Equals, dragonflypass.ReasonQuarantined, qt.Commentf("VM %d", node))
	c.Check(plainCrashCount(s), qt.Equals, crashLimit, qt.Commentf("VM %d", node))
}

// TestRestartedVMsKnowQuarantinedRequests guards against VMs that crash servers again with a request that was quarantined before
// they restarted. The fleets are a small one, and one that exchanges heartbeats through hubs.
func TestRestartedVMsKnowQuarantinedRequests(t *testing.T) {
	for _, nodes := range []int{6, 24} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			withRelaySite(t, nodes, 8, 1, func(c *qt.C, s *fake.RelaySite) {
				watch(s)
				quarantineRequest(c, s)
				for i := range s.Nodes {
					s.Kill(i)
					s.StartNode(i)
					time.Sleep(2 * time.Second)
					checkRequestRefused(c, s, i)
				}
			})
		})
	}
}

// TestAddedVMsKnowQuarantinedRequests guards against VMs that join the fleet and crash servers with a quarantined request.
func TestAddedVMsKnowQuarantinedRequests(t *testing.T) {
	withRelaySite(t, 4, 8, 1, func(c *qt.C, s *fake.RelaySite) {
		watch(s)
		added := len(s.Nodes) - 1
		s.Kill(added)
		time.Sleep(10 * time.Second)
		quarantineRequest(c, s)
		s.StartNode(added)
		time.Sleep(2 * time.Second)
		checkRequestRefused(c, s, added)
	})
}

// TestVMsThatWereCutOffLearnOfQuarantinedRequests quarantines a request while a VM is cut off from the others.
func TestVMsThatWereCutOffLearnOfQuarantinedRequests(t *testing.T) {
	withRelaySite(t, 4, 8, 1, func(c *qt.C, s *fake.RelaySite) {
		watch(s)
		cutOff := len(s.Nodes) - 1
		setCutOff := func(disconnected bool) {
			for i := range cutOff {
				s.Network.SetDisconnected(s.VM(cutOff).ID, s.VM(i).ID, disconnected)
			}
		}
		setCutOff(true)
		time.Sleep(5 * time.Second)
		quarantineRequest(c, s)
		setCutOff(false)
		time.Sleep(3 * time.Second)
		checkRequestRefused(c, s, cutOff)
	})
}

// TestLookupIsNotRefusedAfterServersGoDownTogether guards against a sound lookup that is refused for an hour because three servers
// that ran it went down at the same moment.
func TestLookupIsNotRefusedAfterServersGoDownTogether(t *testing.T) {
	withRelaySite(t, 3, 6, 1, func(c *qt.C, s *fake.RelaySite) {
		const callers = 30
		lookup := func(id string) *dragonflypass.Exchange {
			e := fake.NewExchange(id, "/read/x", 0)
			e.Fingerprint = fake.NewExchange("lookup", "/read/x", 0).Fingerprint
			return e
		}
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() { s.Send(i%len(s.Nodes), lookup(fmt.Sprint("lookup-", i))) })
		}
		time.Sleep(5 * time.Millisecond)
		for _, b := range s.PlainServers[:3] {
			c.Assert(b.Running() > 0, qt.IsTrue)
			b.SetFault(fake.BackendDown)
		}
		wg.Wait()
		time.Sleep(time.Second)
		for i := range s.Nodes {
			got := s.Send(i, lookup(fmt.Sprint("later-", i)))
			c.Check(got.Err, qt.IsNil, qt.Commentf("VM %d", i))
		}
	})
}

// TestRestartedVMsKnowQuarantinedCompletions guards against VMs that crash model servers again with a completion that was
// quarantined before they restarted.
func TestRestartedVMsKnowQuarantinedCompletions(t *testing.T) {
	withSite(t, 6, 6, func(c *qt.C, s *fake.Site) {
		stop := make(chan struct{})
		go restartCrashedServers(s, stop)
		send := func(node int) error {
			answer := s.Complete(s.Context, node, prompt("<crash>", 300), 60, dragonflypass.RankNormal)
			return answer.Err
		}
		for range 4 {
			_ = send(0)
			time.Sleep(5 * time.Second)
		}
		before := crashCount(s)
		c.Assert(before <= crashLimit, qt.IsTrue, qt.Commentf("%d servers crashed", before))
		for i := range s.Nodes {
			s.Kill(i)
			s.StartNode(i)
			time.Sleep(10 * time.Second)
			c.Check(refusalReason(send(i)), qt.Equals, dragonflypass.ReasonQuarantined, qt.Commentf("VM %d", i))
		}
		close(stop)
		c.Check(crashCount(s), qt.Equals, before)
		time.Sleep(5 * time.Second)
	})
}
