package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass/internal/fake"
	"github.com/dragonflypass/dragonflypass/platform"
	"github.com/dragonflypass/dragonflypass/standin/runner"
)

// servers returns all backend servers.
func (s *site) servers() []*runner.Runner {
	return append(append([]*runner.Runner{}, s.plainServers...), s.modelServers...)
}

// restore restores the store from a copy of the given age, after an outage, and has the servers write their entries again some time
// after it.
func (s *site) restore(servers []*runner.Runner, age, outage, rewriteDelay time.Duration) {
	s.store.Restore(age, outage)
	time.Sleep(outage + rewriteDelay)
	for _, r := range servers {
		r.Reregister()
	}
}

// TestRelayProcessesFollowRestoredStore restores the store twice within seconds from copies in which a revoked key is valid, while
// one VM after the other is killed and starts again. Nothing may run with the key, the VMs that stay up must go on serving the
// other key, and all must register themselves and follow later changes.
func TestRelayProcessesFollowRestoredStore(t *testing.T) {
	c := qt.New(t)
	s := startSite(c, 3, 2, 1)
	copiedAt := time.Now()
	for range 3 {
		s.configure("key-two")
	}
	for vm := range s.vms {
		s.waitFor(func() bool { return s.send(vm, "read", "old", "key-one", 0).status == http.StatusUnauthorized })
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for vm := range s.vms {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				revoked, valid := fmt.Sprintf("revoked-%d-%d", vm, i), fmt.Sprintf("valid-%d-%d", vm, i)
				got := s.send(vm, "read", revoked, "key-one", 0)
				c.Check(s.runs(revoked), qt.Equals, 0, qt.Commentf("%+v", got))
				got = s.send(vm, "read", valid, "key-two", 0)
				if vm == 2 {
					c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", got))
				}
			}
		})
	}
	for vm := range 2 {
		go func() {
			p := s.vms[vm]
			c.Check(p.command.Process.Signal(syscall.SIGKILL), qt.IsNil)
			<-p.exited
			time.Sleep(300 * time.Millisecond)
			c.Check(p.start(), qt.IsNil)
		}()
		s.restore(s.servers(), time.Since(copiedAt), 300*time.Millisecond, time.Second)
		s.waitFor(s.vms[vm].ready)
	}
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()

	s.configure("key-three")
	for vm := range s.vms {
		s.waitFor(func() bool { return s.send(vm, "read", "new", "key-three", 0).status == http.StatusOK })
		s.waitFor(func() bool { return s.send(vm, "stream", "new", "key-three", 900).status == http.StatusOK })
	}
	store := platform.NewStore(netip.MustParseAddrPort(s.server.Listener.Addr().String()))
	store.Meter = fake.NewMeter()
	c.Cleanup(store.Close)
	s.waitFor(func() bool {
		vms, err := store.VMs(context.Background())
		return err == nil && len(vms) == len(s.vms)
	})
	checkLog(c, s.vms[2], "store restored")
}
