package main

import (
	"fmt"
	"time"
)

// noTenantLeft takes the keys of the only tenant away: the new configuration has an empty list of tenants. It checks that
// no request sent with the key more than revokeLimit after the acknowledgement runs, and none with a key that no
// configuration ever held.
func noTenantLeft(s *scene) (bool, error) {
	f, err := newFleet(s)
	if err != nil {
		return false, err
	}
	defer f.close()
	tenants := []tenant{{"mill", []string{"key-of-mill"}}}
	f.configure(7, 8, tenants)
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
	sent := make(map[string]outcome)
	unknown := make(map[string]bool)
	send := func() {
		for _, v := range f.vms {
			for _, key := range []string{"key-of-mill", "key-that-never-was"} {
				for _, call := range [][2]string{{"GET", "/stock/birch"}, {"POST", "/order/pegs"}} {
					o := newCaller(v, key).send(call[0], call[1], "")
					sent[o.id] = o
					unknown[o.id] = key != "key-of-mill"
				}
			}
		}
	}
	send()
	time.Sleep(2 * time.Second)
	acknowledged := time.Now()
	if s.trouble {
		acknowledged, _ = f.configure(9, 8, []tenant{})
		s.note("configuration 9 with an empty list of tenants was acknowledged")
	} else {
		acknowledged = acknowledged.Add(time.Hour)
	}
	for range 5 {
		time.Sleep(2 * time.Second)
		send()
	}
	broken := countLateRuns(s, f, sent, acknowledged)
	for _, r := range f.allRuns() {
		if unknown[r.id] {
			s.note("request %s ran with a key that no configuration ever held", r.id)
			broken = true
		}
	}
	return broken, nil
}
