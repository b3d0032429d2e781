package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
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

// runMainVariable is the environment variable that makes the test binary run main instead of the tests.
const runMainVariable = "DRAGONFLYPASS_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is an entry VM that runs as a separate process.
type process struct {
	command                                                  *exec.Cmd
	callerAddress, probeAddress, peerAddress, metricsAddress string
	log                                                      logBuffer
	exited                                                   chan struct{}
	settingsFile                                             string
}

// logBuffer collects the output of a process.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write appends data to the buffer.
func (b *logBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(data)
}

// String returns the output so far.
func (b *logBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}

// site consists of a store, backend servers and entry VMs on loopback.
type site struct {
	c            *qt.C
	store        *storer.Storer
	server       *httptest.Server
	fleet        *runner.Fleet
	plainServers []*runner.Runner
	modelServers []*runner.Runner
	vms          []*process
}

// usedAddresses holds the addresses that freeAddress has returned.
var usedAddresses sync.Map

// freeAddress returns a loopback address with an unused port, each only once. The port is below those that the system gives to outgoing
// connections, one of which could take it before a process listens there.
func freeAddress(c *qt.C) string {
	const firstPort, portCount = 10_000, 20_000
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		if _, used := usedAddresses.LoadOrStore(address, true); !used {
			return address
		}
	}
	c.Fatal("no unused port found")
	return ""
}

func startSite(c *qt.C, vms, plain, models int) *site {
	s := &site{c: c, store: storer.New(), fleet: runner.NewFleet()}
	s.server = httptest.NewServer(s.store.Handler())
	c.Cleanup(s.server.Close)
	s.configure("key-one")
	costModel := &dragonflypass.EngineCostModel{
		Slots: 16, KVCapacity: 100_000, StepsPerPass: 8, PrefillChunk: 2048, StepTime: time.Millisecond, StepTimePerRequest: 10 * time.Microsecond,
		PrefillRate: 200_000, PairTime: 10 * time.Microsecond, MeanOutputTokens: 160,
	}
	for i := range plain {
		s.plainServers = append(s.plainServers, s.startServer(fmt.Sprintf("plain-%d", i), "plain", nil))
	}
	for i := range models {
		s.modelServers = append(s.modelServers, s.startServer(fmt.Sprintf("model-%d", i), "models", costModel))
	}
	for i := range vms {
		s.vms = append(s.vms, s.startVM(fmt.Sprintf("vm-%d", i)))
	}
	for _, vm := range s.vms {
		s.waitFor(func() bool { return vm.ready() })
	}
	return s
}

func (s *site) startServer(id, service string, costModel *dragonflypass.EngineCostModel) *runner.Runner {
	r := &runner.Runner{ID: id, Service: service, Zone: "a", CostModel: costModel, ServiceTime: 5 * time.Millisecond, Store: s.store, Fleet: s.fleet}
	s.c.Assert(r.Start(), qt.IsNil)
	s.c.Cleanup(r.Kill)
	return r
}

