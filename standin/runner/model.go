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

// eventsLimit is the number of events that may wait for a slow connection.
const eventsLimit = 256

// stream is a request at a model server.
type stream struct {
	runner  *Runner
	id      dragonflypass.StreamID
	context int
	// parts is the number of parts of the prompt that are still processed.
	parts atomic.Int32
	// passes takes a value for each pass in which the stream generated.
	passes chan struct{}
	ended  chan struct{}
	once   sync.Once
}

func (s *stream) end() { s.once.Do(func() { close(s.ended) }) }

// generate runs a request and writes its events, each as its pass ends.
func (r *Runner) generate(w http.ResponseWriter, request *http.Request, attempt string) {
	prompt, output, ok := counts(request.Header.Get("Token-Counts"))
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	helpers, found := r.helpers(request.Header.Get("Helpers"))
	if !found {
		r.decline(w, http.StatusServiceUnavailable)
		return
	}
	s := r.open(prompt, helpers)
	defer r.drop(s, helpers)
	w.Header().Set("Response-Seal", r.seal(attempt))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return
	}
	expires := time.NewTimer(deadline(request))
	defer expires.Stop()
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	events := (min(output, r.Law.MeanOutputTokens) + r.Law.StepsPerPass - 1) / r.Law.StepsPerPass
	for number := last + 1; number <= events; number++ {
		select {
		case <-s.passes:
		case <-s.ended:
			panic(http.ErrAbortHandler)
		case <-expires.C:
			panic(http.ErrAbortHandler)
		case <-request.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, strings.Repeat("x", r.Law.StepsPerPass)); err != nil || control.Flush() != nil {
			return
		}
	}
}

// counts reads the numbers of tokens of the prompt and the answer.
func counts(text string) (prompt, output int, ok bool) {
	before, after, found := strings.Cut(text, ",")
	prompt, err := strconv.Atoi(before)
	if err != nil || !found {
		return 0, 0, false
	}
	output, err = strconv.Atoi(after)
	return prompt, output, err == nil
}

// helpers finds the servers that process parts; found is false when one is gone.
func (r *Runner) helpers(list string) (helpers []*Runner, found bool) {
	if list == "" {
		return nil, true
	}
	for name := range strings.SplitSeq(list, ",") {
		text, _, _ := strings.Cut(name, "/")
		address, err := netip.ParseAddrPort(text)
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

// open gives the parts of a prompt to the servers.
func (r *Runner) open(prompt int, helpers []*Runner) *stream {
	r.mutex.Lock()
	r.sequence++
	s := &stream{
		runner: r, id: dragonflypass.StreamID{VM: dragonflypass.VMID(r.ID), Sequence: r.sequence}, context: prompt,
		passes: make(chan struct{}, eventsLimit), ended: make(chan struct{}),
	}
	r.mutex.Unlock()
	parts := append([]*Runner{r}, helpers...)
	s.parts.Store(int32(len(parts)))
	for _, server := range parts {
		server.work(func(now time.Time) {
			server.streams[s.id] = s
			server.engine.AddPrefill(predictor.PrefillTask{Stream: s.id, Tokens: max(1, prompt), Parts: len(parts)}, now)
		})
	}
	return s
}

// drop takes a stream out of all servers that work on it.
func (r *Runner) drop(s *stream, helpers []*Runner) {
	s.end()
	for _, server := range append([]*Runner{r}, helpers...) {
		server.work(func(time.Time) {
			delete(server.streams, s.id)
			server.engine.Remove(s.id)
		})
	}
}

// work ends the passes that are over, makes the change and has the pass in progress ended at its end.
func (r *Runner) work(change func(now time.Time)) {
	r.mutex.Lock()
	now := time.Now()
	begun := r.advance(now)
	change(now)
	r.schedule()
	r.mutex.Unlock()
	for _, s := range begun {
		s.event()
		s.runner.work(func(now time.Time) {
			if s.runner.streams[s.id] != nil {
				s.runner.engine.AddDecode(predictor.DecodeTask{Stream: s.id, Context: s.context, From: now}, now)
			}
		})
	}
}

// schedule has the pass in progress ended at its end; it is called with the mutex held.
func (r *Runner) schedule() {
	ends := r.engine.PassEnd()
	if ends.IsZero() || r.stopped {
		return
	}
	if r.alarm != nil {
		r.alarm.Stop()
	}
	r.alarm = time.AfterFunc(time.Until(ends), func() { r.work(func(time.Time) {}) })
}

// advance ends the passes that are over: streams that generated get an event; it returns those whose prompt has been
// processed. It is called with the mutex held.
func (r *Runner) advance(now time.Time) (begun []*stream) {
	for ends := r.engine.PassEnd(); !ends.IsZero() && !ends.After(now) && !r.stopped; ends = r.engine.PassEnd() {
		generated, processed := r.engine.FinishPass()
		for _, id := range generated {
			if s := r.streams[id]; s != nil {
				s.event()
			}
		}
		for _, id := range processed {
			if s := r.streams[id]; s != nil && s.parts.Add(-1) == 0 {
				begun = append(begun, s)
			}
		}
	}
	return begun
}

// event notes a pass; one for which there is no room ends the stream, as a caller that takes nothing does.
func (s *stream) event() {
	select {
	case s.passes <- struct{}{}:
	default:
		s.end()
	}
}
