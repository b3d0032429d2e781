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
)

const (
	// path is where entry VMs accept each other's connections.
	path = "/peer"
	// dialTimeout bounds the making of a connection to another entry VM.
	dialTimeout = time.Second
	// wordTimeout bounds the wait for an owner's first word about a request for a permit: a link between
	// zones takes milliseconds, a VM at work tens of them.
	wordTimeout = 150 * time.Millisecond
)

// Client reaches the other entry VMs, over one connection to each.
type Client struct {
	// Credential is the bearer credential that entry VMs share, empty where the network alone keeps others out.
	Credential string
	// TLS is set when the connections are encrypted.
	TLS   *tls.Config
	Meter dragonflypass.Meter
	// Lost is called when the connection to an address has ended.
	Lost func(netip.AddrPort)

	mutex   sync.Mutex
	callers map[netip.AddrPort]*caller
	closed  bool
}

var _ dragonflypass.PeerClient = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{Lost: func(netip.AddrPort) {}, callers: make(map[netip.AddrPort]*caller)}
}

// caller is the asking side of one connection.
type caller struct {
	link *link

	mutex   sync.Mutex
	next    uint64
	pending map[uint64]chan answer
	closed  bool
}

// Close ends all connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, k := range c.callers {
		k.link.close()
	}
}

// Cut ends the connection to an address, as a failure of the network would.
func (c *Client) Cut(address netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if k, ok := c.callers[address]; ok {
		k.link.close()
	}
}

// caller returns the connection to the VM, making it when there is none.
func (c *Client) caller(ctx context.Context, to dragonflypass.VM) (*caller, error) {
	c.mutex.Lock()
	k, ok := c.callers[to.Peer]
	c.mutex.Unlock()
	if ok && !k.ended() {
		return k, nil
	}
	socket, err := c.dial(ctx, to.Peer)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, eris.Wrap(dragonflypass.ErrRefused, err.Error())
	case err != nil:
		return nil, eris.Wrap(dragonflypass.ErrUnavailable, err.Error())
	}
	k = &caller{link: newLink(socket, c.Meter), pending: make(map[uint64]chan answer)}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if other, ok := c.callers[to.Peer]; ok && !other.ended() {
		k.link.close()
		return other, nil
	}
	if c.closed {
		k.link.close()
		return nil, eris.Wrap(dragonflypass.ErrUnavailable, "closed")
	}
	c.callers[to.Peer] = k
	go k.link.write()
	go func() {
		k.receive()
		c.lost(to.Peer)
	}()
	return k, nil
}

// lost tells of an ended connection, unless this side ended all.
func (c *Client) lost(address netip.AddrPort) {
	c.mutex.Lock()
	closed := c.closed
	c.mutex.Unlock()
	if !closed {
		c.Lost(address)
	}
}

func (c *Client) dial(ctx context.Context, address netip.AddrPort) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	scheme := "ws"
	client := http.DefaultClient
	if c.TLS != nil {
		scheme = "wss"
		client = &http.Client{Transport: &http.Transport{TLSClientConfig: c.TLS}}
	}
	header := http.Header{}
	header.Set("Authorization", bearer(c.Credential))
	socket, _, err := websocket.Dial(ctx, scheme+"://"+address.String()+path, &websocket.DialOptions{
		HTTPClient: client, HTTPHeader: header, CompressionMode: websocket.CompressionDisabled,
	})
	return socket, err
}

// bearer returns the value by which a VM shows its credential.
func bearer(credential string) string { return strings.TrimSpace("Bearer " + credential) }

func (k *caller) ended() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.closed
}

// receive hands answers to those who asked until the connection ends.
func (k *caller) receive() {
	defer k.end()
	for {
		e, err := k.link.read()
		if err != nil {
			return
		}
		var a answer
		switch {
		case e.Kind == kindQueued:
			k.queued(e.ID)
			continue
		case e.Kind != kindAnswer || cbor.Unmarshal(e.Body, &a) != nil:
			return
		}
		if asked, ok := k.take(e.ID); ok {
			asked <- a
		}
	}
}

// queued tells the one who asked that the outcome will follow.
func (k *caller) queued(id uint64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if asked, ok := k.pending[id]; ok {
		asked <- answer{queued: true}
	}
}

func (k *caller) end() {
	k.link.close()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.closed = true
	for id, asked := range k.pending {
		close(asked)
		delete(k.pending, id)
	}
}

func (k *caller) take(id uint64) (chan answer, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	asked, ok := k.pending[id]
	delete(k.pending, id)
	return asked, ok
}

// ask sends a question and waits for its answer.
func (k *caller) ask(ctx context.Context, kind string, value any) (answer, error) {
	id, asked, err := k.send(kind, value)
	if err != nil {
		return answer{}, err
	}
	return k.wait(ctx, id, asked)
}

