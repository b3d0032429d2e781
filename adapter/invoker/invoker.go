package invoker

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/dialer"
)

const (
	// dialTimeout bounds the making of a connection to an endpoint.
	dialTimeout = 2 * time.Second
	// answerLimit is the largest answer in bytes.
	answerLimit = 16 << 20
	// ranHeader is the header by which a service says that it did not run a call it refused.
	ranHeader = "X-Ran"
)

// Invoker calls plain services over HTTP.
type Invoker struct {
	client *http.Client
}

var _ dragonflypass.ServiceClient = (*Invoker)(nil)

// New returns a client of plain services.
func New() *Invoker {
	transport := dialer.NewTransport(dialTimeout)
	// A connection used once cannot break because it was idle, so a call that broke was sent.
	transport.DisableKeepAlives = true
	return &Invoker{client: &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Call sends the invocation to the endpoint at most once.
func (i *Invoker) Call(ctx context.Context, endpoint dragonflypass.Endpoint, call dragonflypass.ServiceCall) (dragonflypass.ServiceResponse, error) {
	target := "http://" + endpoint.Address.String() + call.Path
	request, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return dragonflypass.ServiceResponse{}, eris.Wrap(dragonflypass.ErrRefused, err.Error())
	}
	// The transport repeats a request with an idempotency key by itself if it can rewind the body.
	request.GetBody = nil
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	if call.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	request.Header.Set("X-Request-Id", call.ID)
	request.Header.Set("X-Client-Account", string(call.Account))
	response, err := i.client.Do(request)
	if err != nil {
		return dragonflypass.ServiceResponse{}, sendError(err)
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response)
}

// sendError tells a connection that was never made from a call that may have run.
func sendError(err error) error {
	if dialer.ConnectFailed(err) {
		return eris.Wrap(dragonflypass.ErrUnavailable, err.Error())
	}
	return eris.Wrap(dragonflypass.ErrUncertain, err.Error())
}

func readAnswer(response *http.Response) (dragonflypass.ServiceResponse, error) {
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(ranHeader) == string(dragonflypass.ExecutedNo) {
		return dragonflypass.ServiceResponse{}, eris.Wrap(dragonflypass.ErrRefused, response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, answerLimit+1))
	if err != nil {
		return dragonflypass.ServiceResponse{}, eris.Wrap(dragonflypass.ErrUncertain, err.Error())
	}
	if len(body) > answerLimit {
		return dragonflypass.ServiceResponse{}, eris.Wrap(dragonflypass.ErrUncertain, "the answer is too large")
	}
	return dragonflypass.ServiceResponse{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}
