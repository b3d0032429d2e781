package generator

import (
	"cmp"
	"strings"
	"time"
)

// step executes one batch step and returns its duration. Zero means that there is nothing to do, or that the
// engine has crashed or is frozen.
func (e *Engine) step() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.down || e.frozen {
		return 0
	}
	duration := time.Duration(0)
	if s := e.nextPrefill(); s != nil {
		chunk := min(prefillChunkTokens, s.promptTokens-s.prefilledTokens)
		s.prefilledTokens += chunk
		e.computedTokens += chunk
		if s.prefilledTokens >= s.promptTokens && strings.Contains(s.call.Prompt, lateCrashMarker) {
			e.crash()
			return 0
		}
		if s.call.PrefillOnly && s.prefilledTokens >= s.promptTokens {
			s.notify()
		}
		duration = time.Duration(float64(chunk) / e.PrefillRate * float64(time.Second))
	}
	for _, s := range e.streams {
		if s.prefilledTokens < s.promptTokens || s.finished || s.call.PrefillOnly {
			continue
		}
		s.generateToken()
		duration = max(duration, time.Duration(float64(time.Second)/e.DecodeRate))
	}
	return duration
}

// nextPrefill returns the stream to prefill next, or nil: the one with the lowest priority value, and among equals the
// oldest.
func (e *Engine) nextPrefill() *Stream {
	var next *Stream
	for _, s := range e.streams {
		if s.prefilledTokens >= s.promptTokens {
			continue
		}
		if next == nil || cmp.Or(cmp.Compare(s.call.Priority, next.call.Priority), cmp.Compare(s.sequence, next.sequence)) < 0 {
			next = s
		}
	}
	return next
}

// generateToken generates the next token of the answer, or marks the stream as finished.
func (s *Stream) generateToken() {
	index := s.call.DeliveredTokens + len(s.tokens)
	if index >= s.answerLength {
		s.finished = true
	} else {
		s.tokens = append(s.tokens, AnswerToken(s.fullPrompt, index))
	}
	s.notify()
}

// notify wakes the goroutines that wait for a change of the stream.
func (s *Stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
