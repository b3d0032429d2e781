package interrupter

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Fault is a simulated failure of the network between the clients and the target.
type Fault uint8

// Faults of the network.
const (
	// Healthy means that the bytes are forwarded at once.
	Healthy Fault = iota
	// Delayed means that the bytes are forwarded after Interrupter.Delay.
	Delayed
	// RequestsLost means that bytes of the clients do not reach the target, and their connections stay open.
	RequestsLost
	// ResponsesLost means that bytes of the target do not reach the clients, and their connections stay open.
	ResponsesLost
	// Resetting means that open connections are reset, and new ones as soon as they are made.
	Resetting
)

// forwardBufferBytes is the size in bytes of the buffer of one direction of a connection.
const forwardBufferBytes = 4 << 10

// Interrupter forwards connections to a target; the exported fields are set before Start.
type Interrupter struct {
	Target netip.AddrPort
	// Delay is the delay of the bytes while the network is Delayed.
	Delay time.Duration

	listener net.Listener
	wg       sync.WaitGroup

	mutex sync.Mutex
	fault Fault
	conns map[net.Conn]bool
	links map[*link]bool
	// accepted is the number of connections of clients so far.
	accepted int
}

// link is the connection of a client and that to the target to which it is forwarded.
type link struct {
	// silent is set once the bytes of both sides are dropped.
	silent atomic.Bool
}

// Start listens on a free loopback port and returns its address.
func (i *Interrupter) Start() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, eris.Wrap(err, "interrupter: listen on a free port")
	}
	i.listener, i.conns, i.links = listener, make(map[net.Conn]bool), make(map[*link]bool)
	i.wg.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			i.wg.Go(func() { i.serve(client) })
		}
	})
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Close closes the port and resets all connections.
func (i *Interrupter) Close() {
	_ = i.listener.Close()
	i.SetFault(Resetting)
	i.wg.Wait()
}

// SetFault sets the fault of all connections, open and new ones.
func (i *Interrupter) SetFault(fault Fault) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.fault = fault
	if fault != Resetting {
		return
	}
	for conn := range i.conns {
		reset(conn)
	}
}

// Silence drops all further bytes of the connections that are open now, which stay open. New connections work.
func (i *Interrupter) Silence() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for l := range i.links {
		l.silent.Store(true)
	}
}

// Accepted returns the number of connections that clients have made so far.
func (i *Interrupter) Accepted() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.accepted
}

// addLink registers the link of a new client.
func (i *Interrupter) addLink() *link {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	l := &link{}
	i.links[l] = true
	i.accepted++
	return l
}

func (i *Interrupter) removeLink(l *link) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	delete(i.links, l)
}

func (i *Interrupter) currentFault() Fault {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.fault
}

// reset closes the connection so that the other side receives a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// add registers a connection, or resets it if the network is Resetting.
func (i *Interrupter) add(conn net.Conn) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.fault == Resetting {
		reset(conn)
		return false
	}
	i.conns[conn] = true
	return true
}

func (i *Interrupter) remove(conn net.Conn) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	delete(i.conns, conn)
	_ = conn.Close()
}

// serve forwards one connection until either side ends it.
func (i *Interrupter) serve(client net.Conn) {
	if !i.add(client) {
		return
	}
	defer i.remove(client)
	target, err := net.Dial("tcp", i.Target.String())
	if err != nil {
		reset(client)
		return
	}
	if !i.add(target) {
		return
	}
	defer i.remove(target)
	l := i.addLink()
	defer i.removeLink(l)
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn, lost Fault) {
		i.forward(l, to, from, lost)
		done <- struct{}{}
	}
	i.wg.Go(func() { forward(target, client, RequestsLost) })
	i.wg.Go(func() { forward(client, target, ResponsesLost) })
	<-done
}

// forward copies the bytes of one direction until it ends. It drops them while the fault is lost or the link is silent.
func (i *Interrupter) forward(l *link, to io.Writer, from io.Reader, lost Fault) {
	buffer := make([]byte, forwardBufferBytes)
	for {
		n, err := from.Read(buffer)
		fault := i.currentFault()
		if l.silent.Load() || fault == lost {
			if err != nil {
				return
			}
			continue
		}
		if fault == Delayed {
			time.Sleep(i.Delay)
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}
