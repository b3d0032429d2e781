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

// missChanges lets the only VM that is left miss the changes that write makes while it is disconnected from the store, which are more
// than the store returns at once.
func missChanges(s *fake.RelaySite, changes int, write func(i int)) {
	const pageLimit = 10
	s.Store.SetPageLimit(pageLimit)
	for i := 1; i < len(s.Nodes); i++ {
		s.Kill(i)
	}
	s.Nodes[0].StoreAccess.SetDisconnected(true)
	// A read that waits for a change goes on for up to a second.
	time.Sleep(2 * time.Second)
	for i := range changes {
		write(i)
	}
	time.Sleep(9 * time.Second)
	s.Nodes[0].StoreAccess.SetDisconnected(false)
}

// sendContinuously sends an exchange every few milliseconds for two seconds and returns the responses.
func sendContinuously(s *fake.RelaySite, newExchange func(i int) *dragonflypass.Exchange) []*fake.ResponseRecorder {
	const count, interval = 400, 5 * time.Millisecond
	responses := make([]*fake.ResponseRecorder, count)
	var wg sync.WaitGroup
	for i := range responses {
		wg.Go(func() { responses[i] = s.Send(0, newExchange(i)) })
		time.Sleep(interval)
	}
	wg.Wait()
	return responses
}

// TestPartialReadDoesNotProveRoutingCurrent guards against a VM that takes the oldest changes that it missed for all of them, and
// accepts a key that a later one has revoked or refuses a route that a later one has added.
func TestPartialReadDoesNotProveRoutingCurrent(t *testing.T) {
	withRelaySite(t, 3, 2, 1, func(c *qt.C, s *fake.RelaySite) {
		added := &dragonflypass.RoutePolicy{
			Name: "added", Host: fake.RelayHost, Prefix: "/added/", Kind: dragonflypass.KindIdempotent, MaxAttempts: 1, Public: true,
			Timeout: time.Second, LatencyObjective: 200 * time.Millisecond, Backends: []dragonflypass.WeightedService{{Service: fake.RelayPlainService, Weight: 1}},
		}
		const changes = 25
		missChanges(s, changes, func(i int) {
			if i < changes-1 {
				s.WriteRouting([]string{fake.RelayKey})
				return
			}
			s.WriteRouting([]string{"key-two"}, added)
		})
		notFound, served := 0, 0
		responses := sendContinuously(s, func(i int) *dragonflypass.Exchange {
			if i%2 == 0 {
				return fake.NewExchange(fmt.Sprint("revoked-", i), "/read/x", 0)
			}
			return fake.NewExchange(fmt.Sprint("added-", i), "/added/x", 0)
		})
		for i, response := range responses {
			switch {
			case refusalReason(response.Err) == dragonflypass.ReasonNotFound:
				notFound++
			case response.Err == nil && i%2 == 1:
				served++
			}
		}
		ran := 0
		for i := range responses {
			ran += executionCount(s.PlainServers, fmt.Sprint("revoked-", i))
		}
		c.Check(ran, qt.Equals, 0, qt.Commentf("requests with a revoked key ran"))
		c.Check(notFound, qt.Equals, 0, qt.Commentf("requests on a route that exists were refused"))
		c.Check(served > 100, qt.IsTrue, qt.Commentf("%d of 200 served", served))
	})
}

// TestPartialReadDoesNotProveRegistryCurrent guards against a VM that uses a server which a later change has drained.
func TestPartialReadDoesNotProveRegistryCurrent(t *testing.T) {
	withRelaySite(t, 3, 2, 1, func(c *qt.C, s *fake.RelaySite) {
		const changes = 75
		missChanges(s, changes, func(i int) {
			if i < changes-1 {
				s.Register(s.PlainServers[1], dragonflypass.ServerReady)
				return
			}
			s.Register(s.PlainServers[0], dragonflypass.ServerDraining)
		})
		const freshness = 2 * time.Second
		n := s.Nodes[0]
		for max(n.Registry.Watermark().Staleness, n.Routing.Watermark().Staleness) > freshness {
			time.Sleep(time.Millisecond)
		}
		sendContinuously(s, func(i int) *dragonflypass.Exchange { return fake.NewExchange(fmt.Sprint("read-", i), "/read/x", 0) })
		c.Check(len(s.PlainServers[0].Runs()), qt.Equals, 0)
		c.Check(len(s.PlainServers[1].Runs()) > 300, qt.IsTrue)
	})
}
