package invoker

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/bounder"
	"github.com/dragonflypass/dragonflypass/adapter/dialer"
	"github.com/dragonflypass/dragonflypass/adapter/verifier"
)

const (
	// dialTimeout limits how long connecting to an endpoint may take.
	dialTimeout = 2 * time.Second
	// maxResponseBytes is the maximum size of a response body in bytes, and responseBudgetBytes the memory for all that are being
	// read.
	maxResponseBytes    = 4 << 20
	responseBudgetBytes = 4 << 20
	// executedHeader is the response header that states whether a service executed a call before refusing it.
	executedHeader = "X-Ran"
)

// Invoker calls plain services over HTTP.
type Invoker struct {
	client    *http.Client
	responses *bounder.Budget
}

var _ dragonflypass.ServiceClient = (*Invoker)(nil)

// New returns a client of plain services.
func New() *Invoker {
	transport := dialer.NewTransport(dialTimeout)
	transport.DialContext = verifyingDial(transport.DialContext)
	// Each call uses a new connection, so no call fails because an idle connection was closed. If a call fails on an
	// established connection, it has therefore been sent.
	transport.DisableKeepAlives = true
	return &Invoker{responses: bounder.NewBudget(responseBudgetBytes), client: &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// verifyingDial returns a function that dials connections on which malformed and truncated responses are errors.
func verifyingDial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &verifier.Conn{Conn: conn}, nil
	}
}

// Call sends a service call to the endpoint at most once. It returns ErrUnavailable or ErrRefused if the call was not
// executed, ErrUncertain if it may have been.
func (i *Invoker) Call(ctx context.Context, endpoint dragonflypass.Endpoint, call dragonflypass.ServiceCall) (dragonflypass.ServiceResponse, error) {
	written := make(chan error, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) { written <- info.Err }})
	target := "http://" + endpoint.Address.String() + call.Path
	request, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return dragonflypass.ServiceResponse{}, eris.Wrap(dragonflypass.ErrRefused, err.Error())
	}
	// Without GetBody, the transport never resends a request that has a body. With it, the transport would retry a request
	// with an idempotency key on its own.
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
	result, err := i.readResponse(response)
	if closeDelimited := response.ContentLength < 0 && len(response.TransferEncoding) == 0; err != nil || !closeDelimited {
		return result, err
	}
	// The transport closes the connection at the end of the response, so that writing the call ends too.
	if err := <-written; err != nil {
		return dragonflypass.ServiceResponse{}, eris.Wrapf(dragonflypass.ErrUncertain, "the service ended the connection before it received the call: %v", err)
	}
	return result, nil
}

// sendError returns ErrUnavailable if no connection could be established, and ErrUncertain if the call may have been
// executed.
func sendError(err error) error {
	if dialer.ConnectFailed(err) {
		return eris.Wrap(dragonflypass.ErrUnavailable, err.Error())
	}
	return eris.Wrap(dragonflypass.ErrUncertain, err.Error())
}

func (i *Invoker) readResponse(response *http.Response) (dragonflypass.ServiceResponse, error) {
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(executedHeader) == string(dragonflypass.ExecutedNo) {
		return dragonflypass.ServiceResponse{}, eris.Wrap(dragonflypass.ErrRefused, response.Status)
	}
	body, err := i.responses.ReadAll(response.Body, maxResponseBytes)
	if err != nil {
		return dragonflypass.ServiceResponse{}, eris.Wrap(dragonflypass.ErrUncertain, err.Error())
	}
	return dragonflypass.ServiceResponse{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}
