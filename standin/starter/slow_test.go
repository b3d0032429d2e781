package starter_test

import (
	"bufio"
	"fmt"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass/standin/starter"
)

// TestCallerStopsReading checks that a stream ends and its KV memory is released when the caller keeps the connection open
// but stops reading.
func TestCallerStopsReading(t *testing.T) {
	c := qt.New(t)
	connection, err := net.Dial("tcp", site.CallerAddress(0).String())
	c.Assert(err, qt.IsNil)
	defer connection.Close()
	c.Assert(connection.(*net.TCPConn).SetReadBuffer(1024), qt.IsNil)
	_, err = fmt.Fprintf(connection, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", starter.Keys[0], len(longCompletion), longCompletion)
	c.Assert(err, qt.IsNil)
	_, err = bufio.NewReaderSize(connection, 16).ReadString('\n')
	c.Assert(err, qt.IsNil)
	c.Check(usedMemory() > 0, qt.IsTrue)
	eventually(c, func() bool { return usedMemory() == 0 })
}
