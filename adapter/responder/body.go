package responder

import (
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"

	"github.com/dragonflypass/dragonflypass"
)

// readBody reads the request body, bounded in size, memory and time. The caller must call release once it no longer needs the body.
func (r *Responder) readBody(w http.ResponseWriter, request *http.Request) (body []byte, release func(), refusal *dragonflypass.Refusal) {
	size := request.ContentLength
	if size > r.MaxBodyBytes {
		return nil, nil, r.refuseLarge()
	}
	if size < 0 {
		size = r.MaxBodyBytes
	}
	release, refusal = r.Buffer.Reserve(size)
	if refusal != nil {
		return nil, nil, refusal
	}
	_ = http.NewResponseController(w).SetReadDeadline(r.Timer.Now().Add(r.UploadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, r.MaxBodyBytes))
	if err != nil {
		release()
		if _, tooLarge := errors.AsType[*http.MaxBytesError](err); tooLarge {
			return nil, nil, r.refuseLarge()
		}
		return nil, nil, dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "the body was not received completely")
	}
	return body, release, nil
}

func (r *Responder) refuseLarge() *dragonflypass.Refusal {
	return dragonflypass.Refuse(dragonflypass.ReasonTooLarge, 0, "the body is larger than %d bytes", r.MaxBodyBytes)
}

// readJSON decodes the JSON body of a request into target; release frees the memory reserved for the body.
func (r *Responder) readJSON(w http.ResponseWriter, request *http.Request, target any) (release func(), refusal *dragonflypass.Refusal) {
	mediaType, _, err := mime.ParseMediaType(request.Header.Get("Content-Type"))
	if err != nil || mediaType != "application/json" {
		return nil, dragonflypass.Refuse(dragonflypass.ReasonMediaType, 0, "the Content-Type must be application/json")
	}
	body, release, refusal := r.readBody(w, request)
	if refusal != nil {
		return nil, refusal
	}
	if err := json.Unmarshal(body, target); err != nil {
		release()
		return nil, dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "invalid JSON body: %v", err)
	}
	return release, nil
}

// readRequest authenticates a request and decodes its JSON body into target; release frees the memory reserved for the body.
func (r *Responder) readRequest(w http.ResponseWriter, request *http.Request, target any) (account *dragonflypass.ClientAccount, release func(), refusal *dragonflypass.Refusal) {
	account, refusal = r.authenticate(request)
	if refusal != nil {
		return nil, nil, refusal
	}
	release, refusal = r.readJSON(w, request, target)
	return account, release, refusal
}
