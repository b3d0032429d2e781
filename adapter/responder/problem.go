package responder

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/dragonflypass/dragonflypass"
)

// statusClientClosedRequest is the non-standard status, introduced by nginx, of a request whose caller has disconnected.
const statusClientClosedRequest = 499

// problem is the JSON body of a refusal, in the format of RFC 9457.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Executed states whether the request was executed: not, maybe or done.
	Executed string `json:"ran"`
	// RetryAfter is the time in seconds after which the caller may retry, zero if the refusal sets none.
	RetryAfter int         `json:"retry,omitempty"`
	RequestID  string      `json:"request,omitempty"`
	Error      openAIError `json:"error"`
}

// openAIError repeats the refusal in the format that OpenAI clients expect.
type openAIError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

var statusByReason = map[dragonflypass.Reason]int{
	dragonflypass.ReasonBadRequest:   http.StatusBadRequest,
	dragonflypass.ReasonUnauthorized: http.StatusUnauthorized,
	dragonflypass.ReasonForbidden:    http.StatusForbidden,
	dragonflypass.ReasonNotFound:     http.StatusNotFound,
	dragonflypass.ReasonMethod:       http.StatusMethodNotAllowed,
	dragonflypass.ReasonTooLarge:     http.StatusRequestEntityTooLarge,
	dragonflypass.ReasonMediaType:    http.StatusUnsupportedMediaType,
	dragonflypass.ReasonLimit:        http.StatusTooManyRequests,
	dragonflypass.ReasonBusy:         http.StatusServiceUnavailable,
	dragonflypass.ReasonLeaving:      http.StatusServiceUnavailable,
	dragonflypass.ReasonNoServer:     http.StatusServiceUnavailable,
	dragonflypass.ReasonNoLog:        http.StatusServiceUnavailable,
	dragonflypass.ReasonTimeout:      http.StatusGatewayTimeout,
	dragonflypass.ReasonCancelled:    statusClientClosedRequest,
	dragonflypass.ReasonBroken:       http.StatusBadGateway,
	dragonflypass.ReasonQuarantined:  http.StatusUnprocessableEntity,
	dragonflypass.ReasonKeyMissing:   http.StatusBadRequest,
	dragonflypass.ReasonKeyReused:    http.StatusUnprocessableEntity,
	dragonflypass.ReasonInProgress:   http.StatusConflict,
	dragonflypass.ReasonUnknown:      http.StatusConflict,
	dragonflypass.ReasonConflict:     http.StatusConflict,
	dragonflypass.ReasonStalledBody:  http.StatusRequestTimeout,
}

func newProblem(refusal *dragonflypass.Refusal, requestID string) problem {
	status, ok := statusByReason[refusal.Reason]
	if !ok {
		status = http.StatusInternalServerError
	}
	return problem{
		Type: "about:blank", Title: string(refusal.Reason), Status: status, Detail: refusal.Detail,
		Executed: string(refusal.Executed), RetryAfter: int(math.Ceil(refusal.RetryAfter.Seconds())), RequestID: requestID,
		Error: openAIError{Message: refusal.Detail, Type: string(refusal.Reason), Code: string(refusal.Reason)},
	}
}

// refuse responds with a refusal.
func (r *Responder) refuse(w http.ResponseWriter, refusal *dragonflypass.Refusal) {
	p := newProblem(refusal, w.Header().Get(requestIDHeader))
	w.Header().Set("Content-Type", "application/problem+json")
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	if refusal.Reason == dragonflypass.ReasonLeaving {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// refuseError responds with the refusal in err, or with an internal error if err is of another type.
func (r *Responder) refuseError(w http.ResponseWriter, err error) {
	r.refuse(w, asRefusal(err))
}

func asRefusal(err error) *dragonflypass.Refusal {
	if refusal, ok := dragonflypass.AsRefusal(err); ok {
		return refusal
	}
	return &dragonflypass.Refusal{Reason: dragonflypass.ReasonBroken, Executed: dragonflypass.ExecutedMaybe, Detail: "internal error"}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
