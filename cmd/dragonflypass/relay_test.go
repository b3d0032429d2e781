package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/standin/runner"
	"github.com/dragonflypass/dragonflypass/standin/storer"
)

// asProgram is the variable by which the test's own binary runs as the program.
const asProgram = "DRAGONFLYPASS_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is one entry VM as a process of its own.
type process struct {
	command                         *exec.Cmd
	callers, probes, peers, metrics string
	log                             output
	ended                           chan struct{}
	settings                        string
}

// output is what a process has written so far.
type output struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write takes what the process writes.
func (o *output) Write(data []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(data)
}

// String returns what has been written.
func (o *output) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.String()
}

// relays is a site on loopback: a store, backend servers and entry VMs.
type relays struct {
	c      *qt.C
	store  *storer.Storer
	server *httptest.Server
	fleet  *runner.Fleet
	plain  []*runner.Runner
	models []*runner.Runner
	vms    []*process
}

// freeAddress returns an address of loopback on which nothing listens.
func freeAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func startRelays(c *qt.C, vms, plain, models int) *relays {
	s := &relays{c: c, store: storer.New(), fleet: runner.NewFleet()}
	s.server = httptest.NewServer(s.store.Handler())
	c.Cleanup(s.server.Close)
	s.configure("key-one")
	law := &dragonflypass.EngineCostModel{
		Slots: 16, KVCapacity: 100_000, StepsPerPass: 8, PrefillChunk: 2048, StepTime: time.Millisecond, StepTimePerRequest: 10 * time.Microsecond,
		PrefillRate: 200_000, PairTime: 10 * time.Microsecond, MeanOutputTokens: 160,
	}
	for i := range plain {
		s.plain = append(s.plain, s.start(fmt.Sprintf("plain-%d", i), "plain", nil))
	}
	for i := range models {
		s.models = append(s.models, s.start(fmt.Sprintf("model-%d", i), "models", law))
	}
	for i := range vms {
		s.vms = append(s.vms, s.launch(fmt.Sprintf("vm-%d", i)))
	}
	for _, vm := range s.vms {
		s.await(func() bool { return vm.ready() })
	}
	return s
}

func (s *relays) start(id, service string, law *dragonflypass.EngineCostModel) *runner.Runner {
	r := &runner.Runner{ID: id, Service: service, Zone: "a", Law: law, Time: 5 * time.Millisecond, Store: s.store, Fleet: s.fleet}
	s.c.Assert(r.Start(), qt.IsNil)
	s.c.Cleanup(r.Kill)
	return r
}

