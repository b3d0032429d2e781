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

// Server answers the other entry VMs.
type Server struct {
	// Credential is the bearer credential that entry VMs share, empty where the network alone keeps others out.
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

// ServeHTTP accepts a connection and answers on it until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != path {
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
	s.answer(l)
}

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

// Close ends all connections and refuses new ones.
func (s *Server) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	for l := range s.links {
		l.close()
	}
}

// answer handles a connection's questions; requests that still wait when it ends are withdrawn.
func (s *Server) answer(l *link) {
	waits := &waits{withdraw: make(map[uint64]func())}
	defer waits.all()
	for {
		e, err := l.read()
		if err != nil {
			return
		}
		switch e.Kind {
		case kindAcquire:
			if !s.acquire(l, waits, e) {
				return
			}
		case kindWithdraw:
			waits.one(e.ID)
		default:
			s.Pool.Submit(dragonflypass.JobPeer, func(context.Context) {
				if a, ok := s.handle(e); ok {
					_ = l.send(envelope{ID: e.ID, Kind: kindAnswer, Body: body(a)})
				}
			})
		}
	}
}

// acquire queues the request of a question and answers it when its outcome is known.
func (s *Server) acquire(l *link, waits *waits, e envelope) bool {
	var wire acquire
	if cbor.Unmarshal(e.Body, &wire) != nil {
		return false
	}
	waits.add(e.ID)
	request := wire.request(time.Now())
	withdraw := s.Handler.Acquire(request, func(p dragonflypass.Permit, err error) {
		waits.done(e.ID)
		a := answer{}
		if refusal, ok := dragonflypass.AsRefusal(err); ok {
			a.Refusal = toRefusal(refusal)
		} else {
			a.Permit = toPermit(p)
		}
		if l.send(envelope{ID: e.ID, Kind: kindAnswer, Body: body(a)}) != nil && err == nil {
			s.Handler.Release(dragonflypass.PermitRelease{Stream: request.Stream, Server: p.Server, Outcome: dragonflypass.OutcomeUnsent})
		}
	})
	if waits.set(e.ID, withdraw) {
		_ = l.send(envelope{ID: e.ID, Kind: kindQueued})
	}
	return true
}

// handle answers a question that is not for a permit; ok is false when it cannot be read.
func (s *Server) handle(e envelope) (a answer, ok bool) {
	switch e.Kind {
	case kindRelease:
		var wire release
		if cbor.Unmarshal(e.Body, &wire) != nil {
			return a, false
		}
		s.Handler.Release(wire.release())
	case kindBeat:
		var wire beat
		if cbor.Unmarshal(e.Body, &wire) != nil {
			return a, false
		}
		heard, err := wire.beat(time.Now())
		if err != nil {
			return a, false
		}
		own := toBeat(s.Handler.ExchangeHeartbeat(heard), time.Now())
		a.Beat = &own
	case kindEntries:
		var wire entries
		if cbor.Unmarshal(e.Body, &wire) != nil {
			return a, false
		}
		p, err := toPage(s.Handler.ConfigEntries(dragonflypass.Offset(wire.From)))
		if err != nil {
			return a, false
		}
		a.Page = p
	case kindCrash:
		var wire crash
		if cbor.Unmarshal(e.Body, &wire) != nil {
			return a, false
		}
		s.Handler.ReportCrash(wire.crash())
	case kindPrefill:
		var wire stream
		if cbor.Unmarshal(e.Body, &wire) != nil {
			return a, false
		}
		s.Handler.Prefilled(wire.id())
	default:
		return a, false
	}
	return a, true
}

// waits holds a connection's requests that wait for a permit.
type waits struct {
	mutex    sync.Mutex
	withdraw map[uint64]func()
}

func (w *waits) add(id uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.withdraw[id] = func() {}
}

// set notes how to withdraw a request and reports whether it has no outcome yet.
func (w *waits) set(id uint64, withdraw func()) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, waiting := w.withdraw[id]
	if waiting {
		w.withdraw[id] = withdraw
	}
	return waiting
}

func (w *waits) done(id uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.withdraw, id)
}

// one withdraws a request; one whose permit is on its way is released by the asking side.
func (w *waits) one(id uint64) {
	w.mutex.Lock()
	withdraw, ok := w.withdraw[id]
	delete(w.withdraw, id)
	w.mutex.Unlock()
	if ok {
		withdraw()
	}
}

func (w *waits) all() {
	w.mutex.Lock()
	var rest []func()
	for id, withdraw := range w.withdraw {
		rest = append(rest, withdraw)
		delete(w.withdraw, id)
	}
	w.mutex.Unlock()
	for _, withdraw := range rest {
		withdraw()
	}
}
