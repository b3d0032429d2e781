package predictor

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Backlog is what a server has before it, from which the end of a further part is predicted.
type Backlog struct {
	law  *dragonflypass.EngineCostModel
	pace float64
	// start is the end of the pass in progress, or the instant asked for when the server is idle.
	start time.Time
	// waiting are the parts that wait for the passes after it.
	waiting queue
	// pass is the time of a pass with the streams that generate, without the processing of prompts.
	pass time.Duration
	// writes is set when streams generate at the start, and from is the instant at which the next
	// stream begins to generate, zero for none.
	writes bool
	from   time.Time
	pause  time.Duration
}

// queue sums waiting parts up.
type queue struct {
	tokens float64
	span   time.Duration
}

func (q *queue) add(tokens float64, span time.Duration) {
	q.tokens += tokens
	q.span += span
}

// passes is the number of passes with room for so many tokens each in which the parts are processed.
func (q queue) passes(room float64) int { return int(q.tokens/room) + 1 }

// fill returns the tokens and the span of the passes in which the parts up to one are processed: the parts after it take
// what room is left in the last pass, at whose end that one is done.
func (q queue) fill(upTo queue, passes int, room float64) (tokens float64, span time.Duration) {
	if q.tokens < 1 {
		return upTo.tokens, upTo.span
	}
	taken := min(q.tokens, float64(passes)*room-upTo.tokens)
	return upTo.tokens + taken, upTo.span + time.Duration(float64(q.span)*taken/q.tokens)
}

// Forecast is what a server would do with a further part.
type Forecast struct {
	// Done is the instant at which the part would have been processed.
	Done time.Time
	// Longest is the longest pass with generating streams until then, zero when there is none.
	Longest time.Duration
}

// Backlog sums up what the server has before it at the instant; the passes are worked out up to then.
func (e *Engine) Backlog(now time.Time) Backlog {
	o := Backlog{law: e.CostModel, pace: e.Slowdown, start: now}
	if !e.idle() {
		o.start = e.ends
	}
	for i := range e.reads {
		r := e.reads[i]
		r.done = max(r.done, r.planned)
		if left := r.left(); left >= 1 {
			o.waiting.add(left, r.span(e.CostModel, left))
		}
	}
	generating, context := 0, 0
	for i := range e.writers {
		w := &e.writers[i]
		generating++
		context += w.Context
		if w.MaxEventGap > 0 && (o.pause == 0 || w.MaxEventGap < o.pause) {
			o.pause = w.MaxEventGap
		}
		switch {
		case !w.From.After(o.start):
			o.writes = true
		case o.from.IsZero() || w.From.Before(o.from):
			o.from = w.From
		}
	}
	o.pass = time.Duration(o.pace * float64(e.CostModel.PassTime(max(1, generating), context)))
	return o
}

// Pause returns the shortest of the longest pauses that the streams at the server allow, zero for none.
func (o *Backlog) Pause() time.Duration { return o.pause }

// Forecast predicts the end of a further part.
func (o *Backlog) Forecast(read PrefillTask) Forecast {
	own := read.span(o.law, read.length())
	before, after := o.waiting, queue{}
	if read.ahead() {
		before, after = after, before
	}
	begins := o.start.Add(time.Duration(o.pace * float64(before.span)))
	if !o.writes && (o.from.IsZero() || o.from.After(begins)) {
		return o.alone(read, own, before)
	}
	return o.among(read, own, before, after)
}

// alone forecasts a part at a server without generating streams, which works in single steps.
func (o *Backlog) alone(read PrefillTask, own time.Duration, before queue) Forecast {
	steps := (before.tokens+read.length())/float64(o.law.PrefillChunk) + 1
	span := before.span + own + time.Duration(steps*float64(o.law.StepTime))
	return Forecast{Done: o.start.Add(time.Duration(o.pace * float64(span)))}
}

// among forecasts a part among generating streams: all that fits into a pass is processed within it.
func (o *Backlog) among(read PrefillTask, own time.Duration, before, after queue) Forecast {
	room := float64(o.law.StepsPerPass * o.law.PrefillChunk)
	upTo := before
	upTo.add(read.length(), own)
	passes := upTo.passes(room)
	tokens, span := after.fill(upTo, passes, room)
	reading := time.Duration(o.pace * float64(span))
	return Forecast{
		Done:    o.start.Add(time.Duration(passes)*o.pass + reading),
		Longest: o.pass + time.Duration(float64(reading)*min(1, room/tokens)),
	}
}

// PrefillEnd predicts the instant at which the stream's part will be processed; ok is false when it does not wait here.
func (e *Engine) PrefillEnd(stream dragonflypass.StreamID) (at time.Time, ok bool) {
	generating, context := 0, 0
	for i := range e.writers {
		if !e.writers[i].From.After(e.ends) {
			generating++
			context += e.writers[i].Context
		}
	}
	// upTo is what is processed up to the end of the part, and after what follows it.
	var upTo, after queue
	for i := range e.reads {
		r := e.reads[i]
		if r.Stream == stream && r.planned > 0 && r.length()-r.planned < 1 {
			return e.ends, true
		}
		r.done = max(r.done, r.planned)
		left := r.left()
		if ok {
			after.add(left, r.span(e.CostModel, left))
		} else {
			upTo.add(left, r.span(e.CostModel, left))
		}
		ok = ok || r.Stream == stream
	}
	if !ok {
		return time.Time{}, false
	}
	span := upTo.span
	if room := float64(e.CostModel.StepsPerPass * e.CostModel.PrefillChunk); generating > 0 {
		passes := upTo.passes(room)
		_, span = after.fill(upTo, passes, room)
		span += time.Duration(passes) * e.CostModel.PassTime(generating, context)
	} else {
		span += time.Duration(upTo.tokens / float64(e.CostModel.PrefillChunk) * float64(e.CostModel.StepTime))
	}
	return e.ends.Add(time.Duration(e.Slowdown * float64(span))), true
}
