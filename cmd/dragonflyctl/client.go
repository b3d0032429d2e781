package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/dragonflypass/dragonflypass/adapter/administrator"
)

const (
	// callTimeout bounds one call to an entry VM, including reading its response.
	callTimeout = 30 * time.Second
	// secretVariable names the environment variable with the operators' credential.
	secretVariable = "DRAGONFLYPASS_SECRET"
)

// client calls the admin interface of entry VMs.
type client struct {
	addresses  []string
	secretFile string
}

// statusError is a response with an error status.
type statusError struct {
	status  int
	failure administrator.Failure
	body    []byte
}

// Error returns the detail of the failure, or the status text if it has none, and one line for each fault.
func (e *statusError) Error() string {
	text := e.failure.Detail
	if text == "" {
		text = http.StatusText(e.status)
	}
	return strings.Join(append([]string{text}, e.failure.Faults...), "\n  ")
}

func (c *client) secret() (string, error) {
	if c.secretFile == "" {
		return os.Getenv(secretVariable), nil
	}
	data, err := os.ReadFile(c.secretFile)
	return strings.TrimSpace(string(data)), err
}

// get decodes the response of the first address that responds into result.
func (c *client) get(ctx context.Context, path string, result any) error {
	return c.call(ctx, http.MethodGet, path, nil, result)
}

// call tries the addresses in order until one responds. A change is sent to the next address only if no connection
// to the previous one could be made.
func (c *client) call(ctx context.Context, method, path string, body, result any) error {
	if len(c.addresses) == 0 {
		return errors.New("--admin requires at least one address")
	}
	var failures error
	for _, address := range c.addresses {
		err := c.callOne(ctx, address, method, path, body, result)
		if _, responded := errors.AsType[*statusError](err); err == nil || responded {
			return err
		}
		failures = errors.Join(failures, err)
		// The VM may have accepted the change, so the operator must check before it is sent to another VM.
		if method != http.MethodGet && !connectFailed(err) {
			break
		}
	}
	return failures
}

// errConnectFailed is returned if no connection to the entry VM could be made. Nothing was sent in this case.
var errConnectFailed = errors.New("cannot connect to the entry VM")

func connectFailed(err error) bool { return errors.Is(err, errConnectFailed) }

func (c *client) callOne(ctx context.Context, address, method, path string, body, result any) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("%q is not an IP address with a port", address)
	}
	secret, err := c.secret()
	if err != nil {
		return err
	}
	var data []byte
	if body != nil {
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+parsed.String()+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		if strings.Contains(err.Error(), "dial") {
			return fmt.Errorf("%w: %w", errConnectFailed, err)
		}
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return decode(response, result)
}

func decode(response *http.Response, result any) error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		statusErr := &statusError{status: response.StatusCode, body: body}
		_ = json.Unmarshal(body, &statusErr.failure)
		return statusErr
	}
	if result == nil || len(body) == 0 {
		return nil
	}
	return json.Unmarshal(body, result)
}
