package scheduler

import (
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// prefillAhead is how much prompt processing may wait at a server before it takes no more.
	prefillAhead = 50 * time.Millisecond
	// closingMargin is added to the predicted end of a request before a window.
	closingMargin = 2 * time.Second
	// closingStop is the time before a window in which nothing is started.
	closingStop = 5 * time.Second
	// prefillSlack multiplies the predicted prompt processing time before a window.
	prefillSlack = 2
	// decodeSlack multiplies the predicted generation time before a window.
	decodeSlack = 1.25
	// longShare is the part of a server's prompt processing left to a long prompt beside short ones.
	longShare = 0.25
	// floorShare is that part while the long prompt's rank is below its floor.
	floorShare = 0.75
	// lateTime is the time after which a prompt that is not processed when predicted shows that its server is behind.
	lateTime = 300 * time.Millisecond
	// rateHalfLife is the time in which prompt tokens once granted count half in the observed rate.
	rateHalfLife = 5 * time.Second
	// rateSettles is the time of unbroken backlog after which the observed rate is used.
	rateSettles = 5 * time.Second
)

// server is the accounting of one owned backend server.
type server struct {
	declared dragonflypass.BackendServer
	closing  time.Time
	slots    int
	// models are the loaded models as reported, none when the server does not say.
	models []dragonflypass.ModelID
	// reachable is set while the server's reports arrive.
	reachable bool
	epoch     uint64
	// reported is set once a report of this epoch has come.
	reported bool
	// reserved is the memory of the live permits in tokens.
	reserved int
	streams  int
	suspects int
	// levels holds, for each level of the engine's priority, the instant at which
	// the prompts of that and all more urgent levels given so far are processed.
	levels [levelCount]time.Time
	// longFree is the instant at which the long prompt given last is predicted to be processed.
	longFree time.Time
	// long is the stream of that prompt while it is being processed.
	long     dragonflypass.StreamID
	hasLong  bool
	longRank dragonflypass.Rank
	// closed is set when the server takes no long prompts.
	closed bool
	// behind is set while the server is late with prompts, so that it is given no more short ones.
	behind bool
}

func (s *server) free() int { return s.declared.KVCapacity - s.reserved }

// freer reports whether the server has more free memory than the other, which may be nil.
func (s *server) freer(other *server) bool {
	if other == nil || s.free() != other.free() {
		return other == nil || s.free() > other.free()
	}
	return s.declared.ID < other.declared.ID
}

// headrooms are the parts of a server's memory and slots that a rank leaves to more urgent ones.
var headrooms = [dragonflypass.RankCount]float64{0, 0.05, 0.1}

// holds reports whether the server has the memory and a slot for the request, beside what its rank leaves free.
// A request that would never fit so has the server when it is empty.
func (s *server) holds(request *dragonflypass.PermitRequest) bool {
	if s.free() < request.Tokens() || s.streams >= s.slots {
		return false
	}
	part := headrooms[request.Rank]
	if s.free()-request.Tokens() >= int(part*float64(s.declared.KVCapacity)) && s.streams < s.slots-int(part*float64(s.slots)) {
		return true
	}
	return s.streams == 0
}

// mayServe reports whether the server is up, runs the model and is not excluded.
func (s *server) mayServe(request *dragonflypass.PermitRequest) bool {
	if !s.reachable || !s.reported || !s.serves(request.Model) {
		return false
	}
	if request.PinnedServer != "" && request.PinnedServer != s.declared.ID {
		return false
	}
	return !slices.Contains(request.ExcludedServers, s.declared.ID)
}

// serves reports whether the server has the model loaded, or is declared to where it does not say.
func (s *server) serves(model dragonflypass.ModelID) bool {
	if len(s.models) == 0 {
		return s.declared.Serves(model)
	}
	return slices.Contains(s.models, model)
}

// closes reports whether the request might not end before the server's next window.
func (s *server) closes(request *dragonflypass.PermitRequest, now time.Time) bool {
	if s.closing.IsZero() {
		return false
	}
	decode := time.Duration(decodeSlack * float64(max(s.decode(request.OutputTokens), time.Duration(request.OutputTokens)*request.TimePerToken)))
	end := now.Add(prefillSlack*s.prefill(request.PromptTokens) + decode + closingMargin)
	return now.Add(closingStop).After(s.closing) || end.After(s.closing)
}

// prefill is the predicted processing time of a prompt alone on the server.
func (s *server) prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.declared.PrefillRate * float64(time.Second))
}

// decode is the predicted generation time of an answer.
func (s *server) decode(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.declared.DecodeRate * float64(time.Second))
}

