package responder

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/dragonflypass/dragonflypass"
)

// statusClosed is the customary status for a request whose caller went away.
const statusClosed = 499

// problem is the JSON body of a refusal, after RFC 9457.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Ran tells whether the request was run: not, maybe or done.
	Ran string `json:"ran"`
	// Retry is the time in seconds after which to try again.
	Retry   int     `json:"retry,omitempty"`
	Request string  `json:"request,omitempty"`
	Error   failure `json:"error"`
}

// failure repeats the refusal in the form that OpenAI clients read.
type failure struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

var statuses = map[dragonflypass.Reason]int{
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
	dragonflypass.ReasonCancelled:    statusClosed,
	dragonflypass.ReasonBroken:       http.StatusBadGateway,
	dragonflypass.ReasonQuarantined:  http.StatusUnprocessableEntity,
	dragonflypass.ReasonKeyMissing:   http.StatusBadRequest,
	dragonflypass.ReasonKeyReused:    http.StatusUnprocessableEntity,
	dragonflypass.ReasonInProgress:   http.StatusConflict,
	dragonflypass.ReasonUnknown:      http.StatusConflict,
	dragonflypass.ReasonConflict:     http.StatusConflict,
}

func newProblem(refusal *dragonflypass.Refusal, request string) problem {
	status, ok := statuses[refusal.Reason]
	if !ok {
		status = http.StatusInternalServerError
	}
	return problem{
		Type: "about:blank", Title: string(refusal.Reason), Status: status, Detail: refusal.Detail,
		Ran: string(refusal.Executed), Retry: int(math.Ceil(refusal.RetryAfter.Seconds())), Request: request,
		Error: failure{Message: refusal.Detail, Type: string(refusal.Reason), Code: string(refusal.Reason)},
	}
}

// refuse answers with a refusal.
func (r *Responder) refuse(w http.ResponseWriter, refusal *dragonflypass.Refusal) {
	p := newProblem(refusal, w.Header().Get(requestHeader))
	w.Header().Set("Content-Type", "application/problem+json")
	if p.Retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(p.Retry))
	}
	if refusal.Reason == dragonflypass.ReasonLeaving {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// refuseError answers with the refusal that the error is.
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
