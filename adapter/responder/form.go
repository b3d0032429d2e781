package responder

import (
	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/dispatcher"
)

// form is one of the two shapes of an OpenAI answer.
type form struct {
	prefix string
	object string
	chunk  string
	chat   bool
}

var (
	formCompletion = form{prefix: "cmpl-", object: "text_completion", chunk: "text_completion"}
	formChat       = form{prefix: "chatcmpl-", object: "chat.completion", chunk: "chat.completion.chunk", chat: true}
)

// reply is the JSON form of an answer or of a part of one.
type reply struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choice     `json:"choices"`
	Usage   *usageCounts `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Message *message `json:"message,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usageCounts struct {
	Prompt int `json:"prompt_tokens"`
	Output int `json:"completion_tokens"`
	Total  int `json:"total_tokens"`
}

func counts(usage dragonflypass.TokenUsage) *usageCounts {
	return &usageCounts{Prompt: usage.PromptTokens, Output: usage.OutputTokens, Total: usage.PromptTokens + usage.OutputTokens}
}

func (f form) reply(ask dispatcher.CompletionRequest, object string) reply {
	return reply{ID: f.prefix + ask.ID, Object: object, Created: ask.Arrived.Unix(), Model: string(ask.Model), Choices: []choice{}}
}

// whole returns the answer in one piece.
func (f form) whole(ask dispatcher.CompletionRequest, text string, usage dragonflypass.TokenUsage) reply {
	finish := string(usage.Finish)
	c := choice{Finish: &finish}
	if f.chat {
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	answer := f.reply(ask, f.object)
	answer.Choices = append(answer.Choices, c)
	answer.Usage = counts(usage)
	return answer
}

// part returns one piece of a streamed answer; first is set for the first one.
func (f form) part(ask dispatcher.CompletionRequest, frame dragonflypass.Frame, first bool) reply {
	var c choice
	if frame.End {
		finish := string(frame.Finish)
		c.Finish = &finish
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
	part := f.reply(ask, f.chunk)
	part.Choices = append(part.Choices, c)
	return part
}

// total returns the last piece of a streamed answer, which has only its usage.
func (f form) total(ask dispatcher.CompletionRequest, usage dragonflypass.TokenUsage) reply {
	part := f.reply(ask, f.chunk)
	part.Usage = counts(usage)
	return part
}
