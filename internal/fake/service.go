package fake

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// ServiceFault is what goes wrong with a call of the plain service.
type ServiceFault uint8

// The faults of the plain service.
const (
	ServiceWorks ServiceFault = iota
	// ServiceUnreached fails before anything is sent.
	ServiceUnreached
	// ServiceRefuses answers that it did not run the call.
	ServiceRefuses
	// ServiceLosesAnswer runs the call and loses the answer.
	ServiceLosesAnswer
)

// Service is a plain service that counts its runs by idempotency key.
type Service struct {
	// Latency is the time that a call takes.
	Latency time.Duration
	// Fault tells what goes wrong with the next call, nil for nothing.
	Fault func(call dragonflypass.ServiceCall) ServiceFault

	mutex sync.Mutex
	runs  map[string]int
}

var _ dragonflypass.ServiceClient = (*Service)(nil)

// NewService returns a service that has run nothing.
func NewService() *Service { return &Service{runs: make(map[string]int)} }

// Runs returns how often a call with the key ran.
func (s *Service) Runs(key string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[key]
}

// Call runs the invocation.
func (s *Service) Call(ctx context.Context, _ dragonflypass.Endpoint, call dragonflypass.ServiceCall) (dragonflypass.ServiceResponse, error) {
	fault := ServiceWorks
	if s.Fault != nil {
		fault = s.Fault(call)
	}
	switch fault {
	case ServiceUnreached:
		return dragonflypass.ServiceResponse{}, dragonflypass.ErrUnavailable
	case ServiceRefuses:
		return dragonflypass.ServiceResponse{}, dragonflypass.ErrRefused
	}
	s.mutex.Lock()
	s.runs[call.IdempotencyKey]++
	s.mutex.Unlock()
	if wait(ctx, s.Latency) != nil || fault == ServiceLosesAnswer {
		return dragonflypass.ServiceResponse{}, dragonflypass.ErrUncertain
	}
	return dragonflypass.ServiceResponse{Status: http.StatusOK, ContentType: "text/plain", Body: []byte("confirmed " + call.IdempotencyKey)}, nil
}
