package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/dialer"
)

const (
	// peerPath is the HTTP path at which entry VMs accept connections from each other.
	peerPath = "/peer"
	// dialTimeout limits how long connecting to another entry VM may take.
	dialTimeout = time.Second
	// userTimeout is the TCP user timeout: a connection is closed if sent data stays unacknowledged for this long.
	userTimeout = time.Second
	// firstResponseTimeout limits the wait for an owner's first response to a permit request: the outcome or the
	// notice that the request is queued. A message between zones takes milliseconds; a busy VM needs tens of milliseconds to
	// respond.
	firstResponseTimeout = 150 * time.Millisecond
)

// Client sends requests to the other entry VMs over one connection to each.
//
// Its methods return ErrRefused if the VM refuses the connection, ErrUnavailable if the connection fails otherwise,
// ErrUncertain if the connection ends before the response, ErrBroken for an unusable response and the cause of ctx if
// ctx ends before the response.
type Client struct {
	// Credential is the bearer credential that all entry VMs share, empty if only the network restricts access.
	Credential string
	// TLS is the configuration of encrypted connections, nil for unencrypted ones.
	TLS   *tls.Config
	Meter dragonflypass.Meter
	// ConnectionLost is called when the connection to an address has ended, unless Close ended it.
	ConnectionLost func(netip.AddrPort)

	mutex  sync.Mutex
	conns  map[netip.AddrPort]*clientConn
	closed bool

	// handshakes sends the requests that open connections.
	initHandshakes sync.Once
	handshakes     *http.Client
}

var _ dragonflypass.PeerClient = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{ConnectionLost: func(netip.AddrPort) {}, conns: make(map[netip.AddrPort]*clientConn)}
}

// clientConn is the requesting side of one connection.
type clientConn struct {
	link *link

	mutex   sync.Mutex
	lastID  uint64
	pending map[uint64]chan response
	closed  bool
}

// Close ends all connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, cc := range c.conns {
		cc.link.close()
	}
}

// Disconnect ends the connection to an address. As after a network failure, its pending requests fail and Lost is called.
func (c *Client) Disconnect(address netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if cc, ok := c.conns[address]; ok {
		cc.link.close()
	}
}

// CheckIdle closes the idle connections that have gone silent. It does not wait for the answers to its pings.
func (c *Client) CheckIdle(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, cc := range c.conns {
		cc.link.checkSilence(now.Add(-idleLimit))
	}
}

// conn returns the open connection to the VM; if there is none, it dials a new one.
func (c *Client) conn(ctx context.Context, to dragonflypass.VM) (*clientConn, error) {
	c.mutex.Lock()
	cc, ok := c.conns[to.Peer]
	c.mutex.Unlock()
	if ok && !cc.isClosed() {
		return cc, nil
	}
	socket, err := c.dial(ctx, to.Peer)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, eris.Wrap(dragonflypass.ErrRefused, err.Error())
	case err != nil:
		return nil, eris.Wrap(dragonflypass.ErrUnavailable, err.Error())
	}
	cc = &clientConn{link: newLink(socket, c.Meter), pending: make(map[uint64]chan response)}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if other, ok := c.conns[to.Peer]; ok && !other.isClosed() {
		cc.link.close()
		return other, nil
	}
	if c.closed {
		cc.link.close()
		return nil, eris.Wrap(dragonflypass.ErrUnavailable, "closed")
	}
	c.conns[to.Peer] = cc
	go cc.link.write()
	go func() {
		cc.receive()
		c.remove(to.Peer, cc)
		c.connectionLost(to.Peer)
	}()
	return cc, nil
}

// remove removes a connection that has ended, unless another one has replaced it.
func (c *Client) remove(address netip.AddrPort, cc *clientConn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conns[address] == cc {
		delete(c.conns, address)
	}
}

// connectionLost calls ConnectionLost, unless Close has ended all connections.
func (c *Client) connectionLost(address netip.AddrPort) {
	c.mutex.Lock()
	closed := c.closed
	c.mutex.Unlock()
	if !closed {
		c.ConnectionLost(address)
	}
}

