package composer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// evacuationBound is the time within which the VMs must have stopped to send requests to an evacuated zone.
const evacuationBound = time.Second

// received returns the number of requests that the servers of the zones have received.
func received(s *fake.RelaySite, zones ...dragonflypass.AvailabilityZone) (count int) {
	for _, b := range slices.Concat(s.PlainServers, s.ModelServers) {
		for _, runs := range b.Runs() {
			if slices.Contains(zones, b.Entry.Zone) {
				count += runs
			}
		}
	}
	return count
}

// checkNoneReceived checks that the zones receive nothing for the duration.
func checkNoneReceived(c *qt.C, s *fake.RelaySite, duration time.Duration, zones ...dragonflypass.AvailabilityZone) {
	c.Helper()
	before := received(s, zones...)
	time.Sleep(duration)
	c.Check(received(s, zones...)-before, qt.Equals, 0)
}

// mixedExchange returns plain requests, short prompts and prompts that are divided, in turn.
func mixedExchange(name string, i int) *dragonflypass.Exchange {
	path := []string{"/read/x", "/write/x", "/single/x", "/stream/x"}[i%4]
	return fake.NewExchange(fmt.Sprintf("%s-%d", name, i), path, []int{0, 0, 500, []int{500, 700, 900, 20_000, 500, 700, 900, 60_000}[i/4%8]}[i%4])
}

// load sends mixed requests through the VMs with the given indexes until stop is called, which waits for their ends and
// checks that all were answered.
func load(c *qt.C, s *fake.RelaySite, name string, nodes ...int) (stop func()) {
	done, results, count := make(chan struct{}), make(chan error, 10_000), make(chan int)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				count <- i
				return
			case <-time.After(30 * time.Millisecond):
				e := mixedExchange(name, i)
				go func() { results <- s.Send(nodes[i%len(nodes)], e).Err }()
			}
		}
	}()
	return func() {
		c.Helper()
		close(done)
		for range <-count {
			c.Check(<-results, qt.IsNil, qt.Commentf("%s", name))
		}
	}
}

// TestEvacuatedZonesReceiveNothing evacuates one zone and two zones under load, for a service with a single shard and one with
// a shard for each zone. All requests must be answered, the running ones included, and a revoked zone is used again.
func TestEvacuatedZonesReceiveNothing(t *testing.T) {
	for _, modelServers := range sizes(9, 45) {
		for _, zones := range [][]dragonflypass.AvailabilityZone{{"a"}, {"a", "c"}} {
			withRelaySite(t, 6, 6, modelServers, func(c *qt.C, s *fake.RelaySite) {
				stop := load(c, s, "load", 0, 1, 2, 3, 4, 5)
				time.Sleep(2 * time.Second)
				for _, zone := range zones {
					s.Evacuate(zone)
				}
				time.Sleep(evacuationBound)
				returned := s.Nodes[0].Meter.Count(dragonflypass.CountPermitEvacuated)
				checkNoneReceived(c, s, 5*time.Second, zones...)
				c.Check(s.Nodes[0].Meter.Count(dragonflypass.CountPermitEvacuated), qt.Equals, returned, qt.Commentf("owners must grant none there"))
				c.Check(s.Nodes[0].State().EvacuatedZones, qt.HasLen, len(zones))
				c.Check(s.Nodes[0].Assessor.FailingServers(), qt.HasLen, 0, qt.Commentf("an evacuated server has not failed"))
				before := received(s, zones...)
				for _, zone := range zones {
					s.Revoke(zone)
				}
				time.Sleep(2 * time.Second)
				c.Check(received(s, zones...) > before, qt.IsTrue, qt.Commentf("a revoked zone must be used again"))
				stop()
				checkNothingReserved(c, s)
			})
		}
	}
}

