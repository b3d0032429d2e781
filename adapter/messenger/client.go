package messenger

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"strings"
	"sync"
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
)

// Client reaches the other entry VMs, over one connection to each.
type Client struct {
	// Credential is the bearer credential that entry VMs share, empty where the network alone keeps others out.
	Credential string
	// TLS is set when the connections are encrypted.
	TLS   *tls.Config
	Meter dragonflypass.Meter

	mutex   sync.Mutex
	callers map[netip.AddrPort]*caller
	closed  bool
}

var _ dragonflypass.Peers = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{callers: make(map[netip.AddrPort]*caller)} }

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
	if err != nil {
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
	go k.receive()
	return k, nil
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
		if e.Kind != kindAnswer || cbor.Unmarshal(e.Body, &a) != nil {
			return
		}
		if asked, ok := k.take(e.ID); ok {
			asked <- a
		}
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

// ask sends a question and waits for its answer; abandon is called when ctx ends first.
func (k *caller) ask(ctx context.Context, kind string, value any, abandon func(id uint64)) (answer, error) {
	asked := make(chan answer, 1)
	k.mutex.Lock()
	if k.closed {
		k.mutex.Unlock()
		return answer{}, eris.Wrap(dragonflypass.ErrUncertain, "connection closed")
	}
	k.next++
	id := k.next
	k.pending[id] = asked
	k.mutex.Unlock()
	if err := k.link.send(envelope{ID: id, Kind: kind, Body: body(value)}); err != nil {
		k.take(id)
		return answer{}, eris.Wrap(dragonflypass.ErrUncertain, err.Error())
	}
	select {
	case a, ok := <-asked:
		if !ok {
			return answer{}, eris.Wrap(dragonflypass.ErrUncertain, "connection closed")
		}
		return a, nil
	case <-ctx.Done():
		k.take(id)
		if abandon != nil {
			abandon(id)
		}
		return answer{}, context.Cause(ctx)
	}
}

// Acquire waits for a permit of the owner; when ctx ends the request is withdrawn.
func (c *Client) Acquire(ctx context.Context, owner dragonflypass.VM, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	k, err := c.caller(ctx, owner)
	if err != nil {
		return dragonflypass.Permit{}, err
	}
	a, err := k.ask(ctx, kindAcquire, toAcquire(request, time.Now()), func(id uint64) {
		_ = k.link.send(envelope{ID: id, Kind: kindWithdraw})
	})
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

// Exchange sends a heartbeat and returns the other side's.
func (c *Client) Exchange(ctx context.Context, to dragonflypass.VM, b dragonflypass.Heartbeat) (dragonflypass.Heartbeat, error) {
	a, err := c.simple(ctx, to, kindBeat, toBeat(b, time.Now()))
	if err != nil {
		return dragonflypass.Heartbeat{}, err
	}
	if a.Beat == nil {
		return dragonflypass.Heartbeat{}, eris.Wrap(dragonflypass.ErrBroken, "an answer without a heartbeat")
	}
	return a.Beat.beat(time.Now())
}

// Entries returns configuration entries that the other side has from the offset on.
func (c *Client) Entries(ctx context.Context, to dragonflypass.VM, from dragonflypass.Offset) (dragonflypass.Page, error) {
	a, err := c.simple(ctx, to, kindEntries, entries{From: uint64(from)})
	if err != nil {
		return dragonflypass.Page{}, err
	}
	if a.Page == nil {
		return dragonflypass.Page{}, eris.Wrap(dragonflypass.ErrBroken, "an answer without a page")
	}
	return a.Page.page()
}

// Report tells another entry VM of a crash.
func (c *Client) Report(ctx context.Context, to dragonflypass.VM, crash dragonflypass.Crash) error {
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
	return k.ask(ctx, kind, value, nil)
}