// send sends a question; its answer comes on the channel, which is closed when the connection ends before.
func (k *caller) send(kind string, value any) (id uint64, asked chan answer, err error) {
	// Room for the word that a request waits, and for its outcome.
	asked = make(chan answer, 2)
	k.mutex.Lock()
	if k.closed {
		k.mutex.Unlock()
		return 0, nil, eris.Wrap(dragonflypass.ErrUncertain, "connection closed")
	}
	k.next++
	id = k.next
	k.pending[id] = asked
	k.mutex.Unlock()
	if err := k.link.send(envelope{ID: id, Kind: kind, Body: body(value)}); err != nil {
		k.take(id)
		return 0, nil, eris.Wrap(dragonflypass.ErrUncertain, err.Error())
	}
	return id, asked, nil
}

// wait returns what comes first for the question: the next answer, the end of the connection or that of ctx.
func (k *caller) wait(ctx context.Context, id uint64, asked chan answer) (answer, error) {
	select {
	case a, ok := <-asked:
		if !ok {
			return answer{}, eris.Wrap(dragonflypass.ErrUncertain, "connection closed")
		}
		return a, nil
	case <-ctx.Done():
		k.take(id)
		return answer{}, context.Cause(ctx)
	}
}

// acquire asks for a permit: the owner's first word must come soon, the outcome may follow later.
func (k *caller) acquire(ctx context.Context, request dragonflypass.PermitRequest) (answer, error) {
	id, asked, err := k.send(kindAcquire, toAcquire(request, time.Now()))
	if err != nil {
		return answer{}, err
	}
	soon, cancel := context.WithTimeout(ctx, wordTimeout)
	defer cancel()
	a, err := k.wait(soon, id, asked)
	if err == nil && a.queued {
		a, err = k.wait(ctx, id, asked)
	}
	if soon.Err() != nil && err != nil {
		_ = k.link.send(envelope{ID: id, Kind: kindWithdraw})
	}
	if ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
		return a, eris.Wrap(dragonflypass.ErrUnavailable, "the owner is silent")
	}
	return a, err
}

// Acquire waits for a permit of the owner; when ctx ends the request is withdrawn.
func (c *Client) Acquire(ctx context.Context, owner dragonflypass.VM, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	k, err := c.caller(ctx, owner)
	if err != nil {
		return dragonflypass.Permit{}, err
	}
	a, err := k.acquire(ctx, request)
	switch {
	case err != nil:
		return dragonflypass.Permit{}, err
	case a.Refusal != nil:
		return dragonflypass.Permit{}, a.Refusal.refusal()
	case a.Permit == nil:
		return dragonflypass.Permit{}, eris.Wrap(dragonflypass.ErrBroken, "an answer without a permit")
	}
	return a.Permit.permit()
}

// Release returns a permit to its owner.
func (c *Client) Release(ctx context.Context, owner dragonflypass.VM, release dragonflypass.PermitRelease) error {
	_, err := c.simple(ctx, owner, kindRelease, toRelease(release))
	return err
}

// ExchangeHeartbeat sends a heartbeat and returns the other side's.
func (c *Client) ExchangeHeartbeat(ctx context.Context, to dragonflypass.VM, b dragonflypass.Heartbeat) (dragonflypass.Heartbeat, error) {
	a, err := c.simple(ctx, to, kindBeat, toBeat(b, time.Now()))
	if err != nil {
		return dragonflypass.Heartbeat{}, err
	}
	if a.Beat == nil {
		return dragonflypass.Heartbeat{}, eris.Wrap(dragonflypass.ErrBroken, "an answer without a heartbeat")
	}
	return a.Beat.beat(time.Now())
}

// ConfigEntries returns configuration entries that the other side has from the offset on.
func (c *Client) ConfigEntries(ctx context.Context, to dragonflypass.VM, from dragonflypass.Offset) (dragonflypass.LogPage, error) {
	a, err := c.simple(ctx, to, kindEntries, entries{From: uint64(from)})
	if err != nil {
		return dragonflypass.LogPage{}, err
	}
	if a.Page == nil {
		return dragonflypass.LogPage{}, eris.Wrap(dragonflypass.ErrBroken, "an answer without a page")
	}
	return a.Page.page()
}

// ReportCrash tells another entry VM of a crash.
func (c *Client) ReportCrash(ctx context.Context, to dragonflypass.VM, crash dragonflypass.ServerCrash) error {
	_, err := c.simple(ctx, to, kindCrash, toCrash(crash))
	return err
}

// Prefilled tells the owner that the permit's prompt has been processed.
func (c *Client) Prefilled(ctx context.Context, owner dragonflypass.VM, id dragonflypass.StreamID) error {
	_, err := c.simple(ctx, owner, kindPrefill, toStream(id))
	return err
}

func (c *Client) simple(ctx context.Context, to dragonflypass.VM, kind string, value any) (answer, error) {
	k, err := c.caller(ctx, to)
	if err != nil {
		return answer{}, err
	}
	return k.ask(ctx, kind, value)
}
