package acceptor

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/dragonflypass/dragonflypass/core/rationer"
)

// Acceptor is a listener of TCP connections, each of which has a place at the rationer until it is closed.
type Acceptor struct {
	net.Listener
	Rationer *rationer.Rationer
}

// Accept returns the next connection that has a place. The others are reset at once, so that the kernel keeps no state of them.
func (a *Acceptor) Accept() (net.Conn, error) {
	for {
		accepted, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		c := &conn{TCPConn: tcp}
		// The address of a TCP connection is always a *net.TCPAddr.
		client := tcp.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
		if c.place = a.Rationer.Connect(client, time.Now(), c.reset); c.place != nil {
			return c, nil
		}
		c.reset()
	}
}

// conn is a connection with a place.
type conn struct {
	*net.TCPConn
	place *rationer.Connection
}

// Close closes the connection and gives its place back.
func (c *conn) Close() error {
	err := c.TCPConn.Close()
	c.place.Close()
	return err
}

// reset closes the connection without waiting for the client. The server that reads from it gives the place back.
func (c *conn) reset() {
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
}

// placeKey is the key of the place of a connection in the context of its requests.
type placeKey struct{}

// placeOf returns the place of a connection, nil if it has none.
func placeOf(c net.Conn) *rationer.Connection {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	if accepted, ok := c.(*conn); ok {
		return accepted.place
	}
	return nil
}

// unreadBodyTime is the time for which net/http reads up to 256 KB of a body that the handler did not read. If it read none, it
// would reset the connection, and a client that is still sending would lose the response.
const unreadBodyTime = 500 * time.Millisecond

// Attach makes the server record which of its connections have requests, and read the rest of a body that its handler did not read
// for a short time only. The handler of the server must be set.
func Attach(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if place := placeOf(c); place != nil {
			return context.WithValue(ctx, placeKey{}, place)
		}
		return ctx
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if state != http.StateIdle {
			return
		}
		if place := placeOf(c); place != nil {
			place.Idle(time.Now())
		}
	}
	server.Handler = &handler{next: server.Handler}
}

// handler calls the next handler.
type handler struct{ next http.Handler }

// ServeHTTP records that the connection has a request and calls the next handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if place, ok := r.Context().Value(placeKey{}).(*rationer.Connection); ok {
		place.Begin()
	}
	if r.ContentLength == 0 {
		h.next.ServeHTTP(w, r)
		return
	}
	body := &trackedBody{ReadCloser: r.Body}
	r.Body = body
	h.next.ServeHTTP(w, r)
	if !body.ended {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime))
	}
}

// trackedBody records whether a body was read to its end.
type trackedBody struct {
	io.ReadCloser
	ended bool
}

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}
