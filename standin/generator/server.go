package generator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/streamer"
)

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/completions", e.serveCompletion).Methods(http.MethodPost)
	router.HandleFunc("/v1/parts", e.servePrefill).Methods(http.MethodPost)
	router.HandleFunc("/v1/parts/{id}", e.serveExport).Methods(http.MethodGet)
	router.HandleFunc("/v1/streams/{id}", e.serveResume).Methods(http.MethodGet)
	router.HandleFunc("/v1/streams/{id}", e.serveCancel).Methods(http.MethodDelete)
	router.HandleFunc("/v1/streams/{id}/cache", e.serveCacheSize).Methods(http.MethodGet)
	router.HandleFunc("/v1/report", e.serveReport).Methods(http.MethodGet)
	router.HandleFunc("/v1/orders", e.serveOrder).Methods(http.MethodPost)
	return router
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	if s, body, ok := e.startCall(w, r, false); ok {
		e.writeStream(w, r, s, body.Attempt, body.DeliveredTokens)
	}
}

// startCall starts the request in the body; on failure it writes the error response and returns false.
func (e *Engine) startCall(w http.ResponseWriter, r *http.Request, prefillOnly bool) (s *Stream, body streamer.Call, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, body, false
	}
	id, err := streamer.ParseStream(body.Stream)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, body, false
	}
	call := Call{
		Stream: id, Model: dragonflypass.ModelID(body.Model), Prompt: body.Prompt,
		Priority: body.Priority, DeliveredTokens: body.DeliveredTokens, OutputTokens: body.OutputTokens, PrefillOnly: prefillOnly,
	}
	for _, wireSource := range body.KVSources {
		partStream, err := streamer.ParseStream(wireSource.Stream)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return nil, body, false
		}
		call.KVSources = append(call.KVSources, dragonflypass.KVSource{Address: wireSource.Address, Stream: partStream})
	}
	if body.MigrateFrom != nil {
		source, err := streamer.ParseStream(body.MigrateFrom.Stream)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return nil, body, false
		}
		call.MigrateFrom = &dragonflypass.KVSource{Address: body.MigrateFrom.Address, Stream: source}
	}
	s, err = e.Start(call)
	switch {
	case errors.Is(err, ErrExportFailed):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, ErrDown):
		panic(http.ErrAbortHandler)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
	return s, body, err == nil
}

// servePrefill prefills a prompt part and responds when the prefill has finished.
func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	s, _, ok := e.startCall(w, r, true)
	if !ok {
		return
	}
	for {
		prefilled, changed, err := e.Prefilled(s)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if prefilled {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	id, err := streamer.ParseStream(mux.Vars(r)["id"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	text, err := e.Export(id)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	_, _ = io.WriteString(w, text)
}

// FetchHTTP fetches the text of a prompt part from another engine over HTTP. It returns ErrUnknownStream when that
// engine does not export the part.
func FetchHTTP(part dragonflypass.KVSource) (string, error) {
	response, err := http.Get("http://" + part.Address.String() + "/v1/parts/" + streamer.FormatStream(part.Stream))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return "", ErrUnknownStream
	}
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// serveCacheSize responds with the number of tokens in a stream's KV memory.
func (e *Engine) serveCacheSize(w http.ResponseWriter, r *http.Request) {
	id, err := streamer.ParseStream(mux.Vars(r)["id"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	tokens, err := e.CachedTokens(id)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	_, _ = io.WriteString(w, strconv.Itoa(tokens))
}

// CopyHTTP simulates the copy of a stream's KV memory from another engine over HTTP: only the number of tokens is
// transferred. It returns ErrExportFailed when that engine does not export the stream.
func CopyHTTP(source dragonflypass.KVSource) (int, error) {
	response, err := http.Get("http://" + source.Address.String() + "/v1/streams/" + streamer.FormatStream(source.Stream) + "/cache")
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, ErrExportFailed
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(string(text))
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	id, err := streamer.ParseStream(mux.Vars(r)["id"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	attempt, _ := strconv.Atoi(r.URL.Query().Get("attempt"))
	s, err := e.Find(id)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	e.writeStream(w, r, s, attempt, from)
}

// writeStream streams the answer, starting at the index; the stream keeps running when the client disconnects.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *Stream, attempt, index int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	streamID := streamer.FormatStream(s.call.Stream)
	for {
		token, changed, err := e.Next(s, index)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if changed != nil {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			}
		}
		frame := streamer.Frame{Stream: streamID, Attempt: attempt, Index: token.Index, Text: token.Text}
		if token.End {
			frame.End, frame.Count, frame.PromptTokens = true, token.AnswerTokens, token.PromptTokens
			frame.Finish = string(dragonflypass.FinishStop)
			if token.AnswerTokens == s.call.OutputTokens {
				frame.Finish = string(dragonflypass.FinishLength)
			}
			e.Finish(s)
		} else {
			frame.Tokens = 1
		}
		if writeFrame(w, frame) != nil || controller.Flush() != nil || token.End {
			return
		}
		index++
	}
}

func writeFrame(w http.ResponseWriter, frame streamer.Frame) error {
	data, err := json.Marshal(frame)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", data)
	return err
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	id, err := streamer.ParseStream(mux.Vars(r)["id"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Cancel(id)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	report, err := e.Report(time.Now())
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(streamer.FromReport(report))
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var wireOrder streamer.Order
	if err := json.NewDecoder(r.Body).Decode(&wireOrder); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	order := dragonflypass.Order{Model: dragonflypass.ModelID(wireOrder.Model), Unload: wireOrder.Kind == streamer.OrderUnload, Fence: dragonflypass.Offset(wireOrder.Fence)}
	err := e.Execute(order)
	switch {
	case errors.Is(err, dragonflypass.ErrFenced):
		http.Error(w, "outdated fencing number", http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
