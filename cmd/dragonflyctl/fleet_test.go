package main

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/exposer"
)

func TestFleetShowsOneScreen(t *testing.T) {
	c := qt.New(t)
	dump := &exposer.Dump{
		VM: "vm-1", Zone: "a", Ready: true, At: time.Unix(0, 0).UTC(), RoutingVersion: 12,
		Zones: map[dragonflypass.AvailabilityZone]int{"a": 59, "b": 61}, Hubs: []dragonflypass.VMID{"vm-1", "vm-9"},
		Members: []exposer.Member{{VM: "vm-9", Zone: "b"}},
		Topics:  []exposer.Topic{{Topic: dragonflypass.TopicRouting, EndOffset: 7, Staleness: 640, Readers: []dragonflypass.VMID{"vm-9"}}},
		Owners: []exposer.Owner{
			{Service: "m", Shard: "a", VM: "vm-1", Load: &exposer.ShardLoad{Servers: 22, Slots: 220, Streams: 31, Wait: 120}},
			{Service: "m", Shard: "b", VM: "vm-9"},
		},
		EvacuatedZones: []exposer.EvacuatedZone{{Zone: "b", Since: time.Unix(60, 0).UTC()}, {Zone: "c", Since: time.Unix(61, 0).UTC()}},
		FailingServers: []exposer.FailingServer{{Server: "s-4", Failures: 3, Unreachable: true}},
	}
	var out bytes.Buffer
	c.Assert(printFleet(&out, dump), qt.IsNil)
	for _, want := range []string{
		"seen by vm-1 in a at 00:00:00, which is ready", `a +59 +vm-1 +in service`, `b +61 +vm-9 +evacuated since 00:01:00`, `c +0 +evacuated since 00:01:01`, `7 +640ms ago +vm-9`, `route table +12`,
		`m +a +vm-1 +22 +31 +220 +120ms +0s`, `m +b +vm-9 +not known`, `s-4 +3 +false`,
	} {
		c.Check(out.String(), qt.Matches, "(?s).*"+want+".*")
	}
}
