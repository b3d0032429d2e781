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
	idempotencyKeyHeader = "Idempotency-Key"
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 256
	// writeBytes is the size in bytes of the parts in which a response is written. A longer one counts as held in memory.
	writeBytes = 64 << 10
)

func (r *Responder) callService(w http.ResponseWriter, request *http.Request) {
	account, refusal := r.authenticate(request)
	if refusal != nil {
		r.refuse(w, refusal)
		return
	}
	key := request.Header.Get(idempotencyKeyHeader)
	if len(key) > maxKeyBytes {
		r.refuse(w, dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "%s is longer than %d bytes", idempotencyKeyHeader, maxKeyBytes))
		return
	}
	body, release, refusal := r.readBody(w, request)
	if refusal != nil {
		r.refuse(w, refusal)
		return
	}
	defer release()
	service := mux.Vars(request)["service"]
	_ = http.NewResponseController(w).SetReadDeadline(noDeadline)
	response, err := r.Forwarder.Forward(request.Context(), dragonflypass.ServiceCall{
		ID:             w.Header().Get(requestIDHeader),
		Service:        dragonflypass.ServiceID(service),
		Account:        account.ID,
		Method:         request.Method,
		Path:           servicePath(request, service),
		ContentType:    request.Header.Get("Content-Type"),
		Body:           body,
		IdempotencyKey: key,
		KeyCreated:     keyCreationTime(key),
		Arrived:        r.Timer.Now(),
	})
	if err != nil {
		r.refuseError(w, err)
		return
	}
	if len(response.Body) > writeBytes {
		held := r.Rationer.Open(clientAddress(request))
		held.Hold(int64(len(response.Body)))
		defer held.Close()
	}
	r.writeResponse(w, response)
}

// servicePath returns the path and query of the request without the prefix /services/{service}.
func servicePath(request *http.Request, service string) string {
	decoded := strings.TrimPrefix(request.URL.Path, "/services/"+service)
	if decoded == "" {
		decoded = "/"
	}
	// Escaping the decoded path again gives each path a single form, by which routes are matched.
	path := (&url.URL{Path: decoded}).EscapedPath()
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	return path
}

// keyCreationTime returns the time encoded in a version 7 UUID, zero for any other key.
func keyCreationTime(key string) time.Time {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds)
}

// writeResponse writes the response. It stops if the caller takes no part of it within WriteTimeout.
func (r *Responder) writeResponse(w http.ResponseWriter, response dragonflypass.ServiceResponse) {
	if response.ContentType != "" {
		w.Header().Set("Content-Type", response.ContentType)
	}
	if response.Replayed {
		w.Header().Set("Idempotent-Replayed", "true")
	}
	status := response.Status
	if status == 0 {
		status = http.StatusOK
	}
	w.WriteHeader(status)
	controller := http.NewResponseController(w)
	for data := response.Body; len(data) > 0; {
		part := data[:min(writeBytes, len(data))]
		_ = controller.SetWriteDeadline(r.Timer.Now().Add(r.WriteTimeout))
		if _, err := w.Write(part); err != nil {
			return
		}
		data = data[len(part):]
	}
}
