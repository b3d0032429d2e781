package messenger

import (
	"context"
	"crypto/subtle"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflypass/dragonflypass"
)

// Server handles the requests of the other entry VMs.
type Server struct {
	// Credential is the bearer credential that all entry VMs share, empty if only the network restricts access.
	Credential string
	Handler    dragonflypass.PeerHandler
	Pool       dragonflypass.Pool
	Meter      dragonflypass.Meter

	mutex  sync.Mutex
	links  map[*link]struct{}
	closed bool
}

// NewServer returns a server without connections.
func NewServer() *Server { return &Server{links: make(map[*link]struct{})} }

// ServeHTTP accepts a connection and handles its requests until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != peerPath {
		http.NotFound(w, r)
		return
	}
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(bearer(s.Credential))) != 1 {
		http.Error(w, "the credential is missing or wrong", http.StatusUnauthorized)
		return
	}
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	l := newLink(socket, s.Meter)
	if !s.add(l) {
		l.close()
		return
	}
	defer s.remove(l)
	go l.write()
	s.serve(l)
}

// add registers a connection; it returns false if the server is closed.
func (s *Server) add(l *link) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.closed {
		s.links[l] = struct{}{}
	}
	return !s.closed
}

func (s *Server) remove(l *link) {
	l.close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.links, l)
}

// CheckIdle closes the idle connections that have gone silent, whose clients use new ones. It does not wait for the answers to its
// pings.
func (s *Server) CheckIdle(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for l := range s.links {
		l.checkSilence(now.Add(-idleLimit))
	}
}

// Close ends all connections and refuses new ones.
func (s *Server) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	for l := range s.links {
		l.close()
	}
}

// serve handles the requests on a connection. Permit requests that are still pending when the connection ends are withdrawn.
func (s *Server) serve(l *link) {
	pending := &pendingRequests{withdrawals: make(map[uint64]func())}
	defer pending.withdrawAll()
	for {
		e, err := l.read()
		if err != nil {
			return
		}
		switch e.Kind {
		case kindAcquire:
			if !s.acquire(l, pending, e) {
				return
			}
		case kindWithdraw:
			pending.withdraw(e.ID)
		default:
			s.Pool.Submit(dragonflypass.JobPeer, func(context.Context) {
				// A message without an ID expects no response.
				if resp, ok := s.handle(e); ok && e.ID != 0 {
					_ = l.send(envelope{ID: e.ID, Kind: kindResponse, Body: mustMarshal(resp)})
				}
			})
		}
	}
}

// acquire queues a permit request and sends its outcome once it is known. A permit that cannot be sent is released.
// It returns false if the request is malformed.
func (s *Server) acquire(l *link, pending *pendingRequests, e envelope) bool {
	var wire permitRequest
	if cbor.Unmarshal(e.Body, &wire) != nil {
		return false
	}
	pending.add(e.ID)
	request := wire.request(time.Now())
	withdraw := s.Handler.Acquire(request, func(p dragonflypass.Permit, err error) {
		pending.remove(e.ID)
		resp := response{}
		if refusal, ok := dragonflypass.AsRefusal(err); ok {
			resp.Refusal = toRefusal(refusal)
		} else {
			resp.Permit = toPermit(p)
		}
		if l.send(envelope{ID: e.ID, Kind: kindResponse, Body: mustMarshal(resp)}) != nil && err == nil {
			s.Handler.Release(dragonflypass.PermitRelease{Stream: request.Stream, Server: p.Server, Outcome: dragonflypass.OutcomeUnsent})
		}
	})
	if pending.setWithdraw(e.ID, withdraw) {
		_ = l.send(envelope{ID: e.ID, Kind: kindQueued})
	}
	return true
}

// handle returns the response to any request except one for a permit; ok is false if there is no response, for
// example because the request is malformed.
func (s *Server) handle(e envelope) (resp response, ok bool) {
	switch e.Kind {
	case kindRelease:
		var wire release
		if cbor.Unmarshal(e.Body, &wire) != nil {
			return resp, false
		}
		s.Handler.Release(wire.release())
	case kindHeartbeat:
		var wire heartbeat
		if cbor.Unmarshal(e.Body, &wire) != nil {
			return resp, false
		}
		received, err := wire.heartbeat(time.Now())
		if err != nil {
			return resp, false
		}
		reply := toHeartbeat(s.Handler.ExchangeHeartbeat(received), time.Now())
		resp.Heartbeat = &reply
	case kindEntries:
		var wire entriesRequest
		if cbor.Unmarshal(e.Body, &wire) != nil {
			return resp, false
		}
		p, err := toPage(s.Handler.ConfigEntries(dragonflypass.Offset(wire.FromOffset)))
		if err != nil {
			return resp, false
		}
		resp.Page = p
	case kindCrash:
		var wire crash
		if cbor.Unmarshal(e.Body, &wire) != nil {
			return resp, false
		}
		s.Handler.ReportCrash(wire.crash(time.Now()))
	case kindPrefilled:
		var wire streamID
		if cbor.Unmarshal(e.Body, &wire) != nil {
			return resp, false
		}
		s.Handler.Prefilled(wire.id())
	default:
		return resp, false
	}
	return resp, true
}

// pendingRequests holds the permit requests of a connection that have no outcome yet.
type pendingRequests struct {
	mutex       sync.Mutex
	withdrawals map[uint64]func()
}

// add registers a request before the function that withdraws it is known.
func (p *pendingRequests) add(id uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.withdrawals[id] = func() {}
}

// setWithdraw stores the function that withdraws a request and reports whether the request still has no outcome.
func (p *pendingRequests) setWithdraw(id uint64, withdraw func()) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, waiting := p.withdrawals[id]
	if waiting {
		p.withdrawals[id] = withdraw
	}
	return waiting
}

func (p *pendingRequests) remove(id uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.withdrawals, id)
}

// withdraw withdraws a request. If its permit has already been sent, the requesting side releases the permit.
func (p *pendingRequests) withdraw(id uint64) {
	p.mutex.Lock()
	withdraw, ok := p.withdrawals[id]
	delete(p.withdrawals, id)
	p.mutex.Unlock()
	if ok {
		withdraw()
	}
}

func (p *pendingRequests) withdrawAll() {
	p.mutex.Lock()
	var withdrawals []func()
	for id, withdraw := range p.withdrawals {
		withdrawals = append(withdrawals, withdraw)
		delete(p.withdrawals, id)
	}
	p.mutex.Unlock()
	for _, withdraw := range withdrawals {
		withdraw()
	}
}
