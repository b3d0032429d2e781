package corrupter

import "strings"

// AttemptID stands for the identifier of the request's attempt in the text of a response.
const AttemptID = "{attempt}"

// Ending is what the server does with the connection after a response.
type Ending uint8

// The endings of a connection.
const (
	// KeepOpen means that the server reads the rest of the request and then the next one.
	KeepOpen Ending = iota
	// FinishUpload means that the server ends its side, and closes the connection once it has read the rest of the request.
	FinishUpload
	// HalfClose means that the server ends its side and closes the connection at once. The system resets the connection if a part of
	// the request has not been read.
	HalfClose
	// Reset means that the server resets the connection.
	Reset
)

// Response is what the server writes for a request.
type Response struct {
	Name string
	Text string
	// Early is set if the server writes before it has read the body of the request.
	Early  bool
	Ending Ending
	// Whole is set if the response is valid and complete, so that it may be forwarded.
	Whole bool
	// UntilClose is set if only the end of the connection ends the response, and ContainsOther if the body contains another response.
	UntilClose    bool
	ContainsOther bool
}

// The parts of responses.
const (
	// Body is the body of the responses that are not streams of events.
	Body       = "whole answer"
	statusLine = "HTTP/1.1 200 OK\r\n"
	fields     = "Attempt-Id: " + AttemptID + "\r\nResponse-Seal: s\r\nContent-Type: text/plain\r\n"
	head       = statusLine + fields
	withLength = head + "Content-Length: 12\r\n\r\n" + Body
	inChunks   = head + "Transfer-Encoding: chunked\r\n\r\nc\r\n" + Body + "\r\n0\r\n\r\n"
	untilClose = head + "\r\n" + Body
	failure    = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + AttemptID + "\r\nContent-Length: 6\r\n\r\nfailed"
	interim    = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
)

// Good is a valid response.
var Good = Response{Name: "good", Text: withLength, Whole: true}

// Statuses returns responses whose status is not that of a final response of HTTP.
func Statuses() (list []Response) {
	for _, status := range []string{"000", "001", "099", "+99", "-12", "600", "999", "2OO", "abc", "1e2", "20", "2000", "", "101 Switching Protocols"} {
		list = append(list, Response{Name: "status " + status, Text: "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: 12\r\n\r\n" + Body})
		list = append(list, Response{Name: "status " + status + " before a valid response", Text: "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: 0\r\n\r\n" + withLength})
	}
	return list
}

// Heads returns responses whose head is malformed, or is not followed by a body of its own.
func Heads() []Response {
	return []Response{
		{Name: "interim responses without end", Text: strings.Repeat(interim, 2000), Ending: HalfClose},
		{Name: "interim responses only", Text: strings.Repeat(interim, 3), Ending: HalfClose},
		{Name: "interim response", Text: interim + withLength, Whole: true},
		{Name: "second status line in the head", Text: statusLine + "HTTP/1.1 500 Internal Server Error\r\n" + fields + "Content-Length: 12\r\n\r\n" + Body},
		{Name: "second status line with a colon in the head", Text: statusLine + "HTTP/1.1 500 Error: x\r\n" + fields + "Content-Length: 12\r\n\r\n" + Body},
		{Name: "head within a head", Text: head + failure, Ending: HalfClose, UntilClose: true},
		{Name: "another version of the protocol", Text: strings.Replace(withLength, "HTTP/1.1", "HTTP/3.0", 1)},
		{Name: "negative length", Text: head + "Content-Length: -12\r\n\r\n" + Body, Ending: HalfClose},
		{Name: "length in letters", Text: head + "Content-Length: twelve\r\n\r\n" + Body, Ending: HalfClose},
		{Name: "empty length", Text: head + "Content-Length: \r\n\r\n" + Body, Ending: HalfClose},
		{Name: "list of lengths", Text: head + "Content-Length: 12, 5\r\n\r\n" + Body, Ending: HalfClose},
		{Name: "two lengths", Text: head + "Content-Length: 12\r\nContent-Length: 5\r\n\r\n" + Body, Ending: HalfClose},
		{Name: "length and chunks", Text: strings.Replace(inChunks, "Transfer-", "Content-Length: 12\r\nTransfer-", 1)},
		{Name: "chunks and length", Text: strings.Replace(inChunks, "chunked\r\n", "chunked\r\nContent-Length: 12\r\n", 1)},
		{Name: "negative length and chunks", Text: strings.Replace(inChunks, "Transfer-", "content-length: -1\r\nTransfer-", 1)},
		{Name: "chunks in HTTP/1.0", Text: strings.Replace(inChunks, "HTTP/1.1", "HTTP/1.0", 1), Ending: HalfClose},
		{Name: "two encodings", Text: strings.Replace(inChunks, "chunked\r\n", "gzip\r\nTransfer-Encoding: chunked\r\n", 1), Ending: HalfClose},
		{Name: "chunk of negative length", Text: head + "Transfer-Encoding: chunked\r\n\r\n-c\r\n" + Body + "\r\n0\r\n\r\n"},
	}
}

