package exposer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/counter"
	"github.com/dragonflypass/dragonflypass/core/inspector"
	"github.com/dragonflypass/dragonflypass/core/rationer"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// TestPages sends requests, leaves one stream open and checks the content of all pages.
func TestPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		site := fake.NewRelaySite(t.Context(), 3, 2, 2)
		site.Start()
		metrics := counter.New()
		e := &Exposer{Core: site.Nodes[0].Relay, Metrics: metrics, Busy: func() int { return 1 }, Usage: rationer.New().Usage}
		e.Core.Relayer.Meter = metrics
		for i := range 5 {
			c.Assert(site.Send(0, fake.NewExchange(fmt.Sprint(i), "/stream/x", 500)).Err, qt.IsNil)
		}
		site.Send(0, fake.NewExchange("none", "/none/x", 0))
		go site.Send(0, fake.NewExchange("open", "/stream/x", 500))
		time.Sleep(100 * time.Millisecond)

		text := get(c, e, "/metrics")
		for _, line := range []string{
			"ready 1\n", "streams_open 1\n", "bytes_held 0\n", "connections_open 0\n", `members{state="live"} 2`, "servers_registered 4\n", "requests_admitted 6\n",
			`requests_ended{service="models",outcome="answered",rank="urgent",class="2k"} 5`,
			`requests_ended{service="",outcome="not-found",rank="urgent",class="2k"} 1`,
			`request_first_ms{service="models",outcome="answered",rank="urgent",class="2k",quantile="0.95"} `,
		} {
			c.Check(text, qt.Contains, line)
		}
		var dump Dump
		c.Assert(json.Unmarshal([]byte(get(c, e, "/debug/state")), &dump), qt.IsNil)
		c.Check(dump.VM, qt.Equals, dragonflypass.VMID("vm-1"))
		c.Check(dump.Ready, qt.IsTrue)
		c.Check(dump.Streams, qt.HasLen, 1)
		c.Check(dump.Streams[0].ID, qt.Equals, "open")
		c.Check(dump.Registry, qt.HasLen, 4)
		c.Check(dump.Members, qt.HasLen, 2)
		c.Check(dump.Owners, qt.HasLen, 1)
		c.Check(dump.Topics, qt.HasLen, 2)
		var table RouteTable
		c.Assert(json.Unmarshal([]byte(get(c, e, "/debug/routes")), &table), qt.IsNil)
		inForce, err := table.Configuration()
		c.Assert(err, qt.IsNil)
		changes, _ := inspector.Compare(inForce, inForceOf(e.Core.Router.Current()))
		c.Check(changes, qt.HasLen, 0)
		c.Check(get(c, e, "/debug/routes"), qt.Not(qt.Contains), fake.RelayKey)
		c.Check(json.Valid([]byte(get(c, e, "/debug/vars"))), qt.IsTrue)
		c.Check(get(c, e, "/debug/state"), qt.Not(qt.Contains), fake.RelayKey)
		time.Sleep(5 * time.Second)
	})
}

// inForceOf returns the configuration of the table.
func inForceOf(t *dragonflypass.RouteTable) *inspector.Configuration {
	c := &inspector.Configuration{Version: t.Version, Routes: t.AllRoutes(), Accounts: t.AllAccounts(), Limits: t.Limits}
	for _, service := range t.Services {
		c.Services = append(c.Services, service)
	}
	return c
}

func get(c *qt.C, e *Exposer, path string) string {
	c.Helper()
	response := httptest.NewRecorder()
	e.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, path, nil))
	c.Assert(response.Code, qt.Equals, http.StatusOK)
	return response.Body.String()
}
