package composer_test

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// TestRelayFreesMemoryOfDarkServer has the server of a prompt that is larger than one server stop without a trace, while
// no other server may be tried. The memory at its helpers must be free four seconds later, and not only at the deadline.
func TestRelayFreesMemoryOfDarkServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := fake.NewRelaySite(t.Context(), 3, 1, 6)
		s.Timeout = 40 * time.Second
		for _, b := range s.ModelServers {
			b.TimeToFirstChunk = 20 * time.Second
		}
		s.Start()
		reserved := func() (total int) {
			for _, b := range s.ModelServers {
				total += b.Reserved()
			}
			return total
		}
		e := fake.NewExchange("large", "/single/x", 450_000)
		e.Deadline = e.Arrived.Add(s.Timeout)
		go s.Send(0, e)
		time.Sleep(2 * time.Second)
		c.Assert(reserved() > 0, qt.IsTrue)
		for _, b := range s.ModelServers {
			if b.Running() > 0 {
				b.SetFault(fake.BackendDark)
			}
		}
		time.Sleep(4 * time.Second)
		c.Check(reserved(), qt.Equals, 0)
	})
}

// TestRelayFreesMemoryThatHangingServerNeverUses sends a prompt that is larger than one server to a server that accepts it
// and never begins it. The memory at its helpers must be free within five seconds, and another server must serve the prompt
// if it may be tried.
func TestRelayFreesMemoryThatHangingServerNeverUses(t *testing.T) {
	for _, test := range []struct {
		path     string
		complete bool
	}{{path: "/stream/x", complete: true}, {path: "/single/x"}} {
		t.Run(test.path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := fake.NewRelaySite(t.Context(), 3, 1, 6)
				s.Timeout, s.Objective = 40*time.Second, 20*time.Second
				s.Start()
				for _, b := range s.ModelServers {
					b.SetFault(fake.BackendSilent)
				}
				e := fake.NewExchange("large", test.path, 450_000)
				e.Deadline = e.Arrived.Add(s.Timeout)
				answer := make(chan *fake.ResponseRecorder, 1)
				go func() { answer <- s.Send(0, e) }()
				time.Sleep(2 * time.Second)
				var reserving []*fake.Backend
				for _, b := range s.ModelServers {
					if b.Running() == 0 {
						b.SetFault(fake.BackendHealthy)
					}
					if b.Reserved() > 0 {
						reserving = append(reserving, b)
					}
				}
				c.Assert(len(reserving) > 0, qt.IsTrue)
				time.Sleep(3 * time.Second)
				for _, b := range reserving {
					c.Check(b.Reserved(), qt.Equals, 0, qt.Commentf("%s", b.Entry.ID))
				}
				c.Check((<-answer).Complete(20), qt.Equals, test.complete)
			})
		})
	}
}

// TestRelayWaitsLongForOwnerInLargeFleet has each VM of a large fleet send a prompt, which together do not fit into the only
// server. The last ones are queued for longer than the owner keeps the requests of a VM that has failed, and must stay queued.
func TestRelayWaitsLongForOwnerInLargeFleet(t *testing.T) {
	withRelaySite(t, 24, 1, 1, func(c *qt.C, s *fake.RelaySite) {
		s.ModelServers[0].TimeToFirstChunk = 8 * time.Second
		var answers sync.WaitGroup
		for i := range s.Nodes {
			answers.Go(func() {
				e := fake.NewExchange(strconv.Itoa(i), "/single/x", 40_000)
				got := s.Send(i, e)
				c.Check(refusalReason(got.Err), qt.Not(qt.Equals), dragonflypass.ReasonCancelled, qt.Commentf("VM %d: %v", i, got.Err))
			})
		}
		answers.Wait()
		checkNothingReserved(c, s)
	})
}

// TestRelayWaitsForRoutingAfterStart sends requests to a VM at the moment of its start. They must wait until it has read
// the route table and the registry, and not be refused.
func TestRelayWaitsForRoutingAfterStart(t *testing.T) {
	withRelaySite(t, 3, 2, 2, func(c *qt.C, s *fake.RelaySite) {
		s.Kill(0)
		s.StartNode(0)
		c.Check(s.Send(0, fake.NewExchange("read", "/read/x", 0)).Err, qt.IsNil)
		s.Kill(0)
		s.StartNode(0)
		c.Check(s.Send(0, fake.NewExchange("stream", "/stream/x", 900)).Err, qt.IsNil)
	})
}

// TestRequestWithoutModelServer removes the only model server; the owner then asks for the state of the registry while it
// holds its lock.
func TestRequestWithoutModelServer(t *testing.T) {
	withRelaySite(t, 2, 1, 1, func(c *qt.C, s *fake.RelaySite) {
		s.Unregister(s.ModelServers[0])
		time.Sleep(5 * time.Second)
		for i := range s.Nodes {
			got := s.Send(i, fake.NewExchange(fmt.Sprintf("none-%d", i), "/stream/x", 500))
			c.Check(refusalReason(got.Err), qt.Equals, dragonflypass.ReasonNoServer)
		}
	})
}
