package generator

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// Answers have minAnswerTokens to minAnswerTokens+answerTokenRange-1 tokens, unless the limit is lower.
	minAnswerTokens  = 8
	answerTokenRange = 56
	// LongAnswerMarker in a prompt makes the answer as long as the limit allows.
	LongAnswerMarker = "<long>"
)

// AnswerLength returns the number of tokens in the answer to the prompt, at most limit.
func AnswerLength(prompt string, limit int) int {
	if strings.Contains(prompt, LongAnswerMarker) {
		return limit
	}
	return min(limit, minAnswerTokens+int(xxhash.Sum64String(prompt)%answerTokenRange))
}

// AnswerToken returns the text of the token at the index, derived from a hash of the prompt.
func AnswerToken(prompt string, index int) string {
	return fmt.Sprintf(" %x", xxhash.Sum64String(fmt.Sprintf("%d:%d", xxhash.Sum64String(prompt), index))%65536)
}

// Answer returns the complete answer to the prompt, of at most limit tokens.
func Answer(prompt string, limit int) string {
	var text strings.Builder
	for index := range AnswerLength(prompt, limit) {
		text.WriteString(AnswerToken(prompt, index))
	}
	return text.String()
}
