package composer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// sendWithKey sends a request with the key through the VM and returns how it was refused, and how often it ran.
func sendWithKey(s *fake.RelaySite, node int, id, key string) (reason dragonflypass.Reason, runs int) {
	e := fake.NewExchange(id, "/read/x", 0)
	e.Credential = key
	got := s.Send(node, e)
	return refusalReason(got.Err), executionCount(s.PlainServers, id)
}

// TestRevokedKeyStaysRevokedAfterRestore restores the store from a copy from before a key was revoked. Neither the VMs that run
// nor one that starts before the operator writes the configuration again may accept the key, and the other key must be accepted.
func TestRevokedKeyStaysRevokedAfterRestore(t *testing.T) {
	for _, nodes := range sizes(3, 20) {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			withRelaySite(t, nodes, 2, 1, func(c *qt.C, s *fake.RelaySite) {
				s.WriteRouting([]string{fake.RelayKey, "revoked"})
				time.Sleep(30 * time.Second)
				reason, _ := sendWithKey(s, 0, "before", "revoked")
				c.Assert(reason, qt.Equals, dragonflypass.Reason(""))
				s.WriteRouting([]string{fake.RelayKey})
				time.Sleep(3 * time.Second)

				s.Store.Restore(10 * time.Second)
				for round := range 40 {
					if round == 1 || round == 20 {
						s.Kill(round % nodes)
						s.StartNode(round % nodes)
					}
					for i := range s.Nodes {
						_, runs := sendWithKey(s, i, fmt.Sprintf("revoked-%d-%d", round, i), "revoked")
						c.Assert(runs, qt.Equals, 0, qt.Commentf("VM %d, round %d", i, round))
					}
					for i := range s.Nodes {
						reason, _ := sendWithKey(s, i, fmt.Sprintf("valid-%d-%d", round, i), fake.RelayKey)
						c.Assert(reason, qt.Equals, dragonflypass.Reason(""), qt.Commentf("VM %d, round %d", i, round))
					}
					time.Sleep(100 * time.Millisecond)
				}
				s.WriteRouting([]string{"next"})
				time.Sleep(3 * time.Second)
				for i := range s.Nodes {
					reason, _ := sendWithKey(s, i, fmt.Sprintf("next-%d", i), "next")
					c.Check(reason, qt.Equals, dragonflypass.Reason(""), qt.Commentf("VM %d", i))
				}
			})
		})
	}
}

// TestFleetFollowsRestoredStore restores the store twice within two seconds, the second time during an outage. Every VM must
// accept keys throughout, register itself again, and follow later changes, which have offsets that it has seen before.
func TestFleetFollowsRestoredStore(t *testing.T) {
	for _, nodes := range sizes(3, 20) {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			withRelaySite(t, nodes, 2, 1, func(c *qt.C, s *fake.RelaySite) {
				time.Sleep(20 * time.Second)
				for range 5 {
					s.Register(s.PlainServers[0], dragonflypass.ServerReady)
					s.WriteRouting([]string{fake.RelayKey})
					time.Sleep(time.Second)
				}
				calls := s.Store.Calls()
				for range 2 {
					s.Store.SetDown(true)
					s.Store.Restore(3 * time.Second)
					time.Sleep(300 * time.Millisecond)
					s.Store.SetDown(false)
					time.Sleep(time.Second)
				}
				for range 100 {
					time.Sleep(50 * time.Millisecond)
					for i, n := range s.Nodes {
						c.Assert(n.Router.AcceptsKeys(), qt.IsTrue, qt.Commentf("VM %d: %s", i, n.Router.Staleness()))
					}
				}
				c.Check(s.Store.Calls()-calls < 150+8*nodes, qt.IsTrue, qt.Commentf("%d calls", s.Store.Calls()-calls))
				s.Unregister(s.PlainServers[1])
				s.WriteRouting([]string{"next"})
				time.Sleep(4 * time.Second)
				for i, n := range s.Nodes {
					c.Check(n.Ready(), qt.IsTrue, qt.Commentf("VM %d: %s", i, n.Router.Staleness()))
					c.Check(n.Registrar.Len(), qt.Equals, 2)
					reason, _ := sendWithKey(s, i, fmt.Sprintf("next-%d", i), "next")
					c.Check(reason, qt.Equals, dragonflypass.Reason(""))
				}
			})
		})
	}
}

// TestVMsRegisterAgainAfterRestore restores the store from a copy from before the VMs were registered.
func TestVMsRegisterAgainAfterRestore(t *testing.T) {
	withRelaySite(t, 3, 1, 1, func(c *qt.C, s *fake.RelaySite) {
		s.Store.Restore(time.Hour)
		time.Sleep(5 * time.Second)
		vms, err := s.Store.VMs(s.Context)
		c.Check(err, qt.IsNil)
		c.Check(vms, qt.HasLen, 3)
	})
}

// TestServersMissingFromRestoredStoreStay restores the store from a copy from before a server was registered. Requests must go
// to it until it has written its entry again; another one that never does must be removed.
func TestServersMissingFromRestoredStoreStay(t *testing.T) {
	withRelaySite(t, 3, 2, 1, func(c *qt.C, s *fake.RelaySite) {
		s.Store.Restore(time.Hour)
		for round := range 12 {
			time.Sleep(100 * time.Millisecond)
			for i := range s.Nodes {
				reason, runs := sendWithKey(s, i, fmt.Sprintf("%d-%d", round, i), fake.RelayKey)
				c.Assert(reason, qt.Equals, dragonflypass.Reason(""), qt.Commentf("VM %d, round %d", i, round))
				c.Check(runs, qt.Equals, 1)
			}
		}
		s.Register(s.PlainServers[0], dragonflypass.ServerReady)
		time.Sleep(5 * time.Second)
		for i, n := range s.Nodes {
			_, kept := n.Registrar.Server(s.PlainServers[0].Entry.ID)
			_, removed := n.Registrar.Server(s.PlainServers[1].Entry.ID)
			c.Check(kept, qt.IsTrue, qt.Commentf("VM %d", i))
			c.Check(removed, qt.IsFalse, qt.Commentf("VM %d", i))
		}
	})
}

// TestOneVMReachesRestoredStore cuts all VMs but one off from the store before it is restored. The one that notices the restore
// must pass the restored topics on, and the others must not prove to it what they have read before.
func TestOneVMReachesRestoredStore(t *testing.T) {
	withRelaySite(t, 3, 2, 1, func(c *qt.C, s *fake.RelaySite) {
		time.Sleep(20 * time.Second)
		for range 5 {
			s.WriteRouting([]string{fake.RelayKey})
		}
		time.Sleep(time.Second)
		for _, n := range s.Nodes[1:] {
			n.StoreAccess.SetDisconnected(true)
		}
		s.Store.Restore(10 * time.Second)
		time.Sleep(3 * time.Second)
		s.WriteRouting([]string{"next"})
		time.Sleep(3 * time.Second)
		for i, n := range s.Nodes {
			c.Check(n.Ready(), qt.IsTrue, qt.Commentf("VM %d: %s", i, n.Router.Staleness()))
			reason, _ := sendWithKey(s, i, fmt.Sprintf("next-%d", i), "next")
			c.Check(reason, qt.Equals, dragonflypass.Reason(""), qt.Commentf("VM %d", i))
		}
	})
}
