package router_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/router"
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
