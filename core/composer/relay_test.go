package composer_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// withRelays runs the test in virtual time on a running site of entry VMs that relay exchanges.
func withRelays(t *testing.T, nodes, plain, models int, test func(c *qt.C, s *fake.RelaySite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewRelaySite(t.Context(), nodes, plain, models)
		s.Start()
		test(qt.New(t), s)
	})
}

// sendAll sends the exchanges, each after its pause at the entry VMs in turn, and returns what their callers got.
func sendAll(s *fake.RelaySite, count int, pause time.Duration, build func(i int) *dragonflypass.Exchange) []*fake.ResponseRecorder {
	var all sync.WaitGroup
	got := make([]*fake.ResponseRecorder, count)
	for i := range count {
		e := build(i)
		all.Go(func() { got[i] = s.Send(i%len(s.Nodes), e) })
		time.Sleep(pause)
	}
	all.Wait()
	return got
}

// runs sums up how often the servers ran the request.
func ranAt(servers []*fake.Backend, id string) int {
	total := 0
	for _, b := range servers {
		total += b.Runs()[id]
	}
	return total
}

// checkReturned checks that no permit and no memory is held once all has ended.
func checkAllReturned(c *qt.C, s *fake.RelaySite) {
	c.Helper()
	time.Sleep(20 * time.Second)
	for i, n := range s.Nodes {
		rows, waiting := n.Allocator.State()
		c.Check(waiting, qt.Equals, 0)
		for _, row := range rows {
			c.Check(row.Streams+row.Reserved+row.Pending, qt.Equals, 0, qt.Commentf("VM %d %+v", i, row))
		}
	}
	for _, b := range s.Models {
		c.Check(b.Reserved(), qt.Equals, 0, qt.Commentf("%s", b.Entry.ID))
	}
}

func reason(err error) dragonflypass.Reason {
	refusal, ok := dragonflypass.AsRefusal(err)
	if !ok {
		return ""
	}
	return refusal.Reason
}

func TestRelayServesEachKindOfRoute(t *testing.T) {
	withRelays(t, 6, 4, 6, func(c *qt.C, s *fake.RelaySite) {
		for i := range s.Nodes {
			read := s.Send(i, fake.NewExchange(fmt.Sprintf("read-%d", i), "/read/x", 0))
			c.Check(read.Err, qt.IsNil)
			c.Check(read.Body, qt.Equals, "answer")
			write := s.Send(i, fake.NewExchange(fmt.Sprintf("write-%d", i), "/write/x", 0))
			c.Check(write.Err, qt.IsNil)
			for _, tokens := range []int{500, 20_000, 150_000} {
				id := fmt.Sprintf("stream-%d-%d", i, tokens)
				got := s.Send(i, fake.NewExchange(id, "/stream/x", tokens))
				c.Check(got.Complete(20), qt.IsTrue, qt.Commentf("%v %v", got.Events, got.Err))
				c.Check(ranAt(s.Models, id), qt.Equals, 1)
			}
		}
		checkAllReturned(c, s)
	})
}

func TestRelayRefusesWhatMayNotRun(t *testing.T) {
	withRelays(t, 2, 2, 2, func(c *qt.C, s *fake.RelaySite) {
		unknown := fake.NewExchange("unknown", "/none/x", 0)
		c.Check(reason(s.Send(0, unknown).Err), qt.Equals, dragonflypass.ReasonNotFound)
		wrong := fake.NewExchange("wrong", "/read/x", 0)
		wrong.Credential = "key-two"
		c.Check(reason(s.Send(0, wrong).Err), qt.Equals, dragonflypass.ReasonUnauthorized)
		none := fake.NewExchange("none", "/read/x", 0)
		none.Credential = ""
		c.Check(reason(s.Send(1, none).Err), qt.Equals, dragonflypass.ReasonUnauthorized)
		late := fake.NewExchange("late", "/stream/x", 500)
		late.Deadline = late.Arrived
		got := s.Send(1, late)
		c.Check(reason(got.Err), qt.Equals, dragonflypass.ReasonTimeout)
		for _, id := range []string{"unknown", "wrong", "none", "late"} {
			c.Check(ranAt(append(s.Plain, s.Models...), id), qt.Equals, 0, qt.Commentf("%s", id))
		}
	})
}

