package appender

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/dialer"
	"github.com/dragonflypass/dragonflypass/adapter/encoder"
)

const (
	// dialTimeout limits how long connecting to the log may take.
	dialTimeout = time.Second
	// pageBytesLimit is the maximum size of an encoded page in bytes.
	pageBytesLimit = 64 << 20
)

// AppendResponse is the JSON response to an append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// Page is the JSON form of a page of consecutive log entries.
type Page struct {
	FirstOffset uint64  `json:"first"`
	NextOffset  uint64  `json:"next"`
	Entries     []Entry `json:"entries"`
}

// Entry is the JSON form of one log entry.
type Entry struct {
	Offset uint64          `json:"offset"`
	At     time.Time       `json:"at"`
	Data   json.RawMessage `json:"data"`
}

// Appender calls the platform's log over HTTP.
type Appender struct {
	// Address is the address at which the platform serves the log.
	Address netip.AddrPort
	// Credential is the bearer credential sent with each request, empty for none.
	Credential string

	client *http.Client
}

var _ dragonflypass.Log = (*Appender)(nil)

// New returns a client of the log at the address.
func New(address netip.AddrPort) *Appender {
	return &Appender{Address: address, client: &http.Client{Transport: dialer.NewTransport(dialTimeout)}}
}

// Close closes the idle connections.
func (a *Appender) Close() { a.client.CloseIdleConnections() }

func (a *Appender) url(stream dragonflypass.LogStream) string {
	return fmt.Sprintf("http://%s/streams/%s", a.Address, url.PathEscape(string(stream)))
}

func (a *Appender) do(ctx context.Context, method, target string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, eris.Wrap(dragonflypass.ErrRefused, err.Error())
	}
	// Without GetBody, the transport never resends a request that has a body, such as an append.
	request.GetBody = nil
	if a.Credential != "" {
		request.Header.Set("Authorization", "Bearer "+a.Credential)
	}
	response, err := a.client.Do(request)
	if err != nil {
		return nil, sendError(err)
	}
	return response, nil
}

// sendError returns ErrUnavailable if no connection could be established, and ErrUncertain if the response was lost.
func sendError(err error) error {
	if dialer.ConnectFailed(err) {
		return eris.Wrap(dragonflypass.ErrUnavailable, err.Error())
	}
	return eris.Wrap(dragonflypass.ErrUncertain, err.Error())
}

// Append appends the record and returns its offset. It returns ErrUncertain if the record may have been
// appended, ErrUnavailable or ErrRefused if it was not.
func (a *Appender) Append(ctx context.Context, stream dragonflypass.LogStream, record dragonflypass.LogRecord) (dragonflypass.Offset, error) {
	data, err := encoder.Encode(record)
	if err != nil {
		return 0, eris.Wrap(dragonflypass.ErrRefused, err.Error())
	}
	response, err := a.do(ctx, http.MethodPost, a.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusCreated:
	case http.StatusTooManyRequests, http.StatusBadRequest, http.StatusUnauthorized, http.StatusRequestEntityTooLarge:
		return 0, eris.Wrap(dragonflypass.ErrRefused, response.Status)
	default:
		return 0, eris.Wrap(dragonflypass.ErrUncertain, response.Status)
	}
	var added AppendResponse
	if err := json.NewDecoder(response.Body).Decode(&added); err != nil {
		return 0, eris.Wrap(dragonflypass.ErrUncertain, err.Error())
	}
	return dragonflypass.Offset(added.Offset), nil
}

// Read returns up to limit entries, starting at the offset. It returns ErrTrimmed, with
// FirstOffset set in the page, if the offset is no longer retained. Every other error is ErrUnavailable.
func (a *Appender) Read(ctx context.Context, stream dragonflypass.LogStream, from dragonflypass.Offset, limit int) (dragonflypass.LogPage, error) {
	target := fmt.Sprintf("%s?from=%d&limit=%d", a.url(stream), from, limit)
	response, err := a.do(ctx, http.MethodGet, target, nil)
	if err != nil {
		// A read has no side effects, so its outcome is never uncertain.
		return dragonflypass.LogPage{}, eris.Wrap(dragonflypass.ErrUnavailable, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusGone {
		return dragonflypass.LogPage{}, eris.Wrap(dragonflypass.ErrUnavailable, response.Status)
	}
	var wire Page
	if err := json.NewDecoder(io.LimitReader(response.Body, pageBytesLimit)).Decode(&wire); err != nil {
		return dragonflypass.LogPage{}, eris.Wrap(dragonflypass.ErrUnavailable, err.Error())
	}
	page := wire.page()
	if response.StatusCode == http.StatusGone {
		return page, dragonflypass.ErrTrimmed
	}
	return page, nil
}

// page converts the JSON form to a log page. A record that cannot be decoded becomes an empty record.
func (w Page) page() dragonflypass.LogPage {
	page := dragonflypass.LogPage{FirstOffset: dragonflypass.Offset(w.FirstOffset), NextOffset: dragonflypass.Offset(w.NextOffset)}
	for _, e := range w.Entries {
		record, err := encoder.Decode(e.Data)
		if err != nil {
			record = dragonflypass.LogRecord{}
		}
		page.Entries = append(page.Entries, dragonflypass.LogEntry{Offset: dragonflypass.Offset(e.Offset), At: e.At, Record: record})
	}
	return page
}
