package generator

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// shortestAnswer and answerSpread bound the length of made-up answers in tokens.
	shortestAnswer = 8
	answerSpread   = 56
	// LongWord in a prompt makes its answer as long as the limit allows.
	LongWord = "<long>"
)

// AnswerLength returns the number of tokens in the answer to the prompt, within the limit.
func AnswerLength(prompt string, limit int) int {
	if strings.Contains(prompt, LongWord) {
		return limit
	}
	return min(limit, shortestAnswer+int(xxhash.Sum64String(prompt)%answerSpread))
}

// AnswerToken returns the token of the answer at the index.
func AnswerToken(prompt string, index int) string {
	return fmt.Sprintf(" %x", xxhash.Sum64String(fmt.Sprintf("%d:%d", xxhash.Sum64String(prompt), index))%65536)
}

// Answer returns the whole answer to the prompt, within the limit in tokens.
func Answer(prompt string, limit int) string {
	var text strings.Builder
	for index := range AnswerLength(prompt, limit) {
		text.WriteString(AnswerToken(prompt, index))
	}
	return text.String()
}
