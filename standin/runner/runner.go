package runner

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/predictor"
	"github.com/dragonflypass/dragonflypass/standin/storer"
)

// registry is the topic in which the servers register themselves.
const registry = "keyed.servers"

// Fault is how a server fails.
type Fault uint8

// The faults of a server.
const (
	// Sound answers.
	Sound Fault = iota
	// Silent takes requests and does not answer.
	Silent
	// Resetting ends the connection once it has begun to run a request.
	Resetting
	// Failing answers with the status 500.
	Failing
	// Full states that it runs nothing.
	Full
	// Foreign sends an answer to another request before its own.
	Foreign
)

// Runner is one backend server; the exported fields are set before Start.
type Runner struct {
	ID      string
	Service string
	Zone    string
	// Law is the law of a model server, nil for a plain one.
	Law *dragonflypass.EngineCostModel
	// Time is how long a plain server takes to answer.
	Time  time.Duration
	Store *storer.Storer
	Fleet *Fleet

	address  netip.AddrPort
	server   *http.Server
	listener net.Listener
	born     time.Time
	served   sync.WaitGroup

	mutex    sync.Mutex
	fault    Fault
	runs     map[string]int
	running  int
	engine   *predictor.Engine
	alarm    *time.Timer
	streams  map[dragonflypass.StreamID]*stream
	sequence uint64
	tickets  map[string]*ticket
	stopped  bool
}

// ticket is memory set aside.
type ticket struct {
	tokens int
	until  time.Time
}

// Fleet finds servers by their addresses, so that they can help each other.
type Fleet struct {
	mutex   sync.Mutex
	servers map[netip.AddrPort]*Runner
}

// NewFleet returns a fleet without servers.
func NewFleet() *Fleet { return &Fleet{servers: make(map[netip.AddrPort]*Runner)} }

func (f *Fleet) find(address netip.AddrPort) *Runner {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.servers[address]
}

// Start listens and registers the server as ready.
func (r *Runner) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "runner: open a port")
	}
	r.listener, r.born = listener, time.Now()
	r.address = listener.Addr().(*net.TCPAddr).AddrPort()
	r.runs, r.streams, r.tickets = make(map[string]int), make(map[dragonflypass.StreamID]*stream), make(map[string]*ticket)
	if r.Law != nil {
		r.engine = predictor.New(r.Law)
	}
	r.Fleet.mutex.Lock()
	r.Fleet.servers[r.address] = r
	r.Fleet.mutex.Unlock()
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute}
	r.served.Go(func() { _ = r.server.Serve(listener) })
	r.register("ready")
	return nil
}

// register writes the server's entry.
func (r *Runner) register(state string) {
	entry, err := json.Marshal(struct {
		Service string `json:"service"`
		Address string `json:"address"`
		Zone    string `json:"zone"`
		State   string `json:"state"`
		Slots   int    `json:"slots"`
		Born    int64  `json:"born"`
	}{r.Service, r.address.String(), r.Zone, state, r.slots(), r.born.UnixMilli()})
	if err != nil {
		panic(err)
	}
	r.Store.Put(registry, r.ID, entry)
}

func (r *Runner) slots() int {
	if r.Law != nil {
		return r.Law.Slots
	}
	const plain = 8
	return plain
}

// Drain registers the server as leaving; it goes on serving.
func (r *Runner) Drain() { r.register("draining") }

// Kill ends the server at once; its entry stays.
func (r *Runner) Kill() {
	r.mutex.Lock()
	r.stopped = true
	if r.alarm != nil {
		r.alarm.Stop()
	}
	for _, s := range r.streams {
		s.end()
	}
	r.mutex.Unlock()
	r.Fleet.mutex.Lock()
	delete(r.Fleet.servers, r.address)
	r.Fleet.mutex.Unlock()
	_ = r.server.Close()
	r.served.Wait()
}

// SetFault changes how the server fails from the next request on.
func (r *Runner) SetFault(fault Fault) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fault = fault
}

// Runs returns how often the server began to run each request, by its identifier.
func (r *Runner) Runs() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.runs)
}

// Busy returns the number of requests that run and the memory in tokens that is set aside.
func (r *Runner) Busy() (running, reserved int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id, t := range r.tickets {
		if time.Now().After(t.until) {
			delete(r.tickets, id)
			continue
		}
		reserved += t.tokens
	}
	return r.running, reserved
}

// seal is the server's signature of an answer.
func (r *Runner) seal(attempt string) string { return fmt.Sprintf("%s.%s", r.ID, attempt) }
