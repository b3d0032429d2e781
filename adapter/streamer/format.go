package streamer

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
)

// Call is the JSON body of a request to an engine to run a completion or to prefill a prompt part.
type Call struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	// OutputTokens is the maximum number of tokens of the whole answer.
	OutputTokens int    `json:"max_tokens"`
	Streaming    bool   `json:"stream"`
	Priority     int    `json:"priority"`
	Stream       string `json:"id"`
	Attempt      int    `json:"attempt"`
	// DeliveredText is the text of the answer so far; DeliveredTokens is its length in tokens.
	DeliveredText   string `json:"delivered,omitempty"`
	DeliveredTokens int    `json:"from,omitempty"`
	// KVSources are the prompt parts that precede Prompt, whose KV memory is at other engines.
	KVSources []KVSource `json:"imports,omitempty"`
	// MigrateFrom is the stream whose KV memory the engine copies, nil for none.
	MigrateFrom *KVSource `json:"source,omitempty"`
}

// KVSource is the JSON form of a stream whose KV memory another engine exports.
type KVSource struct {
	Address netip.AddrPort `json:"address"`
	Stream  string         `json:"id"`
}

// Frame is the JSON form of one event of an engine's stream.
type Frame struct {
	Stream  string `json:"id"`
	Attempt int    `json:"attempt"`
	// Index is the number of tokens of the answer that precede this frame.
	Index  int    `json:"index"`
	Text   string `json:"text,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
	End    bool   `json:"end,omitempty"`
	// Count is the number of tokens of the whole answer and PromptTokens that of the prompt, both set in the last frame.
	Count        int    `json:"count,omitempty"`
	PromptTokens int    `json:"prompt,omitempty"`
	Finish       string `json:"finish,omitempty"`
}

// Report is the JSON form of a server's report.
type Report struct {
	Server string `json:"server"`
	Epoch  uint64 `json:"epoch"`
	// Used is the KV memory in use in tokens.
	Used    int            `json:"used"`
	Models  []string       `json:"models,omitempty"`
	Streams []StreamReport `json:"streams"`
	At      time.Time      `json:"at"`
}

// StreamReport is the JSON form of one stream in a report.
type StreamReport struct {
	Stream string `json:"id"`
	// Tokens is the KV memory that the stream uses, in tokens.
	Tokens    int  `json:"tokens"`
	Prefilled bool `json:"prefilled"`
}

// Order is the JSON form of an order to a server.
type Order struct {
	Fence uint64 `json:"fence"`
	// Kind is OrderLoad or OrderUnload.
	Kind  string `json:"kind"`
	Model string `json:"model"`
}

// The kinds of orders.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
)

// FormatStream returns a stream identifier as text: VM, incarnation and sequence number, separated by dots.
func FormatStream(id dragonflypass.StreamID) string {
	return fmt.Sprintf("%s.%d.%d", id.VM, id.Incarnation, id.Sequence)
}

// ParseStream parses a stream identifier in the format of FormatStream.
func ParseStream(text string) (dragonflypass.StreamID, error) {
	rest, sequenceText, ok := cutLast(text)
	vm, incarnationText, found := cutLast(rest)
	sequence, err := strconv.ParseUint(sequenceText, 10, 64)
	incarnation, incarnationErr := strconv.ParseUint(incarnationText, 10, 64)
	if !ok || !found || err != nil || incarnationErr != nil {
		return dragonflypass.StreamID{}, eris.Errorf("streamer: %q is not a stream identifier", text)
	}
	return dragonflypass.StreamID{VM: dragonflypass.VMID(vm), Incarnation: incarnation, Sequence: sequence}, nil
}

func cutLast(text string) (before, after string, ok bool) {
	index := strings.LastIndexByte(text, '.')
	if index < 0 {
		return text, "", false
	}
	return text[:index], text[index+1:], true
}

func (w Frame) frame() (dragonflypass.Frame, error) {
	id, err := ParseStream(w.Stream)
	return dragonflypass.Frame{
		Stream: id, Attempt: w.Attempt, Index: w.Index, Text: w.Text, Tokens: w.Tokens,
		End: w.End, Count: w.Count, PromptTokens: w.PromptTokens, Finish: dragonflypass.FinishReason(w.Finish),
	}, err
}

// FromReport returns the JSON form of a report.
func FromReport(r dragonflypass.ServerReport) Report {
	w := Report{Server: string(r.Server), Epoch: r.Epoch, Used: r.Used, At: r.At, Streams: make([]StreamReport, 0, len(r.Streams))}
	for _, model := range r.Models {
		w.Models = append(w.Models, string(model))
	}
	for _, s := range r.Streams {
		w.Streams = append(w.Streams, StreamReport{Stream: FormatStream(s.Stream), Tokens: s.Tokens, Prefilled: s.Prefilled})
	}
	return w
}

func (w Report) report() (dragonflypass.ServerReport, error) {
	r := dragonflypass.ServerReport{Server: dragonflypass.ServerID(w.Server), Epoch: w.Epoch, Used: w.Used, At: w.At}
	for _, model := range w.Models {
		r.Models = append(r.Models, dragonflypass.ModelID(model))
	}
	for _, s := range w.Streams {
		id, err := ParseStream(s.Stream)
		if err != nil {
			return r, err
		}
		r.Streams = append(r.Streams, dragonflypass.StreamReport{Stream: id, Tokens: s.Tokens, Prefilled: s.Prefilled})
	}
	return r, nil
}
