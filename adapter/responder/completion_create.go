package responder

import (
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/dispatcher"
)

// rankHeader is the header in which a caller requests a rank that is less urgent than the rank of its account.
const rankHeader = "X-Rank"

// completionBody is the JSON body of POST /v1/completions.
type completionBody struct {
	Model         string          `json:"model"`
	Prompt        json.RawMessage `json:"prompt"`
	MaxTokens     int             `json:"max_tokens"`
	Choices       int             `json:"n"`
	Stream        bool            `json:"stream"`
	StreamOptions streamOptions   `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func (r *Responder) createCompletion(w http.ResponseWriter, request *http.Request) {
	var body completionBody
	account, release, refusal := r.readRequest(w, request, &body)
	if refusal != nil {
		r.refuse(w, refusal)
		return
	}
	defer release()
	prompt, refusal := body.promptText()
	if refusal == nil {
		refusal = checkCounts(body.MaxTokens, body.Choices)
	}
	if refusal != nil {
		r.refuse(w, refusal)
		return
	}
	completion := r.newCompletionRequest(w, account, body.Model, prompt, body.MaxTokens)
	r.complete(w, request, completion, completionFormat, body.Stream, body.StreamOptions.IncludeUsage)
}

// promptText returns the prompt, which OpenAI clients send as a string or as a list with one string.
func (b *completionBody) promptText() (string, *dragonflypass.Refusal) {
	var text string
	if json.Unmarshal(b.Prompt, &text) == nil && text != "" {
		return text, nil
	}
	var list []string
	if json.Unmarshal(b.Prompt, &list) == nil && len(list) == 1 && list[0] != "" {
		return list[0], nil
	}
	return "", dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "prompt must be one non-empty string")
}

func checkCounts(maxTokens, choices int) *dragonflypass.Refusal {
	if maxTokens < 0 {
		return dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "max_tokens must not be negative")
	}
	if choices > 1 {
		return dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "n must be 1")
	}
	return nil
}

// newCompletionRequest returns the dispatcher's form of a completion request.
func (r *Responder) newCompletionRequest(w http.ResponseWriter, account *dragonflypass.ClientAccount, model, prompt string, maxTokens int) dispatcher.CompletionRequest {
	hash := sha256.New()
	hash.Write([]byte(strconv.Itoa(maxTokens) + "\x00"))
	hash.Write([]byte(prompt))
	return dispatcher.CompletionRequest{
		ID:              w.Header().Get(requestIDHeader),
		Account:         account.ID,
		Model:           dragonflypass.ModelID(model),
		Prompt:          prompt,
		MaxOutputTokens: maxTokens,
		BodyHash:        dragonflypass.Digest(hash.Sum(nil)),
		Arrived:         r.Timer.Now(),
	}
}

// complete runs the completion and writes the response, either as a stream or as a single JSON object.
func (r *Responder) complete(w http.ResponseWriter, request *http.Request, completion dispatcher.CompletionRequest, format responseFormat, stream, includeUsage bool) {
	if name := request.Header.Get(rankHeader); name != "" {
		rank, ok := dragonflypass.ParseRank(name)
		if !ok {
			r.refuse(w, dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "%s must be urgent, normal or bulk", rankHeader))
			return
		}
		completion.Rank = rank
	}
	// The request body has been read, so only writes need a deadline from here on.
	_ = http.NewResponseController(w).SetReadDeadline(noDeadline)
	if stream {
		r.streamCompletion(w, request, completion, format, includeUsage)
		return
	}
	var text strings.Builder
	usage, err := r.Completer.Complete(request.Context(), completion, collector{text: &text})
	if err != nil {
		r.refuseError(w, err)
		return
	}
	writeJSON(w, format.fullResponse(completion, text.String(), usage))
}

// collector collects the text of a completion that is not streamed.
type collector struct {
	text *strings.Builder
}

// Accept appends the text of the frame.
func (c collector) Accept(frame dragonflypass.Frame) error {
	c.text.WriteString(frame.Text)
	return nil
}