// TestRelayResumesStreams has servers die, fall silent and break off while they generate.
func TestRelayResumesStreams(t *testing.T) {
	for _, fault := range []fake.BackendFault{fake.BackendDown, fake.BackendSilent, fake.BackendCutting} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			withRelays(t, 3, 1, 4, func(c *qt.C, s *fake.RelaySite) {
				if fault == fake.BackendCutting {
					s.Models[0].SetFault(fault)
				} else {
					time.AfterFunc(300*time.Millisecond, func() { s.Models[0].SetFault(fault) })
				}
				got := sendAll(s, 24, 10*time.Millisecond, func(i int) *dragonflypass.Exchange {
					return fake.NewExchange(fmt.Sprintf("stream-%d", i), "/stream/x", 800)
				})
				for i, g := range got {
					c.Check(g.Complete(20), qt.IsTrue, qt.Commentf("%d %v %v", i, g.Events, g.Err))
				}
				s.Models[0].SetFault(fake.BackendHealthy)
				checkAllReturned(c, s)
			})
		})
	}
}

// TestRelaySendsOnceWhatMayRunOnce has the servers of requests that may run once fail in every way.
func TestRelaySendsOnceWhatMayRunOnce(t *testing.T) {
	for fault := fake.BackendHealthy; fault <= fake.BackendCutting; fault++ {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			withRelays(t, 2, 3, 3, func(c *qt.C, s *fake.RelaySite) {
				s.Plain[0].SetFault(fault)
				s.Models[0].SetFault(fault)
				got := sendAll(s, 40, 50*time.Millisecond, func(i int) *dragonflypass.Exchange {
					if i%2 == 0 {
						return fake.NewExchange(fmt.Sprintf("once-%d", i), "/write/x", 0)
					}
					return fake.NewExchange(fmt.Sprintf("once-%d", i), "/single/x", 600)
				})
				for i, g := range got {
					ran := ranAt(append(s.Plain, s.Models...), fmt.Sprintf("once-%d", i))
					c.Check(ran <= 1, qt.IsTrue, qt.Commentf("%d ran %d times", i, ran))
					refusal, refused := dragonflypass.AsRefusal(g.Err)
					if refused && refusal.Executed == dragonflypass.ExecutedNo {
						c.Check(ran, qt.Equals, 0, qt.Commentf("%d was said not to have run", i))
					}
					if g.Err == nil {
						c.Check(ran, qt.Equals, 1)
					}
				}
			})
		})
	}
}

// TestRelayRepeatsReads has one of the servers of repeatable requests fail in every way.
func TestRelayRepeatsReads(t *testing.T) {
	for fault := fake.BackendDown; fault <= fake.BackendUnsigned; fault++ {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			withRelays(t, 3, 4, 1, func(c *qt.C, s *fake.RelaySite) {
				s.Plain[0].SetFault(fault)
				got := sendAll(s, 120, 50*time.Millisecond, func(i int) *dragonflypass.Exchange {
					return fake.NewExchange(fmt.Sprintf("read-%d", i), "/read/x", 0)
				})
				for i, g := range got {
					c.Check(g.Err, qt.IsNil, qt.Commentf("%d", i))
					c.Check(g.Status, qt.Equals, 200, qt.Commentf("%d", i))
				}
			})
		})
	}
}

// TestRelayKeepsTheRetryBudget has all servers of a service fail: the repeats of all VMs stay within the budget.
func TestRelayKeepsTheRetryBudget(t *testing.T) {
	withRelays(t, 5, 4, 1, func(c *qt.C, s *fake.RelaySite) {
		for _, b := range s.Plain {
			b.SetFault(fake.BackendFailing)
		}
		const requests = 600
		sendAll(s, requests, 5*time.Millisecond, func(i int) *dragonflypass.Exchange {
			return fake.NewExchange(fmt.Sprintf("read-%d", i), "/read/x", 0)
		})
		total := 0
		for _, b := range s.Plain {
			for _, n := range b.Runs() {
				total += n
			}
		}
		c.Check(total-requests <= requests/10+50, qt.IsTrue, qt.Commentf("%d repeats", total-requests))
		c.Check(total > requests, qt.IsTrue)
	})
}

// TestRelayQuarantinesCrashingRequests sends a request that brings down each server which runs it through every VM.
func TestRelayQuarantinesCrashingRequests(t *testing.T) {
	withRelays(t, 4, 8, 1, func(c *qt.C, s *fake.RelaySite) {
		sendAll(s, 40, 700*time.Millisecond, func(i int) *dragonflypass.Exchange {
			e := fake.NewExchange("crash", "/read/x", 0)
			e.ID = fmt.Sprintf("crash-%d", i)
			e.Body = []byte(fake.CrashBody)
			return e
		})
		deaths := 0
		for _, b := range s.Plain {
			deaths += b.Deaths()
		}
		c.Check(deaths <= crashLimit+2, qt.IsTrue, qt.Commentf("%d servers lost", deaths))
		last := fake.NewExchange("crash", "/read/x", 0)
		last.Body = []byte(fake.CrashBody)
		c.Check(reason(s.Send(2, last).Err), qt.Equals, dragonflypass.ReasonQuarantined)
		c.Check(s.Send(1, fake.NewExchange("read", "/read/x", 0)).Err, qt.IsNil)
	})
}

