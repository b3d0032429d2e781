package responder

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/dragonflypass/dragonflypass"
)

// chatBody is the JSON body of POST /v1/chat/completions.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	// MaxCompletionTokens replaces MaxTokens in newer OpenAI clients.
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Choices             int           `json:"n"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
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
	account, release, refusal := r.readRequest(w, request, &body)
	if refusal != nil {
		r.refuse(w, refusal)
		return
	}
	defer release()
	maxTokens := max(body.MaxTokens, body.MaxCompletionTokens)
	prompt, refusal := body.promptText()
	if refusal == nil {
		refusal = checkCounts(min(body.MaxTokens, body.MaxCompletionTokens), body.Choices)
	}
	if refusal != nil {
		r.refuse(w, refusal)
		return
	}
	completion := r.newCompletionRequest(w, account, body.Model, prompt, maxTokens)
	r.complete(w, request, completion, chatFormat, body.Stream, body.StreamOptions.IncludeUsage)
}

// promptText joins the messages of the conversation into one prompt.
func (b *chatBody) promptText() (string, *dragonflypass.Refusal) {
	if len(b.Messages) == 0 {
		return "", dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "messages must not be empty")
	}
	var prompt strings.Builder
	for i, message := range b.Messages {
		text, ok := message.text()
		if !ok {
			return "", dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "messages[%d] must have a role and text content", i)
		}
		prompt.WriteString(message.Role + ": " + text + "\n")
	}
	prompt.WriteString("assistant:")
	return prompt.String(), nil
}

// text returns the content of the message, which is either a string or a list of text parts.
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
