package loader_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/loader"
)

const validRelay = `{"name": "vm-1", "zone": "a", "store": {"address": "127.0.0.1:4"},
	"listen": {"callers": "127.0.0.1:1", "probes": "127.0.0.1:2", "peers": "127.0.0.1:3"},
	"times": {"revoke": "5000ms", "apply": "2s", "grace": "8s"}, "budget": {"ratio": 0.2, "slack": 100}}`

func TestRelayDefaults(t *testing.T) {
	c := qt.New(t)
	settings, err := loader.ParseRelay([]byte(validRelay))
	c.Assert(err, qt.IsNil)
	c.Check(time.Duration(settings.Times.RevokeLimit), qt.Equals, 5*time.Second)
	c.Check(time.Duration(settings.Times.HeartbeatInterval), qt.Equals, 300*time.Millisecond)
	c.Check(settings.Log.Level, qt.Equals, "info")
	c.Check(settings.Workers, qt.Equals, 16)
	c.Check(settings.Limits.ColdOvershoot, qt.Equals, 1.0)
	c.Check(settings.Limits.ColdSlack, qt.Equals, 0.0)
	c.Check(settings.Listen.Metrics.IsValid(), qt.IsFalse)
	c.Check(settings.VM().ID, qt.Equals, dragonflypass.VMID("vm-1"))
}

// TestRelayFaults makes one change to valid settings and expects a fault with the path of that setting.
func TestRelayFaults(t *testing.T) {
	for name, change := range map[string]struct{ old, replacement, fault string }{
		"unknown field":     {`"name": "vm-1"`, `"name": "vm-1", "colour": "red"`, "colour"},
		"missing field":     {`"zone": "a", `, ``, "zone"},
		"host name":         {"127.0.0.1:4", "store:4", "/store/address"},
		"not a duration":    {"5000ms", "soon", "/times/revoke"},
		"same address":      {"127.0.0.1:2", "127.0.0.1:1", "/listen"},
		"same metrics":      {`"peers": "127.0.0.1:3"`, `"peers": "127.0.0.1:3", "metrics": "127.0.0.1:3"`, "/listen/metrics"},
		"cold overshoot":    {`"zone": "a"`, `"zone": "a", "limits": {"cold_overshoot": 0.5}`, "/limits/cold_overshoot"},
		"cold slack":        {`"zone": "a"`, `"zone": "a", "limits": {"cold_slack": -1}`, "/limits/cold_slack"},
		"ratio above one":   {"0.2", "2", "/budget/ratio"},
		"negative slack":    {"100", "-1", "/budget/slack"},
		"null seeds":        {`"zone": "a"`, `"zone": "a", "seeds": null`, "/seeds"},
		"not JSON":          {"{", "{,", "not valid JSON"},
		"unknown log level": {`"zone": "a"`, `"zone": "a", "log": {"level": "loud"}`, "/log/level"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := loader.ParseRelay([]byte(strings.Replace(validRelay, change.old, change.replacement, 1)))
			c.Assert(err, qt.IsNotNil)
			c.Check(err.Error(), qt.Contains, change.fault)
		})
	}
}
