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
	router.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	router.HandleFunc("/v1/parts", e.prefill).Methods(http.MethodPost)
	router.HandleFunc("/v1/parts/{id}", e.export).Methods(http.MethodGet)
	router.HandleFunc("/v1/streams/{id}", e.resume).Methods(http.MethodGet)
	router.HandleFunc("/v1/streams/{id}", e.cancel).Methods(http.MethodDelete)
	router.HandleFunc("/v1/streams/{id}/cache", e.cached).Methods(http.MethodGet)
	router.HandleFunc("/v1/report", e.report).Methods(http.MethodGet)
	router.HandleFunc("/v1/orders", e.order).Methods(http.MethodPost)
	return router
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	if s, body, ok := e.begin(w, r, false); ok {
		e.write(w, r, s, body.Attempt, body.From)
	}
}

// begin starts the request in the body and answers when it cannot.
func (e *Engine) begin(w http.ResponseWriter, r *http.Request, part bool) (s *Stream, body streamer.Call, ok bool) {
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
		Priority: body.Priority, From: body.From, Output: body.Output, Part: part,
	}
	for _, wire := range body.Imports {
		imported, err := streamer.ParseStream(wire.Stream)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return nil, body, false
		}
		call.Imports = append(call.Imports, dragonflypass.KVSource{Address: wire.Address, Stream: imported})
	}
	if body.Source != nil {
		source, err := streamer.ParseStream(body.Source.Stream)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return nil, body, false
		}
		call.Source = &dragonflypass.KVSource{Address: body.Source.Address, Stream: source}
	}
	s, err = e.Start(call)
	switch {
	case errors.Is(err, ErrSource):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, ErrDown):
		panic(http.ErrAbortHandler)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
	return s, body, err == nil
}

// prefill processes a part of a prompt and answers when that is done.
func (e *Engine) prefill(w http.ResponseWriter, r *http.Request) {
	s, _, ok := e.begin(w, r, true)
	if !ok {
		return
	}
	for {
		filled, grown, err := e.Filled(s)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if filled {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		select {
		case <-grown:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
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

// FetchHTTP returns the text of a part that another engine exports over HTTP.
func FetchHTTP(part dragonflypass.KVSource) (string, error) {
	response, err := http.Get("http://" + part.Address.String() + "/v1/parts/" + streamer.FormatStream(part.Stream))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return "", ErrStream
	}
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// cached answers with the number of tokens in a stream's KV memory.
func (e *Engine) cached(w http.ResponseWriter, r *http.Request) {
	id, err := streamer.ParseStream(mux.Vars(r)["id"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	tokens, err := e.Cached(id)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	_, _ = io.WriteString(w, strconv.Itoa(tokens))
}

// CopyHTTP returns the number of tokens in the KV memory that another engine exports of a stream over HTTP.
func CopyHTTP(source dragonflypass.KVSource) (int, error) {
	response, err := http.Get("http://" + source.Address.String() + "/v1/streams/" + streamer.FormatStream(source.Stream) + "/cache")
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, ErrSource
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(string(text))
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
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
	e.write(w, r, s, attempt, from)
}

// write streams the answer from the index on; a reader that goes away leaves the stream running.
func (e *Engine) write(w http.ResponseWriter, r *http.Request, s *Stream, attempt, index int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	name := streamer.FormatStream(s.call.Stream)
	for {
		token, grown, err := e.Next(s, index)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if grown != nil {
			select {
			case <-grown:
				continue
			case <-r.Context().Done():
				return
			}
		}
		frame := streamer.Frame{Stream: name, Attempt: attempt, Index: token.Index, Text: token.Text}
		if token.End {
			frame.End, frame.Count, frame.Prompt = true, token.Count, token.Prompt
			frame.Finish = string(dragonflypass.FinishStop)
			if token.Count == s.call.Output {
				frame.Finish = string(dragonflypass.FinishLength)
			}
			e.Finish(s)
		} else {
			frame.Tokens = 1
		}
		if writeFrame(w, frame) != nil || flush.Flush() != nil || token.End {
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

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	id, err := streamer.ParseStream(mux.Vars(r)["id"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Cancel(id)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	report, err := e.Report(time.Now())
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(streamer.FromReport(report))
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var wire streamer.Order
	if err := json.NewDecoder(r.Body).Decode(&wire); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	order := dragonflypass.Order{Model: dragonflypass.ModelID(wire.Model), Unload: wire.Kind == streamer.OrderUnload, Fence: dragonflypass.Offset(wire.Fence)}
	err := e.Execute(order)
	switch {
	case errors.Is(err, dragonflypass.ErrFenced):
		http.Error(w, "old fencing number", http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
