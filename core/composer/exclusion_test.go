package composer_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/excluder"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

var leavingNotice = dragonflypass.ServerNotice{Leaving: true}

// sendMixed sends plain requests and prompts through all VMs, checks that all succeed, and returns how many requests the
// server ran meanwhile. The prompts are more than two servers can process, so that some are refused as busy; like the
// platform's callers, it sends these once more when they have been told to return.
func sendMixed(c *qt.C, s *fake.RelaySite, name string, server *fake.Backend) int {
	before := len(server.Runs())
	exchange := func(i int) *dragonflypass.Exchange {
		if i%2 == 0 {
			return fake.NewExchange(fmt.Sprintf("%s-%d", name, i), "/read/x", 0)
		}
		return fake.NewExchange(fmt.Sprintf("%s-%d", name, i), "/stream/x", []int{500, 20_000}[i/2%2])
	}
	got := sendAll(s, 36, 30*time.Millisecond, exchange)
	for i, g := range got {
		refusal, refused := dragonflypass.AsRefusal(g.Err)
		if refused && refusal.Reason == dragonflypass.ReasonBusy && refusal.Executed == dragonflypass.ExecutedNo && refusal.RetryAfter > 0 {
			time.Sleep(refusal.RetryAfter)
			g = s.Send(i%len(s.Nodes), exchange(i))
		}
		c.Check(g.Err, qt.IsNil, qt.Commentf("%s %d", name, i))
	}
	return len(server.Runs()) - before
}

// TestLeavingServersGetNoNewRequests lets a plain server and a model server say that they leave while the registry still
// lists them as ready, and then start again under the same identifiers.
func TestLeavingServersGetNoNewRequests(t *testing.T) {
	for _, index := range []int{0, 1} {
		t.Run(fmt.Sprint(index), func(t *testing.T) {
			withRelaySite(t, 3, 3, 3, func(c *qt.C, s *fake.RelaySite) {
				server := []*fake.Backend{s.PlainServers[0], s.ModelServers[0]}[index]
				c.Check(sendMixed(c, s, "before", server) > 0, qt.IsTrue)
				server.SetNotice(leavingNotice)
				told := sendMixed(c, s, "told", server)
				c.Check(told > 0 && told <= 2*len(s.Nodes), qt.IsTrue, qt.Commentf("%d requests", told))
				c.Check(sendMixed(c, s, "leaving", server), qt.Equals, 0)
				s.Register(server, dragonflypass.ServerDraining)
				time.Sleep(5 * time.Second)
				server.SetNotice(dragonflypass.ServerNotice{})
				server.Entry.StartedAt++
				s.Register(server, dragonflypass.ServerReady)
				time.Sleep(5 * time.Second)
				c.Check(sendMixed(c, s, "restarted", server) > 0, qt.IsTrue)
				checkNothingReserved(c, s)
			})
		})
	}
}

// TestOnlyServerLeaves checks that requests are refused, not sent, if the only server of a service leaves.
func TestOnlyServerLeaves(t *testing.T) {
	withRelaySite(t, 2, 1, 1, func(c *qt.C, s *fake.RelaySite) {
		servers := []*fake.Backend{s.PlainServers[0], s.ModelServers[0]}
		for i, path := range []string{"/write/x", "/single/x"} {
			servers[i].SetNotice(leavingNotice)
			for node := range s.Nodes {
				s.Send(node, fake.NewExchange(fmt.Sprintf("told-%d", node), path, 500*i))
				got := s.Send(node, fake.NewExchange("late", path, 500*i))
				c.Assert(refusalReason(got.Err), qt.Equals, dragonflypass.ReasonNoServer, qt.Commentf("%s %d", path, node))
				refusal, _ := dragonflypass.AsRefusal(got.Err)
				c.Check(refusal.RetryAfter > 0, qt.IsTrue)
			}
			c.Check(executionCount(servers, "late"), qt.Equals, 0)
		}
		checkNothingReserved(c, s)
	})
}

