package router_test

import (
	"crypto/sha256"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/timer"
	"github.com/dragonflypass/dragonflypass/core/router"
	"github.com/dragonflypass/dragonflypass/core/worker"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// TestNewerTableStaysInEffect applies route tables on several workers at once.
func TestNewerTableStaysInEffect(t *testing.T) {
	c := qt.New(t)
	const rounds, tables = 10_000, 8
	for range rounds {
		r := &router.Router{Meter: fake.NewMeter(), Logger: fake.Logger{}}
		start := make(chan struct{})
		var workers sync.WaitGroup
		for version := uint64(1); version <= tables; version++ {
			table := dragonflypass.NewRouteTable(version, nil, nil, nil, dragonflypass.CallerLimits{})
			workers.Go(func() {
				<-start
				r.ApplyUpdates([]dragonflypass.Update{{Table: table}})
			})
		}
		close(start)
		workers.Wait()
		c.Assert(r.Current().Version, qt.Equals, uint64(tables))
	}
}

// TestKeyIsNotAcceptedByFreshnessOfNewerTable has a VM receive a table without a key, after a long time without proofs, while
// it checks a request with this key.
func TestKeyIsNotAcceptedByFreshnessOfNewerTable(t *testing.T) {
	const key = "key-one"
	newTable := func(version uint64, keys ...dragonflypass.Digest) *dragonflypass.RouteTable {
		routes := []*dragonflypass.RoutePolicy{{Host: "desk.example", Prefix: "/"}}
		accounts := []*dragonflypass.AccountPolicy{{ID: "bank", Keys: keys}}
		return dragonflypass.NewRouteTable(version, routes, nil, accounts, dragonflypass.CallerLimits{})
	}
	for receivedAt := range 3 {
		c := qt.New(t)
		clock := timer.New(&worker.Pool{})
		r := &router.Router{Timer: clock, Meter: fake.NewMeter(), Logger: fake.Logger{}, RevokeLimit: 5 * time.Second, ApplyLimit: 3 * time.Second}
		checks := 0
		r.FreshAsOf = func() (time.Duration, bool) {
			checks++
			if checks <= receivedAt {
				return clock.Uptime() - 10*time.Second, true
			}
			r.ApplyUpdates([]dragonflypass.Update{{Table: newTable(2)}})
			return clock.Uptime(), true
		}
		r.ApplyUpdates([]dragonflypass.Update{{Table: newTable(1, sha256.Sum256([]byte(key)))}})
		_, refusal := r.Find(&dragonflypass.Exchange{Host: "desk.example", Path: "/x", Credential: key})
		c.Check(refusal != nil, qt.IsTrue, qt.Commentf("received at check %d", receivedAt+1))
	}
}
