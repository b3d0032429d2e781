package rationer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/rationer"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

var (
	start  = time.Unix(1_000_000, 0)
	first  = netip.MustParseAddr("10.0.0.1")
	second = netip.MustParseAddr("10.0.0.2")
)

// lines counts the lines of a log.
type lines struct {
	fake.Logger
	count int
}

// Warn counts a line.
func (l *lines) Warn(any, ...any) { l.count++ }

func newRationer() (*rationer.Rationer, *fake.Meter) {
	meter := fake.NewMeter()
	r := rationer.New()
	r.Limits = rationer.Limits{
		Bytes: 1000, ReservedBytes: 100, Bodies: 8, ClientBodies: 6, ReservedBodies: 1,
		Connections: 8, ClientConnections: 6, ReservedConnections: 1, Grace: time.Second,
	}
	r.Meter, r.Logger = meter, &lines{}
	return r, meter
}

func noStop() {}

// TestReserveServesNewClients lets one client take all that it can get. A new client must still get a place and memory, and all must be
// available again afterwards.
func TestReserveServesNewClients(t *testing.T) {
	c := qt.New(t)
	r, meter := newRationer()
	var rations []*rationer.Ration
	var connections []*rationer.Connection
	for {
		ration, refusal := r.OpenBody(first, start, noStop)
		if refusal != nil {
			c.Check(refusal.RetryAfter > 0, qt.IsTrue)
			break
		}
		rations = append(rations, ration)
	}
	for {
		connection := r.Connect(first, start, noStop)
		if connection == nil {
			break
		}
		connections = append(connections, connection)
	}
	c.Check(rations, qt.HasLen, r.Limits.ClientBodies)
	c.Check(connections, qt.HasLen, r.Limits.ClientConnections)
	granted, _, _ := rations[1].Take(900, start)
	c.Check(granted, qt.IsTrue)
	granted, freed, _ := rations[2].Take(1, start)
	c.Check(granted, qt.IsFalse)

	ration, refusal := r.OpenBody(second, start, noStop)
	c.Assert(refusal == nil, qt.IsTrue)
	granted, _, _ = ration.Take(100, start)
	c.Check(granted, qt.IsTrue)
	connection := r.Connect(second, start, noStop)
	c.Assert(connection, qt.IsNotNil)

	for _, ration := range append(rations, ration) {
		ration.Close()
		ration.Close()
	}
	for _, connection := range append(connections, connection) {
		connection.Close()
		connection.Close()
	}
	<-freed
	c.Check(r.Usage(), qt.Equals, rationer.Usage{})
	c.Check(meter.Count(dragonflypass.CountBodyRefused), qt.Equals, int64(1))
	c.Check(meter.Count(dragonflypass.CountConnectionRefused), qt.Equals, int64(1))
	c.Check(r.Logger.(*lines).count, qt.Equals, 1)
}

// TestStalledBodiesGiveWay lets bodies of one client take all memory and places and stop. Another body of the same client must replace
// the one that stopped first, but only after the grace time, and never one that makes progress.
func TestStalledBodiesGiveWay(t *testing.T) {
	c := qt.New(t)
	r, meter := newRationer()
	var stopped []int
	rations := make([]*rationer.Ration, r.Limits.ClientBodies)
	for i := range rations {
		ration, refusal := r.OpenBody(first, start.Add(time.Duration(i)*time.Millisecond), func() { stopped = append(stopped, i) })
		c.Assert(refusal == nil, qt.IsTrue)
		granted, _, _ := ration.Take(150, start)
		c.Assert(granted, qt.IsTrue)
		rations[i] = ration
	}
	_, refusal := r.OpenBody(first, start.Add(500*time.Millisecond), noStop)
	c.Check(refusal != nil, qt.IsTrue)
	later := start.Add(2 * time.Second)
	c.Check(rations[0].Record(2<<10, later), qt.IsTrue)
	c.Check(rations[1].Record(1, later), qt.IsFalse, qt.Commentf("a single byte is no progress"))
	ration, refusal := r.OpenBody(first, later, noStop)
	c.Assert(refusal == nil, qt.IsTrue)
	granted, _, _ := ration.Take(300, later)
	c.Check(granted, qt.IsTrue)
	c.Check(stopped, qt.DeepEquals, []int{1, 2})
	c.Check(rations[1].Evicted(), qt.IsTrue)
	granted, _, _ = rations[1].Take(1, later)
	c.Check(granted, qt.IsFalse, qt.Commentf("a body that gave way gets no more memory"))
	c.Check(meter.Count(dragonflypass.CountBodyEvicted), qt.Equals, int64(2))
}