// TestEvacuationOutlastsStoreOutage checks that an evacuation stays in force while the store is unavailable, and when the VMs
// read the complete topic afterwards; its removal counts even if that is no longer in the log.
func TestEvacuationOutlastsStoreOutage(t *testing.T) {
	withRelaySite(t, 4, 3, 6, func(c *qt.C, s *fake.RelaySite) {
		stop := load(c, s, "load", 0, 1, 2, 3)
		s.Evacuate("b")
		time.Sleep(evacuationBound)
		for _, change := range []func(){func() { s.WriteRouting([]string{fake.RelayKey}) }, func() { s.Revoke("b") }} {
			s.Store.SetDown(true)
			checkNoneReceived(c, s, 3*time.Second, "b")
			change()
			s.Store.Trim(dragonflypass.TopicRouting)
			s.Store.SetDown(false)
			time.Sleep(2 * time.Second)
		}
		before := received(s, "b")
		time.Sleep(2 * time.Second)
		c.Check(received(s, "b") > before, qt.IsTrue)
		stop()
	})
}

// TestEvacuationBesidePartition evacuates one zone while the VMs of another are cut off from the store and the other VMs. The
// VMs that are in touch must send nothing to the evacuated zone, and the others once they are in touch again.
func TestEvacuationBesidePartition(t *testing.T) {
	withRelaySite(t, 6, 6, 45, func(c *qt.C, s *fake.RelaySite) {
		setPartitioned := func(partitioned bool) {
			for _, i := range []int{1, 4} {
				s.Nodes[i].StoreAccess.SetDisconnected(partitioned)
				for _, other := range []int{0, 2, 3, 5} {
					s.Network.SetDisconnected(s.VM(i).ID, s.VM(other).ID, partitioned)
				}
			}
		}
		setPartitioned(true)
		stop := load(c, s, "cut", 0, 2, 3, 5)
		s.Evacuate("a")
		time.Sleep(evacuationBound)
		checkNoneReceived(c, s, 5*time.Second, "a")
		stop()
		setPartitioned(false)
		time.Sleep(4 * time.Second)
		stop = load(c, s, "joined", 0, 1, 2, 3, 4, 5)
		checkNoneReceived(c, s, 3*time.Second, "a")
		stop()
	})
}

// TestAllZonesEvacuated checks that requests are refused, not run, while no zone takes new work, and that running streams end.
func TestAllZonesEvacuated(t *testing.T) {
	for _, modelServers := range []int{6, 45} {
		withRelaySite(t, 3, 3, modelServers, func(c *qt.C, s *fake.RelaySite) {
			running := make(chan *fake.ResponseRecorder)
			go func() { running <- s.Send(0, fake.NewExchange("running", "/stream/x", 500)) }()
			time.Sleep(200 * time.Millisecond)
			zones := []dragonflypass.AvailabilityZone{"a", "b", "c"}
			for _, zone := range zones {
				s.Evacuate(zone)
			}
			c.Check((<-running).Complete(20), qt.IsTrue)
			time.Sleep(evacuationBound)
			before := received(s, zones...)
			for i := range 12 {
				refusal, ok := dragonflypass.AsRefusal(s.Send(i%3, mixedExchange("none", i)).Err)
				c.Assert(ok && refusal.RetryAfter > 0, qt.IsTrue, qt.Commentf("%d", i))
				c.Check(refusal.Reason, qt.Equals, dragonflypass.ReasonNoServer)
				c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo)
			}
			c.Check(received(s, zones...), qt.Equals, before)
			checkNothingReserved(c, s)
		})
	}
}

// TestRestartedVMKnowsEvacuation sends requests to a VM from the moment of its start. None of them may reach the evacuated zone.
func TestRestartedVMKnowsEvacuation(t *testing.T) {
	withRelaySite(t, 3, 3, 6, func(c *qt.C, s *fake.RelaySite) {
		s.Kill(0)
		s.Evacuate("a")
		time.Sleep(evacuationBound)
		before, answered := received(s, "a"), 0
		s.StartNode(0)
		for i := range 200 {
			if s.Send(0, mixedExchange("start", i)).Err == nil {
				answered++
			}
			time.Sleep(5 * time.Millisecond)
		}
		c.Check(answered > 100, qt.IsTrue, qt.Commentf("%d", answered))
		c.Check(received(s, "a"), qt.Equals, before)
	})
}

