package predictor

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Backlog summarizes the pending work of a server, to predict when an additional part would have been processed.
type Backlog struct {
	costModel *dragonflypass.EngineCostModel
	slowdown  float64
	// start is the end of the pass in progress, or the time of the summary if the server is idle.
	start time.Time
	// queue is the total size of the parts that remain to be processed after start.
	queue prefillSum
	// passTime is the time of a pass with all streams of the server generating, excluding prompt processing.
	passTime time.Duration
	// decoding is set if streams generate at start. nextDecode is the time at which the next stream starts to generate,
	// zero if there is none.
	decoding      bool
	nextDecode    time.Time
	eventGapLimit time.Duration
}

// prefillSum is the total size of several prefill tasks.
type prefillSum struct {
	tokens   float64
	duration time.Duration
}

func (s *prefillSum) add(tokens float64, duration time.Duration) {
	s.tokens += tokens
	s.duration += duration
}

// passes returns the number of passes that process the tasks, if each pass takes at most capacity tokens.
func (s prefillSum) passes(capacity float64) int { return int(s.tokens/capacity) + 1 }

// fillPasses returns the prompt tokens and the processing time of the given number of passes, which complete the tasks
// of upTo. The tasks of s are queued behind them and fill the remaining capacity of the last pass, which delays its end
// and so the completion of upTo.
func (s prefillSum) fillPasses(upTo prefillSum, passes int, capacity float64) (tokens float64, duration time.Duration) {
	if s.tokens < 1 {
		return upTo.tokens, upTo.duration
	}
	added := min(s.tokens, float64(passes)*capacity-upTo.tokens)
	return upTo.tokens + added, upTo.duration + time.Duration(float64(s.duration)*added/s.tokens)
}

// Forecast is a prediction for an additional part at a server.
type Forecast struct {
	// PrefillEnd is the time at which the part would have been processed.
	PrefillEnd time.Time
	// LongestPass is the duration of the longest pass with generating streams until then, zero if there is none.
	LongestPass time.Duration
}

// Backlog summarizes the pending work at the given time, to which the engine must have been advanced.
func (e *Engine) Backlog(now time.Time) Backlog {
	b := Backlog{costModel: e.CostModel, slowdown: e.Slowdown, start: now}
	if !e.idle() {
		b.start = e.passEnd
	}
	for i := range e.prefills {
		t := e.prefills[i]
		t.processedTokens = max(t.processedTokens, t.plannedTokens)
		if remaining := t.remaining(); remaining >= 1 {
			b.queue.add(remaining, t.prefillTime(e.CostModel, remaining))
		}
	}
	generating, context := 0, 0
	for i := range e.decodes {
		d := &e.decodes[i]
		generating++
		context += d.Context
		if d.MaxEventGap > 0 && (b.eventGapLimit == 0 || d.MaxEventGap < b.eventGapLimit) {
			b.eventGapLimit = d.MaxEventGap
		}
		switch {
		case !d.From.After(b.start):
			b.decoding = true
		case b.nextDecode.IsZero() || d.From.Before(b.nextDecode):
			b.nextDecode = d.From
		}
	}
	b.passTime = time.Duration(b.slowdown * float64(e.CostModel.PassTime(max(1, generating), context)))
	return b
}

// EventGapLimit returns the shortest MaxEventGap of the streams at the server, zero if none has a limit.
func (b *Backlog) EventGapLimit() time.Duration { return b.eventGapLimit }

// PendingUntil returns the time at which the server will have processed the prompts that it has now.
func (b *Backlog) PendingUntil() time.Time {
	return b.start.Add(time.Duration(b.slowdown * float64(b.queue.duration)))
}

// Forecast predicts when an additional part would have been processed.
func (b *Backlog) Forecast(task PrefillTask) Forecast {
	taskTime := task.prefillTime(b.costModel, task.length())
	before, after := b.queue, prefillSum{}
	if task.goesFirst() {
		before, after = after, before
	}
	start := b.start.Add(time.Duration(b.slowdown * float64(before.duration)))
	if !b.decoding && (b.nextDecode.IsZero() || b.nextDecode.After(start)) {
		return b.forecastIdle(task, taskTime, before)
	}
	return b.forecastDecoding(task, taskTime, before, after)
}

// forecastIdle predicts the end of a part at a server without generating streams, which runs single steps.
func (b *Backlog) forecastIdle(task PrefillTask, taskTime time.Duration, before prefillSum) Forecast {
	steps := (before.tokens+task.length())/float64(b.costModel.PrefillChunk) + 1
	duration := before.duration + taskTime + time.Duration(steps*float64(b.costModel.StepTime))
	return Forecast{PrefillEnd: b.start.Add(time.Duration(b.slowdown * float64(duration)))}
}

// forecastDecoding predicts the end of a part at a server with generating streams. A pass ends only after all prompt
// tokens that fit into it have been processed.
func (b *Backlog) forecastDecoding(task PrefillTask, taskTime time.Duration, before, after prefillSum) Forecast {
	capacity := float64(b.costModel.StepsPerPass * b.costModel.PrefillChunk)
	upTo := before
	upTo.add(task.length(), taskTime)
	passes := upTo.passes(capacity)
	tokens, duration := after.fillPasses(upTo, passes, capacity)
	prefillTime := time.Duration(b.slowdown * float64(duration))
	return Forecast{
		PrefillEnd:  b.start.Add(time.Duration(passes)*b.passTime + prefillTime),
		LongestPass: b.passTime + time.Duration(float64(prefillTime)*min(1, capacity/tokens)),
	}
}

// PrefillEnd predicts the time at which the stream's part will have been processed; ok is false if the server has no
// part of the stream.
func (e *Engine) PrefillEnd(stream dragonflypass.StreamID) (at time.Time, ok bool) {
	generating, context := 0, 0
	for i := range e.decodes {
		if !e.decodes[i].From.After(e.passEnd) {
			generating++
			context += e.decodes[i].Context
		}
	}
	// upTo sums up the tasks through the stream's part, and after the tasks behind it.
	var upTo, after prefillSum
	for i := range e.prefills {
		t := e.prefills[i]
		if t.Stream == stream && t.plannedTokens > 0 && t.length()-t.plannedTokens < 1 {
			return e.passEnd, true
		}
		t.processedTokens = max(t.processedTokens, t.plannedTokens)
		remaining := t.remaining()
		if ok {
			after.add(remaining, t.prefillTime(e.CostModel, remaining))
		} else {
			upTo.add(remaining, t.prefillTime(e.CostModel, remaining))
		}
		ok = ok || t.Stream == stream
	}
	if !ok {
		return time.Time{}, false
	}
	duration := upTo.duration
	if capacity := float64(e.CostModel.StepsPerPass * e.CostModel.PrefillChunk); generating > 0 {
		passes := upTo.passes(capacity)
		_, duration = after.fillPasses(upTo, passes, capacity)
		duration += time.Duration(passes) * e.CostModel.PassTime(generating, context)
	} else {
		duration += time.Duration(upTo.tokens / float64(e.CostModel.PrefillChunk) * float64(e.CostModel.StepTime))
	}
	return e.passEnd.Add(time.Duration(e.Slowdown * float64(duration))), true
}
