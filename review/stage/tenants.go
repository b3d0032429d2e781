package main

import (
	"fmt"
	"net/http"
	"time"
)

// playTenants takes the keys of the tenants away, one tenant after the other. With trouble, the last one goes too. Requests with the
// keys that were taken away, with a key that never existed and without a key, sent later than the limit, must not run.
func playTenants(s *site, trouble bool) (broken bool, err error) {
	const firstKey, secondKey, unknownKey = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk", "zzzzzzzzzzzzzzzzzzzz"
	first, second := fmt.Sprintf(`{"name":"hule930","api_keys":[%q]}`, firstKey), fmt.Sprintf(`{"name":"mado212","api_keys":[%q]}`, secondKey)
	for i, zone := range []string{"a", "b", "c"} {
		if _, err := s.startServer(fmt.Sprintf("i-%d", i), "booking", zone, 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	s.configure(3, "["+first+","+second+"]")
	if err := s.startVMs(3); err != nil {
		return false, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	number := 0
	// askAll sends a lookup and a booking with each of the keys to each entry VM and returns the identifiers.
	askAll := func(keys ...string) (ids []string) {
		for _, v := range s.vms {
			for _, key := range keys {
				for _, path := range []string{"/look/x", "/book/x"} {
					number++
					id := fmt.Sprintf("a%05d", number)
					method := http.MethodGet
					if path == "/book/x" {
						method = http.MethodPost
					}
					s.record.add("request %s: %s %s with key %q is sent to %s", id, method, path, key, v.name)
					s.record.add("request %s: the client gets %s", id, ask(client, v, method, path, id, key, 2*time.Second))
					ids = append(ids, id)
				}
			}
		}
		return ids
	}
	askAll(firstKey, secondKey)
	s.configure(4, "["+second+"]")
	time.Sleep(revokeLimit + time.Second)
	late := askAll(firstKey, unknownKey, "")
	askAll(secondKey)
	if trouble {
		s.configure(6, "[]")
		time.Sleep(revokeLimit + time.Second)
		late = append(late, askAll(firstKey, secondKey, unknownKey, "")...)
	}
	return s.reportRuns(late), nil
}

// reportRuns reports whether a server has run one of the requests.
func (s *site) reportRuns(ids []string) (broken bool) {
	forbidden := make(map[string]bool, len(ids))
	for _, id := range ids {
		forbidden[id] = true
	}
	for _, b := range s.servers {
		for _, a := range b.seen() {
			if forbidden[a.id] {
				broken = true
				s.record.add("server %s has run request %s, for tenant %q, though no configuration in force allows it", b.id, a.id, a.tenant)
			}
		}
	}
	s.record.add("%d requests were sent with keys that had been taken away for over %s, with an unknown key or with none", len(ids), revokeLimit)
	return broken
}
