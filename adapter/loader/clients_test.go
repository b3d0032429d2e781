package loader_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass/adapter/loader"
)

// withLimits returns valid settings with these limits.
func withLimits(limits string) []byte {
	return []byte(strings.Replace(validRelay, `"zone": "a"`, `"zone": "a", "limits": {`+limits+`}`, 1))
}

// TestDefaultsFollowMemoryAndDescriptors checks that the defaults are within the limits of a VM, and leave one client address nearly all
// of them.
func TestDefaultsFollowMemoryAndDescriptors(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		limits                   string
		descriptors, connections int
		held                     int64
	}{
		{`"memory": 184`, 4100, 1472, 46 << 20},
		{`"memory": 536`, 8192, 3712, 134 << 20},
		{`"memory": 536`, 4100, 1666, 134 << 20},
		{`"memory": 16`, 1024, 128, 8 << 20},
	} {
		settings, err := loader.ParseRelayFor(withLimits(test.limits), test.descriptors)
		c.Assert(err, qt.IsNil)
		l := settings.Limits
		c.Check(l.Connections, qt.Equals, test.connections, qt.Commentf("%+v", test))
		c.Check(l.HeldBytes, qt.Equals, test.held, qt.Commentf("%+v", test))
		c.Check(l.ClientConnections, qt.Equals, l.Connections-l.Connections/8)
		c.Check(l.Bodies, qt.Equals, l.Connections)
		c.Check(time.Duration(l.BodyStall), qt.Equals, 15*time.Second)
		rations := l.Rations()
		c.Check(rations.ReservedBytes > 0 && rations.ReservedBodies > 0 && rations.ReservedConnections > 0, qt.IsTrue)
	}
}

// TestClientLimitFaults sets one limit that the memory, the descriptors or another limit does not allow, and expects a fault of it.
func TestClientLimitFaults(t *testing.T) {
	c := qt.New(t)
	for limits, fault := range map[string]string{
		`"memory": 64, "held": 4194304`:                 "/limits/held: must be at least twice limits/body, 8388608 bytes",
		`"memory": 64, "held": 40000000`:                "/limits/held: must be at most half of limits/memory, 33554432 bytes",
		`"memory": 64, "connections": 2049`:             "/limits/connections: must be at most 2048, since each takes 16 KB of limits/memory",
		`"memory": 1024, "connections": 4000`:           "/limits/connections: needs 4768 descriptors with limits/peers; the limit of the process is 4100",
		`"connections": 20, "client_connections": 21`:   "/limits/client_connections: must be at most limits/connections, 20",
		`"connections": 20, "bodies": 21`:               "/limits/bodies: must be at most limits/connections, 20",
		`"bodies": 10, "client_bodies": 11`:             "/limits/client_bodies: must be at most limits/bodies, 10",
		`"server": 4194303`:                             "/limits/server: must be at least limits/body",
		`"stall": "soon"`:                               "/limits/stall: ",
		`"peers": 0`:                                    "/limits/peers: ",
		`"memory": 16, "body": 8388608`:                 "/limits/held: must be at most half of limits/memory, 8388608 bytes",
		`"memory": 64, "peers": 4000`:                   "/limits/connections: needs 4272 descriptors",
		`"memory": 64, "connections": 0`:                "/limits/connections: ",
		`"memory": 64, "body": 1024, "server": 1048576`: "",
	} {
		_, err := loader.ParseRelayFor(withLimits(limits), 4100)
		if fault == "" {
			c.Check(err, qt.IsNil, qt.Commentf("%s", limits))
			continue
		}
		c.Assert(err, qt.IsNotNil, qt.Commentf("%s", limits))
		c.Check(err.Error(), qt.Contains, fault, qt.Commentf("%s", limits))
	}
}