// TestRelayStopsRevokedKeys takes a key away while some VMs cannot reach the store, and then while none can.
func TestRelayStopsRevokedKeys(t *testing.T) {
	withRelays(t, 4, 2, 1, func(c *qt.C, s *fake.RelaySite) {
		for i := range 3 {
			s.Nodes[i].View.SetCut(true)
		}
		time.Sleep(8 * time.Second)
		for i := range s.Nodes {
			got := s.Send(i, fake.NewExchange(fmt.Sprintf("kept-%d", i), "/read/x", 0))
			c.Check(got.Err, qt.IsNil, qt.Commentf("VM %d is vouched for by another", i))
		}
		s.Route([]string{"key-two"})
		time.Sleep(5 * time.Second)
		for i := range s.Nodes {
			got := s.Send(i, fake.NewExchange(fmt.Sprintf("revoked-%d", i), "/read/x", 0))
			c.Check(reason(got.Err), qt.Equals, dragonflypass.ReasonUnauthorized, qt.Commentf("VM %d", i))
		}
		s.Store.SetDown(true)
		time.Sleep(5 * time.Second)
		for i := range s.Nodes {
			e := fake.NewExchange(fmt.Sprintf("unproved-%d", i), "/read/x", 0)
			e.Credential = "key-two"
			c.Check(reason(s.Send(i, e).Err), qt.Equals, dragonflypass.ReasonNoRouting, qt.Commentf("VM %d", i))
			c.Check(s.Nodes[i].Ready(), qt.IsFalse)
		}
		s.Store.SetDown(false)
		time.Sleep(5 * time.Second)
		e := fake.NewExchange("proved", "/read/x", 0)
		e.Credential = "key-two"
		c.Check(s.Send(0, e).Err, qt.IsNil)
	})
}

