package dialer

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// idleTime is how long an unused connection is kept.
const idleTime = time.Minute

// NewTransport returns an HTTP transport whose connections are made within the time.
func NewTransport(timeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: timeout}
	return &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleTime, DisableCompression: true}
}

// Unmade reports whether a call failed because its connection was never made, so that nothing was sent.
func Unmade(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
