package streamer

import (
	"bufio"
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
	"github.com/dragonflypass/dragonflypass/adapter/bounder"
	"github.com/dragonflypass/dragonflypass/adapter/dialer"
)

const (
	// dialTimeout limits how long connecting to a server may take.
	dialTimeout = 2 * time.Second
	// idleConnLimit is the maximum number of idle connections kept open to each server.
	idleConnLimit = 64
	// lineBytesLimit is the maximum length of a line of a stream in bytes; a frame holds one token.
	lineBytesLimit = 64 << 10
	// maxStatus is the highest status of a valid response.
	maxStatus = 599
	// maxReportBytes is the maximum size of a server's report in bytes, and reportBudgetBytes the memory for all that are being read.
	maxReportBytes    = 256 << 10
	reportBudgetBytes = 1 << 20
)

// Streamer calls model engines over HTTP.
type Streamer struct {
	client *http.Client
	// unshared sends the calls whose responses carry no identifier, over a connection each: a second response to an earlier call
	// could be taken for the response to one of them.
	unshared *http.Client
	reports  *bounder.Budget
}

var _ dragonflypass.Engine = (*Streamer)(nil)

// New returns a client of the model engines.
func New() *Streamer {
	transport := dialer.NewTransport(dialTimeout)
	transport.MaxIdleConnsPerHost = idleConnLimit
	unshared := dialer.NewTransport(dialTimeout)
	unshared.DisableKeepAlives = true
	return &Streamer{client: &http.Client{Transport: transport}, unshared: &http.Client{Transport: unshared}, reports: bounder.NewBudget(reportBudgetBytes)}
}

// Close closes the idle connections.
func (s *Streamer) Close() { s.client.CloseIdleConnections() }

// Stream runs a request under the permit and passes each frame to accept. It returns ErrUnavailable or ErrRefused if the
// request was not executed, ErrUnknown if the stream does not exist, the cause of ctx if ctx ended, the error of
// accept, and ErrBroken for any other failure.
func (s *Streamer) Stream(ctx context.Context, call dragonflypass.EngineCall, accept func(dragonflypass.Frame) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := newStreamRequest(ctx, call)
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return sendError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		return readFrames(ctx, response.Body, call, accept)
	}
	return statusError(call, response)
}

// Prefill sends a prompt part to the server, which processes it and keeps the part's KV memory until the stream is
// cancelled. Its errors are those of Stream.
func (s *Streamer) Prefill(ctx context.Context, call dragonflypass.EngineCall) error {
	request, err := newPost(ctx, call, "/v1/parts")
	if err != nil {
		return err
	}
	response, err := s.unshared.Do(request)
	if err != nil {
		return sendError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNoContent {
		return nil
	}
	return statusError(call, response)
}

func statusError(call dragonflypass.EngineCall, response *http.Response) error {
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		return eris.Wrapf(dragonflypass.ErrRefused, "server %s: %s", call.Permit.Server, response.Status)
	case http.StatusNotFound:
		return eris.Wrapf(dragonflypass.ErrUnknown, "server %s: the stream does not exist", call.Permit.Server)
	}
	return eris.Wrapf(dragonflypass.ErrBroken, "server %s: %s", call.Permit.Server, response.Status)
}

func newStreamRequest(ctx context.Context, call dragonflypass.EngineCall) (*http.Request, error) {
	if call.Reconnect {
		return http.NewRequestWithContext(ctx, http.MethodGet, reconnectURL(call), nil)
	}
	return newPost(ctx, call, "/v1/completions")
}

