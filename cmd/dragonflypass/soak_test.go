package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/standin/interrupter"
	"github.com/dragonflypass/dragonflypass/standin/runner"
	"github.com/dragonflypass/dragonflypass/standin/storer"
)

var (
	soakFirst = flag.Uint64("soak.first", 1, "first seed of the soak")
	soakSeeds = flag.Int("soak.seeds", 1, "number of seeds of the soak")
	soakTime  = flag.Duration("soak.time", 8*time.Second, "time during which faults are injected for each seed")
	soakVMs   = flag.Int("soak.vms", 3, "number of entry VMs")
)

// TestSoak runs entry VMs as processes and injects faults from outside, in series and at the same time, that the seed
// chooses: signals, restarts, faults and restores of the store, faults of the servers and of the connections to them, changes of
// the configuration. What callers receive and servers run must keep the guarantees throughout, and all must recover.
func TestSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := startSoak(qt.New(t), seed)
			s.run(*soakTime)
			s.checkRecovery()
			s.checkRevocation()
		})
	}
}

// soak is a site under random faults.
type soak struct {
	*site
	random     *rand.Rand
	storeLinks []*interrupter.Interrupter
	// mutex protects the fields below and the servers of the site.
	mutex       sync.Mutex
	serverLinks map[*runner.Runner]*interrupter.Interrupter
	results     []*result
	started     int
	// busy marks the VMs with a signal or restart in progress.
	busy    map[int]bool
	faults  sync.WaitGroup
	callers sync.WaitGroup
}

func startSoak(c *qt.C, seed uint64) *soak {
	s := &soak{
		site: &site{c: c, store: storer.New(), fleet: runner.NewFleet()}, random: rand.New(rand.NewPCG(seed, 0)),
		serverLinks: make(map[*runner.Runner]*interrupter.Interrupter), busy: make(map[int]bool),
	}
	s.server = httptest.NewServer(s.store.Handler())
	c.Cleanup(s.server.Close)
	s.configure("key-one")
	for range 3 {
		s.addServer("plain")
		s.addServer("models")
	}
	for i := range *soakVMs {
		link := s.link(netip.MustParseAddrPort(s.server.Listener.Addr().String()))
		s.storeLinks = append(s.storeLinks, link.Interrupter)
		s.vms = append(s.vms, s.startVMWithStore(fmt.Sprintf("vm-%d", i), link.address.String()))
	}
	for _, vm := range s.vms {
		s.waitFor(vm.ready)
	}
	return s
}

// startedLink is an interrupter with the address on which it listens.
type startedLink struct {
	*interrupter.Interrupter
	address netip.AddrPort
}

func (s *soak) link(target netip.AddrPort) startedLink {
	link := &interrupter.Interrupter{Target: target, Delay: 50 * time.Millisecond}
	address, err := link.Start()
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(link.Close)
	return startedLink{link, address}
}

// addServer starts a server of the service behind an interrupter.
func (s *soak) addServer(service string) {
	var costModel *dragonflypass.EngineCostModel
	if service == "models" {
		costModel = &dragonflypass.EngineCostModel{
			Slots: 16, KVCapacity: 100_000, StepsPerPass: 8, PrefillChunk: 2048, StepTime: time.Millisecond, StepTimePerRequest: 10 * time.Microsecond,
			PrefillRate: 200_000, PairTime: 10 * time.Microsecond, MeanOutputTokens: 160,
		}
	}
	s.mutex.Lock()
	s.started++
	id := fmt.Sprintf("%s-%d", service, s.started)
	s.mutex.Unlock()
	r := &runner.Runner{ID: id, Service: service, Zone: "a", CostModel: costModel, ServiceTime: 5 * time.Millisecond, Store: s.store, Fleet: s.fleet}
	var link startedLink
	r.Advertise = func(address netip.AddrPort) netip.AddrPort {
		link = s.link(address)
		return link.address
	}
	s.c.Assert(r.Start(), qt.IsNil)
	s.c.Cleanup(r.Kill)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.serverLinks[r] = link.Interrupter
	if service == "models" {
		s.modelServers = append(s.modelServers, r)
	} else {
		s.plainServers = append(s.plainServers, r)
	}
}