// TestIdleConnectionsGiveWay fills all places of a client with connections. Only those without a request may be closed for another.
func TestIdleConnectionsGiveWay(t *testing.T) {
	c := qt.New(t)
	r, _ := newRationer()
	var stopped []int
	connections := make([]*rationer.Connection, r.Limits.ClientConnections)
	for i := range connections {
		connections[i] = r.Connect(first, start, func() { stopped = append(stopped, i) })
		connections[i].Begin()
	}
	c.Check(r.Connect(first, start.Add(time.Hour), noStop), qt.IsNil)
	connections[3].Idle(start.Add(time.Hour))
	c.Check(r.Connect(first, start.Add(time.Hour), noStop), qt.IsNil)
	c.Check(r.Connect(first, start.Add(time.Hour+2*time.Second), noStop), qt.IsNotNil)
	c.Check(stopped, qt.DeepEquals, []int{3})

	// A connection with a body without progress must be ended, which frees its place.
	_, refusal := r.OpenBody(first, start.Add(time.Hour), func() { connections[0].Close() })
	c.Assert(refusal == nil, qt.IsTrue)
	later := start.Add(time.Hour + 2100*time.Millisecond)
	c.Check(r.Connect(first, later, noStop), qt.IsNil)
	c.Check(r.Connect(first, later, noStop), qt.IsNotNil)
}

// TestNetworkOfOneHostIsOneClient connects from addresses that a single host can use.
func TestNetworkOfOneHostIsOneClient(t *testing.T) {
	c := qt.New(t)
	for _, pattern := range []string{"2001:db8::%x", "::ffff:10.0.0.1%.0s"} {
		r, _ := newRationer()
		count := 0
		for i := range 100 {
			if r.Connect(netip.MustParseAddr(fmt.Sprintf(pattern, i+1)), start, noStop) != nil {
				count++
			}
		}
		c.Check(count, qt.Equals, r.Limits.ClientConnections, qt.Commentf("%s", pattern))
	}
}

// TestAccountsBalance takes and gives back at random. The limits must hold at all times, and nothing may stay in use at the end.
func TestAccountsBalance(t *testing.T) {
	c := qt.New(t)
	r, _ := newRationer()
	random := rand.New(rand.NewPCG(1, 2))
	now := start
	var rations []*rationer.Ration
	for range 20_000 {
		now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
		if len(rations) == 0 || random.IntN(3) == 0 {
			client := netip.AddrFrom4([4]byte{10, 0, 0, byte(random.IntN(4))})
			if ration, refusal := r.OpenBody(client, now, noStop); refusal == nil {
				rations = append(rations, ration)
			}
			continue
		}
		i := random.IntN(len(rations))
		switch random.IntN(5) {
		case 0:
			rations[i].Received()
		case 1:
			rations[i].Give(int64(random.IntN(100)))
		case 2:
			rations[i].Close()
			rations = append(rations[:i], rations[i+1:]...)
		default:
			rations[i].Take(int64(random.IntN(300)), now)
		}
		usage := r.Usage()
		c.Assert(usage.Bytes >= 0 && usage.Bytes <= r.Limits.Bytes && usage.Bodies <= r.Limits.Bodies, qt.IsTrue, qt.Commentf("%+v", usage))
	}
	for _, ration := range rations {
		ration.Close()
	}
	c.Check(r.Usage(), qt.Equals, rationer.Usage{})
}
