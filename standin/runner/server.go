package runner

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// serve handles one request.
func (r *Runner) serve(w http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/v1/report":
		r.serveReport(w)
		return
	case "/v1/order":
		r.serveReservation(w, request)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	attempt := request.Header.Get("Attempt-Id")
	r.mutex.Lock()
	fault := r.fault
	r.mutex.Unlock()
	expectedID := request.Header.Get("Expect-Instance")
	switch {
	case attempt == "":
		r.refuse(w, http.StatusBadRequest)
		return
	case expectedID != "" && expectedID != r.ID:
		r.refuse(w, http.StatusMisdirectedRequest)
		return
	case fault == Full:
		r.refuse(w, http.StatusServiceUnavailable)
		return
	}
	helpers, found := r.findHelpers(request.Header.Get("Helpers"))
	if !found {
		r.refuse(w, http.StatusServiceUnavailable)
		return
	}
	r.beginRequest(attempt)
	defer r.finishRequest()
	w.Header().Set("Attempt-Id", attempt)
	switch fault {
	case Silent:
		<-request.Context().Done()
		return
	case Resetting:
		panic(http.ErrAbortHandler)
	case Failing:
		w.Header().Set("Response-Seal", r.signature(attempt))
		w.WriteHeader(http.StatusInternalServerError)
		return
	case Foreign:
		r.sendForeignResponse(w)
		return
	}
	if r.CostModel != nil {
		r.serveStream(w, request, attempt, helpers)
		return
	}
	r.servePlain(w, request, attempt)
}

// sendForeignResponse writes a response that belongs to another request and closes the connection.
func (r *Runner) sendForeignResponse(w http.ResponseWriter) {
	connection, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	body := "not yours"
	fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nResponse-Seal: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	// A failed write means that the connection was closed.
	_ = buffer.Flush()
}

// refuse responds with the status and states that the request was not run.
func (r *Runner) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("At-Server", r.address.String())
	w.WriteHeader(status)
}

func (r *Runner) beginRequest(attempt string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runCounts[attempt]++
	r.runningRequests++
}

func (r *Runner) finishRequest() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runningRequests--
}

// servePlain responds as a plain server, after the response time.
func (r *Runner) servePlain(w http.ResponseWriter, request *http.Request, attempt string) {
	select {
	case <-time.After(r.ServiceTime):
	case <-request.Context().Done():
		return
	}
	r.mutex.Lock()
	load := fmt.Sprintf("%d,0,%d", r.runningRequests, r.slots())
	r.mutex.Unlock()
	w.Header().Set("Response-Seal", r.signature(attempt))
	w.Header().Set("Server-Load", load)
	// A failed write means that the connection was closed.
	_, _ = fmt.Fprintf(w, "%s for %s", r.ID, request.Header.Get("Tenant"))
}

// serveReport reports the running requests and the use of KV memory.
func (r *Runner) serveReport(w http.ResponseWriter) {
	running, reservedTokens := r.Usage()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"running":%d,"queued":0,"kv_used":%d,"kv_total":%d,"pace":1,"born":%d}`, running, reservedTokens, r.kvCapacity(), r.startedAt.UnixMilli())
}

func (r *Runner) kvCapacity() int {
	if r.CostModel == nil {
		return 0
	}
	return r.CostModel.KVCapacity
}

// serveReservation reserves or releases KV memory.
func (r *Runner) serveReservation(w http.ResponseWriter, request *http.Request) {
	var command struct {
		Operation string `json:"op"`
		ID        string `json:"id"`
		Tokens    int    `json:"tokens"`
		TTL       int64  `json:"hold_ms"`
	}
	if json.NewDecoder(request.Body).Decode(&command) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, reservedTokens := r.Usage()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case command.Operation == "release":
		delete(r.reservations, command.ID)
	case command.Operation != "reserve":
		w.WriteHeader(http.StatusBadRequest)
	case reservedTokens+command.Tokens > r.kvCapacity() && r.reservations[command.ID] == nil:
		w.WriteHeader(http.StatusConflict)
	default:
		r.reservations[command.ID] = &reservation{tokens: command.Tokens, expiresAt: time.Now().Add(time.Duration(command.TTL) * time.Millisecond)}
	}
}

// parseTimeout returns the time that the caller waits for the response, an hour if the header is missing or invalid.
func parseTimeout(request *http.Request) time.Duration {
	timeout, err := strconv.ParseInt(request.Header.Get("Deadline-Ms"), 10, 64)
	if err != nil {
		return time.Hour
	}
	return time.Duration(timeout) * time.Millisecond
}
