package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// configKey is the key of the configuration in the operator's topic.
const configKey = "config"

// configure writes a configuration of two plain routes. The tenants are given in JSON. It returns the time of the acknowledgement.
func (s *site) configure(version int, tenants string) time.Time {
	s.store.Put(names.Operator, configKey, fmt.Appendf(nil, `{"version":%d,"routes":[`+
		`{"name":"look","hostname":%q,"path_prefix":"/look/","kind":"idempotent","timeout_ms":5000,"goal_ms":100,"priority":2,"service":"booking","max_attempts":2,"public":false},`+
		`{"name":"book","hostname":%q,"path_prefix":"/book/","kind":"non_idempotent","timeout_ms":5000,"goal_ms":100,"priority":2,"service":"booking","max_attempts":1,"public":false}],`+
		`"services":[{"name":"booking","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":%s}`,
		version, host, host, tenants))
	s.record.add("configuration %d acknowledged, tenants %s", version, tenants)
	return time.Now()
}

// reply is what a client has got.
type reply struct {
	// status is zero if the connection ended without an answer.
	status int
	seal   string
	body   string
	err    error
}

// String describes the reply for the record.
func (r reply) String() string {
	if r.err != nil {
		return "the connection ends without an answer: " + r.err.Error()
	}
	return fmt.Sprintf("%d, seal %q, body %q", r.status, r.seal, strings.TrimSpace(r.body))
}

// ask sends one request. An empty key sends none.
func ask(client *http.Client, v *vm, method, path, id, key string, deadline time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("order of " + id)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+v.callers+path, body)
	if err != nil {
		return reply{err: err}
	}
	request.Host = host
	request.Header.Set(names.Attempt, id)
	request.Header.Set(names.Deadline, fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		request.Header.Set("Authorization", names.Bearer+key)
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, seal: response.Header.Get(names.Seal), body: string(data), err: err}
}