// TestPermitOfLeavingServerIsReturned lets a server say that it leaves while another VM decides on a permit for it.
func TestPermitOfLeavingServerIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := fake.NewRelaySite(t.Context(), 2, 1, 1)
		s.Network.Latency = 10 * time.Millisecond
		s.Start()
		// Only after this time may the VMs take over from each other.
		time.Sleep(5 * time.Second)
		shard := dragonflypass.Shard{Service: fake.RelayModelService}
		entry := 0
		if s.Nodes[0].Acquirer.Owner(shard).ID == s.VM(0).ID {
			entry = 1
		}
		server := s.ModelServers[0]
		time.AfterFunc(s.Network.Latency, func() {
			s.Nodes[entry].Excluder.Record(excluder.InstanceOf(server.Entry), leavingNotice)
		})
		got := s.Send(entry, fake.NewExchange("late", "/single/x", 500))
		c.Check(refusalReason(got.Err), qt.Equals, dragonflypass.ReasonNoServer)
		c.Check(server.Runs(), qt.HasLen, 0)
		c.Check(s.Nodes[entry].Meter.Count(dragonflypass.CountPermitReturned), qt.Equals, int64(1))
		time.Sleep(time.Second)
		c.Check(s.Nodes[1-entry].Excluder.Leaving(server.Entry.ID, server.Entry.Address), qt.IsTrue, qt.Commentf("the owner must learn it"))
		checkNothingReserved(c, s)
	})
}

// TestReservationsAtLeavingServers checks that the reservations of a running stream are renewed at helpers that leave,
// and that no new ones are made there.
func TestReservationsAtLeavingServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := fake.NewRelaySite(t.Context(), 1, 1, 6)
		s.Timeout = 40 * time.Second
		for _, b := range s.ModelServers {
			b.Events = 200
		}
		s.Start()
		send := func(id string) *fake.ResponseRecorder {
			// The memory of one server does not suffice for the prompt.
			e := fake.NewExchange(id, "/stream/x", 450_000)
			e.Deadline = e.Arrived.Add(s.Timeout)
			return s.Send(0, e)
		}
		done := make(chan *fake.ResponseRecorder)
		go func() { done <- send("running") }()
		time.Sleep(3 * time.Second)
		index := slices.IndexFunc(s.ModelServers, func(b *fake.Backend) bool { return b.Reserved() > 0 })
		c.Assert(index >= 0, qt.IsTrue)
		helper := s.ModelServers[index]
		helper.SetNotice(leavingNotice)
		before := helper.ReservationCalls()
		time.Sleep(4 * time.Second)
		c.Check(helper.ReservationCalls() > before+1, qt.IsTrue, qt.Commentf("renewals must go on"))
		got := <-done
		c.Check(got.Complete(200), qt.IsTrue, qt.Commentf("%v", got.Err))
		time.Sleep(time.Second)
		before = helper.ReservationCalls()
		got = send("new")
		c.Check(got.Complete(200), qt.IsTrue, qt.Commentf("%v", got.Err))
		c.Check(helper.ReservationCalls(), qt.Equals, before)
		c.Check(helper.Runs()["new"], qt.Equals, 0)
		checkNothingReserved(c, s)
	})
}

// TestLeavingServerAtNewAddress checks whose requests a notice keeps away when identifiers and addresses are used again.
func TestLeavingServerAtNewAddress(t *testing.T) {
	withRelaySite(t, 1, 2, 1, func(c *qt.C, s *fake.RelaySite) {
		x := s.Nodes[0].Excluder
		entry := s.PlainServers[0].Entry
		oldAddress := entry.Address
		before := x.Instance(entry.ID, oldAddress)
		x.Record(before, leavingNotice)
		c.Check(x.ExcludedServers(entry.Service), qt.DeepEquals, []dragonflypass.ServerID{entry.ID})
		c.Check(x.Leaving("other", oldAddress), qt.IsFalse)

		s.PlainServers[0].Entry.Address = netip.MustParseAddrPort("127.0.0.8:80")
		s.Register(s.PlainServers[0], dragonflypass.ServerReady)
		time.Sleep(3 * time.Second)
		c.Check(x.Leaving(entry.ID, s.PlainServers[0].Entry.Address), qt.IsFalse)
		c.Check(x.Leaving(entry.ID, oldAddress), qt.IsTrue)
		c.Check(x.ExcludedServers(entry.Service), qt.HasLen, 0)
		// A response of the earlier run arrives late.
		x.Record(before, leavingNotice)
		c.Check(x.Excluded(entry.ID, s.PlainServers[0].Entry.Address), qt.IsFalse)
		time.Sleep(2 * time.Minute)
		c.Check(x.State(), qt.HasLen, 0)
	})
}