// configure writes a routing in which the key is known.
func (s *relays) configure(key string) {
	s.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version": %d,
		"routes": [
			{"name": "read", "hostname": "desk.example", "path_prefix": "/read/", "kind": "idempotent", "service": "plain", "timeout_ms": 5000, "goal_ms": 300, "max_attempts": 3},
			{"name": "write", "hostname": "desk.example", "path_prefix": "/write/", "kind": "non_idempotent", "service": "plain", "timeout_ms": 5000, "goal_ms": 300, "max_attempts": 1},
			{"name": "stream", "hostname": "desk.example", "path_prefix": "/stream/", "kind": "streaming", "service": "models", "timeout_ms": 20000, "goal_ms": 2000, "gap_target_ms": 800, "max_attempts": 3, "resumable": true}],
		"services": [{"name": "plain", "max_conns": 200}, {"name": "models", "max_conns": 200, "engine": {"slots": 16, "kv_capacity": 100000, "stride": 8,
			"chunk": 2048, "step_ms": 1, "per_seq_ms": 0.01, "context_per_k": 0, "read_per_s": 200000, "pairs_per_m": 0.01, "usual": {"answer": 160}}}],
		"limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 2000, "idle_timeout_ms": 9000},
		"tenants": [{"name": "bank", "api_keys": [%q]}]}`, time.Now().UnixMilli(), key))
}

// launch starts the program as an entry VM.
func (s *relays) launch(name string) *process {
	p := &process{callers: freeAddress(s.c), probes: freeAddress(s.c), peers: freeAddress(s.c), metrics: freeAddress(s.c), ended: make(chan struct{})}
	seeds := []string{}
	for _, other := range s.vms {
		seeds = append(seeds, other.peers)
	}
	settings, err := json.Marshal(map[string]any{
		"name": name, "zone": "a", "seeds": seeds, "store": map[string]string{"address": s.server.Listener.Addr().String()},
		"listen": map[string]string{"callers": p.callers, "probes": p.probes, "peers": p.peers, "metrics": p.metrics},
		"times":  map[string]string{"revoke": "5s", "apply": "2s", "grace": "8s"},
		"budget": map[string]any{"ratio": 0.2, "slack": 100},
	})
	s.c.Assert(err, qt.IsNil)
	p.settings = filepath.Join(s.c.TempDir(), name+".json")
	s.c.Assert(os.WriteFile(p.settings, settings, 0o600), qt.IsNil)
	p.command = exec.Command(os.Args[0], "relay", "--settings", p.settings)
	p.command.Env = append(os.Environ(), asProgram+"=1")
	p.command.Stdout, p.command.Stderr = &p.log, &p.log
	s.c.Assert(p.command.Start(), qt.IsNil)
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	s.c.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
	})
	return p
}

// ready asks the program whether it takes connections.
func (p *process) ready() bool {
	response, err := http.Get("http://" + p.probes + "/v1/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// await waits for the condition, which must come true.
func (s *relays) await(condition func() bool) {
	s.c.Helper()
	for range 1500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, vm := range s.vms {
		s.c.Log(vm.log.String())
	}
	s.c.Fatal("the condition did not come true within 15 s")
}

// result is what a caller got.
type result struct {
	id     string
	kind   string
	vm     int
	status int
	seal   string
	ids    []int
	err    error
}

// send makes one request on a connection of its own.
func (s *relays) send(vm int, kind, id, key string, tokens int) *result {
	got := &result{id: id, kind: kind, vm: vm}
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.vms[vm].callers+"/"+kind+"/x", strings.NewReader("body of "+id))
	s.c.Assert(err, qt.IsNil)
	request.Host = "desk.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Authorization", "Bearer "+key)
	if kind == "stream" {
		request.Header.Set("Model", "m")
		request.Header.Set("Token-Counts", fmt.Sprintf("%d,160", tokens))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		got.err = err
		return got
	}
	defer func() { _ = response.Body.Close() }()
	got.status, got.seal = response.StatusCode, response.Header.Get("Response-Seal")
	reader := bufio.NewScanner(response.Body)
	for reader.Scan() {
		if number, ok := strings.CutPrefix(reader.Text(), "id: "); ok {
			n, err := strconv.Atoi(number)
			s.c.Check(err, qt.IsNil)
			got.ids = append(got.ids, n)
		}
	}
	got.err = reader.Err()
	return got
}

// runs returns how often the servers began to run the request.
func (s *relays) runs(id string) int {
	total := 0
	for _, r := range append(append([]*runner.Runner{}, s.plain...), s.models...) {
		total += r.Runs()[id]
	}
	return total
}

// events is the number of events of a whole stream: 160 tokens, eight at a time.
const events = 20

// check holds a result against what must be true of it whatever failed.
func (s *relays) check(got *result) {
	c, ran := s.c, s.runs(got.id)
	c.Helper()
	if got.kind == "write" {
		c.Check(ran <= 1, qt.IsTrue, qt.Commentf("%+v ran %d times", got, ran))
	}
	switch got.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized:
		c.Check(ran, qt.Equals, 0, qt.Commentf("%+v was said not to have run", got))
	case http.StatusOK:
		c.Check(got.seal, qt.Not(qt.Equals), "")
	}
	for i, number := range got.ids {
		c.Check(number, qt.Equals, i+1, qt.Commentf("%+v", got))
	}
	if got.kind == "stream" && got.status == http.StatusOK && got.err == nil {
		c.Check(got.ids, qt.HasLen, events, qt.Commentf("%+v looks whole", got))
	}
}

// TestRelayProcesses runs entry VMs as processes against the stand-ins and has them and the servers fail under load.
func TestRelayProcesses(t *testing.T) {
	c := qt.New(t)
	s := startRelays(c, 3, 3, 3)
	var all sync.WaitGroup
	var mutex sync.Mutex
	var results []*result
	load := func(vm, count int) {
		for i := range count {
			kind, tokens := []string{"read", "write", "stream", "stream"}[i%4], []int{0, 0, 900, 30_000}[i%4]
			got := s.send(vm, kind, fmt.Sprintf("%d-%d", vm, i), "key-one", tokens)
			mutex.Lock()
			results = append(results, got)
			mutex.Unlock()
		}
	}
	done := func() int {
		mutex.Lock()
		defer mutex.Unlock()
		return len(results)
	}
	const each = 48
	for vm := range s.vms {
		all.Go(func() { load(vm, each) })
	}
	// Faults come one after another while the requests run.
	for _, fault := range []func(){
		func() { s.store.SetFault(storer.Down) },
		func() { s.plain[0].SetFault(runner.Foreign) },
		func() { s.models[0].Kill() },
		func() { s.plain[1].SetFault(runner.Resetting) },
		func() { s.store.SetFault(storer.Healthy) },
		func() { c.Check(s.vms[0].command.Process.Signal(syscall.SIGKILL), qt.IsNil) },
		func() { s.plain[0].SetFault(runner.Full) },
		func() { c.Check(s.vms[1].command.Process.Signal(syscall.SIGTERM), qt.IsNil) },
	} {
		before := done()
		s.await(func() bool { return done() >= before+4 })
		fault()
	}
	all.Wait()
	served := make([]int, len(s.vms))
	for _, got := range results {
		s.check(got)
		if got.status == http.StatusOK && got.err == nil {
			served[got.vm]++
		}
		if got.vm == 1 && got.status == http.StatusOK {
			c.Check(got.err, qt.IsNil, qt.Commentf("%+v was cut by a planned stop", got))
		}
	}
	c.Check(served[2] > each*3/4, qt.IsTrue, qt.Commentf("%v served", served))
	<-s.vms[1].ended
	c.Check(s.vms[1].command.ProcessState.ExitCode(), qt.Equals, 0)
	s.await(func() bool {
		total := 0
		for _, r := range s.models[1:] {
			running, reserved := r.Busy()
			total += running + reserved
		}
		return total == 0
	})
	checkLog(c, s.vms[1], "started", "stopping", "stopped", "store lost", "store regained", "request ended")
}

// checkLog checks that all lines are JSON, and that lines with the messages are among them.
func checkLog(c *qt.C, p *process, messages ...string) {
	c.Helper()
	seen := make(map[string]bool)
	for text := range strings.Lines(p.log.String()) {
		var line struct {
			Message string `json:"msg"`
			VM      string `json:"vm"`
		}
		c.Check(json.Unmarshal([]byte(text), &line), qt.IsNil, qt.Commentf("%s", text))
		c.Check(line.VM, qt.Not(qt.Equals), "")
		seen[line.Message] = true
	}
	for _, message := range messages {
		c.Check(seen[message], qt.IsTrue, qt.Commentf("no line %q", message))
	}
	c.Check(strings.Contains(p.log.String(), "key-one"), qt.IsFalse, qt.Commentf("a key in the log"))
}

// TestRelayAnswersOperators reads the metrics and the dump, has the settings read anew and a key taken away.
func TestRelayAnswersOperators(t *testing.T) {
	c := qt.New(t)
	s := startRelays(c, 2, 1, 1)
	c.Check(s.send(0, "read", "a", "key-one", 0).status, qt.Equals, http.StatusOK)
	c.Check(s.send(0, "read", "b", "key-two", 0).status, qt.Equals, http.StatusUnauthorized)
	c.Check(s.send(1, "none", "c", "key-one", 0).status, qt.Equals, http.StatusNotFound)
	s.configure("key-two")
	s.await(func() bool { return s.send(0, "read", "d", "key-one", 0).status == http.StatusUnauthorized })
	s.await(func() bool { return s.send(1, "read", "e", "key-two", 0).status == http.StatusOK })

	c.Check(page(c, "http://"+s.vms[0].metrics+"/metrics"), qt.Contains, `requests_ended{service="plain",outcome="answered"`)
	c.Check(json.Valid([]byte(page(c, "http://"+s.vms[0].metrics+"/debug/state"))), qt.IsTrue)

	vm := s.vms[0]
	data, err := os.ReadFile(vm.settings)
	c.Assert(err, qt.IsNil)
	says := func(text string) { s.await(func() bool { return strings.Contains(vm.log.String(), text) }) }
	c.Assert(vm.command.Process.Signal(syscall.SIGUSR1), qt.IsNil)
	says(`"incarnation": `)
	c.Assert(vm.command.Process.Signal(syscall.SIGHUP), qt.IsNil)
	says(`"msg":"settings read anew"`)
	c.Assert(os.WriteFile(vm.settings, []byte("{"), 0o600), qt.IsNil)
	c.Assert(vm.command.Process.Signal(syscall.SIGHUP), qt.IsNil)
	says(`"msg":"settings rejected"`)
	c.Check(s.send(0, "read", "f", "key-two", 0).status, qt.Equals, http.StatusOK)
	c.Assert(os.WriteFile(vm.settings, data, 0o600), qt.IsNil)
	c.Assert(vm.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	<-vm.ended
}

func page(c *qt.C, address string) string {
	response, err := http.Get(address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	data, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return string(data)
}
