package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is the time between two entries of a server.
const heartbeatInterval = 1200 * time.Millisecond

// server is a sound backend server of a plain service.
type server struct {
	id, service, zone string
	address           string
	// work is the time that a request takes.
	work time.Duration
	// deadlyPath is the path of requests that crash the server, empty for none.
	deadlyPath string
	site       *site
	http       *http.Server
	startedAt  time.Time
	running    atomic.Int32

	mutex   sync.Mutex
	seq     int
	stopped chan struct{}
	ended   bool
	// arrivals are the requests that have reached the server.
	arrivals []arrival
}

// arrival is a request that has reached a server.
type arrival struct {
	id, tenant string
	at         time.Time
}

// startServer starts a server and registers it as ready.
func (s *site) startServer(id, service, zone string, work time.Duration) (*server, error) {
	port, err := s.freePort()
	if err != nil {
		return nil, err
	}
	b := &server{
		id: id, service: service, zone: zone, address: fmt.Sprintf("127.0.0.1:%d", port), work: work, site: s, startedAt: time.Now(),
		stopped: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		return nil, err
	}
	b.http = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	go func() { _ = b.http.Serve(listener) }()
	b.write()
	go b.heartbeat()
	s.servers = append(s.servers, b)
	s.record.add("server %s of %s at %s is ready", id, service, b.address)
	return b, nil
}

// heartbeat writes the entry regularly.
func (b *server) heartbeat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.stopped:
			return
		case <-ticker.C:
			b.write()
		}
	}
}

// write writes the entry.
func (b *server) write() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.ended {
		return
	}
	b.seq++
	entry, err := json.Marshal(map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": b.seq,
		"born": b.startedAt.UnixMilli(),
	})
	if err != nil {
		return
	}
	b.site.store.Put(names.Servers, b.id, entry)
}

// crash ends the server, as the process of a real one, and starts it again at its address after some time.
func (b *server) crash(id string) {
	b.site.addDeadly(id)
	b.site.record.add("server %s crashes under request %s", b.id, id)
	b.mutex.Lock()
	crashed := b.http
	b.mutex.Unlock()
	_ = crashed.Close()
	time.AfterFunc(crashDowntime, func() {
		listener, err := net.Listen("tcp", b.address)
		if err != nil {
			b.site.record.add("server %s does not start again: %s", b.id, err)
			return
		}
		b.mutex.Lock()
		defer b.mutex.Unlock()
		if b.ended {
			_ = listener.Close()
			return
		}
		b.startedAt = time.Now()
		b.http = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
		started := b.http
		go func() { _ = started.Serve(listener) }()
	})
}

// stop removes the entry and ends the server.
func (b *server) stop() {
	b.mutex.Lock()
	ended := b.ended
	b.ended = true
	b.mutex.Unlock()
	if ended {
		return
	}
	close(b.stopped)
	b.site.store.Put(names.Servers, b.id, nil)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_ = b.http.Close()
}

// seen returns the requests that have reached the server.
func (b *server) seen() []arrival {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]arrival(nil), b.arrivals...)
}

// ServeHTTP runs a request.
func (b *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.id)
		return
	}
	id := r.Header.Get(names.Attempt)
	if expected := r.Header.Get(names.Expected); expected != "" && expected != b.id {
		w.Header().Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if b.deadlyPath != "" && r.URL.Path == b.deadlyPath {
		b.crash(id)
		return
	}
	b.mutex.Lock()
	b.arrivals = append(b.arrivals, arrival{id: id, tenant: r.Header.Get(names.Tenant), at: time.Now()})
	b.mutex.Unlock()
	running := b.running.Add(1)
	defer b.running.Add(-1)
	time.Sleep(b.work)
	w.Header().Set(names.Attempt, id)
	w.Header().Set(names.Seal, b.id+"."+id)
	w.Header().Set(names.Load, fmt.Sprintf("%d,0,6", running))
	_, _ = fmt.Fprintf(w, "done by %s", b.id)
}