// Bodies returns responses that end early, or go on, in each framing, before and after the server has read the request.
func Bodies() (list []Response) {
	framings := []struct{ name, text string }{{"length", withLength}, {"chunks", inChunks}, {"until close", untilClose}}
	for _, early := range []bool{false, true} {
		for _, ending := range []struct {
			name   string
			ending Ending
		}{{"end", HalfClose}, {"end and more read", FinishUpload}, {"reset", Reset}} {
			for _, framing := range framings {
				name := framing.name + ", " + ending.name
				if early {
					name += " during the upload"
				}
				isUntilClose := framing.text == untilClose
				cleanEnd := ending.ending == FinishUpload || ending.ending == HalfClose && !early
				if isUntilClose {
					list = append(list, Response{Name: name, Text: untilClose, Early: early, Ending: ending.ending, Whole: cleanEnd, UntilClose: true})
					continue
				}
				cut := framing.text[:len(framing.text)-len(" answer")]
				list = append(list, Response{Name: name + " early", Text: cut, Early: early, Ending: ending.ending})
			}
		}
		for _, framing := range framings[:2] {
			name := framing.name + ", whole"
			if early {
				name += " during the upload"
			}
			list = append(list,
				Response{Name: name, Text: framing.text, Early: early, Whole: true},
				Response{Name: name + ", interim response after it", Text: framing.text + interim, Early: early, Ending: FinishUpload, Whole: true},
				Response{Name: name + ", another response after it", Text: framing.text + failure, Early: early, Ending: FinishUpload, Whole: true})
			if early {
				list = append(list, Response{Name: name + ", reset after it", Text: framing.text, Early: true, Ending: Reset, Whole: true})
			}
		}
	}
	return append(list,
		Response{Name: "another response within the length", Text: head + "Content-Length: 105\r\n\r\n" + Body[:5] + failure + failure, Ending: HalfClose, ContainsOther: true},
		Response{Name: "another response until close", Text: head + "\r\n" + Body[:5] + failure, Ending: HalfClose, ContainsOther: true},
		Response{Name: "another response in a chunk", Text: head + "Transfer-Encoding: chunked\r\n\r\n60\r\n" + Body[:5] + failure + failure, Ending: HalfClose, ContainsOther: true},
	)
}

// Streams returns streams of events that end while a long request is being uploaded.
func Streams() []Response {
	eventHead := strings.Replace(head, "text/plain", "text/event-stream", 1)
	events := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	return []Response{
		{Name: "events until close, reset during the upload", Text: eventHead + "\r\n" + events, Early: true, Ending: Reset},
		{Name: "events until close, end during the upload", Text: eventHead + "\r\n" + events, Early: true, Ending: HalfClose},
		{Name: "events until close, end and more read during the upload", Text: eventHead + "\r\n" + events, Early: true, Ending: FinishUpload, Whole: true},
		{Name: "events until close", Text: eventHead + "\r\n" + events, Ending: HalfClose, Whole: true},
		{Name: "events in chunks during the upload", Text: eventHead + "Transfer-Encoding: chunked\r\n\r\n1e\r\n" + events + "\r\n0\r\n\r\n", Early: true, Whole: true},
		{Name: "events in chunks, reset during the upload", Text: eventHead + "Transfer-Encoding: chunked\r\n\r\n1e\r\n" + events + "\r\n", Early: true, Ending: Reset},
	}
}