// TestPermitOfUninformedOwnerIsReturned has an owner that has not learnt of the evacuation grant permits for the zone, with
// servers that the requesting VM knows and with some that it does not know.
func TestPermitOfUninformedOwnerIsReturned(t *testing.T) {
	for _, registered := range []bool{true, false} {
		withRelaySite(t, 2, 1, 6, func(c *qt.C, s *fake.RelaySite) {
			time.Sleep(5 * time.Second)
			entry := 0
			if s.Nodes[0].Acquirer.Owner(dragonflypass.Shard{Service: fake.RelayModelService}).ID == s.VM(0).ID {
				entry = 1
			}
			n := s.Nodes[entry]
			n.Evacuator.ApplyUpdates([]dragonflypass.Update{{Key: "k", EvacuatedZone: "b"}})
			for _, b := range s.ModelServers {
				if !registered && b.Entry.Zone == "b" {
					n.Registrar.ApplyUpdates([]dragonflypass.Update{{Key: string(b.Entry.ID)}})
				}
			}
			before := received(s, "b")
			for i := range 12 {
				got := s.Send(entry, fake.NewExchange(fmt.Sprintf("late-%d", i), []string{"/single/x", "/stream/x"}[i%2], []int{500, 60_000}[i/2%2]))
				c.Check(got.Complete(20), qt.IsTrue, qt.Commentf("%v", got.Err))
			}
			c.Check(received(s, "b"), qt.Equals, before)
			c.Check(n.Meter.Count(dragonflypass.CountPermitEvacuated) > 0, qt.IsTrue)
			c.Check(n.Meter.Count(dragonflypass.CountPermitReturned), qt.Equals, n.Meter.Count(dragonflypass.CountPermitEvacuated))
			c.Check(n.Meter.Count(dragonflypass.CountRetried), qt.Equals, int64(0))
			c.Check(s.Nodes[1-entry].Assessor.FailingServers(), qt.HasLen, 0)
			checkNothingReserved(c, s)
		})
	}
}

// TestEvacuationDuringReservation evacuates the zone of a prompt's server while memory at its helpers is being reserved. The
// prompt, whose route allows a single attempt, must be run by other servers, and the memory be freed.
func TestEvacuationDuringReservation(t *testing.T) {
	withRelaySite(t, 1, 1, 12, func(c *qt.C, s *fake.RelaySite) {
		s.Backends.Latency = 30 * time.Millisecond
		n, done := s.Nodes[0], make(chan *fake.ResponseRecorder)
		go func() { done <- s.Send(0, fake.NewExchange("reserving", "/single/x", 410_000)) }()
		var zone dragonflypass.AvailabilityZone
		for zone == "" {
			time.Sleep(time.Millisecond)
			states, _ := n.Allocator.State()
			for _, state := range states {
				if state.Streams > 0 {
					entry, _ := n.Registrar.Server(state.Server)
					zone = entry.Zone
				}
			}
		}
		n.Evacuator.ApplyUpdates([]dragonflypass.Update{{Key: "k", EvacuatedZone: zone}})
		got := <-done
		c.Check(got.Complete(20), qt.IsTrue, qt.Commentf("%v", got.Err))
		c.Check(received(s, zone), qt.Equals, 0)
		c.Check(n.Meter.Count(dragonflypass.CountPermitEvacuated), qt.Equals, int64(1))
		c.Check(n.Assessor.FailingServers(), qt.HasLen, 0)
		checkNothingReserved(c, s)
	})
}

// TestLargeFleetLearnsOfEvacuation evacuates a zone of a fleet whose VMs learn of changes through hubs.
func TestLargeFleetLearnsOfEvacuation(t *testing.T) {
	withRelaySite(t, 30, 2, 4, func(c *qt.C, s *fake.RelaySite) {
		for i, change := range []func(dragonflypass.AvailabilityZone){s.Evacuate, s.Revoke} {
			change("c")
			time.Sleep(evacuationBound)
			for node, n := range s.Nodes {
				c.Check(n.Evacuator.Evacuated("c"), qt.Equals, i == 0, qt.Commentf("VM %d", node))
			}
		}
	})
}
