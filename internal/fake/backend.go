package fake

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// BackendFault is how a backend server misbehaves.
type BackendFault uint8

// The faults of a backend server.
const (
	// BackendHealthy answers.
	BackendHealthy BackendFault = iota
	// BackendDown takes no connection, and breaks off what it runs.
	BackendDown
	// BackendSilent takes requests and does not go on with any.
	BackendSilent
	// BackendFailing answers each request by a status of its own that says it failed.
	BackendFailing
	// BackendDeclining states that it did not run the request.
	BackendDeclining
	// BackendUnsigned answers without a signature.
	BackendUnsigned
	// BackendCutting breaks each stream off after CutAfter events.
	BackendCutting
)

// CutAfter is the number of events after which a BackendCutting server breaks a stream off.
const CutAfter = 3

// CrashBody is the body of a request that brings down each server that runs it.
const CrashBody = "crash"

// Backend is a backend server in memory; the exported fields are set before it is used.
type Backend struct {
	Entry dragonflypass.ServerEntry
	// First is the time to the answer or to its first event, and Step that between two events.
	First time.Duration
	Step  time.Duration
	// Events is the number of events of a stream.
	Events int

	mutex  sync.Mutex
	fault  BackendFault
	change chan struct{}
	runs   map[string]int
	deaths int
	held   map[string]int
	open   int
}

// SetFault changes how the server behaves.
func (b *Backend) SetFault(fault BackendFault) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.fault = fault
	if b.change != nil {
		close(b.change)
	}
	b.change = make(chan struct{})
}

// state returns the fault and a channel that is closed once it changes.
func (b *Backend) state() (BackendFault, <-chan struct{}) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.change == nil {
		b.change = make(chan struct{})
	}
	return b.fault, b.change
}

// Runs returns how often the server ran each request, by its identifier.
func (b *Backend) Runs() map[string]int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return maps.Clone(b.runs)
}

// Deaths returns how often a request brought the server down.
func (b *Backend) Deaths() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.deaths
}

// Reserved returns the memory set aside at the server in tokens.
func (b *Backend) Reserved() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	total := 0
	for _, tokens := range b.held {
		total += tokens
	}
	return total
}

// Open returns the number of requests that run.
func (b *Backend) Open() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.open
}

// run notes the beginning of a request.
func (b *Backend) run(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.runs == nil {
		b.runs = make(map[string]int)
	}
	b.runs[id]++
	b.open++
}

func (b *Backend) ended() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.open--
}

