package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass/standin/keeper"
	"github.com/dragonflypass/dragonflypass/standin/recorder"
	"github.com/dragonflypass/dragonflypass/standin/starter"
)

// The size of the crowd, and the memory in the settings of the processes, which their resident memory must not exceed. The numbers of
// large bodies that are sent at once and of connections exceed the bounds if a process holds them all. make test uses the defaults.
var (
	crowdMemoryMiB   = flag.Int("crowd.memory", 96, "memory of the processes that meet a crowd, in MB")
	crowdBodies      = flag.Int("crowd.bodies", 100, "number of large bodies of a crowd")
	crowdConnections = flag.Int("crowd.connections", 1500, "number of connections of a crowd")
)

const (
	// crowdDescriptorsPerMiB is the bound on open descriptors for each MB of memory.
	crowdDescriptorsPerMiB = 10
	// crowdBodyBytes is the limit of the operators on the size of a body.
	crowdBodyBytes = 4 << 20
	// crowdTime is the maximum time in which a client of the crowd sends its data.
	crowdTime = 3 * time.Second
)

// crowd is a number of clients that exceed the limits together.
type crowd struct {
	connections int
	// send sends the data of one client. The connection stays open afterwards.
	send func(conn io.Writer, index int)
}

// chunkedHead returns the head of a request whose body is sent in chunks.
func chunkedHead(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: crowd\r\nAuthorization: Bearer key-one\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// lengthHead returns the head of a request with a body of the announced length.
func lengthHead(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: crowd\r\nAuthorization: Bearer key-one\r\nContent-Length: %d\r\n\r\n", path, length)
}

// sendChunks sends a chunked body of that many bytes without its end. Each chunk has the size, and the extension after it.
func sendChunks(conn io.Writer, path string, bytesToSend, size int, extension string) {
	if _, err := io.WriteString(conn, chunkedHead(path)); err != nil {
		return
	}
	chunk := fmt.Appendf(nil, "%x%s\r\n%s\r\n", size, extension, strings.Repeat("x", size))
	// Small chunks are written several at a time.
	perWrite := max(1, 16<<10/len(chunk))
	text := bytes.Repeat(chunk, perWrite)
	for sent := 0; sent+size*perWrite < bytesToSend; sent += size * perWrite {
		if _, err := conn.Write(text); err != nil {
			return
		}
	}
}

// crowds returns the crowds for the path, by name.
func crowds(path string) map[string]crowd {
	return map[string]crowd{
		"a large chunks": {*crowdBodies, func(conn io.Writer, _ int) { sendChunks(conn, path, crowdBodyBytes, 64<<10, "") }},
		"b small chunks": {*crowdConnections, func(conn io.Writer, index int) {
			switch index % 3 {
			case 0:
				sendChunks(conn, path, 32<<10, 1, "")
			case 1:
				sendChunks(conn, path, 17, 1, ";name="+strings.Repeat("v", 1000))
			case 2:
				sendChunks(conn, path, 8<<10, 1, "")
				_, _ = io.WriteString(conn, "0\r\n"+strings.Repeat("Trailer: "+strings.Repeat("v", 100)+"\r\n", 20+40*(index%2)))
			}
		}},
		"c announced over the limit": {*crowdConnections, func(conn io.Writer, _ int) {
			_, _ = io.WriteString(conn, lengthHead(path, 1<<30)+strings.Repeat("x", 16<<10))
		}},
		"d announced at the limit": {*crowdConnections, func(conn io.Writer, _ int) {
			_, _ = io.WriteString(conn, lengthHead(path, crowdBodyBytes))
		}},
		"e sent over the limit": {*crowdBodies, func(conn io.Writer, _ int) { sendChunks(conn, path, 4*crowdBodyBytes, 64<<10, "") }},
		"f heads without end": {*crowdConnections, func(conn io.Writer, index int) {
			if index%2 == 0 {
				_, _ = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: desk.example\r\n"+strings.Repeat("Field: "+strings.Repeat("v", 100)+"\r\n", 100))
			}
		}},
	}
}

// target is a process of the system that a crowd meets.
type target struct {
	process
	// ports are the addresses that a crowd meets besides the one for callers, by name.
	ports map[string]string
	// ordinary makes an ordinary request from the address and returns its status.
	ordinary func(client string) (int, error)
}

// TestCrowds sends crowds of clients outside the limits to processes with little memory. A process must live, stay within its
// memory and a bound on descriptors, and answer an ordinary request during the crowd and afterwards.
func TestCrowds(t *testing.T) {
	c := qt.New(t)
	program := filepath.Join(c.TempDir(), "dragonflypass")
	// The race detector multiplies the memory of a program, so the processes run without it.
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", output))
	for name, crowd := range crowds("/read/x") {
		c.Run("relay "+name, func(c *qt.C) {
			r := startCrowdRelay(c, program)
			meetCrowd(c, r, r.callerAddress, crowd)
		})
	}
	for name, crowd := range crowds("/services/" + starter.ServiceName + "/x") {
		c.Run("serve "+name, func(c *qt.C) {
			s := startCrowdServe(c, program)
			meetCrowd(c, s, s.callerAddress, crowd)
		})
	}
	c.Run("g other ports of relay", func(c *qt.C) {
		for _, port := range []string{"probes", "peers", "metrics"} {
			c.Run(port, func(c *qt.C) {
				r := startCrowdRelay(c, program)
				meetCrowd(c, r, r.ports[port], crowdOfAll("/"))
			})
		}
	})
	c.Run("g other ports of serve", func(c *qt.C) {
		for _, port := range []string{"peers", "admin"} {
			c.Run(port, func(c *qt.C) {
				s := startCrowdServe(c, program)
				meetCrowd(c, s, s.ports[port], crowdOfAll("/config/changes"))
			})
		}
	})
}

// crowdOfAll returns a crowd whose clients belong to all the others in turn.
func crowdOfAll(path string) crowd {
	all := make([]crowd, 0, 6)
	for _, other := range crowds(path) {
		all = append(all, other)
	}
	return crowd{*crowdConnections, func(conn io.Writer, index int) { all[index%len(all)].send(conn, index/len(all)) }}
}

// meetCrowd sends the crowd to the address of the process and checks what must hold.
func meetCrowd(c *qt.C, p *target, address string, crowd crowd) {
	var descriptors atomic.Int64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				descriptors.Store(max(descriptors.Load(), int64(p.descriptors())))
			}
		}
	}()
	connections := make([]net.Conn, crowd.connections)
	var opened, sent sync.WaitGroup
	for i := range connections {
		opened.Go(func() {
			conn, err := net.DialTimeout("tcp", address, crowdTime)
			if err == nil {
				connections[i] = conn
			}
		})
	}
	opened.Wait()
	for i, conn := range connections {
		if conn != nil {
			_ = conn.SetDeadline(time.Now().Add(crowdTime))
			sent.Go(func() { crowd.send(conn, i) })
		}
	}
	sent.Wait()
	status, err := p.ordinary("127.0.0.2")
	c.Check(err, qt.IsNil, qt.Commentf("ordinary request during the crowd"))
	c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("ordinary request during the crowd"))
	for _, conn := range connections {
		if conn != nil {
			_ = conn.Close()
		}
	}
	status, err = p.ordinary("127.0.0.1")
	c.Check(err, qt.IsNil, qt.Commentf("ordinary request after the crowd"))
	c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("ordinary request after the crowd"))
	close(stop)
	<-stopped
	resident := p.peakMemoryMiB()
	c.Logf("resident memory %d MB, descriptors %d", resident, descriptors.Load())
	c.Check(resident <= *crowdMemoryMiB, qt.IsTrue, qt.Commentf("resident memory of %d MB", resident))
	c.Check(descriptors.Load() <= int64(crowdDescriptorsPerMiB**crowdMemoryMiB), qt.IsTrue, qt.Commentf("%d open descriptors", descriptors.Load()))
	select {
	case <-p.exited:
		c.Errorf("the process has ended: %s", p.log.String())
	default:
	}
}

