package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// serviceTime is the time that a server works on a request.
	serviceTime = 15 * time.Millisecond
	// restartTime is the time after which a crashed server is back.
	restartTime = 2500 * time.Millisecond
	// lapseTime is the time after which the entry of a crashed server is removed: three heartbeats of 1.2 s.
	lapseTime = 3600 * time.Millisecond
	slots     = 6
)

// execution is one run of a request at a server.
type execution struct {
	at             time.Time
	id, path, body string
	tenant, server string
}

// server is a stand-in of a backend server of a plain service.
type server struct {
	fleet   *fleet
	name    string
	service string
	address string
	// deadly is the path of the requests that crash the server.
	deadly string

	mutex   sync.Mutex
	id      string
	starts  int
	server  *http.Server
	running int
	runs    []execution
	crashes []time.Time
	lost    int
	closed  bool
}

func (f *fleet) addServer(name, service, deadly string) error {
	s := &server{fleet: f, name: name, service: service, deadly: deadly}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.serve(listener)
	f.servers = append(f.servers, s)
	return nil
}

// serve starts an incarnation of the server and registers it.
func (s *server) serve(listener net.Listener) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.starts++
	s.id = fmt.Sprintf("i-%s-%d", s.name, s.starts)
	id := s.id
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(id, w, r) }), ReadHeaderTimeout: time.Minute}
	s.running = 0
	go func(server *http.Server) { _ = server.Serve(listener) }(s.server)
	entry, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": "vn-south-a", "version": "1", "slots": slots, "state": "ready",
		"cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	s.fleet.store.put("keyed."+"servers", id, entry)
}

func (s *server) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	_ = s.server.Close()
}

// crash ends the incarnation: its port and connections are closed. It is back after restartTime with a new identifier.
func (s *server) crash(id string) {
	s.mutex.Lock()
	if s.id != id || s.closed {
		s.mutex.Unlock()
		return
	}
	s.id = ""
	s.crashes = append(s.crashes, time.Now())
	s.lost += s.running - 1
	s.fleet.scene.note("server %s crashes with %d other requests", id, s.running-1)
	server := s.server
	s.mutex.Unlock()
	_ = server.Close()
	time.AfterFunc(lapseTime, func() { s.fleet.store.put("keyed."+"servers", id, nil) })
	time.AfterFunc(restartTime, func() {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			s.serve(listener)
		}
	})
}

// handle serves one request.
func (s *server) handle(id string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get(fieldAttempt)
	refusal := 0
	s.mutex.Lock()
	switch {
	case attempt == "":
		refusal = http.StatusBadRequest
	case r.Header.Get(fieldInstance) != id:
		refusal = http.StatusMisdirectedRequest
	case s.running >= 4*slots:
		refusal = http.StatusServiceUnavailable
	default:
		s.running++
		s.runs = append(s.runs, execution{time.Now(), attempt, r.URL.Path, string(body), r.Header.Get(fieldTenant), id})
	}
	s.mutex.Unlock()
	w.Header().Set(fieldAttempt, attempt)
	if refusal != 0 {
		w.Header().Set(fieldNotExecuted, "1")
		w.WriteHeader(refusal)
		return
	}
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.id == id {
			s.running--
		}
	}()
	if s.deadly != "" && r.URL.Path == s.deadly {
		s.fleet.scene.note("server %s runs the deadly request %s", id, attempt)
		s.crash(id)
		return
	}
	select {
	case <-time.After(serviceTime):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(fieldSeal, id+"."+attempt)
	w.Header().Set(fieldLoad, fmt.Sprintf("%d,0,%d", s.load(), slots))
	_, _ = fmt.Fprintf(w, "answer to %s", attempt)
}

func (s *server) load() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running
}

// allRuns returns the runs at all servers.
func (f *fleet) allRuns() []execution {
	var runs []execution
	for _, s := range f.servers {
		s.mutex.Lock()
		runs = append(runs, s.runs...)
		s.mutex.Unlock()
	}
	return runs
}
