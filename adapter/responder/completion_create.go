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

// rankHeader lets a caller ask for a less urgent rank than its account's.
const rankHeader = "X-Rank"

// completionBody is the JSON body of POST /v1/completions.
type completionBody struct {
	Model   string          `json:"model"`
	Prompt  json.RawMessage `json:"prompt"`
	Output  int             `json:"max_tokens"`
	Choices int             `json:"n"`
	Stream  bool            `json:"stream"`
	Options streamOptions   `json:"stream_options"`
}

type streamOptions struct {
	Usage bool `json:"include_usage"`
}

func (r *Responder) createCompletion(w http.ResponseWriter, request *http.Request) {
	var body completionBody
	account, free, refusal := r.open(w, request, &body)
	if refusal != nil {
		r.refuse(w, refusal)
		return
	}
	defer free()
	prompt, refusal := body.text()
	if refusal == nil {
		refusal = checkCounts(body.Output, body.Choices)
	}
	if refusal != nil {
		r.refuse(w, refusal)
		return
	}
	ask := r.ask(w, account, body.Model, prompt, body.Output)
	r.complete(w, request, ask, formCompletion, body.Stream, body.Options.Usage)
}

// text returns the prompt, which OpenAI clients send as a text or as a list of one.
func (b *completionBody) text() (string, *dragonflypass.Refusal) {
	var text string
	if json.Unmarshal(b.Prompt, &text) == nil && text != "" {
		return text, nil
	}
	var list []string
	if json.Unmarshal(b.Prompt, &list) == nil && len(list) == 1 && list[0] != "" {
		return list[0], nil
	}
	return "", dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "prompt must be one text that is not empty")
}

func checkCounts(output, choices int) *dragonflypass.Refusal {
	if output < 0 {
		return dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "max_tokens must not be negative")
	}
	if choices > 1 {
		return dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "n must be 1")
	}
	return nil
}

// ask describes a completion to the dispatcher.
func (r *Responder) ask(w http.ResponseWriter, account *dragonflypass.ClientAccount, model, prompt string, output int) dispatcher.CompletionRequest {
	sum := sha256.New()
	sum.Write([]byte(strconv.Itoa(output) + "\x00"))
	sum.Write([]byte(prompt))
	return dispatcher.CompletionRequest{
		ID:              w.Header().Get(requestHeader),
		Account:         account.ID,
		Model:           dragonflypass.ModelID(model),
		Prompt:          prompt,
		MaxOutputTokens: output,
		BodyHash:        dragonflypass.Digest(sum.Sum(nil)),
		Arrived:         r.Timer.Now(),
	}
}

// complete has the completion served and writes it as a stream or as a whole.
func (r *Responder) complete(w http.ResponseWriter, request *http.Request, ask dispatcher.CompletionRequest, form form, stream, usage bool) {
	if name := request.Header.Get(rankHeader); name != "" {
		rank, ok := dragonflypass.ParseRank(name)
		if !ok {
			r.refuse(w, dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "%s must be urgent, normal or bulk", rankHeader))
			return
		}
		ask.Rank = rank
	}
	// The whole body has been read; from here on only writing is bounded.
	_ = http.NewResponseController(w).SetReadDeadline(noDeadline)
	if stream {
		r.stream(w, request, ask, form, usage)
		return
	}
	var text strings.Builder
	counted, err := r.Completer.Complete(request.Context(), ask, collector{text: &text})
	if err != nil {
		r.refuseError(w, err)
		return
	}
	writeJSON(w, form.whole(ask, text.String(), counted))
}

// collector gathers an answer's text.
type collector struct {
	text *strings.Builder
}

// Accept adds the frame's text.
func (c collector) Accept(frame dragonflypass.Frame) error {
	c.text.WriteString(frame.Text)
	return nil
}