// TestRelayAppliesRouting writes versions in a storm, with the changes forgotten meanwhile.
func TestRelayAppliesRouting(t *testing.T) {
	withRelays(t, 5, 2, 1, func(c *qt.C, s *fake.RelaySite) {
		for i := range 60 {
			s.Route([]string{fake.RelayKey}, &dragonflypass.RoutePolicy{
				Name: "new", Host: fake.RelayHost, Prefix: fmt.Sprintf("/new-%d/", i), Kind: dragonflypass.KindIdempotent, MaxAttempts: 1,
				Timeout: time.Second, LatencyObjective: 200 * time.Millisecond, Backends: []dragonflypass.WeightedService{{Service: fake.RelayPlain, Weight: 1}},
			})
			if i%7 == 0 {
				s.Store.Trim(dragonflypass.TopicRouting)
			}
			time.Sleep(40 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		for i := range s.Nodes {
			c.Check(s.Send(i, fake.NewExchange(fmt.Sprintf("new-%d", i), "/new-59/x", 0)).Err, qt.IsNil)
			c.Check(reason(s.Send(i, fake.NewExchange(fmt.Sprintf("old-%d", i), "/new-1/x", 0)).Err), qt.Equals, dragonflypass.ReasonNotFound)
		}
	})
}

// TestRelayFollowsTheRegistry drains, drops and lapses servers.
func TestRelayFollowsTheRegistry(t *testing.T) {
	withRelays(t, 3, 3, 3, func(c *qt.C, s *fake.RelaySite) {
		s.Register(s.Plain[0], dragonflypass.ServerDraining)
		s.Unregister(s.Plain[1])
		s.Register(s.Models[0], dragonflypass.ServerDraining)
		time.Sleep(2 * time.Second)
		got := sendAll(s, 30, 20*time.Millisecond, func(i int) *dragonflypass.Exchange {
			if i%2 == 0 {
				return fake.NewExchange(fmt.Sprintf("x-%d", i), "/read/x", 0)
			}
			return fake.NewExchange(fmt.Sprintf("x-%d", i), "/stream/x", 900)
		})
		for _, g := range got {
			c.Check(g.Err, qt.IsNil)
		}
		c.Check(len(s.Plain[0].Runs())+len(s.Plain[1].Runs())+len(s.Models[0].Runs()), qt.Equals, 0)

		// An entry that is missing when the store comes back lapsed in its absence, and its server keeps its work.
		s.Store.SetDown(true)
		time.Sleep(6 * time.Second)
		s.Unregister(s.Plain[2])
		s.Store.SetDown(false)
		time.Sleep(1500 * time.Millisecond)
		c.Check(s.Send(0, fake.NewExchange("lapsed", "/read/x", 0)).Err, qt.IsNil)
		time.Sleep(8 * time.Second)
		c.Check(reason(s.Send(0, fake.NewExchange("gone", "/read/x", 0)).Err), qt.Equals, dragonflypass.ReasonNoServer)
		s.Register(s.Plain[2], dragonflypass.ServerReady)
		time.Sleep(2 * time.Second)
		c.Check(s.Send(0, fake.NewExchange("back", "/read/x", 0)).Err, qt.IsNil)
	})
}

// TestRelayOutlivesTheOwner kills the VM that grants the permits while streams run, and has it come back.
func TestRelayOutlivesTheOwner(t *testing.T) {
	withRelays(t, 4, 1, 4, func(c *qt.C, s *fake.RelaySite) {
		owner := -1
		for i := range s.Nodes {
			if s.VM(i).ID == s.Nodes[0].Acquirer.Owner(fake.RelayModels).ID {
				owner = i
			}
		}
		others := []int{(owner + 1) % 4, (owner + 2) % 4, (owner + 3) % 4}
		var all sync.WaitGroup
		got := make([]*fake.ResponseRecorder, 40)
		for i := range got {
			if i == 15 {
				s.Kill(owner)
			}
			if i == 30 {
				s.StartNode(owner)
			}
			e := fake.NewExchange(fmt.Sprintf("stream-%d", i), "/stream/x", 2000)
			all.Go(func() { got[i] = s.Send(others[i%3], e) })
			time.Sleep(100 * time.Millisecond)
		}
		all.Wait()
		for i, g := range got {
			c.Check(g.Complete(20), qt.IsTrue, qt.Commentf("%d %v %v", i, g.Events, g.Err))
		}
		checkAllReturned(c, s)
	})
}

// TestRelayIsNotHeldUpByACut cuts the VMs of one zone off from the others: the news that prompts were processed, and
// released permits, reach the owner as before.
func TestRelayIsNotHeldUpByACut(t *testing.T) {
	withRelays(t, 6, 1, 6, func(c *qt.C, s *fake.RelaySite) {
		for i := range s.Nodes {
			for j := range s.Nodes {
				if i%3 != j%3 && (i%3 == 0 || j%3 == 0) {
					s.Network.Cut(s.VM(i).ID, s.VM(j).ID, true)
				}
			}
		}
		got := sendAll(s, 120, 20*time.Millisecond, func(i int) *dragonflypass.Exchange {
			return fake.NewExchange(fmt.Sprintf("stream-%d", i), "/stream/x", 2000)
		})
		for i, g := range got {
			c.Check(g.Complete(20), qt.IsTrue, qt.Commentf("%d %v %v", i, g.Events, g.Err))
		}
		checkAllReturned(c, s)
	})
}

// TestRelayLeaves has VMs leave in turn while requests wait and run: none is cut, and all are served.
func TestRelayLeaves(t *testing.T) {
	withRelays(t, 3, 1, 2, func(c *qt.C, s *fake.RelaySite) {
		s.Timeout = time.Minute
		s.Route([]string{fake.RelayKey})
		time.Sleep(2 * time.Second)
		var all sync.WaitGroup
		got := make([]*fake.ResponseRecorder, 40)
		for i := range got {
			e := fake.NewExchange(fmt.Sprintf("stream-%d", i), "/stream/x", 30_000)
			e.Deadline = e.Arrived.Add(s.Timeout)
			all.Go(func() { got[i] = s.Send(i%3, e) })
		}
		for i := range 2 {
			time.Sleep(time.Second)
			s.Nodes[i].Leave(s.Context)
		}
		all.Wait()
		for i, g := range got {
			c.Check(g.Complete(20), qt.IsTrue, qt.Commentf("%d %v %v", i, g.Events, g.Err))
		}
		checkAllReturned(c, s)
	})
}

// TestRelayBeginsWhatItCanEnd sends more prompts than can be processed in time: those that are begun end, and the
// others are told early enough that nothing ran.
func TestRelayBeginsWhatItCanEnd(t *testing.T) {
	withRelays(t, 3, 1, 2, func(c *qt.C, s *fake.RelaySite) {
		for _, b := range s.Models {
			b.First, b.Step = 900*time.Millisecond, time.Millisecond
		}
		got := sendAll(s, 40, time.Millisecond, func(i int) *dragonflypass.Exchange {
			return fake.NewExchange(fmt.Sprintf("stream-%d", i), "/stream/x", 30_000)
		})
		whole := 0
		for i, g := range got {
			if g.Complete(20) {
				whole++
				continue
			}
			refusal, refused := dragonflypass.AsRefusal(g.Err)
			c.Check(refused && refusal.Executed == dragonflypass.ExecutedNo, qt.IsTrue, qt.Commentf("%d %v %v", i, g.Events, g.Err))
		}
		c.Check(whole >= 10, qt.IsTrue, qt.Commentf("%d were whole", whole))
		checkAllReturned(c, s)
	})
}

// TestRelayUnderRandomFaults plays seeded mixes of faults of servers, links and the store, and checks what must hold
// under all of them.
func TestRelayUnderRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withRelays(t, 5, 4, 6, func(c *qt.C, s *fake.RelaySite) {
				random := rand.New(rand.NewPCG(seed, 7))
				stop := make(chan struct{})
				go disturb(s, random, stop)
				got := sendAll(s, 400, 25*time.Millisecond, func(i int) *dragonflypass.Exchange {
					id := fmt.Sprintf("x-%d", i)
					switch i % 4 {
					case 0:
						return fake.NewExchange(id, "/write/x", 0)
					case 1:
						return fake.NewExchange(id, "/read/x", 0)
					case 2:
						return fake.NewExchange(id, "/single/x", 1500)
					}
					return fake.NewExchange(id, "/stream/x", 100+i*100)
				})
				close(stop)
				served := 0
				for i, g := range got {
					id := fmt.Sprintf("x-%d", i)
					ran := ranAt(append(s.Plain, s.Models...), id)
					limit := 3
					if i%2 == 0 {
						limit = 1
					}
					c.Check(ran <= limit, qt.IsTrue, qt.Commentf("%s ran %d times", id, ran))
					if refusal, ok := dragonflypass.AsRefusal(g.Err); ok && refusal.Executed == dragonflypass.ExecutedNo {
						c.Check(ran, qt.Equals, 0, qt.Commentf("%s was said not to have run: %v", id, g.Err))
					}
					if g.Err == nil {
						served++
						c.Check(i%4 < 2 || g.Status != 200 || g.Complete(20), qt.IsTrue, qt.Commentf("%s %v", id, g.Events))
					}
				}
				c.Check(served > len(got)/2, qt.IsTrue, qt.Commentf("%d served", served))
				for _, b := range append(s.Plain, s.Models...) {
					b.SetFault(fake.BackendHealthy)
				}
				checkAllReturned(c, s)
			})
		})
	}
}

