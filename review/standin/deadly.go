package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	// stableTime is the time after the end of a disruption after which calm machines are in touch.
	stableTime = 3 * time.Second
	// crashesBefore is the number of crashes after which a request may reach servers in retriesAfter more retries.
	crashesBefore = 3
	retriesAfter  = 3
	deadlyPath    = "/stock/deadly"
	// machines and servers are the numbers of entry VMs and servers.
	machines, servers = 6, 8
)

// addDeadlySite adds the entry VMs and the servers, which crash when they run the deadly request.
func (f *fleet) addDeadlySite() error {
	f.configure(7, 8, []tenant{{"mill", []string{"key-of-mill"}}, {"shop", []string{"key-of-shop"}}})
	for range machines {
		if err := f.add(); err != nil {
			return err
		}
	}
	for i := range servers {
		if err := f.addServer(fmt.Sprintf("booking%d", i), "booking", deadlyPath); err != nil {
			return err
		}
	}
	return nil
}

// sendDeadly sends the deadly request count times, at the entry VMs in turn, and returns the identifiers of the attempts
// that were sent to a machine in touch.
func (f *fleet) sendDeadly(count int, interval time.Duration, inTouch func(v *vm) bool) map[string]bool {
	sent := make(map[string]bool)
	for i := range count {
		v := f.vms[i%len(f.vms)]
		touch := inTouch(v)
		o := newCaller(v, "key-of-mill").send("GET", deadlyPath, "")
		f.scene.note("deadly request %s sent to %s, in touch %t: %s", o.id, v.name, touch, o.result())
		if touch {
			sent[o.id] = true
		}
		time.Sleep(interval)
	}
	return sent
}

// callContinuously sends sound orders, which may run once only, until stop is closed, and counts their statuses.
func callContinuously(v *vm, counts map[int]int, stop chan struct{}) {
	c := newCaller(v, "key-of-shop")
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			counts[c.send("POST", "/order/pegs", "").status]++
		}
	}
}

// countDeadlyRetries reports whether the deadly request reached servers in too many of the attempts after its third crash.
func countDeadlyRetries(f *fleet, inTouch map[string]bool) bool {
	var crashes []time.Time
	lost := 0
	for _, server := range f.servers {
		server.mutex.Lock()
		crashes = append(crashes, server.crashes...)
		lost += server.lost
		server.mutex.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := make(map[string]bool)
	for _, r := range f.allRuns() {
		if inTouch[r.id] && r.path == deadlyPath && len(crashes) >= crashesBefore && r.at.After(crashes[crashesBefore-1].Add(stableTime)) {
			late[r.id] = true
		}
	}
	f.scene.note("%d servers crashed, with %d other requests; the deadly request reached servers in %d retries that machines in touch sent later than %s after its third crash, %d are allowed",
		len(crashes), lost, len(late), stableTime, retriesAfter)
	return len(late) > retriesAfter
}
