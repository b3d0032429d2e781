package composer_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

const (
	// serverDowntime is how long a crashed server is down.
	serverDowntime = 3 * time.Second
	// containmentTime is the time after the fifth crash from which requests with the part may reach no more servers, but for
	// lateArrivals of them.
	containmentTime = 3 * time.Second
	lateArrivals    = 3
)

// crashRecorder restarts servers that have crashed, and records the crashes.
type crashRecorder struct {
	site  *fake.RelaySite
	mutex sync.Mutex
	times []time.Time
}

// watch restarts each server serverDowntime after a request has crashed it.
func watch(s *fake.RelaySite) *crashRecorder {
	r := &crashRecorder{site: s}
	for _, b := range slices.Concat(s.ModelServers, s.PlainServers) {
		b.Crashed = r.record
	}
	return r
}

func (r *crashRecorder) record(b *fake.Backend) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.times = append(r.times, time.Now())
	time.AfterFunc(serverDowntime, func() {
		b.Entry.StartedAt++
		b.SetFault(fake.BackendHealthy)
		r.site.Register(b, dragonflypass.ServerReady)
	})
}

// crashTimes returns the times of the crashes in order.
func (r *crashRecorder) crashTimes() []time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.times)
}

// newPartExchange returns a request with a short prompt that shares the parts with others.
func newPartExchange(id string, parts ...dragonflypass.SharedPart) *dragonflypass.Exchange {
	e := fake.NewExchange(id, "/stream/x", 500)
	slices.Sort(parts)
	e.SharedParts = parts
	return e
}

// trafficResult is a request of mixed traffic, with the time at which it was sent and its response.
type trafficResult struct {
	crashing bool
	sentAt   time.Time
	id       string
	response *fake.ResponseRecorder
}

