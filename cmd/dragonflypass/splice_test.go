package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	streamHead = "HTTP/1.1 200 OK\r\nAttempt-Id: %[1]s\r\nResponse-Seal: first\r\nConnection: close\r\nContent-Type: text/event-stream\r\n"
	chunked    = streamHead + "Transfer-Encoding: chunked\r\n\r\n"
	otherError = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: %[1]s\r\nResponse-Seal: next\r\nContent-Type: text/plain\r\n\r\n"
	event1     = "id: 1\ndata: a\n\n"
	event2     = "weight-versions: 4\r\nid: 2\r\ndata: b\r\n\r\n"
	event3     = "id: 3\ndata: c\ndata: HTTP/1.1 200 OK\n\n"
	firstPart  = chunked + "f\r\n" + event1 + "\r\n"
	reset      = "\x00reset"
)

// lastChunk encodes data in the chunked transfer encoding, with the chunk that ends it.
func lastChunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(data), data) }

// splices are the answers of the first server to a stream's request, and of the next servers to its resumption after
// event 1, with the body that the caller may receive.
var splices = map[string]struct {
	first, next, body string
	complete          bool
}{
	"chunked":                    {chunked + lastChunk(event1+event2), "", event1 + event2, true},
	"ends with the connection":   {streamHead + "\r\n" + event1 + event2 + event3, "", event1 + event2 + event3, true},
	"comments and blank lines":   {chunked + lastChunk(": x\n\n"+event1+"\n\r\n: y\n\n"+event2+"\n"), "", ": x\n\n" + event1 + "\n\r\n: y\n\n" + event2 + "\n", true},
	"last event without id":      {chunked + lastChunk(event1+"data: end\n\n"), "", event1 + "data: end\n\n", true},
	"goes on":                    {firstPart, strings.ReplaceAll(chunked, "first", "next") + lastChunk(event2), event1 + event2, true},
	"comment first":              {firstPart, chunked + lastChunk(": x\n\n"+event2), event1 + ": x\n\n" + event2, true},
	"from the beginning":         {firstPart, chunked + lastChunk(event1+event2), event1 + event2, true},
	"all events had arrived":     {firstPart, chunked + "0\r\n\r\n", event1, true},
	"reset after event":          {streamHead + "\r\n" + event1 + reset, chunked + lastChunk(event2), event1 + event2, true},
	"garbage after last chunk":   {firstPart + "0\r\nHTTP/1.1", chunked + "0\r\n\r\n", event1, true},
	"error":                      {firstPart, otherError + "failed\n\n", event1, false},
	"error with length":          {firstPart, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %[1]s\r\nContent-Length: 8\r\n\r\nfailed\n\n", event1, false},
	"head in first stream":       {streamHead + "\r\n" + event1 + otherError + "failed\n\n", otherError, event1, false},
	"head in event":              {streamHead + "\r\n" + event1 + "id: 2\ndata: b" + otherError + "failed\n\n", otherError, event1, false},
	"head within length":         {streamHead + "Content-Length: 500\r\n\r\n" + event1 + otherError + "failed\n\n", otherError, event1, false},
	"head in next stream":        {firstPart, streamHead + "\r\n" + otherError + "failed\n\n", event1, false},
	"error text after event":     {streamHead + "\r\n" + event1 + "failed: no memory\n\n", otherError, event1, false},
	"error text as next stream":  {firstPart, streamHead + "\r\nfailed\n\n", event1, false},
	"text instead of stream":     {firstPart, strings.ReplaceAll(streamHead, "text/event-stream", "text/plain") + "\r\ndata: failed\n\n", event1, false},
	"next event without id":      {firstPart, chunked + lastChunk("data: failed\n\n"+event2), event1, false},
	"next event with other id":   {firstPart, chunked + lastChunk("id: x\ndata: failed\n\n"+event2), event1, false},
	"next event missing":         {firstPart, chunked + lastChunk(event3), event1, false},
	"other id after number":      {chunked + lastChunk(event1+"id: x\ndata: b\n\n"), otherError, event1, false},
	"closed without next event":  {firstPart, streamHead + "\r\n", event1, false},
	"two ids in event":           {streamHead + "\r\n" + event1 + "id: 2\ndata: bid: 3\nid: 1\ndata: a\n\n", otherError, event1, false},
	"no stream at all":           {strings.ReplaceAll(streamHead, "text/event-stream", "text/plain") + "Content-Length: 2\r\n\r\n{}", "", "{}", true},
	"closed without first event": {streamHead + "\r\n", streamHead + "\r\n", "", false},
}

// received is sent to once the caller has received a part of a stream that is to be reset.
var received = make(chan struct{}, 1)

// serveSplice answers the requests on a connection.
func serveSplice(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		splice, ok := splices[strings.ReplaceAll(strings.TrimPrefix(request.URL.Path, "/splice/"), "_", " ")]
		if !ok {
			body := `{"running":0,"queued":0,"kv_used":0,"kv_total":100000,"pace":1,"born":1}`
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			continue
		}
		answer := splice.first
		if request.Header.Get("Last-Event-Id") != "" {
			answer = splice.next
		}
		answer, isReset := strings.CutSuffix(answer, reset)
		_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "%[1]s", request.Header.Get("Attempt-Id")))
		if isReset {
			<-received
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// TestNextServersErrorInStream breaks streams off, or joins them to something else, and checks that the caller receives
// only bytes of the events, and an end only if a server has ended the stream.
func TestNextServersErrorInStream(t *testing.T) {
	c := qt.New(t)
	s := startSite(c, 0, 0, 0)
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = listener.Close() })
		go func() {
			for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
				go serveSplice(conn)
			}
		}()
		s.store.Put("keyed.servers", fmt.Sprintf("splice-%d", i), fmt.Appendf(nil, `{"service":"models","address":%q,"zone":"a","state":"ready","slots":16,"born":1}`, listener.Addr()))
	}
	s.vms = append(s.vms, s.startVM("vm-0"))
	s.waitFor(s.vms[0].ready)
	for name, splice := range splices {
		c.Run(name, func(c *qt.C) {
			request, err := http.NewRequest(http.MethodPost, "http://"+s.vms[0].callerAddress+"/splice/"+strings.ReplaceAll(name, " ", "_"), strings.NewReader(name))
			c.Assert(err, qt.IsNil)
			request.Host = "desk.example"
			request.Header = http.Header{"Attempt-Id": {name}, "Authorization": {"Bearer key-one"}, "Model": {"m"}, "Token-Counts": {"900,160"}}
			response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
			if err != nil {
				c.Check(splice.body, qt.Equals, "")
				return
			}
			defer response.Body.Close()
			reader := bufio.NewReader(response.Body)
			if strings.HasSuffix(splice.first, reset) {
				_, _ = reader.Peek(1)
				received <- struct{}{}
			}
			body, err := io.ReadAll(reader)
			c.Check(string(body), qt.Equals, splice.body)
			c.Check(err == nil, qt.Equals, splice.complete, qt.Commentf("%v", err))
			c.Check(response.Header.Get("Response-Seal"), qt.Equals, "first")
		})
	}
}