func (c *Client) dial(ctx context.Context, address netip.AddrPort) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	scheme := "ws"
	if c.TLS != nil {
		scheme = "wss"
	}
	c.initHandshakes.Do(func() {
		tcp := dialer.New(dialTimeout, userTimeout)
		c.handshakes = &http.Client{Transport: &http.Transport{DialContext: tcp.DialContext, TLSClientConfig: c.TLS}}
	})
	header := http.Header{}
	header.Set("Authorization", bearer(c.Credential))
	socket, _, err := websocket.Dial(ctx, scheme+"://"+address.String()+peerPath, &websocket.DialOptions{
		HTTPClient: c.handshakes, HTTPHeader: header, CompressionMode: websocket.CompressionDisabled,
	})
	return socket, err
}

// bearer returns the value of the Authorization header for a credential.
func bearer(credential string) string { return strings.TrimSpace("Bearer " + credential) }

func (cc *clientConn) isClosed() bool {
	cc.mutex.Lock()
	defer cc.mutex.Unlock()
	return cc.closed
}

// receive delivers responses to the waiting requests until the connection ends. A malformed message ends it.
func (cc *clientConn) receive() {
	defer cc.close()
	for {
		e, err := cc.link.read()
		if err != nil {
			return
		}
		var resp response
		switch {
		case e.Kind == kindQueued:
			cc.notifyQueued(e.ID)
			continue
		case e.Kind != kindResponse || cbor.Unmarshal(e.Body, &resp) != nil:
			return
		}
		if responses, ok := cc.removePending(e.ID); ok {
			responses <- resp
		}
	}
}

// notifyQueued notifies a waiting permit request that it is queued and its outcome will follow.
func (cc *clientConn) notifyQueued(id uint64) {
	cc.mutex.Lock()
	defer cc.mutex.Unlock()
	if responses, ok := cc.pending[id]; ok {
		responses <- response{queued: true}
	}
}

func (cc *clientConn) close() {
	cc.link.close()
	cc.mutex.Lock()
	defer cc.mutex.Unlock()
	cc.closed = true
	for id, responses := range cc.pending {
		close(responses)
		delete(cc.pending, id)
	}
}

func (cc *clientConn) removePending(id uint64) (chan response, bool) {
	cc.mutex.Lock()
	defer cc.mutex.Unlock()
	responses, ok := cc.pending[id]
	delete(cc.pending, id)
	return responses, ok
}

// roundTrip sends a request and waits for its response.
func (cc *clientConn) roundTrip(ctx context.Context, kind string, value any) (response, error) {
	sentAt := time.Now()
	id, responses, err := cc.send(kind, value)
	if err != nil {
		return response{}, err
	}
	return cc.wait(ctx, id, responses, sentAt)
}

// send sends a request. Its response arrives on the channel, which is closed if the connection ends first.
func (cc *clientConn) send(kind string, value any) (id uint64, responses chan response, err error) {
	// One slot for the notice that a permit request is queued, one for the outcome.
	responses = make(chan response, 2)
	cc.mutex.Lock()
	if cc.closed {
		cc.mutex.Unlock()
		return 0, nil, eris.Wrap(dragonflypass.ErrUncertain, "connection closed")
	}
	cc.lastID++
	id = cc.lastID
	cc.pending[id] = responses
	cc.mutex.Unlock()
	if err := cc.link.send(envelope{ID: id, Kind: kind, Body: mustMarshal(value)}); err != nil {
		cc.removePending(id)
		return 0, nil, eris.Wrap(dragonflypass.ErrUncertain, err.Error())
	}
	return id, responses, nil
}

// wait returns the next response to a request, or an error if the connection or ctx ends first. If it is overdue, the connection
// may have gone silent.
func (cc *clientConn) wait(ctx context.Context, id uint64, responses chan response, sentAt time.Time) (response, error) {
	select {
	case resp, ok := <-responses:
		if !ok {
			return response{}, eris.Wrap(dragonflypass.ErrUncertain, "connection closed")
		}
		return resp, nil
	case <-ctx.Done():
		cc.removePending(id)
		cause := context.Cause(ctx)
		if errors.Is(cause, context.DeadlineExceeded) {
			cc.link.checkSilence(sentAt)
		}
		return response{}, cause
	}
}

