package modeler

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// chunkTokens is the maximum number of prompt tokens that an engine prefills in one batch step, summed over its streams.
const chunkTokens = 512

// engine models a backend server with continuous batching, chunked prefill and priorities.
type engine struct {
	server dragonflypass.BackendServer
	clock  *fake.Clock
	epoch  uint64
	down   bool
	// stepping is set while a batch step is scheduled or in progress.
	stepping bool
	// spare is set while the server is a spare, which receives no requests.
	spare   bool
	streams []*stream
	reports []dragonflypass.ServerReport
	// countTokens records prefilled or generated tokens under a rank.
	countTokens func(rank dragonflypass.Rank, tokens int)
}

// stream is one request running on an engine.
type stream struct {
	id           dragonflypass.StreamID
	rank         dragonflypass.Rank
	priority     int
	promptTokens int
	prefilled    int
	outputTokens int
	// reservedTokens is the maximum KV cache that the stream can need, in tokens.
	reservedTokens int
	generated      int
	// onFirstToken is called after the first token, onEnd after the last one, and onBroken if the engine stops before the last one.
	onFirstToken func()
	onEnd        func()
	onBroken     func()
}

func (e *engine) start(s *stream) {
	e.streams = append(e.streams, s)
	slices.SortStableFunc(e.streams, func(a, b *stream) int { return cmp.Compare(a.priority, b.priority) })
	if !e.stepping {
		e.stepping = true
		e.clock.After(0, e.step)
	}
}

func (e *engine) cancel(s *stream) {
	e.streams = slices.DeleteFunc(e.streams, func(other *stream) bool { return other == s })
}

// step prefills the next prompt tokens of the streams and schedules finishStep for the end of the batch step.
func (e *engine) step() {
	if len(e.streams) == 0 || e.down {
		e.stepping = false
		return
	}
	duration := time.Duration(0)
	budget := chunkTokens
	for _, s := range e.streams {
		if s.prefilled < s.promptTokens && budget > 0 {
			chunk := min(budget, s.promptTokens-s.prefilled)
			s.prefilled += chunk
			budget -= chunk
			e.countTokens(s.rank, chunk)
		}
	}
	duration = time.Duration(float64(chunkTokens-budget) / e.server.PrefillRate * float64(time.Second))
	duration = max(duration, time.Duration(float64(time.Second)/e.server.DecodeRate))
	batch := slices.Clone(e.streams)
	epoch := e.epoch
	e.clock.After(duration, func() { e.finishStep(batch, epoch) })
}

// finishStep generates a token for each prefilled stream of the batch and starts the next step.
func (e *engine) finishStep(batch []*stream, epoch uint64) {
	if e.down || e.epoch != epoch {
		return
	}
	for _, s := range batch {
		if s.prefilled < s.promptTokens || !slices.Contains(e.streams, s) {
			continue
		}
		s.generated++
		e.countTokens(s.rank, 1)
		if s.generated == 1 {
			s.onFirstToken()
		}
		if s.generated >= s.outputTokens {
			e.cancel(s)
			s.onEnd()
		}
	}
	e.step()
}

func (e *engine) stop() {
	e.down = true
	interrupted := e.streams
	e.streams = nil
	e.stepping = false
	e.reports = nil
	for _, s := range interrupted {
		s.onBroken()
	}
}

func (e *engine) restart() {
	e.down = false
	e.epoch++
}

// report records the current state and returns the newest report that is at least lag old, or else the oldest one.
func (e *engine) report(lag time.Duration) dragonflypass.ServerReport {
	now := e.clock.Now()
	report := dragonflypass.ServerReport{Server: e.server.ID, Epoch: e.epoch, At: now}
	for _, s := range e.streams {
		report.Used += s.reservedTokens
		report.Streams = append(report.Streams, dragonflypass.StreamReport{Stream: s.id, Tokens: s.reservedTokens, Prefilled: s.prefilled >= s.promptTokens})
	}
	e.reports = append(e.reports, report)
	for len(e.reports) > 1 && now.Sub(e.reports[1].At) >= lag {
		e.reports = e.reports[1:]
	}
	return e.reports[0]
}
