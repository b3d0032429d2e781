package main

import (
	"strings"
	"time"
)

// The services of the configuration, and paths with a percent-encoded slash: the first segment of each path is "stock", and
// the second one is not "birch".
const (
	firstService, secondService = "booking", "archive"
	splitPrefix                 = "/stock/birch/"
)

var encodedPaths = []string{"/stock/birch%2Fpegs", "/stock/birch%2Fdowels", "/stock/birch%2F8mm"}

// splitRoute splits a route: requests whose path begins with splitPrefix go to a second service. It checks that no request
// whose path does not begin with that prefix runs there.
func splitRoute(s *scene) (bool, error) {
	f, err := newFleet(s)
	if err != nil {
		return false, err
	}
	defer f.close()
	tenants := []tenant{{"mill", []string{"key-of-mill"}}}
	f.configure(7, 8, tenants)
	for _, service := range []string{firstService, secondService} {
		for _, suffix := range []string{"1", "2"} {
			if err := f.addServer(service+suffix, service, ""); err != nil {
				return false, err
			}
		}
	}
	for range 3 {
		if err := f.add(); err != nil {
			return false, err
		}
	}
	if err := f.startVMs(f.seedsOf); err != nil {
		return false, err
	}
	sent := make(map[string]string)
	send := func() {
		for _, v := range f.vms {
			for _, path := range append([]string{"/stock/birch/pegs", "/stock/oak/pegs"}, encodedPaths...) {
				o := newCaller(v, "key-of-mill").send("GET", path, "")
				sent[o.id] = path
				s.note("request %s for %s sent to %s: %s", o.id, path, v.name, o.result())
			}
		}
	}
	send()
	if s.trouble {
		f.configureSplit(9, 8, tenants)
		s.note("configuration 9 sends %s to service %s", splitPrefix, secondService)
	}
	for range 3 {
		time.Sleep(3 * time.Second)
		send()
	}
	broken := false
	for _, server := range f.servers {
		server.mutex.Lock()
		for _, r := range server.runs {
			path := sent[r.id]
			allowed := server.service == firstService || strings.HasPrefix(path, splitPrefix)
			s.note("request %s for %s ran at %s, allowed %t", r.id, path, server.service, allowed)
			broken = broken || !allowed
		}
		server.mutex.Unlock()
	}
	return broken, nil
}
