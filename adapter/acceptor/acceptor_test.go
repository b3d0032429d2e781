package acceptor_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass/adapter/acceptor"
	"github.com/dragonflypass/dragonflypass/core/rationer"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// serve starts a server whose port has places for that many connections.
func serve(c *qt.C, connections int, handler http.HandlerFunc) (address string, r *rationer.Rationer) {
	r = fake.NewRationer()
	r.Limits.Connections, r.Limits.Grace = connections, time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler}
	acceptor.Attach(server)
	go func() { _ = server.Serve(&acceptor.Acceptor{Listener: listener, Rationer: r}) }()
	c.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), r
}

// request sends a request on the connection and returns the response.
func request(conn net.Conn, text string) (*http.Response, error) {
	if _, err := io.WriteString(conn, text); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

func dial(c *qt.C, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestPlacesOfConnections takes all places by connections with requests. A further connection must be closed at once; when a request has
// ended, its connection must give way. All places must be free at the end.
func TestPlacesOfConnections(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	started := make(chan struct{}, 10)
	address, r := serve(c, 2, func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	})
	conns, ended := make([]net.Conn, 2), make(chan error, 2)
	for i := range conns {
		conns[i] = dial(c, address)
		go func() {
			_, err := request(conns[i], get)
			ended <- err
		}()
		<-started
	}
	refused, err := net.Dial("tcp", address)
	if err == nil {
		_, err = refused.Read(make([]byte, 1))
	}
	c.Check(err, qt.IsNotNil)
	close(release)
	for range conns {
		c.Check(<-ended, qt.IsNil)
	}
	for {
		// The connection may be refused until the server has noticed that the others are idle.
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		defer conn.Close()
		if response, err := request(conn, get); err == nil {
			c.Check(response.StatusCode, qt.Equals, http.StatusOK)
			break
		}
	}
	c.Check(r.Usage().Connections <= 2, qt.IsTrue)
	idle := 0
	for _, conn := range conns {
		if _, err := request(conn, get); err == nil {
			idle++
		}
	}
	c.Check(idle <= 1, qt.IsTrue, qt.Commentf("no idle connection gave way"))
}

// TestUnreadBodyIsNotAwaited sends requests whose handler does not read the body, which does not arrive. The response must come and the
// connection must be closed without it.
func TestUnreadBodyIsNotAwaited(t *testing.T) {
	c := qt.New(t)
	address, r := serve(c, 10, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	for _, framing := range []string{"Content-Length: 100", "Content-Length: 1000000", "Transfer-Encoding: chunked"} {
		conn := dial(c, address)
		response, err := request(conn, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n1\r\nx\r\n", framing))
		c.Assert(err, qt.IsNil)
		c.Check(response.StatusCode, qt.Equals, http.StatusNotFound)
		rest, err := io.ReadAll(conn)
		c.Check(err, qt.IsNil, qt.Commentf("%s", framing))
		c.Check(rest, qt.HasLen, 0)
	}
	// net/http closes a connection half a second after its last response.
	ticker, end := time.NewTicker(10*time.Millisecond), time.After(20*time.Second)
	defer ticker.Stop()
	for r.Usage().Connections > 0 {
		select {
		case <-ticker.C:
		case <-end:
			c.Fatal("places remain in use")
		}
	}
}
