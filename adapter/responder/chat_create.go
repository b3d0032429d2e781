package responder

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/dragonflypass/dragonflypass"
)

// chatBody is the JSON body of POST /v1/chat/completions.
type chatBody struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Output   int           `json:"max_tokens"`
	// Completion is the newer name of Output.
	Completion int           `json:"max_completion_tokens"`
	Choices    int           `json:"n"`
	Stream     bool          `json:"stream"`
	Options    streamOptions `json:"stream_options"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type chatPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

func (r *Responder) createChat(w http.ResponseWriter, request *http.Request) {
	var body chatBody
	account, free, refusal := r.open(w, request, &body)
	if refusal != nil {
		r.refuse(w, refusal)
		return
	}
	defer free()
	output := max(body.Output, body.Completion)
	prompt, refusal := body.text()
	if refusal == nil {
		refusal = checkCounts(min(body.Output, body.Completion), body.Choices)
	}
	if refusal != nil {
		r.refuse(w, refusal)
		return
	}
	ask := r.ask(w, account, body.Model, prompt, output)
	r.complete(w, request, ask, formChat, body.Stream, body.Options.Usage)
}

// text returns the conversation as one prompt.
func (b *chatBody) text() (string, *dragonflypass.Refusal) {
	if len(b.Messages) == 0 {
		return "", dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "messages must not be empty")
	}
	var prompt strings.Builder
	for i, message := range b.Messages {
		text, ok := message.text()
		if !ok {
			return "", dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "messages[%d] needs a role and a text", i)
		}
		prompt.WriteString(message.Role + ": " + text + "\n")
	}
	prompt.WriteString("assistant:")
	return prompt.String(), nil
}

// text returns the message's content, which is a text or a list of text parts.
func (m *chatMessage) text() (text string, ok bool) {
	if m.Role == "" {
		return "", false
	}
	if json.Unmarshal(m.Content, &text) == nil {
		return text, true
	}
	var parts []chatPart
	if json.Unmarshal(m.Content, &parts) != nil {
		return "", false
	}
	for _, part := range parts {
		if part.Type != "text" {
			return "", false
		}
		text += part.Text
	}
	return text, true
}
