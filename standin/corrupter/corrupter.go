package corrupter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// receiveBufferBytes is the size in bytes of the receive buffer of the connections. It is small, so that a long upload is still being
// written when the response arrives.
const receiveBufferBytes = 64 << 10

// Corrupter is a faulty server; the exported fields are set before Start.
type Corrupter struct {
	// Select returns the response to a request whose head has been read.
	Select func(request *http.Request) Response

	listener net.Listener
	wg       sync.WaitGroup
	requests atomic.Int64

	mutex sync.Mutex
	conns map[net.Conn]bool
}

// Start listens on a free loopback port and returns its address.
func (c *Corrupter) Start() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, eris.Wrap(err, "corrupter: listen")
	}
	c.listener, c.conns = listener, make(map[net.Conn]bool)
	c.wg.Go(c.accept)
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Close stops listening and closes the open connections.
func (c *Corrupter) Close() {
	_ = c.listener.Close()
	c.mutex.Lock()
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
	c.mutex.Unlock()
	c.wg.Wait()
}

// Requests returns the number of requests received.
func (c *Corrupter) Requests() int { return int(c.requests.Load()) }

func (c *Corrupter) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.mutex.Lock()
		if c.conns == nil {
			c.mutex.Unlock()
			_ = conn.Close()
			return
		}
		c.conns[conn] = true
		c.mutex.Unlock()
		c.wg.Go(func() { c.serve(conn.(*net.TCPConn)) })
	}
}

// serve answers the requests on a connection until a response ends it.
func (c *Corrupter) serve(conn *net.TCPConn) {
	defer func() {
		c.mutex.Lock()
		delete(c.conns, conn)
		c.mutex.Unlock()
		_ = conn.Close()
	}()
	_ = conn.SetReadBuffer(receiveBufferBytes)
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		c.requests.Add(1)
		response := c.Select(request)
		if !response.Early {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(response.Text, AttemptID, request.Header.Get("Attempt-Id"))); err != nil {
			return
		}
		switch response.Ending {
		case KeepOpen:
			_, _ = io.Copy(io.Discard, request.Body)
			continue
		case FinishUpload:
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, request.Body)
		case HalfClose:
			_ = conn.CloseWrite()
		case Reset:
			_ = conn.SetLinger(0)
		}
		return
	}
}
