package predictor

import (
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// pairsUnit is the number of token pairs to which EngineCostModel.PairTime applies.
const pairsUnit = 1e6

// PrefillTask is a prompt, or a part of one, that a server has to process.
type PrefillTask struct {
	Stream dragonflypass.StreamID
	// Tokens is the length of the whole prompt, and Parts the number of equal parts in which it is processed.
	Tokens int
	Parts  int
	// processedTokens is the number of tokens of the part that were processed before the pass in progress.
	// plannedTokens is the number that will have been processed at its end, zero if it does not process the part.
	processedTokens float64
	plannedTokens   float64
}

// goesFirst reports whether the task is put before all queued tasks, as the parts of a split prompt are; whole prompts
// are processed in the order of their arrival.
func (t *PrefillTask) goesFirst() bool { return t.Parts > 1 }

// length returns the number of tokens of the part, at least one.
func (t *PrefillTask) length() float64 { return max(1, float64(t.Tokens)/float64(t.Parts)) }

// remaining returns the number of tokens still to be processed.
func (t *PrefillTask) remaining() float64 { return t.length() - t.processedTokens }

// prefillTime returns the time for the next tokens of the part, excluding the step times.
func (t *PrefillTask) prefillTime(costModel *dragonflypass.EngineCostModel, tokens float64) time.Duration {
	// The token pairs of a split prompt are spread evenly over the tokens of its parts.
	pairs := tokens * float64(t.Tokens) / 2
	if t.Parts == 1 {
		pairs = tokens * (t.processedTokens + tokens/2)
	}
	return time.Duration(tokens/costModel.PrefillRate*float64(time.Second) + pairs/pairsUnit*float64(costModel.PairTime))
}

// DecodeTask is a stream that generates its answer.
type DecodeTask struct {
	Stream dragonflypass.StreamID
	// Context is the number of tokens of the stream's context.
	Context int
	// MaxEventGap is the longest acceptable time between two events, zero for no limit.
	MaxEventGap time.Duration
	// Priority is the priority of the stream, lower values first.
	Priority int
	// From is the time at which the stream starts to generate.
	From time.Time
}

// Engine is the predicted state of one model server.
type Engine struct {
	CostModel *dragonflypass.EngineCostModel
	// Slowdown is the factor by which the server is slower than its cost model, 1 if it is not.
	Slowdown float64

	prefills []PrefillTask
	decodes  []DecodeTask
	// passStart and passEnd are the start and the end of the pass in progress. While the server is idle, passEnd is the
	// time at which the next stream starts to generate, zero if there is none.
	passStart time.Time
	passEnd   time.Time
	// decoding is set if streams generate in the pass in progress.
	decoding bool
	// decodePasses is the number of passes with generating streams that have ended.
	decodePasses int
}

// New returns the engine of an idle server.
func New(costModel *dragonflypass.EngineCostModel) *Engine {
	return &Engine{CostModel: costModel, Slowdown: 1}
}

// AddPrefill adds a prompt or a part that arrives at the given time.
func (e *Engine) AddPrefill(task PrefillTask, now time.Time) {
	e.Advance(now)
	if task.goesFirst() {
		e.prefills = slices.Insert(e.prefills, 0, task)
	} else {
		e.prefills = append(e.prefills, task)
	}
	if e.idle() {
		e.startPass(now)
	}
}

// idle reports whether no pass is in progress; streams may still start to generate later.
func (e *Engine) idle() bool {
	return !e.decoding && !slices.ContainsFunc(e.prefills, func(t PrefillTask) bool { return t.plannedTokens > 0 })
}

// AddDecode adds a stream, or replaces its earlier task.
func (e *Engine) AddDecode(task DecodeTask, now time.Time) {
	e.Advance(now)
	e.RemoveDecode(task.Stream)
	e.decodes = append(e.decodes, task)
	if e.idle() {
		e.startPass(now)
	}
}

// DelayDecode changes the time at which a stream starts to generate.
func (e *Engine) DelayDecode(stream dragonflypass.StreamID, from time.Time) {
	for i := range e.decodes {
		if e.decodes[i].Stream == stream {
			e.decodes[i].From = from
		}
	}
}

// RemoveDecode removes the decode task of a stream.
func (e *Engine) RemoveDecode(stream dragonflypass.StreamID) {
	e.decodes = slices.DeleteFunc(e.decodes, func(d DecodeTask) bool { return d.Stream == stream })
}

// Remove removes the decode and prefill tasks of a stream.
func (e *Engine) Remove(stream dragonflypass.StreamID) {
	e.RemoveDecode(stream)
	e.FinishPrefill(stream)
}

// FinishPrefill removes the prefill task of a stream, for example if it ended earlier than predicted.
func (e *Engine) FinishPrefill(stream dragonflypass.StreamID) {
	e.prefills = slices.DeleteFunc(e.prefills, func(t PrefillTask) bool { return t.Stream == stream })
}

// TrimPrefill shortens the prefill task of a stream so that the rest takes at most the limit.
func (e *Engine) TrimPrefill(stream dragonflypass.StreamID, limit time.Duration) {
	for i := range e.prefills {
		t := &e.prefills[i]
		if duration := t.prefillTime(e.CostModel, t.remaining()); t.Stream == stream && duration > limit {
			t.processedTokens = t.length() - t.remaining()*float64(limit)/float64(duration)
			if t.plannedTokens > 0 {
				t.plannedTokens = max(t.plannedTokens, t.processedTokens)
			}
		}
	}
}

// Prefilling reports whether a prefill task of the stream is queued or in progress.
func (e *Engine) Prefilling(stream dragonflypass.StreamID) bool {
	return slices.ContainsFunc(e.prefills, func(t PrefillTask) bool { return t.Stream == stream })
}

// Advance simulates the passes that end by the given time.
func (e *Engine) Advance(now time.Time) {
	for !e.passEnd.IsZero() && !e.passEnd.After(now) {
		e.startPass(e.endPass())
	}
}

// FinishPass ends the pass in progress and starts the next one. It returns the streams that generated in the finished
// pass, and those whose part is now processed.
func (e *Engine) FinishPass() (generated, processed []dragonflypass.StreamID) {
	if e.decoding {
		for i := range e.decodes {
			if !e.decodes[i].From.After(e.passStart) {
				generated = append(generated, e.decodes[i].Stream)
			}
		}
	}
	for i := range e.prefills {
		if t := &e.prefills[i]; t.plannedTokens > 0 && t.length()-t.plannedTokens < 1 {
			processed = append(processed, t.Stream)
		}
	}
	e.startPass(e.endPass())
	return generated, processed
}

// endPass completes the pass in progress and returns the time of its end.
func (e *Engine) endPass() time.Time {
	if e.decoding {
		e.decodePasses++
	}
	for i := range e.prefills {
		if t := &e.prefills[i]; t.plannedTokens > 0 {
			t.processedTokens, t.plannedTokens = t.plannedTokens, 0
		}
	}
	e.prefills = slices.DeleteFunc(e.prefills, func(t PrefillTask) bool { return t.remaining() < 1 })
	return e.passEnd
}

// startPass plans a pass that starts at the given time.
func (e *Engine) startPass(at time.Time) {
	e.passStart = at
	generating, context := 0, 0
	for i := range e.decodes {
		if !e.decodes[i].From.After(at) {
			generating++
			context += e.decodes[i].Context
		}
	}
	e.decoding = generating > 0
	if !e.decoding && len(e.prefills) == 0 {
		e.passEnd = time.Time{}
		if from, ok := e.nextDecodeStart(); ok {
			e.passEnd = from
		}
		return
	}
	costModel := e.CostModel
	duration, capacity := costModel.StepTime, float64(costModel.PrefillChunk)
	if e.decoding {
		duration, capacity = costModel.PassTime(generating, context), float64(costModel.StepsPerPass*costModel.PrefillChunk)
	}
	for i := range e.prefills {
		if capacity < 1 {
			break
		}
		t := &e.prefills[i]
		tokens := min(capacity, t.remaining())
		duration += t.prefillTime(costModel, tokens)
		capacity -= tokens
		t.plannedTokens = t.processedTokens + tokens
	}
	e.passEnd = at.Add(time.Duration(e.Slowdown * float64(duration)))
}

// nextDecodeStart returns the earliest time at which a stream starts to generate; ok is false if there are no streams.
func (e *Engine) nextDecodeStart() (from time.Time, ok bool) {
	for i := range e.decodes {
		if !ok || e.decodes[i].From.Before(from) {
			from, ok = e.decodes[i].From, true
		}
	}
	return from, ok
}

// PendingTime returns the time to process the pending prompts and parts, excluding the step times.
func (e *Engine) PendingTime() time.Duration {
	total := time.Duration(0)
	for i := range e.prefills {
		t := &e.prefills[i]
		total += t.prefillTime(e.CostModel, t.remaining())
	}
	return time.Duration(e.Slowdown * float64(total))
}

// AlignPass corrects the prediction after a pass was observed to end at the given time. It moves the start or the end of
// the predicted pass to that time, whichever is nearer. It has no effect if the predicted pass has no generating
// streams.
func (e *Engine) AlignPass(at time.Time) {
	if e.passEnd.IsZero() || !e.decoding {
		return
	}
	sinceStart, untilEnd := at.Sub(e.passStart), e.passEnd.Sub(at)
	switch {
	case sinceStart.Abs() <= untilEnd.Abs():
		e.passStart = at
		e.passEnd = e.passEnd.Add(sinceStart)
	case untilEnd > 0:
		e.passEnd = at
	}
}

// DecodePasses returns the number of passes with generating streams that have ended according to the prediction.
func (e *Engine) DecodePasses() int { return e.decodePasses }

// PassEnd returns the end of the pass in progress. While the server is idle, it returns the time at which the next
// stream starts to generate, zero if there is none.
func (e *Engine) PassEnd() time.Time { return e.passEnd }

// DelayedStreams returns the number of streams, of the given priority or a more urgent one, whose MaxEventGap is shorter
// than eventGap.
func (e *Engine) DelayedStreams(eventGap time.Duration, priority int) int {
	delayed := 0
	for i := range e.decodes {
		d := &e.decodes[i]
		if d.MaxEventGap > 0 && eventGap > d.MaxEventGap && d.Priority <= priority {
			delayed++
		}
	}
	return delayed
}
