package responder

import (
	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/dispatcher"
)

// responseFormat is the response format of one of the two OpenAI endpoints.
type responseFormat struct {
	idPrefix    string
	object      string
	chunkObject string
	chat        bool
}

var (
	completionFormat = responseFormat{idPrefix: "cmpl-", object: "text_completion", chunkObject: "text_completion"}
	chatFormat       = responseFormat{idPrefix: "chatcmpl-", object: "chat.completion", chunkObject: "chat.completion.chunk", chat: true}
)

// completionResponse is the JSON form of a whole response or of one chunk of a stream.
type completionResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choice     `json:"choices"`
	Usage   *usageCounts `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usageCounts struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newUsageCounts(usage dragonflypass.TokenUsage) *usageCounts {
	return &usageCounts{PromptTokens: usage.PromptTokens, CompletionTokens: usage.OutputTokens, TotalTokens: usage.PromptTokens + usage.OutputTokens}
}

func (f responseFormat) newResponse(completion dispatcher.CompletionRequest, object string) completionResponse {
	return completionResponse{ID: f.idPrefix + completion.ID, Object: object, Created: completion.Arrived.Unix(), Model: string(completion.Model), Choices: []choice{}}
}

// fullResponse returns the response of a request that does not stream.
func (f responseFormat) fullResponse(completion dispatcher.CompletionRequest, text string, usage dragonflypass.TokenUsage) completionResponse {
	finishReason := string(usage.Finish)
	c := choice{FinishReason: &finishReason}
	if f.chat {
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	response := f.newResponse(completion, f.object)
	response.Choices = append(response.Choices, c)
	response.Usage = newUsageCounts(usage)
	return response
}

// textChunk returns one chunk of a stream; first is set for the first chunk, which in the chat format also contains the role.
func (f responseFormat) textChunk(completion dispatcher.CompletionRequest, frame dragonflypass.Frame, first bool) completionResponse {
	var c choice
	if frame.End {
		finishReason := string(frame.Finish)
		c.FinishReason = &finishReason
	}
	if f.chat {
		c.Delta = &message{Content: frame.Text}
		if first {
			c.Delta.Role = "assistant"
		}
	} else {
		text := frame.Text
		c.Text = &text
	}
	chunk := f.newResponse(completion, f.chunkObject)
	chunk.Choices = append(chunk.Choices, c)
	return chunk
}

// usageChunk returns the last chunk of a stream, which has the token usage and no choices.
func (f responseFormat) usageChunk(completion dispatcher.CompletionRequest, usage dragonflypass.TokenUsage) completionResponse {
	chunk := f.newResponse(completion, f.chunkObject)
	chunk.Usage = newUsageCounts(usage)
	return chunk
}
