package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of clients of the crowd at each entry VM, and crowdAddresses the number of their addresses.
	crowdSize      = 1400
	crowdAddresses = 14
	// crowdRounds is the number of times that the crowd comes.
	crowdRounds = 3
	// headBytes is the size of the head of each request of the crowd; the operator allows 16,384 bytes.
	headBytes = 16_000
	// roundTime is the time for which the crowd stays, unless its connections are closed.
	roundTime = 8 * time.Second
)

// modeLong is the value of TROUBLE with which the crowd sends heads of the same size with few long fields.
const modeLong = "long"

// playHeads lets crowds of clients come whose requests have heads of many short fields, inside the operator's limits, and chunked
// bodies that stop just short of their end. The platform kills a process that exceeds its memory. The rule is broken if this happens
// three times on two machines.
func playHeads(s *site, trouble bool) (broken bool, err error) {
	const key = "n2ctnfzs989anu6wsjnb"
	for i, zone := range []string{"a", "b", "c"} {
		if _, err := s.startServer(fmt.Sprintf("i-%d", i), "booking", zone, 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	s.configure(3, fmt.Sprintf(`[{"name":"hule930","api_keys":[%q]}]`, key))
	if err := s.startVMs(3); err != nil {
		return false, err
	}
	for _, v := range s.vms {
		go v.limitMemory()
	}
	stop, clients := make(chan struct{}), sync.WaitGroup{}
	var answered, unanswered atomic.Int64
	for _, v := range s.vms {
		clients.Go(func() { s.askSteadily(v, key, stop, &answered, &unanswered) })
	}
	head := crowdHead(key, os.Getenv("TROUBLE") == modeLong)
	for round := range crowdRounds {
		time.Sleep(stableTime + time.Second)
		for _, v := range s.vms {
			if err := v.awaitReady(15 * time.Second); err != nil {
				return false, err
			}
		}
		if !trouble {
			time.Sleep(roundTime)
			continue
		}
		var crowd sync.WaitGroup
		for _, v := range s.vms[:2] {
			crowd.Go(func() { s.sendCrowd(v, round, head) })
		}
		crowd.Wait()
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	machines := 0
	for _, v := range s.vms {
		kills, peak := v.memoryKills()
		s.record.add("%s: highest resident memory %d MB of %d MB, killed %d times", v.name, peak, memoryMiB, kills)
		if kills >= 3 {
			machines++
		}
	}
	s.record.add("ordinary requests: %d answered, %d sent and not answered", answered.Load(), unanswered.Load())
	return machines >= 2, nil
}

// crowdHead returns the head of a request with many short fields, or with few long ones.
func crowdHead(key string, long bool) string {
	const longBytes = 1000
	var head strings.Builder
	fmt.Fprintf(&head, "POST /look/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 10000\r\nTransfer-Encoding: chunked\r\n", host, key)
	for i := 0; head.Len() < headBytes-40; i++ {
		if long {
			size := max(1, min(longBytes, headBytes-48-head.Len()))
			head.WriteString("Field: " + strings.Repeat("v", size) + "\r\n")
			continue
		}
		head.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return head.String()
}

// sendCrowd sends the requests of a crowd to the entry VM. Their connections stay open for a time, unless they are closed.
func (s *site) sendCrowd(v *vm, round int, head string) {
	const dialTimeout, bodyBytes = 2 * time.Second, 256
	body := fmt.Sprintf("%x\r\n%s\r\n", bodyBytes, strings.Repeat("x", bodyBytes))
	end := time.Now().Add(roundTime)
	var sent, refused atomic.Int64
	var all sync.WaitGroup
	for i := range crowdSize {
		all.Go(func() {
			dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+i%crowdAddresses))}}
			conn, err := dialer.Dial("tcp", v.callers)
			if err != nil {
				refused.Add(1)
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(end)
			if _, err := fmt.Fprintf(conn, "%sAttempt-Id: c%d%06d\r\n\r\n%s", head, round, i, body); err != nil {
				return
			}
			sent.Add(1)
			// The rest of the body never comes.
			_, _ = io.Copy(io.Discard, conn)
		})
	}
	all.Wait()
	s.record.add("crowd %d at %s: %d requests sent with heads of %d bytes, %d connections refused", round+1, v.name, sent.Load(), len(head)+22, refused.Load())
}

// askSteadily sends ordinary bookings to the entry VM, one after the other, until stop is closed.
func (s *site) askSteadily(v *vm, key string, stop chan struct{}, answered, unanswered *atomic.Int64) {
	const interval, deadline = 40 * time.Millisecond, 2 * time.Second
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		id := fmt.Sprintf("%s-%05d", v.name, i)
		switch got := ask(client, v, http.MethodPost, "/book/x", id, key, deadline); {
		case got.err == nil:
			answered.Add(1)
		case s.hasRun(id):
			unanswered.Add(1)
			s.record.add("request %s: a server has run it, but %s", id, got)
		default:
			unanswered.Add(1)
			s.record.add("request %s: %s", id, got)
		}
	}
}

// hasRun reports whether a server has run the request.
func (s *site) hasRun(id string) bool {
	for _, b := range s.servers {
		for _, a := range b.seen() {
			if a.id == id {
				return true
			}
		}
	}
	return false
}