// TestDeferringServersGetNoRequests has a plain server and a model server refuse requests for a time that they state, and
// serve them again before that time has passed.
func TestDeferringServersGetNoRequests(t *testing.T) {
	const span = 40 * time.Second
	for _, index := range []int{0, 1} {
		t.Run(fmt.Sprint(index), func(t *testing.T) {
			withRelaySite(t, 3, 3, 3, func(c *qt.C, s *fake.RelaySite) {
				server := []*fake.Backend{s.PlainServers[0], s.ModelServers[0]}[index]
				server.SetNotice(dragonflypass.ServerNotice{RetryAfter: span})
				server.SetFault(fake.BackendRefusing)
				start := time.Now()
				sendMixed(c, s, "told", server)
				refusals := server.Refusals()
				c.Check(refusals > 0 && refusals <= 2*len(s.Nodes), qt.IsTrue, qt.Commentf("%d requests", refusals))
				server.SetNotice(dragonflypass.ServerNotice{})
				server.SetFault(fake.BackendHealthy)
				c.Check(sendMixed(c, s, "deferred", server), qt.Equals, 0)
				c.Assert(time.Since(start) < span, qt.IsTrue)
				time.Sleep(span)
				c.Check(sendMixed(c, s, "over", server) > 0, qt.IsTrue)
				checkNothingReserved(c, s)
				c.Check(s.Nodes[0].Excluder.State(), qt.HasLen, 0)
			})
		})
	}
}

// TestOnlyServerDefersRequests checks that callers are told when the only server wants requests again.
func TestOnlyServerDefersRequests(t *testing.T) {
	withRelaySite(t, 1, 1, 1, func(c *qt.C, s *fake.RelaySite) {
		for i, path := range []string{"/write/x", "/single/x"} {
			server := []*fake.Backend{s.PlainServers[0], s.ModelServers[0]}[i]
			server.SetFault(fake.BackendRefusing)
			server.SetNotice(dragonflypass.ServerNotice{RetryAfter: 5 * time.Second})
			for _, want := range []time.Duration{5 * time.Second, 4 * time.Second} {
				refusal, _ := dragonflypass.AsRefusal(s.Send(0, fake.NewExchange("deferred", path, 500*i)).Err)
				c.Assert(refusal, qt.IsNotNil)
				c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo)
				c.Check((refusal.RetryAfter-want).Abs() < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%s", refusal.RetryAfter))
				time.Sleep(time.Second)
			}
			c.Check(server.Refusals(), qt.Equals, 1)
		}
	})
}

// TestLatestEndOfDeferralCounts records several times for which a server wants no requests.
func TestLatestEndOfDeferralCounts(t *testing.T) {
	withRelaySite(t, 1, 1, 1, func(c *qt.C, s *fake.RelaySite) {
		x, entry := s.Nodes[0].Excluder, s.PlainServers[0].Entry
		for _, wait := range []time.Duration{time.Second, 4 * time.Second, 2 * time.Second} {
			x.Record(excluder.InstanceOf(entry), dragonflypass.ServerNotice{RetryAfter: wait})
		}
		time.Sleep(3900 * time.Millisecond)
		c.Check(x.Excluded(entry.ID, entry.Address), qt.IsTrue)
		time.Sleep(200 * time.Millisecond)
		c.Check(x.Excluded(entry.ID, entry.Address), qt.IsFalse)
	})
}
