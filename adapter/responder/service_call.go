package responder

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/dragonflypass/dragonflypass"
)

const (
	keyHeader = "Idempotency-Key"
	// keyLimit is the longest idempotency key in bytes.
	keyLimit = 256
)

func (r *Responder) callService(w http.ResponseWriter, request *http.Request) {
	account, refusal := r.authenticate(request)
	if refusal != nil {
		r.refuse(w, refusal)
		return
	}
	key := request.Header.Get(keyHeader)
	if len(key) > keyLimit {
		r.refuse(w, dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "%s is longer than %d bytes", keyHeader, keyLimit))
		return
	}
	body, free, refusal := r.readBody(w, request)
	if refusal != nil {
		r.refuse(w, refusal)
		return
	}
	defer free()
	service := mux.Vars(request)["service"]
	_ = http.NewResponseController(w).SetReadDeadline(noDeadline)
	answer, err := r.Forwarder.Forward(request.Context(), dragonflypass.ServiceCall{
		ID:             w.Header().Get(requestHeader),
		Service:        dragonflypass.ServiceID(service),
		Account:        account.ID,
		Method:         request.Method,
		Path:           servicePath(request, service),
		ContentType:    request.Header.Get("Content-Type"),
		Body:           body,
		IdempotencyKey: key,
		KeyCreated:     keyTime(key),
		Arrived:        r.Timer.Now(),
	})
	if err != nil {
		r.refuseError(w, err)
		return
	}
	writeAnswer(w, answer)
}

// servicePath returns the path and query below the service's root.
func servicePath(request *http.Request, service string) string {
	decoded := strings.TrimPrefix(request.URL.Path, "/services/"+service)
	if decoded == "" {
		decoded = "/"
	}
	// Encoding anew gives each path one form, by which routes are told apart.
	path := (&url.URL{Path: decoded}).EscapedPath()
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	return path
}

// keyTime returns the instant in a version 7 UUID, zero for any other key.
func keyTime(key string) time.Time {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds)
}

func writeAnswer(w http.ResponseWriter, answer dragonflypass.ServiceResponse) {
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	if answer.Replayed {
		w.Header().Set("Idempotent-Replayed", "true")
	}
	status := answer.Status
	if status == 0 {
		status = http.StatusOK
	}
	w.WriteHeader(status)
	_, _ = w.Write(answer.Body)
}
