package responder

import (
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"

	"github.com/dragonflypass/dragonflypass"
)

// readBody reads the request's body within the limits; free gives its memory back.
func (r *Responder) readBody(w http.ResponseWriter, request *http.Request) (body []byte, free func(), refusal *dragonflypass.Refusal) {
	size := request.ContentLength
	if size > r.Body {
		return nil, nil, r.refuseLarge()
	}
	if size < 0 {
		size = r.Body
	}
	free, refusal = r.Buffer.Reserve(size)
	if refusal != nil {
		return nil, nil, refusal
	}
	_ = http.NewResponseController(w).SetReadDeadline(r.Timer.Now().Add(r.Upload))
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, r.Body))
	if err != nil {
		free()
		if _, large := errors.AsType[*http.MaxBytesError](err); large {
			return nil, nil, r.refuseLarge()
		}
		return nil, nil, dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "the body could not be read in time")
	}
	return body, free, nil
}

func (r *Responder) refuseLarge() *dragonflypass.Refusal {
	return dragonflypass.Refuse(dragonflypass.ReasonTooLarge, 0, "the body is larger than %d bytes", r.Body)
}

// readJSON reads the request's JSON body into the value; free gives its memory back.
func (r *Responder) readJSON(w http.ResponseWriter, request *http.Request, into any) (free func(), refusal *dragonflypass.Refusal) {
	media, _, err := mime.ParseMediaType(request.Header.Get("Content-Type"))
	if err != nil || media != "application/json" {
		return nil, dragonflypass.Refuse(dragonflypass.ReasonMediaType, 0, "the body's type must be application/json")
	}
	body, free, refusal := r.readBody(w, request)
	if refusal != nil {
		return nil, refusal
	}
	if err := json.Unmarshal(body, into); err != nil {
		free()
		return nil, dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "the body is not the JSON expected: %v", err)
	}
	return free, nil
}

// open returns the account of a request and reads its JSON body into the value; free gives the body's memory back.
func (r *Responder) open(w http.ResponseWriter, request *http.Request, into any) (account *dragonflypass.ClientAccount, free func(), refusal *dragonflypass.Refusal) {
	account, refusal = r.authenticate(request)
	if refusal != nil {
		return nil, nil, refusal
	}
	free, refusal = r.readJSON(w, request, into)
	return account, free, refusal
}