// descriptors returns the number of open descriptors of the process.
func (p *target) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(entries)
}

// peakMemoryMiB returns the highest resident memory of the process so far, or a high value if the process has ended.
func (p *target) peakMemoryMiB() int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			return kilobytes >> 10
		}
	}
	return 1 << 20
}

// run starts the program with the settings and ends it with the test.
func (p *target) run(c *qt.C, program, command string, settings map[string]any) {
	data, err := json.Marshal(settings)
	c.Assert(err, qt.IsNil)
	p.settingsFile = filepath.Join(c.TempDir(), "settings.json")
	c.Assert(os.WriteFile(p.settingsFile, data, 0o600), qt.IsNil)
	p.command, p.exited = exec.Command(program, command, "--settings", p.settingsFile), make(chan struct{})
	p.command.Stdout, p.command.Stderr = &p.log, &p.log
	c.Assert(p.command.Start(), qt.IsNil)
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	c.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.exited
	})
}

// sendOrdinary sends a request with a body of 30 KB from the client address on a new connection and returns the status.
func sendOrdinary(client, target, host, key string) (int, error) {
	const bodyBytes = 30 << 10
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(strings.Repeat("x", bodyBytes)))
	if err != nil {
		return 0, err
	}
	request.Host = host
	request.Header.Set("Attempt-Id", "ordinary-"+client)
	request.Header.Set("Authorization", "Bearer "+key)
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(client)}}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}).Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// startCrowdRelay starts an entry VM of the platform with two plain servers.
func startCrowdRelay(c *qt.C, program string) *target {
	s := startSite(c, 0, 2, 0)
	s.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version": %d,
		"routes": [{"name": "read", "hostname": "desk.example", "path_prefix": "/read/", "kind": "idempotent", "service": "plain", "timeout_ms": 5000, "goal_ms": 300, "max_attempts": 3}],
		"services": [{"name": "plain", "max_conns": 200}],
		"limits": {"max_header_bytes": 16384, "max_body_bytes": %d, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": [{"name": "bank", "api_keys": ["key-one"]}]}`, time.Now().Add(time.Second).UnixMilli(), crowdBodyBytes))
	p := &target{process: process{callerAddress: freeAddress(c), probeAddress: freeAddress(c)}}
	p.ports = map[string]string{"probes": p.probeAddress, "peers": freeAddress(c), "metrics": freeAddress(c)}
	p.run(c, program, "relay", map[string]any{
		"name": "vm-0", "zone": "a", "store": map[string]string{"address": s.server.Listener.Addr().String()},
		"listen": map[string]string{"callers": p.callerAddress, "probes": p.probeAddress, "peers": p.ports["peers"], "metrics": p.ports["metrics"]},
		"times":  map[string]string{"revoke": "5s", "apply": "2s", "grace": "8s"},
		"budget": map[string]any{"ratio": 0.2, "slack": 100},
		"limits": map[string]any{"memory": *crowdMemoryMiB, "header": "3s", "idle": "15s"},
	})
	p.ordinary = func(client string) (int, error) {
		return sendOrdinary(client, "http://"+p.callerAddress+"/read/x", "desk.example", "key-one")
	}
	s.waitFor(func() bool {
		status, _ := p.ordinary("127.0.0.1")
		return p.ready() && status == http.StatusOK
	})
	return p
}

// startCrowdServe starts an entry VM of a site with one service.
func startCrowdServe(c *qt.C, program string) *target {
	const secret = "crowd-secret"
	platform := httptest.NewServer(keeper.New(time.Hour).Handler())
	c.Cleanup(platform.Close)
	service := httptest.NewServer(recorder.New().Handler())
	c.Cleanup(service.Close)
	p := &target{process: process{callerAddress: freeAddress(c)}, ports: map[string]string{"peers": freeAddress(c), "admin": freeAddress(c)}}
	p.run(c, program, "serve", map[string]any{
		"name": "vm-0", "zone": "a", "platform": map[string]any{"address": platform.Listener.Addr().String()},
		"listen": map[string]string{"callers": p.callerAddress, "peers": p.ports["peers"], "admin": p.ports["admin"]},
		"peers":  map[string]any{"secret": map[string]string{"value": secret}}, "admin": map[string]any{"secret": map[string]string{"value": secret}},
		"limits": serveCrowdLimits(),
	})
	p.ordinary = func(client string) (int, error) {
		return sendOrdinary(client, "http://"+p.callerAddress+"/services/"+starter.ServiceName+"/x", "", "key-one")
	}
	change := fmt.Sprintf(`{"id": "first", "author": "test", "at": %q, "edits": [
		{"key": {"section": "service", "name": %[2]q}, "item": {"service": {"id": %[2]q, "rank": "urgent", "remember": "72h", "endpoints": [{"address": %[3]q, "zone": "a"}]}}},
		{"key": {"section": "account", "name": "bank"}, "item": {"account": {"id": "bank", "keys": [%[4]q], "services": [%[2]q], "rank": "normal", "weight": 1}}}]}`,
		time.Now().Format(time.RFC3339), starter.ServiceName, service.Listener.Addr().String(), starter.KeyHash("key-one"))
	waiting := &site{c: c}
	waiting.waitFor(func() bool {
		request, err := http.NewRequest(http.MethodPost, "http://"+p.ports["admin"]+"/config/changes", strings.NewReader(change))
		c.Assert(err, qt.IsNil)
		request.Header.Set("Authorization", "Bearer "+secret)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		text, _ := io.ReadAll(response.Body)
		if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusServiceUnavailable {
			c.Fatalf("change refused: %s", text)
		}
		return response.StatusCode == http.StatusOK
	})
	waiting.waitFor(func() bool {
		status, _ := p.ordinary("127.0.0.1")
		return status == http.StatusOK
	})
	return p
}

// serveCrowdLimits returns the limits in the settings of serve.
func serveCrowdLimits() map[string]any {
	return map[string]any{"memory": *crowdMemoryMiB, "body": crowdBodyBytes, "buffer": *crowdMemoryMiB << 18, "header": "3s", "idle": "15s"}
}
