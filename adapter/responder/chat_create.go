package responder

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/dragonflypass/dragonflypass"
)

// partIDBytes is the length in bytes of the hash that identifies a message.
const partIDBytes = 16

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
	completion.Parts = body.sharedParts()
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

// sharedParts identifies the messages by their content, sorted and without duplicates, but for the last one: the others, such as
// a system prompt or a document, may occur in other conversations.
func (b *chatBody) sharedParts() []dragonflypass.SharedPart {
	var parts []dragonflypass.SharedPart
	for _, message := range b.Messages[:len(b.Messages)-1] {
		text, _ := message.text()
		digest := sha256.Sum256([]byte(message.Role + "\x00" + text))
		parts = append(parts, dragonflypass.SharedPart(hex.EncodeToString(digest[:partIDBytes])))
	}
	slices.Sort(parts)
	return slices.Compact(parts)
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