// isLong reports whether the prompt counts as long, of which a server processes one at a time.
func isLong(tokens int) bool { return dragonflypass.ClassOf(tokens) >= dragonflypass.ClassLong }

// open reports whether the server's prompt processing has room for the request.
func (s *server) open(w *dragonflypass.QueuedRequest, now time.Time) bool {
	if isLong(w.Request.PromptTokens) {
		return !s.hasLong
	}
	return !s.behind && s.levels[levelOf(w)].Sub(now) <= prefillAhead
}

// refusesLong reports whether the request is a long prompt at a server that takes none; a group's parts it takes.
func (s *server) refusesLong(request *dragonflypass.PermitRequest) bool {
	return s.closed && isLong(request.PromptTokens) && request.PinnedServer == ""
}

// takesAny reports whether the server's prompt processing has room for a request of some level.
func (s *server) takesAny(now time.Time) bool {
	return (!s.behind && s.levels[0].Sub(now) <= prefillAhead) || (!s.hasLong && !s.closed)
}

// opens returns the next instant at which the server has room for a short prompt of some level, zero when it has for all.
func (s *server) opens(now time.Time) time.Time {
	for _, free := range s.levels {
		if at := free.Add(-prefillAhead); at.After(now) {
			return at
		}
	}
	return time.Time{}
}

// levelCount is the number of levels of the engine's priority, lower ones running first.
const levelCount = dragonflypass.RankCount * dragonflypass.ClassCount

// levelOf is the request's level: by rank, then by length; one lifted to keep its rank's floor counts as urgent.
// Long prompts come after all others but those of the least urgent rank, which leave them longShare of the server.
func levelOf(w *dragonflypass.QueuedRequest) int {
	if isLong(w.Request.PromptTokens) {
		return longLevel(w.Request.Rank)
	}
	rank := w.Request.Rank
	if w.Boosted {
		rank = dragonflypass.RankUrgent
	}
	return levelAt(rank, dragonflypass.ClassOf(w.Request.PromptTokens))
}

// firstBulk is the level of the shortest prompts of the least urgent rank.
const firstBulk = int(dragonflypass.RankBulk)*int(dragonflypass.ClassLong) + int(dragonflypass.RankBulk)

func longLevel(rank dragonflypass.Rank) int {
	if rank == dragonflypass.RankBulk {
		return levelCount - 1
	}
	return firstBulk - int(dragonflypass.RankBulk) + int(rank)
}

// levelAt is the level of prompts of the rank and of a class that is not long.
func levelAt(rank dragonflypass.Rank, class dragonflypass.LengthClass) int {
	if rank == dragonflypass.RankBulk {
		return firstBulk + int(class)
	}
	return int(rank)*int(dragonflypass.ClassLong) + int(class)
}

// candidate describes the server to the placement policy.
func (s *server) candidate(w *dragonflypass.QueuedRequest, now time.Time) dragonflypass.Candidate {
	return dragonflypass.Candidate{
		Name:     string(s.declared.ID),
		Wait:     max(0, s.levels[levelOf(w)].Sub(now)) + s.prefill(w.Request.PromptTokens),
		InFlight: s.streams,
		Free:     s.free(),
	}
}

// start accounts for a granted request; below reports whether a rank is below its floor.
func (s *server) start(w *dragonflypass.QueuedRequest, now time.Time, below func(dragonflypass.Rank) bool) {
	request := &w.Request
	s.reserved += request.Tokens()
	s.streams++
	span := s.prefill(request.PromptTokens)
	if isLong(request.PromptTokens) {
		s.long, s.hasLong, s.longRank = request.Stream, true, request.Rank
		s.longFree = now.Add(time.Duration(float64(span) / longShare))
		for level := longLevel(request.Rank); level < levelCount-1; level++ {
			s.levels[level] = later(s.levels[level], now).Add(span)
		}
		return
	}
	if s.hasLong {
		share := longShare
		if below(s.longRank) {
			share = floorShare
		}
		span = time.Duration(float64(span) / (1 - share))
	}
	for level := levelOf(w); level < levelCount; level++ {
		s.levels[level] = later(s.levels[level], now).Add(span)
	}
}

// stop accounts for the end of a request.
func (s *server) stop(stream dragonflypass.StreamID, tokens int) {
	s.reserved -= tokens
	s.streams--
	s.prefilled(stream)
}

// prefilled notes that the stream's prompt has been processed.
func (s *server) prefilled(stream dragonflypass.StreamID) {
	if s.hasLong && s.long == stream {
		s.hasLong = false
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// rate is the prompt tokens a second that a model's servers were given lately.
type rate struct {
	granted float64
	at      time.Time
	// backlog is the instant since which requests have been waiting without a break.
	backlog time.Time
}
