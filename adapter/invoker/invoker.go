package invoker

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/bounder"
	"github.com/dragonflypass/dragonflypass/adapter/dialer"
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

// Call sends a service call to the endpoint at most once. It returns ErrUnavailable or ErrRefused if the call was not
// executed, ErrUncertain if it may have been.
func (i *Invoker) Call(ctx context.Context, endpoint dragonflypass.Endpoint, call dragonflypass.ServiceCall) (dragonflypass.ServiceResponse, error) {
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
	return i.readResponse(response)
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