// between returns a random duration.
func (s *soak) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// run sends requests and injects faults for the given time, and ends all faults.
func (s *soak) run(duration time.Duration) {
	stop := make(chan struct{})
	for vm := range s.vms {
		for worker := range 3 {
			s.callers.Go(func() { s.sendUntil(stop, vm, worker) })
		}
	}
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		s.injectFault()
		time.Sleep(s.between(50*time.Millisecond, 600*time.Millisecond))
	}
	s.faults.Wait()
	close(stop)
	s.callers.Wait()
	for _, got := range s.results {
		s.checkResult(got)
		s.c.Check(got.timedOut(), qt.IsFalse, qt.Commentf("%+v had no answer long after its time", got))
	}
}

// timedOut reports whether the caller gave up waiting, which exceeds the time limits of all routes.
func (r *result) timedOut() bool {
	var timeout interface{ Timeout() bool }
	return errors.As(r.err, &timeout) && timeout.Timeout()
}

// sendUntil sends one request after the other to the VM, of all kinds.
func (s *soak) sendUntil(stop chan struct{}, vm, worker int) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		kind, tokens := []string{"read", "write", "stream", "stream"}[i%4], []int{0, 0, 900, 30_000}[i%4]
		got := s.send(vm, kind, fmt.Sprintf("%d-%d-%d", vm, worker, i), "key-one", tokens)
		s.mutex.Lock()
		s.results = append(s.results, got)
		s.mutex.Unlock()
		if got.err != nil {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// injectFault starts a random fault that ends by itself.
func (s *soak) injectFault() {
	kind, duration := s.random.IntN(11), s.between(300*time.Millisecond, 3*time.Second)
	vm, choice := s.random.IntN(len(s.vms)), s.random.IntN(1<<20)
	s.faults.Go(func() {
		switch kind {
		case 0, 1, 2:
			s.signal(vm, []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL, syscall.SIGSTOP}[kind], duration)
		case 3:
			s.store.SetFault([]storer.Fault{storer.Down, storer.ResponseLost}[choice%2])
			time.Sleep(duration)
			s.store.SetFault(storer.Healthy)
		case 4:
			s.interrupt(s.storeLinks[vm], choice, duration)
		case 5, 6:
			r := s.pickServer(choice)
			r.SetFault([]runner.Fault{runner.Silent, runner.Resetting, runner.Failing, runner.Full, runner.Foreign}[choice%5])
			time.Sleep(duration)
			r.SetFault(runner.Healthy)
		case 7:
			r := s.pickServer(choice)
			s.mutex.Lock()
			link := s.serverLinks[r]
			s.mutex.Unlock()
			s.interrupt(link, choice, duration)
		case 8:
			s.replaceServer(s.pickServer(choice), choice%2 == 0)
		case 9:
			s.configure("key-one")
		case 10:
			s.mutex.Lock()
			servers := s.servers()
			s.mutex.Unlock()
			age := time.Duration(choice%5000) * time.Millisecond
			s.restore(servers, age, duration/6, duration/2)
			s.configure("key-one")
		}
	})
}

func (s *soak) interrupt(link *interrupter.Interrupter, choice int, duration time.Duration) {
	link.SetFault(interrupter.Fault(1 + choice%4))
	time.Sleep(duration)
	link.SetFault(interrupter.Healthy)
}

func (s *soak) pickServer(choice int) *runner.Runner {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if choice%2 == 0 {
		return s.plainServers[choice/2%len(s.plainServers)]
	}
	return s.modelServers[choice/2%len(s.modelServers)]
}

