package predictor

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// forecastLimit bounds the passes that one forecast works out.
const forecastLimit = 4096

// Forecast is what a server would do with a further part.
type Forecast struct {
	// Done is the instant at which the part would have been processed.
	Done time.Time
	// Longest is the longest pass with generating streams until then.
	Longest time.Duration
}

// Forecaster makes forecasts; it keeps the memory that they need, and is used by one goroutine at a time.
type Forecaster struct {
	scratch Engine
}

// Forecast predicts what the server would do with the part, given to it at the instant.
func (f *Forecaster) Forecast(e *Engine, read Read, at time.Time) Forecast {
	c := &f.scratch
	reads, planned := append(c.reads[:0], e.reads...), append(c.planned[:0], e.planned...)
	*c = *e
	// The generating streams stay the same in a forecast and are not copied.
	c.reads, c.planned = reads, planned
	c.Advance(at)
	c.Add(read, at)
	result := Forecast{Done: at}
	for range forecastLimit {
		if c.ends.IsZero() || !c.Reading(read.Stream) {
			break
		}
		if c.long {
			result.Longest = max(result.Longest, c.ends.Sub(c.began))
		}
		result.Done = c.ends
		c.begin(c.end())
	}
	c.writers = nil
	return result
}

// Backlog returns the time for what waits to be processed, without the steps of generating streams.
func (e *Engine) Backlog() time.Duration {
	total := time.Duration(0)
	for i := range e.reads {
		total += e.reads[i].span(e.Law, e.reads[i].left())
	}
	return time.Duration(e.Pace * float64(total))
}

// Pause returns the shortest of the longest pauses that the streams at the server allow, zero for none.
func (e *Engine) Pause() time.Duration {
	shortest := time.Duration(0)
	for i := range e.writers {
		if p := e.writers[i].Pause; p > 0 && (shortest == 0 || p < shortest) {
			shortest = p
		}
	}
	return shortest
}

// Writers returns the number of streams that generate or are about to.
func (e *Engine) Writers() int { return len(e.writers) }

// Ends returns the instant at which the pass in progress ends, zero while the server is idle.
func (e *Engine) Ends() time.Time { return e.ends }

// Part returns the part of a prompt that one of several servers processes.
func Part(stream dragonflypass.StreamID, tokens, parts int, helped bool) Read {
	return Read{Stream: stream, Tokens: tokens, Parts: parts, Helped: helped}
}
