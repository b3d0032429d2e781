package dialer

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// idleConnTimeout is the time after which an idle connection is closed.
	idleConnTimeout = time.Minute
	// transportUserTimeout is the TCP user timeout of the connections of a transport.
	transportUserTimeout = 2 * time.Second
	// MaxHeadBytes is the maximum size of the head of a response in bytes. The fields of a head take several times its size.
	MaxHeadBytes = 16 << 10
)

// New returns a dialer of TCP connections. A connection must be established within connectTimeout, and it ends when
// sent data stays unacknowledged for userTimeout.
func New(connectTimeout, userTimeout time.Duration) net.Dialer {
	return net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: UserTimeout(userTimeout)}
}

// UserTimeout returns a control function for a net.Dialer or net.ListenConfig. It sets the TCP user timeout of the
// socket: a connection ends when sent data stays unacknowledged for that time.
func UserTimeout(timeout time.Duration) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}
}

// NewTransport returns an HTTP transport whose connections must be established within connectTimeout.
func NewTransport(connectTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout, Control: UserTimeout(transportUserTimeout)}
	return &http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: MaxHeadBytes, DisableCompression: true,
	}
}

// ConnectFailed reports whether a call failed because no connection could be established; nothing was sent.
func ConnectFailed(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// Quiet reports whether the connection is open and has nothing to read, as is expected of an idle connection. It does not
// block.
func Quiet(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		_, _, peekErr := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, unix.EAGAIN)
	})
	return err == nil && quiet
}