// sendMixedTraffic sends requests through the VMs in turn for the duration. Every twentieth has the part that crashes servers
// beside the part that most sound requests have; its caller sends it once more if it fails.
func sendMixedTraffic(s *fake.RelaySite, duration time.Duration) []trafficResult {
	const interval, crashInterval, sharedParts = 28 * time.Millisecond, 20, 12
	var wg sync.WaitGroup
	var mutex sync.Mutex
	var results []trafficResult
	send := func(node int, crashing bool, e *dragonflypass.Exchange) *fake.ResponseRecorder {
		result := trafficResult{crashing: crashing, sentAt: time.Now(), id: e.ID}
		result.response = s.Send(node, e)
		mutex.Lock()
		defer mutex.Unlock()
		results = append(results, result)
		return result.response
	}
	start := time.Now()
	for i := 0; time.Since(start) < duration; i++ {
		node := i % len(s.Nodes)
		wg.Go(func() {
			if i%crashInterval != 0 {
				shared := dragonflypass.SharedPart(fmt.Sprintf("shared-%d", i%sharedParts/2))
				send(node, false, newPartExchange(fmt.Sprintf("sound-%d", i), shared))
				return
			}
			id := fmt.Sprintf("crashing-%d", i)
			if send(node, true, newPartExchange(id, fake.CrashPart, "shared-0")).Err != nil {
				retry := newPartExchange(id, fake.CrashPart, "shared-0")
				retry.ID += "-again"
				send((node+1)%len(s.Nodes), true, retry)
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return results
}

// checkContained checks that requests with the part that crashes servers no longer reach any once that part must be known,
// and that sound requests, also those with the other part of such prompts, are served.
func checkContained(c *qt.C, s *fake.RelaySite, crashes []time.Time, results []trafficResult) {
	c.Helper()
	c.Assert(len(crashes) > 0, qt.IsTrue)
	knownAt := crashes[min(len(crashes), 5)-1].Add(containmentTime)
	arrivals, sound, served := 0, 0, 0
	for _, result := range results {
		switch {
		case !result.sentAt.After(knownAt):
		case result.crashing:
			arrivals += executionCount(s.ModelServers, result.id)
		default:
			sound++
			if result.response.Complete(s.ModelServers[0].Events) {
				served++
			}
		}
	}
	c.Check(arrivals <= lateArrivals, qt.IsTrue, qt.Commentf("%d late requests with the part reached servers", arrivals))
	c.Check(sound > 100, qt.IsTrue, qt.Commentf("%d sound requests", sound))
	c.Check(served, qt.Equals, sound, qt.Commentf("%d servers crashed in all", len(crashes)))
}

// TestSharedPartCrashesServersOneAfterTheOther sends, among sound requests, different ones that have one part in common which
// crashes every server.
func TestSharedPartCrashesServersOneAfterTheOther(t *testing.T) {
	withRelaySite(t, 9, 1, 18, func(c *qt.C, s *fake.RelaySite) {
		recorder := watch(s)
		results := sendMixedTraffic(s, 12*time.Second)
		checkContained(c, s, recorder.crashTimes(), results)
		for i, n := range s.Nodes {
			isListed := slices.ContainsFunc(n.State().SuspectParts, func(p quarantiner.SuspectPart) bool {
				return p.Part == fake.CrashPart && p.Until.After(time.Now())
			})
			c.Check(isListed, qt.IsTrue, qt.Commentf("VM %d", i))
		}
	})
}

// quarantineCrashPart sends crashing requests through the first VM until the part that crashes servers is quarantined there,
// and waits until the reports of the crashes have reached the other VMs.
func quarantineCrashPart(c *qt.C, s *fake.RelaySite) {
	c.Helper()
	for i := range 4 {
		s.Send(0, newPartExchange(fmt.Sprintf("crashing-%d", i), fake.CrashPart, "shared-0"))
	}
	checkRefused(c, s, 0)
	time.Sleep(100 * time.Millisecond)
}

// checkRefused checks that the VM refuses a request with the part that crashes servers, and sends it to none.
func checkRefused(c *qt.C, s *fake.RelaySite, node int) {
	c.Helper()
	id := fmt.Sprintf("refused-%d", node)
	got := s.Send(node, newPartExchange(id, fake.CrashPart, "shared-0"))
	c.Check(refusalReason(got.Err), qt.Equals, dragonflypass.ReasonQuarantined, qt.Commentf("VM %d", node))
	c.Check(executionCount(s.ModelServers, id), qt.Equals, 0)
}

// TestRestartedVMsKnowQuarantinedParts restarts all VMs in turn, among them the owner of the servers and all that saw a crash.
func TestRestartedVMsKnowQuarantinedParts(t *testing.T) {
	withRelaySite(t, 6, 1, 9, func(c *qt.C, s *fake.RelaySite) {
		watch(s)
		quarantineCrashPart(c, s)
		for i := range s.Nodes {
			s.Kill(i)
			s.StartNode(i)
			time.Sleep(time.Second)
			checkRefused(c, s, i)
		}
	})
}

// TestVMsThatWereCutOffLearnOfQuarantinedParts quarantines a part while a zone is cut off from the others.
func TestVMsThatWereCutOffLearnOfQuarantinedParts(t *testing.T) {
	withRelaySite(t, 6, 1, 9, func(c *qt.C, s *fake.RelaySite) {
		watch(s)
		cutOff := []int{2, 5}
		setCutOff := func(disconnected bool) {
			for _, i := range cutOff {
				for k := range s.Nodes {
					if !slices.Contains(cutOff, k) {
						s.Network.SetDisconnected(s.VM(i).ID, s.VM(k).ID, disconnected)
					}
				}
			}
		}
		setCutOff(true)
		time.Sleep(5 * time.Second)
		quarantineCrashPart(c, s)
		setCutOff(false)
		time.Sleep(3 * time.Second)
		for i := range s.Nodes {
			checkRefused(c, s, i)
		}
	})
}

// TestLargeFleetLearnsOfQuarantinedParts quarantines a part in a fleet that exchanges heartbeats through hubs.
func TestLargeFleetLearnsOfQuarantinedParts(t *testing.T) {
	withRelaySite(t, 24, 1, 9, func(c *qt.C, s *fake.RelaySite) {
		watch(s)
		quarantineCrashPart(c, s)
		time.Sleep(3 * time.Second)
		for i := range s.Nodes {
			checkRefused(c, s, i)
		}
	})
}

func TestRelayForgetsSuspectsInTime(t *testing.T) {
	withRelaySite(t, 2, 1, 2, func(c *qt.C, s *fake.RelaySite) {
		watch(s)
		s.Send(0, newPartExchange("crashing", fake.CrashPart))
		c.Assert(s.Nodes[0].Quarantiner.Suspects(), qt.HasLen, 1)
		const suspectDuration, sweepInterval = 10 * time.Minute, time.Minute
		time.Sleep(suspectDuration + 2*sweepInterval)
		for _, n := range s.Nodes {
			c.Check(n.Quarantiner.Suspects(), qt.HasLen, 0)
		}
	})
}

// TestRepeatedLookupIsNotRefusedAfterCrashes sends the same lookup again and again, while servers that run it go down for other
// reasons.
func TestRepeatedLookupIsNotRefusedAfterCrashes(t *testing.T) {
	withRelaySite(t, 1, 3, 1, func(c *qt.C, s *fake.RelaySite) {
		lookup := func() *fake.ResponseRecorder {
			e := fake.NewExchange("lookup", "/read/x", 0)
			return s.Send(0, e)
		}
		for range 5 {
			answer := make(chan *fake.ResponseRecorder, 1)
			go func() { answer <- lookup() }()
			time.Sleep(5 * time.Millisecond)
			for _, b := range s.PlainServers {
				if b.Running() == 0 {
					continue
				}
				b.SetFault(fake.BackendDown)
				time.AfterFunc(serverDowntime, func() {
					b.Entry.StartedAt++
					b.SetFault(fake.BackendHealthy)
					s.Register(b, dragonflypass.ServerReady)
				})
			}
			c.Check((<-answer).Err, qt.IsNil)
			time.Sleep(2 * serverDowntime)
		}
		c.Check(lookup().Err, qt.IsNil)
	})
}
