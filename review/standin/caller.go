package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "desk.example"

// deadline is the time that callers wait for a response.
const deadline = 600 * time.Millisecond

var attempts atomic.Int64

// caller sends requests to one entry VM over connections that it keeps open.
type caller struct {
	vm     *vm
	key    string
	client *http.Client
}

func newCaller(v *vm, key string) *caller {
	return &caller{vm: v, key: key, client: &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{DisableCompression: true}}}
}

// outcome is what a caller saw of one attempt.
type outcome struct {
	id     string
	sentAt time.Time
	// status is zero if there was no complete answer.
	status int
	seal   string
	err    error
}

// send sends one attempt.
func (c *caller) send(method, path, body string) outcome {
	o := outcome{id: fmt.Sprintf("%016x", 0x5a00000000000000+attempts.Add(1)), sentAt: time.Now()}
	request, err := http.NewRequest(method, "http://"+c.vm.front+path, strings.NewReader(body))
	if err != nil {
		o.err = err
		return o
	}
	request.Host = host
	request.Header.Set(fieldAttempt, o.id)
	request.Header.Set(fieldDeadline, fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+c.key)
	// Without GetBody, the transport does not send the attempt a second time.
	request.GetBody = nil
	response, err := c.client.Do(request)
	if err != nil {
		o.err = err
		return o
	}
	_, o.err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if o.err == nil {
		o.status, o.seal = response.StatusCode, response.Header.Get(fieldSeal)
	}
	return o
}

// result describes an outcome for the record.
func (o outcome) result() string {
	if o.err != nil {
		return "no answer: " + o.err.Error()
	}
	return fmt.Sprintf("answered %d", o.status)
}
