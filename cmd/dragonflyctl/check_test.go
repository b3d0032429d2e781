package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/exposer"
)

const (
	goodTable = `{"version": 8,
 "routes": [{"name": "r", "hostname": "desk.example", "path_prefix": "/r/", "kind": "idempotent", "service": "plain", "timeout_ms": 900, "goal_ms": 300}],
 "services": [{"name": "plain"}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 2000, "idle_timeout_ms": 9000},
 "tenants": [{"name": "bank", "api_keys": ["key-one"]}]}`
	tableInForce = `{"version": 7, "limits": {"header_bytes": 16384, "body_bytes": 65536, "header_timeout": 2000, "idle_timeout": 9000},
 "routes": [{"name": "r", "host": "desk.example", "prefix": "/r/", "kind": 0, "backends": [{"service": "old", "weight": 1}], "timeout": 900, "objective": 300, "attempts": 1}],
 "services": [{"service": "plain", "connections": 0}], "accounts": [{"account": "bank", "key_ids": ["00000000"]}]}`
)

// runCheck runs the check command and returns its output and exit status.
func runCheck(args ...string) (string, int) {
	var out bytes.Buffer
	root := newRootCommand()
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(append([]string{"check"}, args...))
	err := root.Execute()
	if exit, ok := errors.AsType[*exitError](err); ok {
		return out.String(), exit.status
	}
	if err != nil {
		return out.String(), 1
	}
	return out.String(), 0
}

// TestCheckStatus checks the exit statuses that scripts rely on.
func TestCheckStatus(t *testing.T) {
	c := qt.New(t)
	registry := []exposer.RegistryEntry{{Server: "i-1", Service: "plain"}}
	table := tableInForce
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/debug/routes":
			_, _ = w.Write([]byte(table))
		case "/debug/state":
			_ = json.NewEncoder(w).Encode(exposer.Dump{Registry: registry, Topics: []exposer.Topic{{Topic: dragonflypass.TopicServers, Loaded: true}}})
		}
	}))
	defer server.Close()
	address, good := server.Listener.Addr().String(), writeFile(c, goodTable)

	out, status := runCheck(good)
	c.Check(out, qt.Equals, "errors: 0, warnings: 0\n")
	c.Check(status, qt.Equals, 0)
	out, status = runCheck(good, "--against", address)
	c.Check(out, qt.Equals, "version 8, in force 7, 3 changes\n- account bank: key 00000000\n+ account bank: key 9b346041\n"+
		"~ route desk.example/r/: moved from service old → plain\nerrors: 0, warnings: 0\n")
	c.Check(status, qt.Equals, 0)
	out, status = runCheck(good, "--against-file", good, "--json")
	var report checkReport
	c.Assert(json.Unmarshal([]byte(out), &report), qt.IsNil)
	c.Check(report.Findings, qt.DeepEquals, []checkFinding{{Severity: "error", Line: 1, Field: "version", Message: "the version 8 is not above 8, which is in force: the entry VMs would ignore it"}})
	c.Check(status, qt.Equals, 1)
	registry = nil
	out, status = runCheck(good, "--admin", address)
	c.Check(out, qt.Matches, `(?s).*:2: error: routes\[0\].service: service "plain" has no registered servers\n.*`)
	c.Check(status, qt.Equals, 1)
	_, status = runCheck(writeFile(c, "{"))
	c.Check(status, qt.Equals, 1)

	table = "{"
	for _, args := range [][]string{{good + "x"}, {}, {good, "--flag"}, {good, "--against", address}, {good, "--against", "127.0.0.1:1"}, {good, "--against-file", good + "x"}, {good, "--against", address, "--against-file", good}} {
		_, status = runCheck(args...)
		c.Check(status, qt.Equals, 2, qt.Commentf("%v", args))
	}
}