// acquire requests a permit. The owner must respond within firstResponseTimeout; the outcome of a queued request
// may follow later.
func (cc *clientConn) acquire(ctx context.Context, request dragonflypass.PermitRequest) (response, error) {
	sentAt := time.Now()
	id, responses, err := cc.send(kindAcquire, toPermitRequest(request, sentAt))
	if err != nil {
		return response{}, err
	}
	firstResponseCtx, cancel := context.WithTimeout(ctx, firstResponseTimeout)
	defer cancel()
	resp, err := cc.wait(firstResponseCtx, id, responses, sentAt)
	if err == nil && resp.queued {
		resp, err = cc.wait(ctx, id, responses, sentAt)
	}
	if firstResponseCtx.Err() != nil && err != nil {
		_ = cc.link.send(envelope{ID: id, Kind: kindWithdraw})
	}
	if ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
		return resp, eris.Wrap(dragonflypass.ErrUnavailable, "the owner did not respond in time")
	}
	return resp, err
}

// Acquire waits for a permit from the owner; the request is withdrawn when ctx ends. It returns the Refusal if the owner
// refuses the request, and ErrUnavailable if the owner does not respond within firstResponseTimeout.
func (c *Client) Acquire(ctx context.Context, owner dragonflypass.VM, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	cc, err := c.conn(ctx, owner)
	if err != nil {
		return dragonflypass.Permit{}, err
	}
	resp, err := cc.acquire(ctx, request)
	switch {
	case err != nil:
		return dragonflypass.Permit{}, err
	case resp.Refusal != nil:
		return dragonflypass.Permit{}, resp.Refusal.refusal()
	case resp.Permit == nil:
		return dragonflypass.Permit{}, eris.Wrap(dragonflypass.ErrBroken, "the response contains no permit")
	}
	return resp.Permit.permit()
}

// Release returns a permit to its owner, without waiting for a response: a permit whose release is lost is removed after
// the next heartbeat, which no longer lists its stream.
func (c *Client) Release(ctx context.Context, owner dragonflypass.VM, release dragonflypass.PermitRelease) error {
	return c.notify(ctx, owner, kindRelease, toRelease(release))
}

// ExchangeHeartbeat sends a heartbeat and returns the heartbeat of the other VM.
func (c *Client) ExchangeHeartbeat(ctx context.Context, to dragonflypass.VM, hb dragonflypass.Heartbeat) (dragonflypass.Heartbeat, error) {
	resp, err := c.call(ctx, to, kindHeartbeat, toHeartbeat(hb, time.Now()))
	if err != nil {
		return dragonflypass.Heartbeat{}, err
	}
	if resp.Heartbeat == nil {
		return dragonflypass.Heartbeat{}, eris.Wrap(dragonflypass.ErrBroken, "the response contains no heartbeat")
	}
	return resp.Heartbeat.heartbeat(time.Now())
}

// ConfigEntries returns the configuration entries that the other VM has, starting at the offset.
func (c *Client) ConfigEntries(ctx context.Context, to dragonflypass.VM, from dragonflypass.Offset) (dragonflypass.LogPage, error) {
	resp, err := c.call(ctx, to, kindEntries, entriesRequest{FromOffset: uint64(from)})
	if err != nil {
		return dragonflypass.LogPage{}, err
	}
	if resp.Page == nil {
		return dragonflypass.LogPage{}, eris.Wrap(dragonflypass.ErrBroken, "the response contains no page")
	}
	return resp.Page.page()
}

// ReportCrash reports the crash of a backend server to another entry VM, without waiting for a response: the other VM's
// workers may be sending reports too.
func (c *Client) ReportCrash(ctx context.Context, to dragonflypass.VM, crash dragonflypass.ServerCrash) error {
	return c.notify(ctx, to, kindCrash, toCrash(crash, time.Now()))
}

// Prefilled reports to the owner that the permit's prompt has been processed, without waiting for a response.
func (c *Client) Prefilled(ctx context.Context, owner dragonflypass.VM, id dragonflypass.StreamID) error {
	return c.notify(ctx, owner, kindPrefilled, toStreamID(id))
}

// notify sends a message to which there is no response.
func (c *Client) notify(ctx context.Context, to dragonflypass.VM, kind string, value any) error {
	cc, err := c.conn(ctx, to)
	if err != nil {
		return err
	}
	if err := cc.link.send(envelope{Kind: kind, Body: mustMarshal(value)}); err != nil {
		return eris.Wrap(dragonflypass.ErrUncertain, err.Error())
	}
	return nil
}

func (c *Client) call(ctx context.Context, to dragonflypass.VM, kind string, value any) (response, error) {
	cc, err := c.conn(ctx, to)
	if err != nil {
		return response{}, err
	}
	return cc.roundTrip(ctx, kind, value)
}
