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
	// callTimeout bounds one call of an entry VM.
	callTimeout = 30 * time.Second
	// secretVariable names the environment variable with the operators' credential.
	secretVariable = "DRAGONFLYPASS_SECRET"
)

// client calls the operators' interface of entry VMs.
type client struct {
	addresses  []string
	secretFile string
}

// statusError is an answer that says that the request was not carried out.
type statusError struct {
	status  int
	failure administrator.Failure
	body    []byte
}

// Error describes the failure, with one line for each fault.
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

// get reads the first answer into the value.
func (c *client) get(ctx context.Context, path string, into any) error {
	return c.call(ctx, http.MethodGet, path, nil, into)
}

// call asks the addresses in turn until one answers.
func (c *client) call(ctx context.Context, method, path string, body, into any) error {
	if len(c.addresses) == 0 {
		return errors.New("--admin must name at least one operators' address")
	}
	var failed error
	for _, address := range c.addresses {
		err := c.callOne(ctx, address, method, path, body, into)
		if _, answered := errors.AsType[*statusError](err); err == nil || answered {
			return err
		}
		failed = errors.Join(failed, err)
		// A change that may have been taken must not be sent to another VM unseen.
		if method != http.MethodGet && !unreached(err) {
			break
		}
	}
	return failed
}

// errUnreached means that nothing was sent to the entry VM.
var errUnreached = errors.New("entry VM not reached")

func unreached(err error) bool { return errors.Is(err, errUnreached) }

func (c *client) callOne(ctx context.Context, address, method, path string, body, into any) error {
	target, err := netip.ParseAddrPort(address)
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
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target.String()+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		if strings.Contains(err.Error(), "dial") {
			return fmt.Errorf("%w: %w", errUnreached, err)
		}
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return decode(response, into)
}

func decode(response *http.Response, into any) error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		failed := &statusError{status: response.StatusCode, body: body}
		_ = json.Unmarshal(body, &failed.failure)
		return failed
	}
	if into == nil || len(body) == 0 {
		return nil
	}
	return json.Unmarshal(body, into)
}