// configure publishes a route table whose only API key is the given one.
func (s *site) configure(key string) {
	s.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version": %d,
		"routes": [
			{"name": "read", "hostname": "desk.example", "path_prefix": "/read/", "kind": "idempotent", "service": "plain", "timeout_ms": 5000, "goal_ms": 300, "max_attempts": 3},
			{"name": "write", "hostname": "desk.example", "path_prefix": "/write/", "kind": "non_idempotent", "service": "plain", "timeout_ms": 5000, "goal_ms": 300, "max_attempts": 1},
			{"name": "stream", "hostname": "desk.example", "path_prefix": "/stream/", "kind": "streaming", "service": "models", "timeout_ms": 20000, "goal_ms": 2000, "gap_target_ms": 800, "max_attempts": 3, "resumable": true},
			{"name": "splice", "hostname": "desk.example", "path_prefix": "/splice/", "kind": "streaming", "service": "models", "timeout_ms": 20000, "goal_ms": 2000, "gap_target_ms": 800, "max_attempts": 2, "resumable": true}],
		"services": [{"name": "plain", "max_conns": 200}, {"name": "models", "max_conns": 200, "engine": {"slots": 16, "kv_capacity": 100000, "stride": 8,
			"chunk": 2048, "step_ms": 1, "per_seq_ms": 0.01, "context_per_k": 0, "read_per_s": 200000, "pairs_per_m": 0.01, "usual": {"answer": 160}}}],
		"limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 2000, "idle_timeout_ms": 9000},
		"tenants": [{"name": "bank", "api_keys": [%q]}]}`, time.Now().UnixMilli(), key))
}

// startVM starts an entry VM as a process.
func (s *site) startVM(name string) *process {
	return s.startVMWithStore(name, s.server.Listener.Addr().String())
}

// startVMWithStore starts an entry VM that reaches the store at the address.
func (s *site) startVMWithStore(name, store string) *process {
	p := &process{callerAddress: freeAddress(s.c), probeAddress: freeAddress(s.c), peerAddress: freeAddress(s.c), metricsAddress: freeAddress(s.c)}
	seeds := []string{}
	for _, other := range s.vms {
		seeds = append(seeds, other.peerAddress)
	}
	settings, err := json.Marshal(map[string]any{
		"name": name, "zone": "a", "seeds": seeds, "store": map[string]string{"address": store},
		"listen": map[string]string{"callers": p.callerAddress, "probes": p.probeAddress, "peers": p.peerAddress, "metrics": p.metricsAddress},
		"times":  map[string]string{"revoke": "5s", "apply": "2s", "grace": "8s"},
		"budget": map[string]any{"ratio": 0.2, "slack": 100},
	})
	s.c.Assert(err, qt.IsNil)
	p.settingsFile = filepath.Join(s.c.TempDir(), name+".json")
	s.c.Assert(os.WriteFile(p.settingsFile, settings, 0o600), qt.IsNil)
	s.c.Assert(p.start(), qt.IsNil)
	s.c.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
	})
	return p
}

// start starts the process, or starts it again after its exit.
func (p *process) start() error {
	command, exited := exec.Command(os.Args[0], "relay", "--settings", p.settingsFile), make(chan struct{})
	command.Env = append(os.Environ(), runMainVariable+"=1")
	command.Stdout, command.Stderr = &p.log, &p.log
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// ready reports whether the readiness probe of the entry VM succeeds.
func (p *process) ready() bool {
	response, err := http.Get("http://" + p.probeAddress + "/v1/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// waitFor polls the condition and fails the test if it is not met within 15 s.
func (s *site) waitFor(condition func() bool) {
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
	s.c.Fatal("the condition was not met within 15 s")
}

// result is the response to one request, as its caller received it.
type result struct {
	id        string
	kind      string
	vm        int
	status    int
	signature string
	eventIDs  []int
	err       error
}

// send makes one request on a new connection.
func (s *site) send(vm int, kind, id, key string, tokens int) *result {
	got := &result{id: id, kind: kind, vm: vm}
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.vms[vm].callerAddress+"/"+kind+"/x", strings.NewReader("body of "+id))
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
	got.status, got.signature = response.StatusCode, response.Header.Get("Response-Seal")
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if number, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			n, err := strconv.Atoi(number)
			s.c.Check(err, qt.IsNil)
			got.eventIDs = append(got.eventIDs, n)
		}
	}
	got.err = scanner.Err()
	return got
}

// runs returns how many times servers started to run the request.
func (s *site) runs(id string) int {
	total := 0
	for _, r := range append(append([]*runner.Runner{}, s.plainServers...), s.modelServers...) {
		total += r.Runs()[id]
	}
	return total
}

// eventsPerStream is the number of events of a complete stream: 160 tokens, eight per event.
const eventsPerStream = 20

// checkResult checks the guarantees that every result must meet, regardless of the injected faults.
func (s *site) checkResult(got *result) {
	c, runCount := s.c, s.runs(got.id)
	c.Helper()
	if got.kind == "write" {
		c.Check(runCount <= 1, qt.IsTrue, qt.Commentf("%+v ran %d times", got, runCount))
	}
	switch got.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized:
		c.Check(runCount, qt.Equals, 0, qt.Commentf("%+v has a status that promises that it was not executed", got))
	case http.StatusOK:
		c.Check(got.signature, qt.Not(qt.Equals), "")
	}
	for i, number := range got.eventIDs {
		c.Check(number, qt.Equals, i+1, qt.Commentf("%+v", got))
	}
	if got.kind == "stream" && got.status == http.StatusOK && got.err == nil {
		c.Check(got.eventIDs, qt.HasLen, eventsPerStream, qt.Commentf("%+v ended without an error", got))
	}
}

// TestRelayProcesses runs entry VMs as processes against stand-ins and injects faults into the store, the servers
// and the VMs under load.
func TestRelayProcesses(t *testing.T) {
	c := qt.New(t)
	s := startSite(c, 3, 3, 3)
	var wg sync.WaitGroup
	var mutex sync.Mutex
	var results []*result
	sendRequests := func(vm, count int) {
		for i := range count {
			kind, tokens := []string{"read", "write", "stream", "stream"}[i%4], []int{0, 0, 900, 30_000}[i%4]
			got := s.send(vm, kind, fmt.Sprintf("%d-%d", vm, i), "key-one", tokens)
			mutex.Lock()
			results = append(results, got)
			mutex.Unlock()
		}
	}
	resultCount := func() int {
		mutex.Lock()
		defer mutex.Unlock()
		return len(results)
	}
	const requestsPerVM = 48
	for vm := range s.vms {
		wg.Go(func() { sendRequests(vm, requestsPerVM) })
	}
	// Inject the faults one after another while the requests run.
	for _, fault := range []func(){
		func() { s.store.SetFault(storer.Down) },
		func() { s.plainServers[0].SetFault(runner.Foreign) },
		func() { s.modelServers[0].Kill() },
		func() { s.plainServers[1].SetFault(runner.Resetting) },
		func() { s.store.SetFault(storer.Healthy) },
		func() { c.Check(s.vms[0].command.Process.Signal(syscall.SIGKILL), qt.IsNil) },
		func() { s.plainServers[0].SetFault(runner.Full) },
		func() { c.Check(s.vms[1].command.Process.Signal(syscall.SIGTERM), qt.IsNil) },
	} {
		before := resultCount()
		s.waitFor(func() bool { return resultCount() >= before+4 })
		fault()
	}
	wg.Wait()
	successes := make([]int, len(s.vms))
	for _, got := range results {
		s.checkResult(got)
		if got.status == http.StatusOK && got.err == nil {
			successes[got.vm]++
		}
		if got.vm == 1 && got.status == http.StatusOK {
			c.Check(got.err, qt.IsNil, qt.Commentf("%+v was interrupted by a planned shutdown", got))
		}
	}
	c.Check(successes[2] > requestsPerVM*3/4, qt.IsTrue, qt.Commentf("successful requests by VM: %v", successes))
	<-s.vms[1].exited
	c.Check(s.vms[1].command.ProcessState.ExitCode(), qt.Equals, 0)
	s.waitFor(func() bool {
		total := 0
		for _, r := range s.modelServers[1:] {
			running, reserved := r.Usage()
			total += running + reserved
		}
		return total == 0
	})
	checkLog(c, s.vms[1], "started", "stopping", "stopped", "store lost", "store regained", "request ended")
}

// checkLog checks that every line is JSON and names its VM, that each of the messages occurs, and that the log
// contains no API key.
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
		c.Check(seen[message], qt.IsTrue, qt.Commentf("message %q not logged", message))
	}
	c.Check(strings.Contains(p.log.String(), "key-one"), qt.IsFalse, qt.Commentf("the log contains an API key"))
}

// TestRelayAnswersOperators checks the metrics page, the state dump, a reload of the settings and the removal of an
// API key.
func TestRelayAnswersOperators(t *testing.T) {
	c := qt.New(t)
	s := startSite(c, 2, 1, 1)
	c.Check(s.send(0, "read", "a", "key-one", 0).status, qt.Equals, http.StatusOK)
	c.Check(s.send(0, "read", "b", "key-two", 0).status, qt.Equals, http.StatusUnauthorized)
	c.Check(s.send(1, "none", "c", "key-one", 0).status, qt.Equals, http.StatusNotFound)
	s.configure("key-two")
	s.waitFor(func() bool { return s.send(0, "read", "d", "key-one", 0).status == http.StatusUnauthorized })
	s.waitFor(func() bool { return s.send(1, "read", "e", "key-two", 0).status == http.StatusOK })

	c.Check(getPage(c, "http://"+s.vms[0].metricsAddress+"/metrics"), qt.Contains, `requests_ended{service="plain",outcome="answered"`)
	c.Check(json.Valid([]byte(getPage(c, "http://"+s.vms[0].metricsAddress+"/debug/state"))), qt.IsTrue)

	vm := s.vms[0]
	data, err := os.ReadFile(vm.settingsFile)
	c.Assert(err, qt.IsNil)
	waitForLog := func(text string) { s.waitFor(func() bool { return strings.Contains(vm.log.String(), text) }) }
	c.Assert(vm.command.Process.Signal(syscall.SIGUSR1), qt.IsNil)
	waitForLog(`"incarnation": `)
	c.Assert(vm.command.Process.Signal(syscall.SIGHUP), qt.IsNil)
	waitForLog(`"msg":"settings read anew"`)
	c.Assert(os.WriteFile(vm.settingsFile, []byte("{"), 0o600), qt.IsNil)
	c.Assert(vm.command.Process.Signal(syscall.SIGHUP), qt.IsNil)
	waitForLog(`"msg":"settings rejected"`)
	c.Check(s.send(0, "read", "f", "key-two", 0).status, qt.Equals, http.StatusOK)
	c.Assert(os.WriteFile(vm.settingsFile, data, 0o600), qt.IsNil)
	c.Assert(vm.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	<-vm.exited
}

func getPage(c *qt.C, address string) string {
	response, err := http.Get(address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	data, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return string(data)
}