// newPost returns the POST request that starts the call; path selects the operation at the server.
func newPost(ctx context.Context, call dragonflypass.EngineCall, path string) (*http.Request, error) {
	wire := Call{
		Model: string(call.Model), Prompt: call.Prompt, OutputTokens: call.OutputTokens, Streaming: true,
		Priority: call.Permit.Priority, Stream: FormatStream(call.Permit.Stream), Attempt: call.Attempt,
		DeliveredText: call.DeliveredText, DeliveredTokens: call.DeliveredTokens,
	}
	for _, part := range call.KVSources {
		wire.KVSources = append(wire.KVSources, KVSource{Address: part.Address, Stream: FormatStream(part.Stream)})
	}
	if call.MigrateFrom != nil {
		wire.MigrateFrom = &KVSource{Address: call.MigrateFrom.Address, Stream: FormatStream(call.MigrateFrom.Stream)}
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return nil, eris.Wrap(dragonflypass.ErrRefused, err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(call.Permit.Address)+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(dragonflypass.ErrRefused, err.Error())
	}
	// Without GetBody, the transport never resends a request that has a body.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func reconnectURL(call dragonflypass.EngineCall) string {
	return fmt.Sprintf("%s/v1/streams/%s?from=%d&attempt=%d", baseURL(call.Permit.Address),
		url.PathEscape(FormatStream(call.Permit.Stream)), call.DeliveredTokens, call.Attempt)
}

func baseURL(address netip.AddrPort) string { return "http://" + address.String() }

// sendError returns ErrUnavailable if no connection could be established. If the connection broke later, it returns the
// cause of ctx if ctx has ended, else ErrBroken.
func sendError(ctx context.Context, err error) error {
	if dialer.ConnectFailed(err) {
		return eris.Wrap(dragonflypass.ErrUnavailable, err.Error())
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return eris.Wrap(dragonflypass.ErrBroken, err.Error())
}

// readFrames passes the frames of a response to accept until the last frame of the call's attempt.
func readFrames(ctx context.Context, body io.Reader, call dragonflypass.EngineCall, accept func(dragonflypass.Frame) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), lineBytesLimit)
	for lines.Scan() {
		data, isData := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !isData {
			continue
		}
		var wire Frame
		if err := json.Unmarshal(data, &wire); err != nil {
			return eris.Wrap(dragonflypass.ErrBroken, err.Error())
		}
		frame, err := wire.frame()
		if err != nil {
			return eris.Wrap(dragonflypass.ErrBroken, err.Error())
		}
		if err := accept(frame); err != nil {
			return err
		}
		if frame.End && frame.Stream == call.Permit.Stream && frame.Attempt == call.Attempt {
			return nil
		}
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return eris.Wrap(dragonflypass.ErrBroken, "the stream ended before its last frame")
}

// Cancel ends a stream and frees its memory; an unknown stream is not an error. It returns ErrUnavailable if no connection
// could be established, ErrBroken if the connection broke, and ErrUncertain if the server reports a failure.
func (s *Streamer) Cancel(ctx context.Context, server netip.AddrPort, stream dragonflypass.StreamID) error {
	requestURL := baseURL(server) + "/v1/streams/" + url.PathEscape(FormatStream(stream))
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, requestURL, nil)
	if err != nil {
		return eris.Wrap(dragonflypass.ErrRefused, err.Error())
	}
	response, err := s.unshared.Do(request)
	if err != nil {
		return sendError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if !succeeded(response) && response.StatusCode != http.StatusNotFound {
		return eris.Wrap(dragonflypass.ErrUncertain, response.Status)
	}
	return nil
}

// succeeded reports whether the status of the response is one of success.
func succeeded(response *http.Response) bool {
	return response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
}

// Report returns the server's report, which lags behind the server's state.
func (s *Streamer) Report(ctx context.Context, server netip.AddrPort) (dragonflypass.ServerReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL(server)+"/v1/report", nil)
	if err != nil {
		return dragonflypass.ServerReport{}, eris.Wrap(dragonflypass.ErrRefused, err.Error())
	}
	response, err := s.client.Do(request)
	if err != nil {
		// The other idle connections may have gone silent too, and each would cost a call.
		s.client.CloseIdleConnections()
		return dragonflypass.ServerReport{}, sendError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return dragonflypass.ServerReport{}, eris.Wrap(dragonflypass.ErrBroken, response.Status)
	}
	var wire Report
	data, err := s.reports.ReadAll(response.Body, maxReportBytes)
	if err != nil {
		return dragonflypass.ServerReport{}, eris.Wrap(dragonflypass.ErrBroken, err.Error())
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return dragonflypass.ServerReport{}, eris.Wrap(dragonflypass.ErrBroken, err.Error())
	}
	return wire.report()
}

// Order instructs the server to load or unload a model; it returns ErrFenced if the fencing number is stale, ErrRefused if the server
// rejects the order for another reason, and ErrUncertain if its response is not one of HTTP.
func (s *Streamer) Order(ctx context.Context, server netip.AddrPort, order dragonflypass.Order) error {
	wire := Order{Fence: uint64(order.Fence), Kind: OrderLoad, Model: string(order.Model)}
	if order.Unload {
		wire.Kind = OrderUnload
	}
	data, err := json.Marshal(wire)
	if err != nil {
		return eris.Wrap(dragonflypass.ErrRefused, err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(server)+"/v1/orders", bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(dragonflypass.ErrRefused, err.Error())
	}
	response, err := s.unshared.Do(request)
	if err != nil {
		return sendError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return eris.Wrap(dragonflypass.ErrFenced, response.Status)
	}
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return eris.Wrap(dragonflypass.ErrUncertain, response.Status)
	}
	return eris.Wrap(dragonflypass.ErrRefused, response.Status)
}
