package predictor

import (
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// pairsUnit is the number of token pairs that an EngineLaw's PairTime is for.
const pairsUnit = 1e6

// PrefillTask is a prompt, or a part of one, that waits to be processed.
type PrefillTask struct {
	Stream dragonflypass.StreamID
	// Tokens is the length of the whole prompt, and Parts the number of even parts it is processed in.
	Tokens int
	Parts  int
	// done is the number of tokens processed, and planned what it comes to in the pass in progress, zero when the
	// pass does not get to it.
	done    float64
	planned float64
}

// ahead reports whether the part goes before all that wait, as the parts of a divided prompt do; whole prompts are
// processed in the order of their arrival.
func (r *PrefillTask) ahead() bool { return r.Parts > 1 }

// length is the part's number of tokens, at least one.
func (r *PrefillTask) length() float64 { return max(1, float64(r.Tokens)/float64(r.Parts)) }

// left is the number of tokens still to be processed.
func (r *PrefillTask) left() float64 { return r.length() - r.done }

// span is the time for the next tokens of the part, without the steps.
func (r *PrefillTask) span(law *dragonflypass.EngineCostModel, tokens float64) time.Duration {
	// Each of several parts has its share of the prompt's pairs, evenly over its tokens.
	pairs := tokens * float64(r.Tokens) / 2
	if r.Parts == 1 {
		pairs = tokens * (r.done + tokens/2)
	}
	return time.Duration(tokens/law.PrefillRate*float64(time.Second) + pairs/pairsUnit*float64(law.PairTime))
}

// DecodeTask is a stream that generates its answer.
type DecodeTask struct {
	Stream dragonflypass.StreamID
	// Context is the number of tokens of the prompt that the server holds.
	Context int
	// MaxEventGap is the longest pause that is still on time, zero for none.
	MaxEventGap time.Duration
	// Priority is the stream's rank, lower values first.
	Priority int
	// From is the instant at which the stream begins to generate.
	From time.Time
}

// Engine is the predicted state of one model server.
type Engine struct {
	CostModel *dragonflypass.EngineCostModel
	// Slowdown is the factor by which the server is slower than its law, 1 when it is not.
	Slowdown float64

	reads   []PrefillTask
	writers []DecodeTask
	// began and ends are the bounds of the pass in progress; ends is zero while the server is idle.
	began time.Time
	ends  time.Time
	// long is set while the pass in progress has generating streams.
	long bool
}

// New returns the engine of an idle server.
func New(law *dragonflypass.EngineCostModel) *Engine { return &Engine{CostModel: law, Slowdown: 1} }

// AddPrefill gives the server a prompt or part at the instant.
func (e *Engine) AddPrefill(read PrefillTask, now time.Time) {
	e.Advance(now)
	if read.ahead() {
		e.reads = slices.Insert(e.reads, 0, read)
	} else {
		e.reads = append(e.reads, read)
	}
	if e.idle() {
		e.begin(now)
	}
}

// idle reports whether the server does nothing, though a stream may be about to generate.
func (e *Engine) idle() bool {
	return !e.long && !slices.ContainsFunc(e.reads, func(r PrefillTask) bool { return r.planned > 0 })
}

// AddDecode adds a stream that generates from its instant on.
func (e *Engine) AddDecode(writer DecodeTask, now time.Time) {
	e.Advance(now)
	e.Stop(writer.Stream)
	e.writers = append(e.writers, writer)
	if e.idle() {
		e.begin(now)
	}
}

// DelayDecode has a stream begin to generate at the instant.
func (e *Engine) DelayDecode(stream dragonflypass.StreamID, from time.Time) {
	for i := range e.writers {
		if e.writers[i].Stream == stream {
			e.writers[i].From = from
		}
	}
}

// Stop takes a generating stream out.
func (e *Engine) Stop(stream dragonflypass.StreamID) {
	e.writers = slices.DeleteFunc(e.writers, func(w DecodeTask) bool { return w.Stream == stream })
}

// Drop takes a stream's prompt and answer out.
func (e *Engine) Drop(stream dragonflypass.StreamID) {
	e.Stop(stream)
	e.reads = slices.DeleteFunc(e.reads, func(r PrefillTask) bool { return r.Stream == stream })
}

// FinishPrefill takes a stream's processed part out, as when its end is known before it was predicted.
func (e *Engine) FinishPrefill(stream dragonflypass.StreamID) {
	writers := e.writers
	e.Drop(stream)
	e.writers = writers
}

// Trim shortens what is left of a stream's part so that it takes at most the time.
func (e *Engine) Trim(stream dragonflypass.StreamID, left time.Duration) {
	for i := range e.reads {
		r := &e.reads[i]
		if span := r.span(e.CostModel, r.left()); r.Stream == stream && span > left {
			r.done = r.length() - r.left()*float64(left)/float64(span)
			if r.planned > 0 {
				r.planned = max(r.planned, r.done)
			}
		}
	}
}

// Prefilling reports whether a part of the stream waits or is being processed.
func (e *Engine) Prefilling(stream dragonflypass.StreamID) bool {
	return slices.ContainsFunc(e.reads, func(r PrefillTask) bool { return r.Stream == stream })
}

// Advance works the passes out up to the instant.
func (e *Engine) Advance(now time.Time) {
	for !e.ends.IsZero() && !e.ends.After(now) {
		e.begin(e.end())
	}
}

// FinishPass ends the pass in progress and begins the next; it returns the streams that generated in it, and
// those whose part was processed.
func (e *Engine) FinishPass() (generated, processed []dragonflypass.StreamID) {
	if e.long {
		for i := range e.writers {
			if !e.writers[i].From.After(e.began) {
				generated = append(generated, e.writers[i].Stream)
			}
		}
	}
	for i := range e.reads {
		if r := &e.reads[i]; r.planned > 0 && r.length()-r.planned < 1 {
			processed = append(processed, r.Stream)
		}
	}
	e.begin(e.end())
	return generated, processed
}

// end closes the pass in progress and returns the instant of its end.
func (e *Engine) end() time.Time {
	for i := range e.reads {
		if r := &e.reads[i]; r.planned > 0 {
			r.done, r.planned = r.planned, 0
		}
	}
	e.reads = slices.DeleteFunc(e.reads, func(r PrefillTask) bool { return r.left() < 1 })
	return e.ends
}

// begin plans a pass from the instant on.
func (e *Engine) begin(at time.Time) {
	e.began = at
	generating, context := 0, 0
	for i := range e.writers {
		if !e.writers[i].From.After(at) {
			generating++
			context += e.writers[i].Context
		}
	}
	e.long = generating > 0
	if !e.long && len(e.reads) == 0 {
		e.ends = time.Time{}
		if from, ok := e.nextWriter(); ok {
			e.ends = from
		}
		return
	}
	law := e.CostModel
	span, room := law.StepTime, float64(law.PrefillChunk)
	if e.long {
		span, room = law.PassTime(generating, context), float64(law.StepsPerPass*law.PrefillChunk)
	}
	for i := range e.reads {
		if room < 1 {
			break
		}
		r := &e.reads[i]
		tokens := min(room, r.left())
		span += r.span(law, tokens)
		room -= tokens
		r.planned = r.done + tokens
	}
	e.ends = at.Add(time.Duration(e.Slowdown * float64(span)))
}

// nextWriter returns the next instant at which a stream begins to generate.
func (e *Engine) nextWriter() (from time.Time, ok bool) {
	for i := range e.writers {
		if !ok || e.writers[i].From.Before(from) {
			from, ok = e.writers[i].From, true
		}
	}
	return from, ok
}

// AlignPass moves the predicted passes so that one ends at the instant, when one is predicted to end near it.
func (e *Engine) AlignPass(at time.Time) {
	if e.ends.IsZero() || !e.long {
		return
	}
	sinceBegin, untilEnd := at.Sub(e.began), e.ends.Sub(at)
	switch {
	case sinceBegin.Abs() <= untilEnd.Abs():
		e.began = at
		e.ends = e.ends.Add(sinceBegin)
	case untilEnd > 0:
		e.ends = at
	}
}

// PassEnd returns the instant at which the pass in progress ends, zero while the server is idle.
func (e *Engine) PassEnd() time.Time { return e.ends }

// DelayedStreams returns the number of streams, at least as urgent as the priority, for which the pause is too long.
func (e *Engine) DelayedStreams(pause time.Duration, priority int) int {
	harmed := 0
	for i := range e.writers {
		w := &e.writers[i]
		if w.MaxEventGap > 0 && pause > w.MaxEventGap && w.Priority <= priority {
			harmed++
		}
	}
	return harmed
}
