package verifier

import (
	"bytes"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass/adapter/dialer"
)

// The reasons why the head of a response is malformed.
var (
	ErrStatusLine = eris.New("verifier: malformed status line")
	ErrFraming    = eris.New("verifier: contradictory length of the response")
	ErrLineLength = eris.New("verifier: line of the head exceeds the size limit")
)

const (
	// protocol is the start of each status line, before the minor version.
	protocol = "HTTP/1."
	// statusLineBytes is the length of a status line without a reason.
	statusLineBytes = len(protocol + "1 200")
	// maxStatus is the highest status of a valid response.
	maxStatus = 599
)

// Head checks the heads of the interim responses to a request and the head of the final one. The zero value is ready for use.
type Head struct {
	line []byte
	// status is zero until the status line has been read.
	status int
	minor  byte
	// hasLength and encoded are set if the head has a Content-Length and a Transfer-Encoding.
	hasLength bool
	encoded   bool
	done      bool
}

// Feed reads the next bytes of a connection, and ignores those that follow the head of the final response. Errors: ErrStatusLine,
// ErrFraming, ErrLineLength.
func (h *Head) Feed(data []byte) error {
	for !h.done && len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			end = len(data)
		}
		h.line = append(h.line, data[:end]...)
		if len(h.line) > dialer.MaxHeadBytes {
			return ErrLineLength
		}
		if end == len(data) {
			return nil
		}
		data = data[end+1:]
		if err := h.acceptLine(bytes.TrimSuffix(h.line, []byte("\r"))); err != nil {
			return err
		}
		h.line = h.line[:0]
	}
	if h.done {
		h.line = nil
	}
	return nil
}

// acceptLine reads one line without its end.
func (h *Head) acceptLine(line []byte) error {
	if h.status == 0 {
		return h.acceptStatusLine(line)
	}
	if len(line) == 0 {
		return h.end()
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	h.hasLength = h.hasLength || bytes.EqualFold(name, []byte("Content-Length"))
	h.encoded = h.encoded || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	return nil
}

// acceptStatusLine reads a status line. The protocol is never switched, because no request asks for it.
func (h *Head) acceptStatusLine(line []byte) error {
	rest, ok := bytes.CutPrefix(line, []byte(protocol))
	if !ok || len(line) < statusLineBytes || rest[0] != '0' && rest[0] != '1' || rest[1] != ' ' || len(line) > statusLineBytes && line[statusLineBytes] != ' ' {
		return ErrStatusLine
	}
	status := 0
	for _, digit := range line[statusLineBytes-3 : statusLineBytes] {
		if digit < '0' || digit > '9' {
			return ErrStatusLine
		}
		status = 10*status + int(digit-'0')
	}
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return ErrStatusLine
	}
	h.status, h.minor = status, rest[0]
	return nil
}

// end checks the framing of the response whose head has ended. net/http itself rejects invalid and different lengths, but it drops a
// length beside an encoding, and an encoding in HTTP/1.0.
func (h *Head) end() error {
	if h.encoded && (h.hasLength || h.minor == '0') {
		return ErrFraming
	}
	isFinal := h.status >= http.StatusOK
	*h = Head{line: h.line, done: isFinal}
	return nil
}