// pause waits for the span, and for as long as the server is silent; the error tells that the server is down or ctx has ended.
func (b *Backend) pause(ctx context.Context, span time.Duration) error {
	until := time.Now().Add(span)
	for {
		fault, changed := b.state()
		if fault == BackendDown {
			return dragonflypass.ErrBroken
		}
		var due <-chan time.Time
		if fault != BackendSilent {
			left := time.Until(until)
			if left <= 0 {
				return ctx.Err()
			}
			due = time.After(left)
		}
		select {
		case <-due:
			return nil
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Backends passes exchanges on to backend servers in memory.
type Backends struct {
	// Latency is the time of a message one way.
	Latency time.Duration

	mutex   sync.Mutex
	servers map[netip.AddrPort]*Backend
}

var _ dragonflypass.Backend = (*Backends)(nil)

// NewBackends returns no servers yet.
func NewBackends() *Backends {
	return &Backends{Latency: time.Millisecond, servers: make(map[netip.AddrPort]*Backend)}
}

// Add puts the server at its address.
func (b *Backends) Add(server *Backend) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.servers[server.Entry.Address] = server
}

// reach connects to the server at the address.
func (b *Backends) reach(ctx context.Context, address netip.AddrPort) (*Backend, error) {
	if wait(ctx, b.Latency) != nil {
		return nil, dragonflypass.ErrUnavailable
	}
	b.mutex.Lock()
	server := b.servers[address]
	b.mutex.Unlock()
	if server == nil {
		return nil, dragonflypass.ErrUnavailable
	}
	if fault, _ := server.state(); fault == BackendDown {
		return nil, dragonflypass.ErrUnavailable
	}
	return server, nil
}

// Send runs the exchange at its server.
func (b *Backends) Send(ctx context.Context, d dragonflypass.BackendRequest) (dragonflypass.BackendResponse, error) {
	server, err := b.reach(ctx, d.Address)
	if err != nil {
		return nil, err
	}
	fault, _ := server.state()
	switch {
	case server.Entry.ID != d.Server:
		return nil, &dragonflypass.ServerRefusal{Status: http.StatusMisdirectedRequest, Misdirected: true}
	case fault == BackendDeclining:
		return nil, &dragonflypass.ServerRefusal{Status: http.StatusServiceUnavailable}
	}
	server.run(d.Exchange.ID)
	r := &backendReply{ctx: ctx, server: server, fault: fault, began: time.Now(), stream: d.EventStream}
	r.head = dragonflypass.ResponseHead{Status: http.StatusOK, Signed: fault != BackendUnsigned}
	if fault == BackendFailing {
		r.head.Status, r.stream = http.StatusInternalServerError, false
	}
	if string(d.Exchange.Body) == CrashBody {
		err = r.crash()
	} else if !r.stream {
		err = server.pause(ctx, server.First)
	}
	if err != nil {
		r.Close()
		return nil, dragonflypass.ErrUncertain
	}
	r.next, _ = strconv.Atoi(d.LastEventID)
	return r, nil
}

// crash has the request bring its server down after a while.
func (r *backendReply) crash() error {
	const lasts = 50 * time.Millisecond
	if err := r.server.pause(r.ctx, lasts); err != nil {
		return err
	}
	r.server.mutex.Lock()
	r.server.deaths++
	r.server.mutex.Unlock()
	r.server.SetFault(BackendDown)
	return dragonflypass.ErrBroken
}

// Probe connects to the server.
func (b *Backends) Probe(ctx context.Context, address netip.AddrPort) error {
	_, err := b.reach(ctx, address)
	return err
}

// Usage returns nothing of note.
func (b *Backends) Usage(ctx context.Context, address netip.AddrPort) (dragonflypass.ServerUsage, error) {
	server, err := b.reach(ctx, address)
	if err != nil {
		return dragonflypass.ServerUsage{}, err
	}
	return dragonflypass.ServerUsage{Running: server.Open(), Used: server.Reserved(), Slowdown: 1}, nil
}

// Reserve sets memory aside.
func (b *Backends) Reserve(ctx context.Context, address netip.AddrPort, reservation dragonflypass.Reservation) error {
	server, err := b.reach(ctx, address)
	if err != nil {
		return err
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.held == nil {
		server.held = make(map[string]int)
	}
	server.held[reservation.Name] = reservation.Tokens
	return nil
}

// Free gives a reservation up.
func (b *Backends) Free(ctx context.Context, address netip.AddrPort, name string) error {
	server, err := b.reach(ctx, address)
	if err != nil {
		return err
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.held, name)
	return nil
}

// backendReply is an answer under way.
type backendReply struct {
	ctx    context.Context
	server *Backend
	fault  BackendFault
	head   dragonflypass.ResponseHead
	began  time.Time
	stream bool
	// next is the number of events before the next one.
	next   int
	given  int
	closed bool
}

// Head returns the beginning of the answer.
func (r *backendReply) Head() dragonflypass.ResponseHead { return r.head }

// Next returns the next event, or the whole body.
func (r *backendReply) Next() (dragonflypass.Chunk, error) {
	if !r.stream {
		return dragonflypass.Chunk{Data: []byte("answer")}, nil
	}
	if r.next >= r.server.Events {
		return dragonflypass.Chunk{}, io.EOF
	}
	span := r.server.Step
	if r.given == 0 {
		span = r.server.First
	}
	if err := r.server.pause(r.ctx, span); err != nil {
		return dragonflypass.Chunk{}, errors.Join(dragonflypass.ErrBroken, err)
	}
	if r.fault == BackendCutting && r.given == CutAfter {
		return dragonflypass.Chunk{}, dragonflypass.ErrBroken
	}
	r.next++
	r.given++
	id := strconv.Itoa(r.next)
	return dragonflypass.Chunk{ID: id, Data: []byte("id: " + id + "\n\n")}, nil
}

// Close ends the request.
func (r *backendReply) Close() {
	if !r.closed {
		r.closed = true
		r.server.ended()
	}
}
