package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
)

// network forwards the connections between the entry VMs. Each VM listens at an address that begins with realPrefix and is
// known to the others by the address of its proxy, which begins with proxyPrefix: the proxies replace the one by the other
// in all messages, as a gateway between networks does.
type network struct {
	realPrefix, proxyPrefix []byte

	mutex     sync.Mutex
	listeners []net.Listener
	links     []*peerLink
}

// peerLink is one open connection between two entry VMs.
type peerLink struct {
	// silent is set when bytes are dropped in both directions.
	silent atomic.Bool
	ends   [2]net.Conn
}

// newNetwork returns the network of the VMs whose addresses have the prefix.
func newNetwork(prefix string) *network {
	return &network{realPrefix: []byte(prefix), proxyPrefix: []byte(strings.Replace(prefix, ".77.", ".78.", 1))}
}

// replace replaces the addresses in a message.
func (n *network) replace(data []byte) []byte {
	return bytes.ReplaceAll(data, n.realPrefix, n.proxyPrefix)
}

// proxyOf returns the address of the proxy for the real address.
func (n *network) proxyOf(real string) string { return string(n.replace([]byte(real))) }

// open opens the proxy for the real address.
func (n *network) open(real string) error {
	listener, err := net.Listen("tcp", n.proxyOf(real))
	if err != nil {
		return err
	}
	n.listeners = append(n.listeners, listener)
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(client, real)
		}
	}()
	return nil
}

func (n *network) serve(client net.Conn, real string) {
	server, err := net.Dial("tcp", real)
	if err != nil {
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	link := &peerLink{ends: [2]net.Conn{client, server}}
	n.mutex.Lock()
	n.links = append(n.links, link)
	n.mutex.Unlock()
	go n.forward(link, server, client)
	go n.forward(link, client, server)
}

// silence drops the bytes of all connections that are open now, without closing them. New connections work.
func (n *network) silence() (count int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, link := range n.links {
		link.silent.Store(true)
	}
	return len(n.links)
}

// count returns the number of connections made so far.
func (n *network) count() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.links)
}

func (n *network) close() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
	for _, link := range n.links {
		for _, end := range link.ends {
			_ = end.Close()
		}
	}
}

// forward copies one direction of a connection: the head of the handshake, then WebSocket frames.
func (n *network) forward(link *peerLink, to io.Writer, from io.Reader) {
	defer func() {
		if link.silent.Load() {
			return
		}
		for _, end := range link.ends {
			_ = end.Close()
		}
	}()
	reader := bufio.NewReader(from)
	for head := []byte{}; ; {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return
		}
		head = append(head, line...)
		if len(bytes.TrimSpace(line)) == 0 {
			if !link.silent.Load() {
				if _, err := to.Write(head); err != nil {
					return
				}
			}
			break
		}
	}
	for {
		frame, err := n.readFrame(reader)
		if err != nil {
			return
		}
		if link.silent.Load() {
			continue
		}
		if _, err := to.Write(frame); err != nil {
			return
		}
	}
}

// readFrame reads a frame and replaces the addresses in its payload, whose length stays the same.
func (n *network) readFrame(reader io.Reader) ([]byte, error) {
	frame := make([]byte, 2)
	if _, err := io.ReadFull(reader, frame); err != nil {
		return nil, err
	}
	length, extra := uint64(frame[1]&0x7f), 0
	switch length {
	case 126:
		extra = 2
	case 127:
		extra = 8
	}
	masked := frame[1]&0x80 != 0
	rest := make([]byte, extra)
	if _, err := io.ReadFull(reader, rest); err != nil {
		return nil, err
	}
	frame = append(frame, rest...)
	switch extra {
	case 2:
		length = uint64(binary.BigEndian.Uint16(rest))
	case 8:
		length = binary.BigEndian.Uint64(rest)
	}
	mask := make([]byte, 4)
	if masked {
		if _, err := io.ReadFull(reader, mask); err != nil {
			return nil, err
		}
		frame = append(frame, mask...)
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return nil, err
	}
	toggle := func() {
		if !masked {
			return
		}
		for i := range payload {
			payload[i] ^= mask[i%4]
		}
	}
	toggle()
	payload = n.replace(payload)
	toggle()
	return append(frame, payload...), nil
}
