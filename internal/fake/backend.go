package fake

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// BackendFault is a fault of a fake backend server.
type BackendFault uint8

// The faults of a backend server.
const (
	// BackendHealthy responds normally.
	BackendHealthy BackendFault = iota
	// BackendDown accepts no connections and aborts the running requests.
	BackendDown
	// BackendSilent accepts requests but makes no progress on any of them.
	BackendSilent
	// BackendDark accepts no connections and makes no progress on the running requests, whose connections stay open.
	BackendDark
	// BackendFailing responds to each request with status 500.
	BackendFailing
	// BackendRefusing responds that it did not run the request.
	BackendRefusing
	// BackendUnsigned responds without a signature.
	BackendUnsigned
	// BackendBreakingStreams breaks each stream after BreakAfter events.
	BackendBreakingStreams
	// BackendFull accepts no connections, and the running requests go on.
	BackendFull
)

// BreakAfter is the number of events after which a server with BackendBreakingStreams breaks a stream.
const BreakAfter = 3

// CrashBody is the body of a request that crashes every server that runs it.
const CrashBody = "crash"

// CrashPart is a part of prompts that crashes every server as it begins to generate the answer.
const CrashPart = dragonflypass.SharedPart("crash")

// Backend is an in-memory backend server. Its exported fields must be set before it is used.
type Backend struct {
	Entry dragonflypass.ServerEntry
	// TimeToHead is the time until the head of a stream.
	TimeToHead time.Duration
	// TimeToFirstChunk is the time until the response or its first event, and EventInterval the time between two events.
	TimeToFirstChunk time.Duration
	EventInterval    time.Duration
	// Events is the number of events in a stream.
	Events int

	// Crashed is called after a request has crashed the server; nil for nothing.
	Crashed func(*Backend)

	mutex        sync.Mutex
	fault        BackendFault
	faultChanged chan struct{}
	runs         map[string]int
	// starts are the times at which the server started to run requests.
	starts       []time.Time
	crashCount   int
	reservations map[string]int
	// reservationCount is the number of calls that reserved memory or renewed a reservation.
	reservationCount int
	running          int
	notice           dragonflypass.ServerNotice
	refusalCount     int
	// users holds the server that generates the answer of the request for which memory is reserved, by reservation.
	users map[string]*Backend
}

// SetFault sets the fault of the server. Running requests are affected only by BackendDown, BackendSilent and BackendDark.
func (b *Backend) SetFault(fault BackendFault) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.fault = fault
	if b.faultChanged != nil {
		close(b.faultChanged)
	}
	b.faultChanged = make(chan struct{})
}

// SetNotice sets what the server says about further requests in all of its responses.
func (b *Backend) SetNotice(notice dragonflypass.ServerNotice) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.notice = notice
}

func (b *Backend) currentNotice() dragonflypass.ServerNotice {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.notice
}

// state returns the fault and a channel that is closed when the fault changes.
func (b *Backend) state() (BackendFault, <-chan struct{}) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.faultChanged == nil {
		b.faultChanged = make(chan struct{})
	}
	return b.fault, b.faultChanged
}

// Runs returns how many times the server ran each request, by request ID.
func (b *Backend) Runs() map[string]int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return maps.Clone(b.runs)
}

// StartsPerSecond returns the largest number of requests that the server started to run within any second since the given time,
// and their total number.
func (b *Backend) StartsPerSecond(since time.Time) (highest, total int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for i, at := range b.starts {
		if at.Before(since) {
			continue
		}
		total++
		end := i
		for end < len(b.starts) && b.starts[end].Sub(at) <= time.Second {
			end++
		}
		highest = max(highest, end-i)
	}
	return highest, total
}

// CrashCount returns how many times a request crashed the server.
func (b *Backend) CrashCount() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.crashCount
}

// Reserved returns the memory reserved at the server, in tokens.
func (b *Backend) Reserved() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	total := 0
	for _, tokens := range b.reservations {
		total += tokens
	}
	return total
}

// Refusals returns how many requests the server refused because of BackendRefusing.
func (b *Backend) Refusals() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.refusalCount
}

// ReservationCalls returns how many calls reserved memory at the server or renewed a reservation.
func (b *Backend) ReservationCalls() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.reservationCount
}

// Running returns the number of running requests.
func (b *Backend) Running() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.running
}

// startRequest records the start of a request.
func (b *Backend) startRequest(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.runs == nil {
		b.runs = make(map[string]int)
	}
	b.runs[id]++
	b.starts = append(b.starts, time.Now())
	b.running++
}

func (b *Backend) endRequest() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.running--
}

