package composer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/composer"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// coldBound is the number of requests that a server of a warming site may receive in any second.
const coldBound = 30

// withWarmingSite runs the test on a site whose servers tolerate 17 requests per second for 3 s from their start.
func withWarmingSite(t *testing.T, nodes, plainServers, modelServers int, test func(c *qt.C, s *fake.RelaySite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewRelaySite(t.Context(), nodes, plainServers, modelServers)
		s.WarmupRate, s.WarmupTime = 17, 3*time.Second
		s.Options = func(o *composer.RelayOptions) { o.ColdOvershoot, o.ColdSlack = 1.5, 5 }
		for _, b := range s.ModelServers {
			// Short streams, so that slots do not limit the requests per second.
			b.Events = 3
		}
		s.Start()
		time.Sleep(5 * time.Second)
		test(qt.New(t), s)
	})
}

// requests returns a function that makes requests for the path.
func requests(name, path string, tokens int) func(int) *dragonflypass.Exchange {
	return func(i int) *dragonflypass.Exchange {
		return fake.NewExchange(fmt.Sprintf("%s-%d", name, i), path, tokens)
	}
}

// TestModelServerWarmsUp restarts a model server under load, with a single owner, with an owner that fails during the warm-up,
// with two owners in a partition, while an evacuation of its zone is revoked, and before its new entry is read, and has it turn cold twice without a restart. It must not receive more than the bound in any second
// of the warm-up, but some of the load, and more afterwards.
func TestModelServerWarmsUp(t *testing.T) {
	shard := dragonflypass.Shard{Service: fake.RelayModelService}
	restart := func(s *fake.RelaySite) { s.Restart(s.ModelServers[0]) }
	for name, prepare := range map[string]func(s *fake.RelaySite){
		"one owner": restart,
		"owner fails": func(s *fake.RelaySite) {
			restart(s)
			for i, n := range s.Nodes {
				if n.Acquirer.Owner(shard).ID == s.VM(i).ID {
					time.AfterFunc(time.Second, func() { s.Kill(i) })
				}
			}
		},
		"two owners": func(s *fake.RelaySite) {
			for i := range 3 {
				for j := 3; j < 6; j++ {
					s.Network.SetDisconnected(s.VM(i).ID, s.VM(j).ID, true)
				}
			}
			time.Sleep(4 * time.Second)
			restart(s)
		},
		"no restart": func(s *fake.RelaySite) {
			s.ModelServers[0].Entry.WarmupTime = 3 * time.Second
			for range 2 {
				time.Sleep(4 * time.Second)
				s.Register(s.ModelServers[0], dragonflypass.ServerReady)
			}
		},
		"evacuation revoked": func(s *fake.RelaySite) {
			s.Evacuate(s.ModelServers[0].Entry.Zone)
			time.Sleep(time.Second)
			restart(s)
			s.Revoke(s.ModelServers[0].Entry.Zone)
		},
		"restart before its entry": func(s *fake.RelaySite) {
			s.ModelServers[0].SetFault(fake.BackendDown)
			sendAll(s, 20, 50*time.Millisecond, requests("down", "/stream/x", 500))
			s.ModelServers[0].SetFault(fake.BackendHealthy)
			time.AfterFunc(time.Second, func() { restart(s) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			withWarmingSite(t, 6, 1, 3, func(c *qt.C, s *fake.RelaySite) {
				server := s.ModelServers[0]
				prepare(s)
				time.Sleep(700 * time.Millisecond)
				start := time.Now()
				sendAll(s, 440, 5*time.Millisecond, requests("cold", "/stream/x", 500))
				highest, total := server.StartsPerSecond(start)
				c.Check(highest <= coldBound, qt.IsTrue, qt.Commentf("%d in a second", highest))
				c.Check(total >= 8, qt.IsTrue, qt.Commentf("%d", total))
				time.Sleep(2 * time.Second)
				start = time.Now()
				sendAll(s, 440, 5*time.Millisecond, requests("warm", "/stream/x", 500))
				highest, _ = server.StartsPerSecond(start)
				c.Check(highest > coldBound, qt.IsTrue, qt.Commentf("%d in a second", highest))
			})
		})
	}
}

// TestPlainServerWarmsUp restarts one of two plain servers under load, and has the other one state in its responses that it is
// cold.
func TestPlainServerWarmsUp(t *testing.T) {
	withWarmingSite(t, 12, 2, 1, func(c *qt.C, s *fake.RelaySite) {
		s.Restart(s.PlainServers[0])
		s.PlainServers[1].SetNotice(dragonflypass.ServerNotice{WarmupTime: 3 * time.Second})
		sendAll(s, 24, 30*time.Millisecond, requests("told", "/read/x", 0))
		start := time.Now()
		got := sendAll(s, 200, 10*time.Millisecond, requests("cold", "/read/x", 0))
		answered := 0
		for _, g := range got {
			if g.Err == nil {
				answered++
				continue
			}
			refusal, _ := dragonflypass.AsRefusal(g.Err)
			c.Assert(refusal, qt.IsNotNil)
			c.Check(refusal.Reason, qt.Equals, dragonflypass.ReasonNoServer)
			c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo)
			c.Check(refusal.RetryAfter > 0, qt.IsTrue)
		}
		c.Check(answered > 20, qt.IsTrue, qt.Commentf("%d", answered))
		for _, b := range s.PlainServers {
			highest, _ := b.StartsPerSecond(start)
			c.Check(highest <= coldBound, qt.IsTrue, qt.Commentf("%s: %d in a second", b.Entry.ID, highest))
		}
	})
}

// TestOnlyModelServerWarmsUp checks that prompts wait for a server that is warming up if there is no other one, rather than being
// refused.
func TestOnlyModelServerWarmsUp(t *testing.T) {
	withWarmingSite(t, 4, 1, 1, func(c *qt.C, s *fake.RelaySite) {
		s.Restart(s.ModelServers[0])
		time.Sleep(1200 * time.Millisecond)
		start := time.Now()
		// The limit lets 30 requests through before the callers leave after four seconds.
		for _, g := range sendAll(s, 30, 5*time.Millisecond, requests("cold", "/stream/x", 500)) {
			c.Check(g.Complete(3), qt.IsTrue, qt.Commentf("%v", g.Err))
		}
		highest, _ := s.ModelServers[0].StartsPerSecond(start)
		c.Check(highest <= coldBound, qt.IsTrue, qt.Commentf("%d in a second", highest))
	})
}
