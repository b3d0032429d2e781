package messenger

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// messageBytesLimit is the maximum size of a message in bytes; a snapshot of the configuration must fit.
	messageBytesLimit = 64 << 20
	// writeTimeout limits how long writing one message may take.
	writeTimeout = 5 * time.Second
	// outboundLimit is the maximum number of messages that wait to be written on one connection.
	outboundLimit = 1024
	// pingTimeout is the time within which a peer must answer a ping. A connection may go silent without a reset, while new ones
	// work.
	pingTimeout = 500 * time.Millisecond
	// CheckInterval is the time between two checks for silent connections, and idleLimit the time without a message after which
	// such a check pings the peer. Connections that are in use are checked as soon as a response is overdue.
	CheckInterval = 30 * time.Second
	idleLimit     = 30 * time.Second
)

// ErrClosed means that the connection to a peer has ended or that the peer sent a malformed message.
var ErrClosed = eris.New("messenger: connection closed")

// link is one connection. Its own goroutine writes the queued messages, so that senders never wait for a slow peer.
type link struct {
	socket    *websocket.Conn
	meter     dragonflypass.Meter
	outbound  chan []byte
	done      chan struct{}
	closeOnce sync.Once
	// madeAt is the time at which the connection was made, and received the time from then to the last message, in nanoseconds.
	madeAt   time.Time
	received atomic.Int64
	// pinging is set while a ping is unanswered.
	pinging atomic.Bool
}

func newLink(socket *websocket.Conn, meter dragonflypass.Meter) *link {
	socket.SetReadLimit(messageBytesLimit)
	return &link{socket: socket, meter: meter, outbound: make(chan []byte, outboundLimit), done: make(chan struct{}), madeAt: time.Now()}
}

// close ends the connection; it may be called more than once.
func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.socket.CloseNow()
	})
}

// send queues a message for writing. If the queue is full, it ends the connection and returns ErrClosed.
func (l *link) send(e envelope) error {
	data, err := cbor.Marshal(e)
	if err != nil {
		return eris.Wrap(err, "messenger: encode")
	}
	select {
	case l.outbound <- data:
		return nil
	case <-l.done:
		return ErrClosed
	default:
		l.close()
		return ErrClosed
	}
}

// write writes queued messages until the connection ends.
func (l *link) write() {
	defer l.close()
	for {
		select {
		case data := <-l.outbound:
			ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
			err := l.socket.Write(ctx, websocket.MessageBinary, data)
			cancel()
			if err != nil {
				return
			}
			l.meter.Add(dragonflypass.CountPeerBytes, int64(len(data)))
		case <-l.done:
			return
		}
	}
}

// read waits for the next message. It returns ErrClosed if the connection has ended or the message is malformed.
func (l *link) read() (envelope, error) {
	var e envelope
	_, data, err := l.socket.Read(context.Background())
	if err != nil {
		return e, eris.Wrap(ErrClosed, err.Error())
	}
	l.received.Store(int64(time.Since(l.madeAt)))
	l.meter.Add(dragonflypass.CountPeerBytes, int64(len(data)))
	if err := cbor.Unmarshal(data, &e); err != nil {
		return e, eris.Wrap(ErrClosed, err.Error())
	}
	return e, nil
}

// checkSilence pings the peer if no message has arrived since the given time, and closes the connection if there is no answer. It
// does not wait. The peer answers pings as it reads, so a slow one keeps its connections.
func (l *link) checkSilence(since time.Time) {
	if time.Duration(l.received.Load()) > since.Sub(l.madeAt) || l.pinging.Swap(true) {
		return
	}
	go func() {
		defer l.pinging.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		defer cancel()
		if l.socket.Ping(ctx) == nil {
			return
		}
		select {
		case <-l.done:
		default:
			l.meter.Add(dragonflypass.CountPeerSilent, 1)
			l.close()
		}
	}()
}

func parseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, eris.Wrap(dragonflypass.ErrBroken, err.Error())
	}
	return address, nil
}

// mustMarshal encodes a message or its body. It panics on an error, but the types of this package can always be encoded.
func mustMarshal(value any) cbor.RawMessage {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
