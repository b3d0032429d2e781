package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dragonflypass/dragonflypass/standin/storer"
)

// The figures of the small deployments, as the platform puts them into the settings of each process.
const (
	memoryMiB      = 284
	maxDescriptors = 4100
	revokeLimit    = 5 * time.Second
	stableTime     = 3 * time.Second
	host           = "desk.example"
)

var (
	errNoPort   = errors.New("no free port found")
	errNotReady = errors.New("an entry VM did not become ready")
)

// site is a small deployment on loopback.
type site struct {
	program string
	folder  string
	record  *record
	store   *storer.Storer
	// storeServer serves the store at storeAddress.
	storeServer  *http.Server
	storeAddress string
	vms          []*vm
	servers      []*server

	mutex  sync.Mutex
	closed bool
	ports  map[int]bool

	// deadly are the deadly requests that have reached servers.
	deadlyMutex sync.Mutex
	deadly      []deadlyArrival
}

// addDeadly records that a deadly request has reached a server.
func (s *site) addDeadly(id string) {
	s.deadlyMutex.Lock()
	defer s.deadlyMutex.Unlock()
	s.deadly = append(s.deadly, deadlyArrival{id: id, at: time.Now()})
}

func newSite(program string, record *record) (*site, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "stage")
	if err != nil {
		return nil, err
	}
	s := &site{program: program, folder: folder, record: record, store: storer.New(), ports: make(map[int]bool)}
	port, err := s.freePort()
	if err != nil {
		return nil, err
	}
	s.storeAddress = fmt.Sprintf("127.0.0.1:%d", port)
	listener, err := net.Listen("tcp", s.storeAddress)
	if err != nil {
		return nil, err
	}
	s.storeServer = &http.Server{Handler: s.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.storeServer.Serve(listener) }()
	return s, nil
}

// close ends all processes and servers and removes the temporary folder.
func (s *site) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	for _, v := range s.vms {
		v.end()
	}
	for _, other := range s.servers {
		other.stop()
	}
	_ = s.storeServer.Close()
	_ = os.RemoveAll(s.folder)
}

// freePort returns the number of an unused port, each only once. It is below those of outgoing connections.
func (s *site) freePort() (int, error) {
	const firstPort, portCount = 10_000, 20_000
	for range 200 {
		port := firstPort + rand.IntN(portCount)
		if s.ports[port] {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		s.ports[port] = true
		return port, nil
	}
	return 0, errNoPort
}

// vm is an entry VM that runs as a process of its own.
type vm struct {
	name, zone                      string
	callers, probes, peers, metrics string
	settings                        string
	site                            *site

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	ended   bool
	// kills is the number of times that the platform has killed the process because of its memory, and peakMiB the highest resident
	// memory that it has seen.
	kills   int
	peakMiB int
}

// startVMs starts entry VMs in three zones.
func (s *site) startVMs(count int) error {
	var seeds []string
	for i := range count {
		v := &vm{site: s, zone: string(rune('a' + i%3))}
		v.name = fmt.Sprintf("edge-%s-%d", v.zone, i/3+1)
		for _, address := range []*string{&v.callers, &v.probes, &v.peers, &v.metrics} {
			port, err := s.freePort()
			if err != nil {
				return err
			}
			*address = fmt.Sprintf("127.0.0.1:%d", port)
		}
		if len(seeds) < 3 {
			seeds = append(seeds, v.peers)
		}
		s.vms = append(s.vms, v)
	}
	for _, v := range s.vms {
		if err := v.writeSettings(seeds, s.storeAddress); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range s.vms {
		if err := v.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings as the platform renders them from deploy/settings.tmpl.
func (v *vm) writeSettings(seeds []string, store string) error {
	data, err := json.Marshal(map[string]any{
		"name": v.name, "zone": v.zone,
		"listen": map[string]string{"callers": v.callers, "probes": v.probes, "peers": v.peers, "metrics": v.metrics},
		"seeds":  seeds, "store": map[string]string{"address": store},
		"limits": map[string]any{"memory": memoryMiB, "share": 0.4, "speed": 1},
		"times":  map[string]string{"revoke": "5000ms", "apply": "2000ms", "grace": "8s"},
		"budget": map[string]any{"ratio": 0.2, "slack": 100},
	})
	if err != nil {
		return err
	}
	v.settings = filepath.Join(v.site.folder, v.name+".json")
	return os.WriteFile(v.settings, data, 0o600)
}

// start starts the process with the command of the deploy file and the number of descriptors of the deployment.
func (v *vm) start() error {
	output, err := os.OpenFile(filepath.Join(v.site.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.ended {
		return nil
	}
	script := fmt.Sprintf("ulimit -n %d; exec %s relay --settings %s", maxDescriptors, v.site.program, v.settings)
	command, exited := exec.Command("/bin/sh", "-c", script), make(chan struct{})
	command.Stdout, command.Stderr = output, output
	command.Env = append(os.Environ(), "DRAGONFLYPASS_SETTINGS="+v.settings)
	if err := command.Start(); err != nil {
		return err
	}
	v.command, v.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	v.site.record.add("%s: process %d started", v.name, command.Process.Pid)
	return nil
}

// end ends the process for good.
func (v *vm) end() {
	v.mutex.Lock()
	v.ended = true
	command, exited := v.command, v.exited
	v.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGKILL)
	<-exited
}

// current returns the process in use.
func (v *vm) current() (*exec.Cmd, chan struct{}) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.command, v.exited
}

// ready reports whether the readiness check of the platform succeeds.
func (v *vm) ready() bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + v.probes + names.Readiness)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (v *vm) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if v.ready() {
			return nil
		}
	}
	return errNotReady
}

// residentMiB returns the resident memory of the process in MiB, zero if it has ended.
func (v *vm) residentMiB() int {
	command, _ := v.current()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			var kilobytes int
			if _, err := fmt.Sscan(text, &kilobytes); err == nil {
				return kilobytes >> 10
			}
		}
	}
	return 0
}

// limitMemory does what the platform does: it kills the process whenever it exceeds its memory, and starts it again.
func (v *vm) limitMemory() {
	const interval, restartDelay = 10 * time.Millisecond, 500 * time.Millisecond
	for ; ; time.Sleep(interval) {
		v.mutex.Lock()
		ended := v.ended
		v.mutex.Unlock()
		if ended {
			return
		}
		resident := v.residentMiB()
		v.mutex.Lock()
		v.peakMiB = max(v.peakMiB, resident)
		v.mutex.Unlock()
		if resident <= memoryMiB {
			continue
		}
		command, exited := v.current()
		_ = command.Process.Signal(syscall.SIGKILL)
		<-exited
		v.mutex.Lock()
		v.kills++
		v.mutex.Unlock()
		v.site.record.add("%s: process %d has %d MB of %d MB and is killed by the platform", v.name, command.Process.Pid, resident, memoryMiB)
		time.Sleep(restartDelay)
		if v.start() != nil {
			return
		}
	}
}

// memoryKills returns how often the platform has killed the process, and its highest resident memory.
func (v *vm) memoryKills() (kills, peakMiB int) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.kills, v.peakMiB
}
