package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// deadlyInterval is the time between two deadly requests, and deadlyTime the time for which they come after each start.
	deadlyInterval = 700 * time.Millisecond
	deadlyTime     = 8 * time.Second
	// herdKills is the number of times that all entry VMs are killed at once.
	herdKills = 2
	// crashDowntime is the time for which a server is down after a crash.
	crashDowntime = 2500 * time.Millisecond
	// lateLimit is the number of retries that may reach servers once the request has crashed three.
	lateLimit = 3
)

// deadlyPath is the path of the request that crashes each server that begins to run it.
const deadlyPath = "/look/deadly"

// deadlyArrival is a deadly request that has reached a server.
type deadlyArrival struct {
	id string
	at time.Time
}

// playHerd lets a request come again and again that crashes the servers that run it, at the entry VMs in turn. With trouble, all
// entry VMs are killed at once, twice, and start again. The rule is broken if more than three retries reach servers, sent by VMs in
// touch, once the request has crashed three.
func playHerd(s *site, trouble bool) (broken bool, err error) {
	const key, vms, servers = "n2ctnfzs989anu6wsjnb", 6, 8
	for i := range servers {
		b, err := s.startServer(fmt.Sprintf("i-%d", i), "booking", string(rune('a'+i%3)), 15*time.Millisecond)
		if err != nil {
			return false, err
		}
		b.deadlyPath = deadlyPath
	}
	s.configure(3, fmt.Sprintf(`[{"name":"hule930","api_keys":[%q]}]`, key))
	if err := s.startVMs(vms); err != nil {
		return false, err
	}
	stop, clients := make(chan struct{}), sync.WaitGroup{}
	for _, v := range s.vms {
		clients.Go(func() { s.bookSteadily(v, v.name, key, stop) })
	}
	number := 0
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for round := 0; ; round++ {
		// The VMs are in touch from here on.
		time.Sleep(stableTime + time.Second)
		for end := time.Now().Add(deadlyTime); time.Now().Before(end); time.Sleep(deadlyInterval) {
			v := s.vms[number%len(s.vms)]
			id := fmt.Sprintf("deadly-%04d", number)
			number++
			s.record.add("request %s is sent to %s", id, v.name)
			s.record.add("request %s: the client gets %s", id, ask(client, v, http.MethodGet, deadlyPath, id, key, 2*time.Second))
		}
		if !trouble || round == herdKills {
			break
		}
		if err := s.killAll(); err != nil {
			return false, err
		}
	}
	close(stop)
	clients.Wait()
	return s.reportDeadly(), nil
}

// killAll kills all entry VMs at once, starts them again and waits until they are ready.
func (s *site) killAll() error {
	s.record.add("all entry VMs are killed")
	for _, v := range s.vms {
		command, _ := v.current()
		_ = command.Process.Signal(syscall.SIGKILL)
	}
	for _, v := range s.vms {
		_, exited := v.current()
		<-exited
	}
	time.Sleep(500 * time.Millisecond)
	for _, v := range s.vms {
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

// bookSteadily sends ordinary bookings to the entry VM until stop is closed, and records those that a server had taken when it crashed.
// The identifiers of the bookings begin with the name.
func (s *site) bookSteadily(v *vm, name, key string, stop chan struct{}) {
	const interval, deadline = 50 * time.Millisecond, 2 * time.Second
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		id := fmt.Sprintf("%s-%05d", name, i)
		if got := ask(client, v, http.MethodPost, "/book/x", id, key, deadline); got.status != http.StatusOK && s.hasRun(id) {
			s.record.add("booking %s: a server has run it, but %s", id, got)
		}
	}
}

// reportDeadly reports whether too many deadly requests have reached servers late.
func (s *site) reportDeadly() (broken bool) {
	s.deadlyMutex.Lock()
	defer s.deadlyMutex.Unlock()
	const crashes = 3
	late := 0
	for i, a := range s.deadly {
		what := ""
		if i >= crashes && a.at.After(s.deadly[crashes-1].at.Add(stableTime)) {
			late++
			what = ", late"
		}
		s.record.add("crash %d: request %s%s", i+1, strings.TrimSpace(a.id), what)
	}
	s.record.add("%d servers crashed; %d deadly requests reached servers later than %s after the third crash, %d may", len(s.deadly), late, stableTime, lateLimit)
	return late > lateLimit
}
