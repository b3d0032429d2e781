package responder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/dispatcher"
)

// noDeadline lifts a deadline.
var noDeadline time.Time

// streamSink writes frames as server-sent events.
type streamSink struct {
	responder *Responder
	writer    http.ResponseWriter
	control   *http.ResponseController
	ask       dispatcher.CompletionRequest
	form      form
	begun     bool
}

// stream serves a completion as server-sent events; before the first frame a refusal has its own status.
func (r *Responder) stream(w http.ResponseWriter, request *http.Request, ask dispatcher.CompletionRequest, form form, usage bool) {
	sink := &streamSink{responder: r, writer: w, control: http.NewResponseController(w), ask: ask, form: form}
	counted, err := r.Completer.Complete(request.Context(), ask, sink)
	switch {
	case err != nil && !sink.begun:
		r.refuseError(w, err)
	case err != nil:
		sink.fail(asRefusal(err))
	default:
		if usage {
			_ = sink.event("", form.total(ask, counted))
		}
		_ = sink.line("data: [DONE]\n\n")
	}
}

// Accept writes the frame; the caller must take it in time.
func (s *streamSink) Accept(frame dragonflypass.Frame) error {
	first := !s.begun
	if first {
		s.begun = true
		s.writer.Header().Set("Content-Type", "text/event-stream")
		s.writer.Header().Set("Cache-Control", "no-cache")
		s.writer.WriteHeader(http.StatusOK)
	}
	return s.event("", s.form.part(s.ask, frame, first))
}

// fail ends a stream that has begun with an explicit error.
func (s *streamSink) fail(refusal *dragonflypass.Refusal) {
	_ = s.event("event: error\n", newProblem(refusal, s.ask.ID))
}

func (s *streamSink) event(name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.line(name + "data: " + string(data) + "\n\n")
}

func (s *streamSink) line(text string) error {
	_ = s.control.SetWriteDeadline(s.responder.Timer.Now().Add(s.responder.Write))
	if _, err := fmt.Fprint(s.writer, text); err != nil {
		return err
	}
	return s.control.Flush()
}
