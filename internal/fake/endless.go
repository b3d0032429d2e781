package fake

import (
	"io"
	"net"
	"net/netip"
	"runtime"
	"runtime/debug"
	"strings"
	"time"
)

// endlessBlockBytes is the least size in bytes of what an endless answer is written in.
const endlessBlockBytes = 4 << 10

// ServeEndless listens on a free loopback port and answers each connection with start and then repeated, without end, until the
// client closes the connection. It returns the address and a function that closes the port.
func ServeEndless(start, repeated string) (address netip.AddrPort, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	block := []byte(strings.Repeat(repeated, 1+endlessBlockBytes/len(repeated)))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = conn.Read(make([]byte, endlessBlockBytes))
				_, err := io.WriteString(conn, start)
				for err == nil {
					_, err = conn.Write(block)
				}
			}()
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort(), func() { _ = listener.Close() }, nil
}

// PeakMemory runs the function and returns by how many bytes the memory in use on the heap rises meanwhile, at its peak.
func PeakMemory(run func()) int64 {
	sample := func() int64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	const interval, gcPercent = 2 * time.Millisecond, 10
	// Garbage counts as memory in use until it is collected.
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	runtime.GC()
	before, peak := sample(), int64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return peak - before
		case <-ticker.C:
			peak = max(peak, sample())
		}
	}
}
