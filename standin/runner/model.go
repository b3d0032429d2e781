package runner

import (
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/predictor"
)

// pendingEventLimit is the largest number of events that wait for a slow connection; one more ends the stream.
const pendingEventLimit = 256

// stream is a running request of a model server.
type stream struct {
	// runner is the server that received the request.
	runner        *Runner
	id            dragonflypass.StreamID
	contextTokens int
	// pendingParts is the number of prompt parts whose prefill has not finished.
	pendingParts atomic.Int32
	// events receives a value for each event to write: one when the prefill finishes, and one for each pass in which the
	// stream generated tokens.
	events chan struct{}
	done   chan struct{}
	once   sync.Once
}

func (s *stream) end() { s.once.Do(func() { close(s.done) }) }

// serveStream runs a request and writes one event at the end of each pass.
func (r *Runner) serveStream(w http.ResponseWriter, request *http.Request, attempt string, helpers []*Runner) {
	promptTokens, outputTokens, ok := parseTokenCounts(request.Header.Get("Token-Counts"))
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := r.startStream(promptTokens, helpers)
	defer r.removeStream(s, helpers)
	w.Header().Set("Response-Seal", r.signature(attempt))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	if controller.Flush() != nil {
		return
	}
	deadlineTimer := time.NewTimer(parseTimeout(request))
	defer deadlineTimer.Stop()
	lastEventID, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	lastEvent := (min(outputTokens, r.CostModel.MeanOutputTokens) + r.CostModel.StepsPerPass - 1) / r.CostModel.StepsPerPass
	for eventID := lastEventID + 1; eventID <= lastEvent; eventID++ {
		select {
		case <-s.events:
		case <-s.done:
			panic(http.ErrAbortHandler)
		case <-deadlineTimer.C:
			panic(http.ErrAbortHandler)
		case <-request.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", eventID, strings.Repeat("x", r.CostModel.StepsPerPass)); err != nil || controller.Flush() != nil {
			return
		}
	}
}

// parseTokenCounts parses the token counts of the prompt and of the answer.
func parseTokenCounts(header string) (promptTokens, outputTokens int, ok bool) {
	promptText, outputText, found := strings.Cut(header, ",")
	promptTokens, err := strconv.Atoi(promptText)
	if err != nil || !found {
		return 0, 0, false
	}
	outputTokens, err = strconv.Atoi(outputText)
	return promptTokens, outputTokens, err == nil
}

// findHelpers returns the servers that prefill prompt parts; found is false when one of them is unknown or is r itself.
func (r *Runner) findHelpers(header string) (helpers []*Runner, found bool) {
	if header == "" {
		return nil, true
	}
	for item := range strings.SplitSeq(header, ",") {
		addressText, _, _ := strings.Cut(item, "/")
		address, err := netip.ParseAddrPort(addressText)
		if err != nil {
			return nil, false
		}
		helper := r.Fleet.find(address)
		if helper == nil || helper == r {
			return nil, false
		}
		helpers = append(helpers, helper)
	}
	return helpers, true
}

// startStream registers a stream and starts the prefill of one prompt part at r and at each helper.
func (r *Runner) startStream(promptTokens int, helpers []*Runner) *stream {
	r.mutex.Lock()
	r.sequence++
	s := &stream{
		runner: r, id: dragonflypass.StreamID{VM: dragonflypass.VMID(r.ID), Sequence: r.sequence}, contextTokens: promptTokens,
		events: make(chan struct{}, pendingEventLimit), done: make(chan struct{}),
	}
	r.mutex.Unlock()
	servers := append([]*Runner{r}, helpers...)
	s.pendingParts.Store(int32(len(servers)))
	for _, server := range servers {
		server.update(func(now time.Time) {
			server.streams[s.id] = s
			server.engine.AddPrefill(predictor.PrefillTask{Stream: s.id, Tokens: max(1, promptTokens), Parts: len(servers)}, now)
		})
	}
	return s
}

// removeStream ends a stream and removes it from r and the helpers.
func (r *Runner) removeStream(s *stream, helpers []*Runner) {
	s.end()
	for _, server := range append([]*Runner{r}, helpers...) {
		server.update(func(time.Time) {
			delete(server.streams, s.id)
			server.engine.Remove(s.id)
		})
	}
}

// update finishes the passes whose end has been reached, applies the change and schedules the end of the current pass.
// Streams whose prefill finished start to decode, and get their first event.
func (r *Runner) update(change func(now time.Time)) {
	r.mutex.Lock()
	now := time.Now()
	prefilled := r.finishPasses(now)
	change(now)
	r.schedulePassEnd()
	r.mutex.Unlock()
	for _, s := range prefilled {
		s.queueEvent()
		s.runner.update(func(now time.Time) {
			if s.runner.streams[s.id] != nil {
				s.runner.engine.AddDecode(predictor.DecodeTask{Stream: s.id, Context: s.contextTokens, From: now}, now)
			}
		})
	}
}

// schedulePassEnd sets the timer for the end of the current pass. The caller holds the mutex.
func (r *Runner) schedulePassEnd() {
	end := r.engine.PassEnd()
	if end.IsZero() || r.stopped {
		return
	}
	if r.passTimer != nil {
		r.passTimer.Stop()
	}
	r.passTimer = time.AfterFunc(time.Until(end), func() { r.update(func(time.Time) {}) })
}

// finishPasses finishes the passes whose end has been reached and records an event for each stream that generated tokens.
// It returns the streams whose prefill finished. The caller holds the mutex.
func (r *Runner) finishPasses(now time.Time) (prefilled []*stream) {
	for end := r.engine.PassEnd(); !end.IsZero() && !end.After(now) && !r.stopped; end = r.engine.PassEnd() {
		generated, finishedParts := r.engine.FinishPass()
		for _, id := range generated {
			if s := r.streams[id]; s != nil {
				s.queueEvent()
			}
		}
		for _, id := range finishedParts {
			if s := r.streams[id]; s != nil && s.pendingParts.Add(-1) == 0 {
				prefilled = append(prefilled, s)
			}
		}
	}
	return prefilled
}

// queueEvent makes serveStream write one event. If the queue is full, it ends the stream instead, since the caller reads
// too slowly.
func (s *stream) queueEvent() {
	select {
	case s.events <- struct{}{}:
	default:
		s.end()
	}
}