// disturb has faults come and go until stop is closed.
func disturb(s *fake.RelaySite, random *rand.Rand, stop <-chan struct{}) {
	servers := append(append([]*fake.Backend{}, s.Plain...), s.Models...)
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+random.IntN(600)) * time.Millisecond):
		}
		switch random.IntN(5) {
		case 0, 1:
			servers[random.IntN(len(servers))].SetFault(fake.BackendFault(random.IntN(int(fake.BackendCutting) + 1)))
		case 2:
			servers[random.IntN(len(servers))].SetFault(fake.BackendHealthy)
		case 3:
			a, b := random.IntN(len(s.Nodes)), random.IntN(len(s.Nodes))
			s.Network.Cut(s.VM(a).ID, s.VM(b).ID, random.IntN(2) == 0)
		case 4:
			s.Store.SetDown(random.IntN(4) == 0)
		}
	}
}

// TestRelayWaitsOnItsLastAttempt has a server stand still for longer than a stream's patience where no other may be tried.
func TestRelayWaitsOnItsLastAttempt(t *testing.T) {
	withRelays(t, 2, 1, 1, func(c *qt.C, s *fake.RelaySite) {
		for i, wait := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond} {
			time.AfterFunc(wait, func() { s.Models[0].SetFault(fake.BackendSilent) })
			time.AfterFunc(wait+4*time.Second, func() { s.Models[0].SetFault(fake.BackendHealthy) })
			id := fmt.Sprintf("single-%d", i)
			got := s.Send(0, fake.NewExchange(id, "/single/x", 500))
			c.Check(got.Complete(20), qt.IsTrue, qt.Commentf("%v %v", got.Events, got.Err))
			c.Check(ranAt(s.Models, id), qt.Equals, 1)
			time.Sleep(5 * time.Second)
		}
		checkAllReturned(c, s)
	})
}
