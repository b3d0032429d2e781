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

// serverTopic is the topic of the log in which the servers register.
const serverTopic = "keyed.servers"

// Fault is a simulated failure of a server.
type Fault uint8

// Faults of a server.
const (
	// Healthy means that the server responds normally.
	Healthy Fault = iota
	// Silent means that the server accepts requests and never responds.
	Silent
	// Resetting means that the server closes the connection after the request has started to run.
	Resetting
	// Failing means that the server responds with status 500.
	Failing
	// Full means that the server responds with status 503 and states that the request was not run.
	Full
	// Foreign means that the server sends a response that belongs to another request.
	Foreign
)

// Runner is one backend server; the exported fields are set before Start.
type Runner struct {
	// ID identifies the server.
	ID string
	// Service is the service that the server belongs to.
	Service string
	// Zone is the availability zone of the server.
	Zone string
	// CostModel is the cost model of a model server, nil for a plain server.
	CostModel *dragonflypass.EngineCostModel
	// ServiceTime is the response time of a plain server.
	ServiceTime time.Duration
	// Store is the metadata store in which the server registers.
	Store *storer.Storer
	// Fleet finds the servers that prefill prompt parts for this server.
	Fleet *Fleet
	// Advertise returns the address to register for the address on which the server listens; nil registers that address.
	Advertise func(netip.AddrPort) netip.AddrPort

	address   netip.AddrPort
	server    *http.Server
	listener  net.Listener
	startedAt time.Time
	wg        sync.WaitGroup

	mutex           sync.Mutex
	fault           Fault
	runCounts       map[string]int
	runningRequests int
	engine          *predictor.Engine
	passTimer       *time.Timer
	streams         map[dragonflypass.StreamID]*stream
	sequence        uint64
	reservations    map[string]*reservation
	stopped         bool
	// state is the state in which the server is registered, empty if it is not.
	state string
}

// reservation is KV memory reserved until it expires.
type reservation struct {
	tokens    int
	expiresAt time.Time
}

// Fleet finds servers by address, so that they can prefill prompt parts for each other.
type Fleet struct {
	mutex   sync.Mutex
	servers map[netip.AddrPort]*Runner
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet { return &Fleet{servers: make(map[netip.AddrPort]*Runner)} }

func (f *Fleet) find(address netip.AddrPort) *Runner {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.servers[address]
}

// Start listens on a free loopback port and registers the server as ready. It returns an error when no port can be opened.
func (r *Runner) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "runner: listen on a free port")
	}
	r.listener, r.startedAt = listener, time.Now()
	r.address = listener.Addr().(*net.TCPAddr).AddrPort()
	if r.Advertise != nil {
		r.address = r.Advertise(r.address)
	}
	r.runCounts, r.streams, r.reservations = make(map[string]int), make(map[dragonflypass.StreamID]*stream), make(map[string]*reservation)
	if r.CostModel != nil {
		r.engine = predictor.New(r.CostModel)
	}
	r.Fleet.mutex.Lock()
	r.Fleet.servers[r.address] = r
	r.Fleet.mutex.Unlock()
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute}
	r.wg.Go(func() { _ = r.server.Serve(listener) })
	r.register("ready")
	return nil
}

// register writes the server's entry with the state to the log.
func (r *Runner) register(state string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.state = state
	r.writeEntry()
}

// writeEntry writes the server's entry to the log, or its removal if the server is not registered. It is called with the mutex held.
func (r *Runner) writeEntry() {
	if r.state == "" {
		r.Store.Put(serverTopic, r.ID, nil)
		return
	}
	entry, err := json.Marshal(struct {
		Service   string `json:"service"`
		Address   string `json:"address"`
		Zone      string `json:"zone"`
		State     string `json:"state"`
		Slots     int    `json:"slots"`
		StartedAt int64  `json:"born"`
	}{r.Service, r.address.String(), r.Zone, r.state, r.slots(), r.startedAt.UnixMilli()})
	if err != nil {
		panic(err)
	}
	r.Store.Put(serverTopic, r.ID, entry)
}

func (r *Runner) slots() int {
	if r.CostModel != nil {
		return r.CostModel.Slots
	}
	const plainServerSlots = 8
	return plainServerSlots
}

// Reregister writes the server's entry, or its removal, again after a restore of the store.
func (r *Runner) Reregister() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.writeEntry()
}

// Unregister removes the server's entry, as its expiry does.
func (r *Runner) Unregister() { r.register("") }

// Drain registers the server as draining; it continues to serve requests.
func (r *Runner) Drain() { r.register("draining") }

// Kill stops the server without a drain; its registry entry remains.
func (r *Runner) Kill() {
	r.mutex.Lock()
	r.stopped = true
	if r.passTimer != nil {
		r.passTimer.Stop()
	}
	for _, s := range r.streams {
		s.end()
	}
	r.mutex.Unlock()
	r.Fleet.mutex.Lock()
	delete(r.Fleet.servers, r.address)
	r.Fleet.mutex.Unlock()
	_ = r.server.Close()
	r.wg.Wait()
}

// SetFault sets the fault of the server, starting with the next request.
func (r *Runner) SetFault(fault Fault) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fault = fault
}

// Runs returns how often the server started to run each attempt, by attempt identifier.
func (r *Runner) Runs() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.runCounts)
}

// Usage returns the number of running requests and the reserved KV memory in tokens; it deletes expired reservations.
func (r *Runner) Usage() (running, reservedTokens int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id, entry := range r.reservations {
		if time.Now().After(entry.expiresAt) {
			delete(r.reservations, id)
			continue
		}
		reservedTokens += entry.tokens
	}
	return r.runningRequests, reservedTokens
}

// signature returns the server's signature of a response.
func (r *Runner) signature(attempt string) string { return fmt.Sprintf("%s.%s", r.ID, attempt) }
