package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// rotations is the number of times that the operator replaces the key of the tenant.
	rotations = 3
	// applyTime is the time within which a configuration has to be in force.
	applyTime = 2 * time.Second
	// bookingTime is the time that a booking takes at a server.
	bookingTime = 100 * time.Millisecond
)

// rotateKey returns the key of the tenant after the given number of rotations.
func rotateKey(number int) string { return fmt.Sprintf("n2ctnfzs989anu6wsj%02d", number) }

// playRotate lets a request come again and again that crashes the servers that run it, at the entry VMs in turn. With trouble, the
// operator replaces the key of the tenant, three times, and the clients go on with the new one. The rule is broken if more than
// three retries reach servers once the request has crashed three.
func playRotate(s *site, trouble bool) (broken bool, err error) {
	const vms, servers = 6, 8
	for i := range servers {
		b, err := s.startServer(fmt.Sprintf("i-%d", i), "booking", string(rune('a'+i%3)), bookingTime)
		if err != nil {
			return false, err
		}
		b.deadlyPath = deadlyPath
	}
	version, key := 3, rotateKey(0)
	s.configureKey(version, key)
	if err := s.startVMs(vms); err != nil {
		return false, err
	}
	// The VMs are in touch from here on.
	time.Sleep(stableTime + time.Second)
	number := 0
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for round := 0; ; round++ {
		stop, clients := make(chan struct{}), sync.WaitGroup{}
		for i, v := range s.vms {
			clients.Go(func() { s.bookSteadily(v, fmt.Sprintf("%s-%d-%d", v.name, round, i), key, stop) })
		}
		for end := time.Now().Add(deadlyTime); time.Now().Before(end); time.Sleep(deadlyInterval) {
			v := s.vms[number%len(s.vms)]
			id := fmt.Sprintf("deadly-%04d", number)
			number++
			s.record.add("request %s is sent to %s with the key %s", id, v.name, key)
			s.record.add("request %s: the client gets %s", id, ask(client, v, http.MethodGet, deadlyPath, id, key, 2*time.Second))
		}
		close(stop)
		clients.Wait()
		if round == rotations {
			break
		}
		if trouble {
			version++
			key = rotateKey(round + 1)
			s.configureKey(version, key)
		}
		time.Sleep(applyTime)
	}
	return s.reportDeadly(), nil
}

// configureKey writes a configuration in which the tenant has one key.
func (s *site) configureKey(version int, key string) {
	s.configure(version, fmt.Sprintf(`[{"name":"hule930","api_keys":[%q]}]`, key))
}
