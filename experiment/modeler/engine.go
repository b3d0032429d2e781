package modeler

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// chunkTokens is the largest part of a prompt processed in one batch step, in tokens.
const chunkTokens = 512

// engine models a backend server with continuous batching, chunked prompt processing and priorities.
type engine struct {
	declared dragonflypass.BackendServer
	clock    *fake.Clock
	epoch    uint64
	down     bool
	running  bool
	// reserved is set while the server is held back and not used.
	reserved bool
	streams  []*stream
	reports  []dragonflypass.ServerReport
	// serve counts tokens processed or generated for a rank.
	serve func(rank dragonflypass.Rank, tokens int)
}

// stream is one request running at an engine.
type stream struct {
	id       dragonflypass.StreamID
	rank     dragonflypass.Rank
	priority int
	prompt   int
	filled   int
	output   int
	// reserved is the memory the stream may need at most, in tokens.
	reserved int
	made     int
	// first, end and broken are called for the first token, the end and the engine's death.
	first  func()
	end    func()
	broken func()
}

func (e *engine) start(s *stream) {
	e.streams = append(e.streams, s)
	slices.SortStableFunc(e.streams, func(a, b *stream) int { return cmp.Compare(a.priority, b.priority) })
	if !e.running {
		e.running = true
		e.clock.After(0, e.step)
	}
}

func (e *engine) cancel(s *stream) {
	e.streams = slices.DeleteFunc(e.streams, func(other *stream) bool { return other == s })
}

// step starts a batch step; its tokens are there at its end.
func (e *engine) step() {
	if len(e.streams) == 0 || e.down {
		e.running = false
		return
	}
	span := time.Duration(0)
	left := chunkTokens
	for _, s := range e.streams {
		if s.filled < s.prompt && left > 0 {
			chunk := min(left, s.prompt-s.filled)
			s.filled += chunk
			left -= chunk
			e.serve(s.rank, chunk)
		}
	}
	span = time.Duration(float64(chunkTokens-left) / e.declared.PrefillRate * float64(time.Second))
	span = max(span, time.Duration(float64(time.Second)/e.declared.DecodeRate))
	batch := slices.Clone(e.streams)
	epoch := e.epoch
	e.clock.After(span, func() { e.finish(batch, epoch) })
}

// finish gives each stream whose prompt is processed its token and starts the next step.
func (e *engine) finish(batch []*stream, epoch uint64) {
	if e.down || e.epoch != epoch {
		return
	}
	for _, s := range batch {
		if s.filled < s.prompt || !slices.Contains(e.streams, s) {
			continue
		}
		s.made++
		e.serve(s.rank, 1)
		if s.made == 1 {
			s.first()
		}
		if s.made >= s.output {
			e.cancel(s)
			s.end()
		}
	}
	e.step()
}

func (e *engine) die() {
	e.down = true
	broken := e.streams
	e.streams = nil
	e.running = false
	e.reports = nil
	for _, s := range broken {
		s.broken()
	}
}

func (e *engine) revive() {
	e.down = false
	e.epoch++
}

// report returns the engine's state of the lag ago.
func (e *engine) report(lag time.Duration) dragonflypass.ServerReport {
	now := e.clock.Now()
	report := dragonflypass.ServerReport{Server: e.declared.ID, Epoch: e.epoch, At: now}
	for _, s := range e.streams {
		report.Used += s.reserved
		report.Streams = append(report.Streams, dragonflypass.StreamReport{Stream: s.id, Tokens: s.reserved, Prefilled: s.filled >= s.prompt})
	}
	e.reports = append(e.reports, report)
	for len(e.reports) > 1 && now.Sub(e.reports[1].At) >= lag {
		e.reports = e.reports[1:]
	}
	return e.reports[0]
}
