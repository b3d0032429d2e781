package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// uploadCount is the number of slow uploads. It is a little more than the connections that an entry VM takes with its
	// descriptors.
	uploadCount = 1700
	// uploadTime is the time for which they go on, and chunkInterval the time between two chunks of chunkBytes.
	uploadTime    = 24 * time.Second
	chunkInterval = 90 * time.Millisecond
	chunkBytes    = 128
	// ordinaryClients is the number of ordinary clients that try all the while; the rule asks for seven. Each tries again after
	// tryInterval.
	ordinaryClients = 12
	tryInterval     = 200 * time.Millisecond
)

// playDrip lets many clients send chunked bodies in small chunks, inside the operator's limits. The rule is broken if the entry VM says
// that it is ready and takes no connection of the ordinary clients for the limit.
func playDrip(s *site, trouble bool) (broken bool, err error) {
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
	time.Sleep(stableTime + 3*time.Second)
	v := s.vms[0]
	var crowd sync.WaitGroup
	if trouble {
		crowd.Go(func() { s.sendUploads(v, key) })
	}
	time.Sleep(3 * time.Second)
	longest := s.longestDenial(v, key, uploadTime-6*time.Second)
	crowd.Wait()
	s.record.add("%s said that it was ready and took no connection of %d ordinary clients for %s at the longest; the limit is %s", v.name, ordinaryClients, longest.Round(time.Millisecond), stableTime)
	return longest > stableTime, nil
}

// sendUploads sends slow uploads to the entry VM, each from an address of its own, once.
func (s *site) sendUploads(v *vm, key string) {
	chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes)))
	end := time.Now().Add(uploadTime)
	var open, refused atomic.Int64
	var all sync.WaitGroup
	for i := range uploadCount {
		all.Go(func() {
			dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 1, byte(i/250), byte(1+i%250))}}
			conn, err := dialer.Dial("tcp", v.callers)
			if err != nil {
				refused.Add(1)
				return
			}
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST /look/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nAttempt-Id: u%06d\r\nDeadline-Ms: 30000\r\nTransfer-Encoding: chunked\r\n\r\n", host, key, i)
			for err == nil && time.Now().Before(end) {
				time.Sleep(chunkInterval)
				_, err = conn.Write(chunk)
			}
			if err == nil {
				open.Add(1)
			} else {
				refused.Add(1)
			}
		})
	}
	all.Wait()
	s.record.add("uploads at %s: %d open to the end, %d refused or closed", v.name, open.Load(), refused.Load())
}

// longestDenial lets ordinary clients try for the time and returns the longest span in which the entry VM said that it was ready and none
// of them got an answer.
func (s *site) longestDenial(v *vm, key string, duration time.Duration) time.Duration {
	end := time.Now().Add(duration)
	var mutex sync.Mutex
	var longest time.Duration
	since := time.Now()
	// served ends the span.
	served := func() {
		mutex.Lock()
		defer mutex.Unlock()
		longest = max(longest, time.Since(since))
		since = time.Now()
	}
	var clients sync.WaitGroup
	for n := range ordinaryClients {
		clients.Go(func() {
			dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 2, 0, byte(1+n))}}
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("o%02d-%04d", n, i)
				got := ask(client, v, http.MethodPost, "/book/x", id, key, 2*time.Second)
				if got.err == nil {
					served()
				}
				if i%20 == 0 || got.err != nil && !errors.Is(got.err, syscall.ECONNRESET) {
					s.record.add("request %s: %s", id, got)
				}
				time.Sleep(tryInterval)
			}
		})
	}
	clients.Go(func() {
		// The platform asks each second.
		for ; time.Now().Before(end); time.Sleep(time.Second) {
			if !v.ready() {
				s.record.add("%s is not ready", v.name)
				served()
			}
		}
	})
	clients.Wait()
	served()
	return longest
}
