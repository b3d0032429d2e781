package predictor

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Outlook is what a server has before it, from which the end of a further part is predicted.
type Outlook struct {
	law  *dragonflypass.EngineLaw
	pace float64
	// start is the end of the pass in progress, or the instant asked for when the server is idle.
	start time.Time
	// helped and own are the parts that wait for the passes after it, of prompts that the server
	// helps with and of its own.
	helped, own queue
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

// Forecast is what a server would do with a further part.
type Forecast struct {
	// Done is the instant at which the part would have been processed.
	Done time.Time
	// Longest is the longest pass with generating streams until then, zero when there is none.
	Longest time.Duration
}

// Outlook sums up what the server has before it at the instant; the passes are worked out up to then.
func (e *Engine) Outlook(now time.Time) Outlook {
	o := Outlook{law: e.Law, pace: e.Pace, start: now}
	if !e.idle() {
		o.start = e.ends
	}
	for i := range e.reads {
		r := e.reads[i]
		if i < len(e.planned) {
			r.done = e.planned[i]
		}
		left := r.left()
		if left < 1 {
			continue
		}
		if r.Helped {
			o.helped.add(left, r.span(e.Law, left))
		} else {
			o.own.add(left, r.span(e.Law, left))
		}
	}
	generating, context := 0, 0
	for i := range e.writers {
		w := &e.writers[i]
		generating++
		context += w.Context
		if w.Pause > 0 && (o.pause == 0 || w.Pause < o.pause) {
			o.pause = w.Pause
		}
		switch {
		case !w.From.After(o.start):
			o.writes = true
		case o.from.IsZero() || w.From.Before(o.from):
			o.from = w.From
		}
	}
	o.pass = time.Duration(o.pace * float64(e.Law.Pass(max(1, generating), context)))
	return o
}

// Pause returns the shortest of the longest pauses that the streams at the server allow, zero for none.
func (o *Outlook) Pause() time.Duration { return o.pause }

// Forecast predicts the end of a further part.
func (o *Outlook) Forecast(read Read) Forecast {
	own := read.span(o.law, read.length())
	before, after := o.helped, o.own
	if !read.Helped {
		before.add(o.own.tokens, o.own.span)
		after = queue{}
	}
	begins := o.start.Add(time.Duration(o.pace * float64(before.span)))
	if !o.writes && (o.from.IsZero() || o.from.After(begins)) {
		return o.alone(read, own, before)
	}
	return o.among(read, own, before, after)
}

// alone forecasts a part at a server without generating streams, which works in single steps.
func (o *Outlook) alone(read Read, own time.Duration, before queue) Forecast {
	steps := (before.tokens+read.length())/float64(o.law.Chunk) + 1
	span := before.span + own + time.Duration(steps*float64(o.law.Step))
	return Forecast{Done: o.start.Add(time.Duration(o.pace * float64(span)))}
}

// among forecasts a part among generating streams: all that fits into a pass is processed within it.
func (o *Outlook) among(read Read, own time.Duration, before, after queue) Forecast {
	room := float64(o.law.Stride * o.law.Chunk)
	tokens := before.tokens + read.length()
	span := before.span + own
	if tokens+after.tokens <= room {
		tokens += after.tokens
		span += after.span
	}
	passes := time.Duration(tokens/room) + 1
	reading := time.Duration(o.pace * float64(span))
	return Forecast{
		Done:    o.start.Add(passes*o.pass + reading),
		Longest: o.pass + time.Duration(float64(reading)*min(1, room/tokens)),
	}
}

// Part returns the part of a prompt that one of several servers processes.
func Part(stream dragonflypass.StreamID, tokens, parts int, helped bool) Read {
	return Read{Stream: stream, Tokens: tokens, Parts: parts, Helped: helped}
}