// delay waits for the duration, and longer if the server is silent at its end. It returns ErrBroken if the server is down, or the error of ctx.
func (b *Backend) delay(ctx context.Context, duration time.Duration) error {
	end := time.Now().Add(duration)
	for {
		fault, changed := b.state()
		if fault == BackendDown {
			return dragonflypass.ErrBroken
		}
		var timer <-chan time.Time
		if fault != BackendSilent && fault != BackendDark {
			remaining := time.Until(end)
			if remaining <= 0 {
				return ctx.Err()
			}
			timer = time.After(remaining)
		}
		select {
		case <-timer:
			return nil
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Backends forwards exchanges to in-memory backend servers.
type Backends struct {
	// Latency is the one-way delay of a message.
	Latency time.Duration

	mutex   sync.Mutex
	servers map[netip.AddrPort]*Backend
}

var _ dragonflypass.Backend = (*Backends)(nil)

// NewBackends returns Backends without servers and with a latency of 1 ms.
func NewBackends() *Backends {
	return &Backends{Latency: time.Millisecond, servers: make(map[netip.AddrPort]*Backend)}
}

// Add makes the server reachable at its address.
func (b *Backends) Add(server *Backend) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.servers[server.Entry.Address] = server
}

// connect connects to the server at the address; it returns ErrUnavailable if there is none, it is down or ctx ends.
func (b *Backends) connect(ctx context.Context, address netip.AddrPort) (*Backend, error) {
	if wait(ctx, b.Latency) != nil {
		return nil, dragonflypass.ErrUnavailable
	}
	b.mutex.Lock()
	server := b.servers[address]
	b.mutex.Unlock()
	if server == nil {
		return nil, dragonflypass.ErrUnavailable
	}
	if fault, _ := server.state(); fault == BackendDown || fault == BackendDark || fault == BackendFull {
		return nil, dragonflypass.ErrUnavailable
	}
	return server, nil
}

// Send runs the exchange at the addressed server.
// It returns ErrUnavailable, a ServerRefusal (wrong server ID, or the server refuses), or ErrUncertain.
func (b *Backends) Send(ctx context.Context, request dragonflypass.BackendRequest) (dragonflypass.BackendResponse, error) {
	server, err := b.connect(ctx, request.Address)
	if err != nil {
		return nil, err
	}
	fault, _ := server.state()
	switch {
	case server.Entry.ID != request.Server:
		return nil, &dragonflypass.ServerRefusal{Status: http.StatusMisdirectedRequest, Misdirected: true, Notice: server.currentNotice()}
	case fault == BackendRefusing:
		server.mutex.Lock()
		server.refusalCount++
		server.mutex.Unlock()
		return nil, &dragonflypass.ServerRefusal{Status: http.StatusServiceUnavailable, Notice: server.currentNotice()}
	}
	server.startRequest(request.Exchange.ID)
	b.setUser(request.Helpers, server)
	r := &backendResponse{ctx: ctx, server: server, fault: fault, start: time.Now(), stream: request.EventStream}
	r.onClose = func() { b.setUser(request.Helpers, nil) }
	r.crashes = slices.Contains(request.Exchange.SharedParts, CrashPart)
	r.head = dragonflypass.ResponseHead{Status: http.StatusOK, Signed: fault != BackendUnsigned, EventStream: r.stream}
	if fault == BackendFailing {
		r.head.Status, r.stream, r.head.EventStream = http.StatusInternalServerError, false, false
	}
	if string(request.Exchange.Body) == CrashBody {
		err = r.crashServer()
	} else if !r.stream {
		err = server.delay(ctx, server.TimeToFirstChunk)
	} else {
		err = wait(ctx, server.TimeToHead)
	}
	if err != nil {
		r.Close()
		return nil, dragonflypass.ErrUncertain
	}
	r.head.Notice = server.currentNotice()
	r.lastEvent, _ = strconv.Atoi(request.LastEventID)
	return r, nil
}

// crashServer takes the server down after crashDelay, as if the request had crashed it, and returns ErrBroken.
func (r *backendResponse) crashServer() error {
	const crashDelay = 50 * time.Millisecond
	if err := r.server.delay(r.ctx, crashDelay); err != nil {
		return err
	}
	return r.server.crash()
}

// crash takes the server down and returns ErrBroken.
func (b *Backend) crash() error {
	b.mutex.Lock()
	b.crashCount++
	b.mutex.Unlock()
	b.SetFault(BackendDown)
	if b.Crashed != nil {
		b.Crashed(b)
	}
	return dragonflypass.ErrBroken
}

// Probe connects to the server; it returns ErrUnavailable if it cannot.
func (b *Backends) Probe(ctx context.Context, address netip.AddrPort) error {
	_, err := b.connect(ctx, address)
	return err
}

// setUser records the server that generates the answer of the request for which the helpers reserve memory, nil at its end.
func (b *Backends) setUser(helpers []dragonflypass.Helper, user *Backend) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, h := range helpers {
		if server := b.servers[h.Address]; server != nil && h.Reservation != "" {
			server.mutex.Lock()
			if server.users == nil {
				server.users = make(map[string]*Backend)
			}
			server.users[h.Reservation] = user
			server.mutex.Unlock()
		}
	}
}

// reservationUsage returns the reservations. They are in use once the server that generates the answer has begun the
// request, which a silent one has not.
func (b *Backend) reservationUsage() (list []dragonflypass.ReservationUsage) {
	b.mutex.Lock()
	reservations, users := maps.Clone(b.reservations), maps.Clone(b.users)
	b.mutex.Unlock()
	for name, tokens := range reservations {
		usage := dragonflypass.ReservationUsage{Name: name, Tokens: tokens}
		if user := users[name]; user != nil {
			fault, _ := user.state()
			usage.InUse = fault != BackendSilent
		}
		list = append(list, usage)
	}
	return list
}

// Usage returns the current running requests and reserved memory, with a slowdown of 1. Unlike those of real servers, these values are never out of date.
func (b *Backends) Usage(ctx context.Context, address netip.AddrPort) (dragonflypass.ServerUsage, error) {
	server, err := b.connect(ctx, address)
	if err != nil {
		return dragonflypass.ServerUsage{}, err
	}
	return dragonflypass.ServerUsage{
		Running: server.Running(), Used: server.Reserved(), Slowdown: 1, Reservations: server.reservationUsage(), Notice: server.currentNotice(),
	}, nil
}

// Reserve reserves memory, or renews the reservation, without checking that the memory is free.
func (b *Backends) Reserve(ctx context.Context, address netip.AddrPort, reservation dragonflypass.Reservation) (dragonflypass.ServerNotice, error) {
	server, err := b.connect(ctx, address)
	if err != nil {
		return dragonflypass.ServerNotice{}, err
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.reservations == nil {
		server.reservations = make(map[string]int)
	}
	server.reservations[reservation.Name] = reservation.Tokens
	server.reservationCount++
	return server.notice, nil
}

// Free releases a reservation.
func (b *Backends) Free(ctx context.Context, address netip.AddrPort, name string) (dragonflypass.ServerNotice, error) {
	server, err := b.connect(ctx, address)
	if err != nil {
		return dragonflypass.ServerNotice{}, err
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.reservations, name)
	return server.notice, nil
}

// backendResponse is a response in progress.
type backendResponse struct {
	ctx    context.Context
	server *Backend
	fault  BackendFault
	head   dragonflypass.ResponseHead
	start  time.Time
	stream bool
	// lastEvent is the number of the last event that the caller received.
	lastEvent  int
	sentEvents int
	closed     bool
	onClose    func()
	// crashes is set if the request crashes the server at its first event.
	crashes bool
}

// Head returns the head of the response.
func (r *backendResponse) Head() dragonflypass.ResponseHead { return r.head }

// Next returns the next event of a stream, or the whole body of any other response. It returns io.EOF after the last event, or ErrBroken.
func (r *backendResponse) Next() (dragonflypass.Chunk, error) {
	if !r.stream {
		return dragonflypass.Chunk{Data: []byte("answer")}, nil
	}
	if r.lastEvent >= r.server.Events {
		return dragonflypass.Chunk{}, io.EOF
	}
	eventDelay := r.server.EventInterval
	if r.sentEvents == 0 {
		eventDelay = r.server.TimeToFirstChunk
	}
	if err := r.server.delay(r.ctx, eventDelay); err != nil {
		return dragonflypass.Chunk{}, errors.Join(dragonflypass.ErrBroken, err)
	}
	if r.crashes {
		return dragonflypass.Chunk{}, r.server.crash()
	}
	if r.fault == BackendBreakingStreams && r.sentEvents == BreakAfter {
		return dragonflypass.Chunk{}, dragonflypass.ErrBroken
	}
	r.lastEvent++
	r.sentEvents++
	id := strconv.Itoa(r.lastEvent)
	return dragonflypass.Chunk{ID: id, Data: []byte("id: " + id + "\n\n")}, nil
}

// Close ends the request; further calls have no effect.
func (r *backendResponse) Close() {
	if !r.closed {
		r.closed = true
		r.server.endRequest()
		r.onClose()
	}
}
