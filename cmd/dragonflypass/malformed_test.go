package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass/standin/corrupter"
)

// usageReport is the report of a model server without requests.
const usageReport = `{"running":0,"queued":0,"kv_used":0,"kv_total":100000,"pace":1,"born":1}`

// faultyService is a service whose servers answer the first request of each attempt with the response, and others with a good one.
type faultyService struct {
	response corrupter.Response

	mutex sync.Mutex
	// requests are the numbers of requests by attempt.
	requests map[string]int
}

// answer returns the response to a request.
func (f *faultyService) answer(request *http.Request) corrupter.Response {
	id := request.Header.Get("Attempt-Id")
	if id == "" {
		return corrupter.Response{Text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(usageReport), usageReport)}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.requests[id]++
	if f.requests[id] == 1 {
		return f.response
	}
	return corrupter.Good
}

// count returns the number of requests of the attempt.
func (f *faultyService) count(id string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.requests[id]
}

// TestMalformedResponsesDoNotReachCallers sends requests through an entry VM to servers whose first response is malformed or truncated. A
// retryable request must be answered by another server, and no other request may be sent twice.
func TestMalformedResponsesDoNotReachCallers(t *testing.T) {
	c := qt.New(t)
	const servers, shortBody, longBody = 2, 5 << 10, 8 << 20
	s := startSite(c, 0, 0, 0)
	type object map[string]any
	var services []*faultyService
	var routes, policies []object
	for i, response := range slices.Concat(corrupter.Statuses(), corrupter.Heads(), corrupter.Bodies(), corrupter.Streams()) {
		f := &faultyService{response: response, requests: make(map[string]int)}
		services = append(services, f)
		name, isStream := fmt.Sprint("case-", i), strings.HasPrefix(response.Name, "events")
		policy := object{"name": name, "max_conns": 200}
		route := func(kind string, attempts int) {
			routes = append(routes, object{"name": kind + name, "hostname": "desk.example", "path_prefix": "/" + kind + "/" + name + "/", "kind": kind, "service": name, "timeout_ms": 8000, "goal_ms": 4000, "max_attempts": attempts})
		}
		if isStream {
			policy["engine"] = object{"slots": 16, "kv_capacity": 100000, "stride": 8, "chunk": 2048, "step_ms": 1, "read_per_s": 200000, "usual": object{"answer": 160}}
			route("streaming", 1)
		} else {
			route("idempotent", 3)
			route("non_idempotent", 1)
		}
		policies = append(policies, policy)
		for k := range servers {
			server := &corrupter.Corrupter{Select: f.answer}
			address, err := server.Start()
			c.Assert(err, qt.IsNil)
			c.Cleanup(server.Close)
			s.store.Put("keyed.servers", fmt.Sprintf("%s-%d", name, k), fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"a","state":"ready","slots":16,"born":1}`, name, address))
		}
	}
	table, err := json.Marshal(object{
		"version": time.Now().UnixMilli() + 1, "routes": routes, "services": policies, "tenants": []object{{"name": "bank", "api_keys": []string{"key-one"}}},
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 2 * longBody, "header_timeout_ms": 2000, "idle_timeout_ms": 9000},
	})
	c.Assert(err, qt.IsNil)
	s.store.Put("keyed.op", "config", table)
	s.vms = append(s.vms, s.startVM("vm-0"))
	s.waitFor(s.vms[0].ready)
	send := func(c *qt.C, kind, name, id string, early bool) (status int, body string, err error) {
		data := make([]byte, shortBody)
		if early {
			data = make([]byte, longBody)
		}
		request := httptest.NewRequest(http.MethodPost, "http://"+s.vms[0].callerAddress+"/"+kind+"/"+name+"/x", bytes.NewReader(data))
		request.RequestURI, request.Host = "", "desk.example"
		request.Header = http.Header{"Attempt-Id": {id}, "Authorization": {"Bearer key-one"}, "Model": {"m"}, "Token-Counts": {"900,160"}}
		response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
		if err != nil {
			return 0, "", err
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		return response.StatusCode, string(text), err
	}
	for i, f := range services {
		c.Run(f.response.Name, func(c *qt.C) {
			name, response := fmt.Sprint("case-", i), f.response
			if strings.HasPrefix(response.Name, "events") {
				status, body, err := send(c, "streaming", name, name, response.Early)
				c.Check(err == nil && status == http.StatusOK, qt.Equals, response.Whole, qt.Commentf("%d %q %v", status, body, err))
				c.Check(f.count(name), qt.Equals, 1)
				return
			}
			once, retried, wantStatus := name+"-once", name+"-retried", http.StatusBadGateway
			wantRequests := 2
			if response.Whole {
				wantStatus, wantRequests = http.StatusOK, 1
			}
			status, body, err := send(c, "non_idempotent", name, once, response.Early)
			c.Check(err, qt.IsNil)
			c.Check(status, qt.Equals, wantStatus)
			c.Check(body == corrupter.Body, qt.Equals, response.Whole, qt.Commentf("%q", body))
			c.Check(f.count(once), qt.Equals, 1)
			status, body, err = send(c, "idempotent", name, retried, response.Early)
			c.Check(err, qt.IsNil)
			c.Check(status, qt.Equals, http.StatusOK)
			c.Check(body, qt.Equals, corrupter.Body)
			c.Check(f.count(retried), qt.Equals, wantRequests)
		})
	}
}
