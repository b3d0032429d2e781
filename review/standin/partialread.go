package main

import (
	"fmt"
	"sync"
	"time"
)

// The limits that the pages set for the disruptions of this case.
const (
	// turnedAway is how long the store turns one machine away, and stormCount and stormGap describe configurations in quick
	// succession. grownRoutes is the number of routes by which the configuration has grown.
	turnedAway  = 9 * time.Second
	stormCount  = 25
	stormGap    = 80 * time.Millisecond
	grownRoutes = 350
	// revokeLimit is the time after the acknowledgement after which no request with a revoked key may run.
	revokeLimit = 5 * time.Second
)

// partialRead has the store turn away the only entry VM that is left, while the configuration changes in quick succession
// and the last of these changes takes a key away. It checks that no request sent with the key more than revokeLimit after
// the acknowledgement runs.
func partialRead(s *scene) (bool, error) {
	f, err := newFleet(s)
	if err != nil {
		return false, err
	}
	defer f.close()
	kept, revoked := "key-that-stays", "key-that-goes"
	before := []tenant{{"mill", []string{kept, revoked}}, {"shop", []string{"key-of-shop"}}}
	after := []tenant{{"mill", []string{kept}}, {"shop", []string{"key-of-shop"}}}
	version := 7
	_, size := f.configure(version, grownRoutes, before)
	s.note("configuration %d has %d bytes", version, size)
	for i := range 3 {
		if err := f.add(); err != nil {
			return false, err
		}
		if err := f.addServer(fmt.Sprintf("booking%d", i), "booking", ""); err != nil {
			return false, err
		}
	}
	if err := f.startVMs(f.seedsOf); err != nil {
		return false, err
	}
	v := f.vms[0]
	const callers = 3
	stop, outcomes := make(chan struct{}), make(chan []outcome, callers)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() { outcomes <- readContinuously(v, revoked, stop) })
	}
	time.Sleep(5 * time.Second)
	if s.trouble {
		for _, other := range f.vms[1:] {
			other.kill()
			s.note("%s is killed and does not come back", other.name)
		}
		time.Sleep(2 * time.Second)
		v.door.closed.Store(true)
		s.note("the store turns %s away with 503 for %s", v.name, turnedAway)
	}
	downAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	var acknowledged time.Time
	for i := range stormCount {
		version += 2
		tenants := before
		if i == stormCount-1 {
			tenants = after
		}
		acknowledged, _ = f.configure(version, grownRoutes, tenants)
		time.Sleep(stormGap)
	}
	s.note("configuration %d without the key was acknowledged at %.3f, %d configurations in all", version, acknowledged.Sub(s.start).Seconds(), stormCount)
	time.Sleep(time.Until(downAt.Add(turnedAway)))
	v.door.closed.Store(false)
	s.note("the store serves %s again", v.name)
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	close(outcomes)
	sent := make(map[string]outcome)
	for list := range outcomes {
		for _, o := range list {
			sent[o.id] = o
		}
	}
	return countLateRuns(s, f, sent, acknowledged), nil
}

// readContinuously sends reads with the key until stop is closed.
func readContinuously(v *vm, key string, stop chan struct{}) []outcome {
	c := newCaller(v, key)
	var list []outcome
	ticker := time.NewTicker(40 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return list
		case <-ticker.C:
			list = append(list, c.send("GET", "/stock/birch", ""))
		}
	}
}

// countLateRuns reports whether requests ran that were sent more than revokeLimit after the key was taken away, and writes
// all requests to the record.
func countLateRuns(s *scene, f *fleet, sent map[string]outcome, acknowledged time.Time) bool {
	ran := make(map[string]execution)
	for _, r := range f.allRuns() {
		ran[r.id] = r
	}
	late := 0
	for id, o := range sent {
		r, hasRun := ran[id]
		text := "not run"
		if hasRun {
			text = fmt.Sprintf("run at %s for tenant %q", r.server, r.tenant)
		}
		age := o.sentAt.Sub(acknowledged)
		if hasRun && age > revokeLimit {
			late++
			text += ", LATE"
		}
		s.note("request %s sent at %.3f, %.3f s after the acknowledgement: %s, %s", id, o.sentAt.Sub(s.start).Seconds(), age.Seconds(), o.result(), text)
	}
	s.note("%d requests sent, %d run, %d of them sent more than %s after their key was taken away", len(sent), len(ran), late, revokeLimit)
	return late > 0
}
