package fake

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// ServiceFault is a fault of one call of a plain service.
type ServiceFault uint8

// The faults of a call of a plain service.
const (
	ServiceHealthy ServiceFault = iota
	// ServiceUnreachable fails the call before anything is sent.
	ServiceUnreachable
	// ServiceRefusing responds that it did not run the call.
	ServiceRefusing
	// ServiceLosingResponse runs the call but loses the response.
	ServiceLosingResponse
)

// Service is a plain service that counts how many calls it ran for each idempotency key.
type Service struct {
	// Latency is the duration of a call.
	Latency time.Duration
	// NextFault returns the fault of the call that is about to run; nil means no faults.
	NextFault func(call dragonflypass.ServiceCall) ServiceFault

	mutex sync.Mutex
	runs  map[string]int
}

var _ dragonflypass.ServiceClient = (*Service)(nil)

// NewService returns a service that has not run any call.
func NewService() *Service { return &Service{runs: make(map[string]int)} }

// Runs returns how many times a call with the idempotency key ran.
func (s *Service) Runs(key string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[key]
}

// Call runs the call. It returns ErrUnavailable, ErrRefused or, if the call may have run, ErrUncertain.
func (s *Service) Call(ctx context.Context, _ dragonflypass.Endpoint, call dragonflypass.ServiceCall) (dragonflypass.ServiceResponse, error) {
	fault := ServiceHealthy
	if s.NextFault != nil {
		fault = s.NextFault(call)
	}
	switch fault {
	case ServiceUnreachable:
		return dragonflypass.ServiceResponse{}, dragonflypass.ErrUnavailable
	case ServiceRefusing:
		return dragonflypass.ServiceResponse{}, dragonflypass.ErrRefused
	}
	s.mutex.Lock()
	s.runs[call.IdempotencyKey]++
	s.mutex.Unlock()
	if wait(ctx, s.Latency) != nil || fault == ServiceLosingResponse {
		return dragonflypass.ServiceResponse{}, dragonflypass.ErrUncertain
	}
	return dragonflypass.ServiceResponse{Status: http.StatusOK, ContentType: "text/plain", Body: []byte("confirmed " + call.IdempotencyKey)}, nil
}
