package dialer

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// idleTime is how long an unused connection is kept.
const idleTime = time.Minute

// New returns a dialer of TCP connections: each is made within the time, and ends when what was
// sent on it stays unacknowledged for the silence.
func New(timeout, silence time.Duration) net.Dialer {
	return net.Dialer{Timeout: timeout, KeepAlive: -1, Control: UserTimeout(silence)}
}

// UserTimeout returns the control of a socket that ends a connection on which sent data stays unacknowledged for the span.
func UserTimeout(span time.Duration) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var failed error
		err := conn.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(span.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}

// NewTransport returns an HTTP transport whose connections are made within the time.
func NewTransport(timeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: timeout}
	return &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleTime, DisableCompression: true}
}

// ConnectFailed reports whether a call failed because its connection was never made, so that nothing was sent.
func ConnectFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
