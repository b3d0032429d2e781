package responder

import (
	"encoding/json"
	"mime"
	"net/http"
	"net/netip"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/bounder"
)

// clientAddress returns the address of the caller, the zero value if it is not known.
func clientAddress(request *http.Request) netip.Addr {
	address, err := netip.ParseAddrPort(request.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr()
}

// readBody reads the request body, bounded in size, memory and time. The caller must call release once it no longer needs the body.
func (r *Responder) readBody(w http.ResponseWriter, request *http.Request) (body []byte, release func(), refusal *dragonflypass.Refusal) {
	if request.ContentLength == 0 {
		return nil, func() {}, nil
	}
	if request.ContentLength > r.MaxBodyBytes {
		return nil, nil, r.refuseLarge()
	}
	now := r.Timer.Now()
	reading := &bounder.Interrupter{Controller: http.NewResponseController(w)}
	defer reading.End()
	ration, refusal := r.Rationer.OpenBody(clientAddress(request), now, reading.Interrupt)
	if refusal != nil {
		return nil, nil, refusal
	}
	upload := bounder.Upload{
		Body: request.Body, Ration: ration, Length: request.ContentLength, Limit: r.MaxBodyBytes,
		Stall: r.BodyStall, Deadline: now.Add(r.UploadTimeout), SetDeadline: reading.SetDeadline,
	}
	if body, refusal = upload.ReadAll(); refusal != nil {
		ration.Close()
		if refusal.Reason == dragonflypass.ReasonTimeout {
			// The status of a timeout would tell the caller that the request may have run.
			refusal.Reason = dragonflypass.ReasonStalledBody
		}
		return nil, nil, refusal
	}
	return body, ration.Close, nil
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
