package runner

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// serve answers one request.
func (r *Runner) serve(w http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/v1/report":
		r.report(w)
		return
	case "/v1/order":
		r.order(w, request)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	attempt := request.Header.Get("Attempt-Id")
	r.mutex.Lock()
	fault := r.fault
	r.mutex.Unlock()
	expected := request.Header.Get("Expect-Instance")
	switch {
	case attempt == "":
		r.decline(w, http.StatusBadRequest)
		return
	case expected != "" && expected != r.ID:
		r.decline(w, http.StatusMisdirectedRequest)
		return
	case fault == Full:
		r.decline(w, http.StatusServiceUnavailable)
		return
	}
	r.begin(attempt)
	defer r.finish()
	w.Header().Set("Attempt-Id", attempt)
	switch fault {
	case Silent:
		<-request.Context().Done()
		return
	case Resetting:
		panic(http.ErrAbortHandler)
	case Failing:
		w.Header().Set("Response-Seal", r.seal(attempt))
		w.WriteHeader(http.StatusInternalServerError)
		return
	case Foreign:
		r.foreign(w)
		return
	}
	if r.Law != nil {
		r.generate(w, request, attempt)
		return
	}
	r.answer(w, request, attempt)
}

// foreign writes an answer to another request on the connection, ahead of the answer to come.
func (r *Runner) foreign(w http.ResponseWriter) {
	connection, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	body := "not yours"
	fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nResponse-Seal: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	// The connection takes the bytes or is gone.
	_ = buffer.Flush()
}

// decline states that the request was not run.
func (r *Runner) decline(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("At-Server", r.address.String())
	w.WriteHeader(status)
}

func (r *Runner) begin(attempt string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs[attempt]++
	r.running++
}

func (r *Runner) finish() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running--
}

// answer is that of a plain server.
func (r *Runner) answer(w http.ResponseWriter, request *http.Request, attempt string) {
	select {
	case <-time.After(r.Time):
	case <-request.Context().Done():
		return
	}
	r.mutex.Lock()
	load := fmt.Sprintf("%d,0,%d", r.running, r.slots())
	r.mutex.Unlock()
	w.Header().Set("Response-Seal", r.seal(attempt))
	w.Header().Set("Server-Load", load)
	// The connection takes the answer or is gone.
	_, _ = fmt.Fprintf(w, "%s for %s", r.ID, request.Header.Get("Tenant"))
}

// report tells of memory and requests.
func (r *Runner) report(w http.ResponseWriter) {
	running, reserved := r.Busy()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"running":%d,"queued":0,"kv_used":%d,"kv_total":%d,"pace":1,"born":%d}`, running, reserved, r.memory(), r.born.UnixMilli())
}

func (r *Runner) memory() int {
	if r.Law == nil {
		return 0
	}
	return r.Law.KVCapacity
}

// order sets memory aside or gives it back.
func (r *Runner) order(w http.ResponseWriter, request *http.Request) {
	var order struct {
		Operation string `json:"op"`
		ID        string `json:"id"`
		Tokens    int    `json:"tokens"`
		Hold      int64  `json:"hold_ms"`
	}
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, reserved := r.Busy()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case order.Operation == "release":
		delete(r.tickets, order.ID)
	case order.Operation != "reserve":
		w.WriteHeader(http.StatusBadRequest)
	case reserved+order.Tokens > r.memory() && r.tickets[order.ID] == nil:
		w.WriteHeader(http.StatusConflict)
	default:
		r.tickets[order.ID] = &ticket{tokens: order.Tokens, until: time.Now().Add(time.Duration(order.Hold) * time.Millisecond)}
	}
}

// deadline returns the time that the caller waits.
func deadline(request *http.Request) time.Duration {
	left, err := strconv.ParseInt(request.Header.Get("Deadline-Ms"), 10, 64)
	if err != nil {
		return time.Hour
	}
	return time.Duration(left) * time.Millisecond
}
