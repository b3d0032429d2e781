package main

import (
	"sync"
	"time"
)

// silentPeers has the open connections between the entry VMs go silent, without a reset, while new ones work. Later a
// request that crashes each server that runs it comes again and again, at any machine. It checks in how many retries that
// request reaches servers later than stableTime after it has crashed the third one.
func silentPeers(s *scene) (bool, error) {
	f, err := newFleet(s)
	if err != nil {
		return false, err
	}
	defer f.close()
	n := newNetwork(f.network)
	defer n.close()
	f.store.rewrite = n.replace
	if err := f.addDeadlySite(); err != nil {
		return false, err
	}
	for _, v := range f.vms {
		if err := n.open(v.control); err != nil {
			return false, err
		}
	}
	err = f.startVMs(func(v *vm) []string {
		var seeds []string
		for _, address := range f.seedsOf(v) {
			seeds = append(seeds, n.proxyOf(address))
		}
		return seeds
	})
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	counts := make([]map[int]int, machines)
	for i, v := range f.vms {
		counts[i] = make(map[int]int)
		wg.Go(func() { callContinuously(v, counts[i], stop) })
	}
	time.Sleep(6 * time.Second)
	if s.trouble {
		s.note("%d open connections between the machines go silent", n.silence())
	}
	// The silence counts as a reset of the connections of all machines: they are in touch again after stableTime.
	time.Sleep(4 * stableTime)
	sent := f.sendDeadly(24, 1500*time.Millisecond, func(*vm) bool { return true })
	close(stop)
	wg.Wait()
	for i, v := range f.vms {
		s.note("sound orders at %s, by status (0 without an answer): %v", v.name, counts[i])
	}
	s.note("%d connections between the machines were made in all", n.count())
	return countDeadlyRetries(f, sent), nil
}