// replaceServer starts another server and takes the given one away, drained or not.
func (s *soak) replaceServer(r *runner.Runner, drained bool) {
	s.addServer(r.Service)
	if drained {
		r.Drain()
		time.Sleep(3 * time.Second)
	}
	r.Kill()
	time.Sleep(time.Second)
	r.Unregister()
}

// signal sends the signal to the process of the VM, and starts or continues it after a while.
func (s *soak) signal(vm int, signal syscall.Signal, duration time.Duration) {
	s.mutex.Lock()
	if s.busy[vm] {
		s.mutex.Unlock()
		return
	}
	s.busy[vm] = true
	s.mutex.Unlock()
	p := s.vms[vm]
	s.c.Check(p.command.Process.Signal(signal), qt.IsNil)
	if signal == syscall.SIGSTOP {
		time.Sleep(duration)
		s.c.Check(p.command.Process.Signal(syscall.SIGCONT), qt.IsNil)
	} else {
		s.awaitExit(p, signal)
		s.c.Check(p.start(), qt.IsNil)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.busy[vm] = false
}

// awaitExit waits for the exit of the process, which must be an orderly one within the grace period after SIGTERM.
func (s *soak) awaitExit(p *process, signal syscall.Signal) {
	const gracePeriod = 8 * time.Second
	select {
	case <-p.exited:
	case <-time.After(gracePeriod):
		s.c.Check(false, qt.IsTrue, qt.Commentf("the process runs %s after signal %s", gracePeriod, signal))
		_ = p.command.Process.Kill()
		<-p.exited
	}
	if signal == syscall.SIGTERM {
		s.c.Check(p.command.ProcessState.ExitCode(), qt.Equals, 0)
	}
}

// checkRecovery checks that all VMs serve again, that no memory is left reserved, and that the logs are well formed and
// contain no key.
func (s *soak) checkRecovery() {
	for i, vm := range s.vms {
		s.waitFor(vm.ready)
		s.waitFor(func() bool {
			return s.send(i, "stream", fmt.Sprintf("after-%d-%d", i, time.Now().UnixNano()), "key-one", 900).status == http.StatusOK
		})
	}
	s.waitFor(func() bool {
		total := 0
		for _, r := range s.modelServers {
			running, reserved := r.Usage()
			total += running + reserved
		}
		return total == 0
	})
	for _, vm := range s.vms {
		for line := range strings.Lines(vm.log.String()) {
			s.c.Check(json.Valid([]byte(line)), qt.IsTrue, qt.Commentf("%s", line))
		}
		s.c.Check(strings.Contains(vm.log.String(), "key-one"), qt.IsFalse, qt.Commentf("the log contains an API key"))
	}
}

// checkRevocation takes the key away while one VM does not reach the store. No request with it may run after the limit, nor after a
// restore of the store from a copy in which the key is valid and a restart of a VM.
func (s *soak) checkRevocation() {
	const revokeLimit = 5 * time.Second
	s.storeLinks[0].SetFault(interrupter.ResponsesLost)
	copiedAt := time.Now()
	s.configure("key-two")
	time.Sleep(revokeLimit)
	s.checkRevoked("limit")
	s.storeLinks[0].SetFault(interrupter.Healthy)
	s.restore(s.servers(), time.Since(copiedAt), 300*time.Millisecond, 0)
	s.checkRevoked("restore")
	last := len(s.vms) - 1
	s.signal(last, syscall.SIGKILL, 0)
	s.waitFor(s.vms[last].ready)
	s.checkRevoked("restart")
}

// checkRevoked checks that no VM runs a request with the key that was taken away.
func (s *soak) checkRevoked(after string) {
	for vm := range s.vms {
		got := s.send(vm, "read", fmt.Sprintf("revoked-%s-%d", after, vm), "key-one", 0)
		s.c.Check(s.runs(got.id), qt.Equals, 0, qt.Commentf("%+v", got))
	}
}
