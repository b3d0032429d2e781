package messenger

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// messageLimit is the largest message in bytes; a snapshot of the configuration must fit.
	messageLimit = 64 << 20
	// writeTimeout bounds the writing of one message.
	writeTimeout = 5 * time.Second
	// outboundRoom is the number of messages that wait to be written on one connection.
	outboundRoom = 1024
)

// ErrClosed means that the connection to a peer has ended.
var ErrClosed = eris.New("messenger: connection closed")

// link is one connection with a writer of its own, so that no one waits for a slow peer.
type link struct {
	socket   *websocket.Conn
	meter    dragonflypass.Meter
	outbound chan []byte
	done     chan struct{}
	once     sync.Once
}

func newLink(socket *websocket.Conn, meter dragonflypass.Meter) *link {
	socket.SetReadLimit(messageLimit)
	return &link{socket: socket, meter: meter, outbound: make(chan []byte, outboundRoom), done: make(chan struct{})}
}

// close ends the connection; it may be called several times.
func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.socket.CloseNow()
	})
}

// send queues a message; a full queue ends the connection.
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

// read returns the next message.
func (l *link) read() (envelope, error) {
	var e envelope
	_, data, err := l.socket.Read(context.Background())
	if err != nil {
		return e, eris.Wrap(ErrClosed, err.Error())
	}
	l.meter.Add(dragonflypass.CountPeerBytes, int64(len(data)))
	if err := cbor.Unmarshal(data, &e); err != nil {
		return e, eris.Wrap(ErrClosed, err.Error())
	}
	return e, nil
}

func parseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, eris.Wrap(dragonflypass.ErrBroken, err.Error())
	}
	return address, nil
}

// body encodes a message's body; the wire types always can be.
func body(value any) cbor.RawMessage {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
