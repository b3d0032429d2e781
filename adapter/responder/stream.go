package responder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/dispatcher"
)

// noDeadline is the zero time, which removes a deadline from a connection.
var noDeadline time.Time

// streamSink writes the frames of a completion as server-sent events.
type streamSink struct {
	responder  *Responder
	writer     http.ResponseWriter
	controller *http.ResponseController
	completion dispatcher.CompletionRequest
	format     responseFormat
	started    bool
}

// streamCompletion runs a completion and writes it as server-sent events.
// A refusal before the first frame sets the HTTP status; a later one is sent as an error event.
func (r *Responder) streamCompletion(w http.ResponseWriter, request *http.Request, completion dispatcher.CompletionRequest, format responseFormat, includeUsage bool) {
	sink := &streamSink{responder: r, writer: w, controller: http.NewResponseController(w), completion: completion, format: format}
	usage, err := r.Completer.Complete(request.Context(), completion, sink)
	switch {
	case err != nil && !sink.started:
		r.refuseError(w, err)
	case err != nil:
		sink.writeError(asRefusal(err))
	default:
		if includeUsage {
			_ = sink.writeEvent("", format.usageChunk(completion, usage))
		}
		_ = sink.writeText("data: [DONE]\n\n")
	}
}

// Accept writes the frame; before the first frame of a stream it writes the response head.
// It fails if the caller does not accept the data within WriteTimeout.
func (s *streamSink) Accept(frame dragonflypass.Frame) error {
	first := !s.started
	if first {
		s.started = true
		s.writer.Header().Set("Content-Type", "text/event-stream")
		s.writer.Header().Set("Cache-Control", "no-cache")
		s.writer.WriteHeader(http.StatusOK)
	}
	return s.writeEvent("", s.format.textChunk(s.completion, frame, first))
}

// writeError ends a stream that has already started with an error event.
func (s *streamSink) writeError(refusal *dragonflypass.Refusal) {
	_ = s.writeEvent("event: error\n", newProblem(refusal, s.completion.ID))
}

func (s *streamSink) writeEvent(prefix string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.writeText(prefix + "data: " + string(data) + "\n\n")
}

func (s *streamSink) writeText(text string) error {
	_ = s.controller.SetWriteDeadline(s.responder.Timer.Now().Add(s.responder.WriteTimeout))
	if _, err := fmt.Fprint(s.writer, text); err != nil {
		return err
	}
	return s.controller.Flush()
}
