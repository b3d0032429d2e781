package verifier

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// The reasons why the end of a connection does not end a response.
var (
	ErrReset      = eris.New("verifier: the server has reset the connection")
	ErrUnreceived = eris.New("verifier: the server ended the connection before it received the request")
)

const (
	// ackTimeout is the maximum time for the server to acknowledge the rest of the request after it has ended its side of the
	// connection, and firstAckInterval the time until the second check; the intervals double.
	ackTimeout       = time.Second
	firstAckInterval = time.Millisecond
)

// tcpClose is the state of a TCP socket that was reset and not closed by this process.
const tcpClose = 7

// CheckEnd checks, after io.EOF was read from a connection to which nothing more will be written, that the server ended its side of the
// connection and has received all that was written. A reset does not always show as an error: the system reports it only once, to the
// first read or write, so that io.EOF is read after a write has failed. Errors: ErrReset, ErrUnreceived.
func CheckEnd(conn net.Conn) error {
	deadline := time.Now().Add(ackTimeout)
	for interval := firstAckInterval; ; interval *= 2 {
		closed, unacknowledged, err := inspect(conn)
		switch {
		case err != nil:
			// The connection is not one of TCP, or has been closed by this process.
			return nil
		case closed:
			return ErrReset
		case unacknowledged == 0:
			return nil
		case time.Now().After(deadline):
			return ErrUnreceived
		}
		<-time.After(interval)
	}
}

// inspect returns whether the connection was reset, and the number of bytes that the server has not acknowledged.
func inspect(conn net.Conn) (closed bool, unacknowledged int, err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false, 0, errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, 0, err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); optionErr != nil {
			return
		}
		closed = info.State == tcpClose
		unacknowledged, optionErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return closed, unacknowledged, errors.Join(err, optionErr)
}

// Conn is a connection for one request. Reads fail with the errors of Head.Feed if a head is malformed, and with those of CheckEnd
// instead of io.EOF.
type Conn struct {
	net.Conn

	head Head
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.head.Feed(p[:n]); headErr != nil {
		return 0, headErr
	}
	if errors.Is(err, io.EOF) {
		if endErr := CheckEnd(c.Conn); endErr != nil {
			return n, endErr
		}
	}
	return n, err
}
