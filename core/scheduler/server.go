package scheduler

import (
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// maxPrefillBacklog is the predicted prefill time queued at a server above which it accepts no more prompts.
	maxPrefillBacklog = 50 * time.Millisecond
	// maintenanceMargin is added to the predicted end of a request that must finish before maintenance.
	maintenanceMargin = 2 * time.Second
	// maintenanceLead is the time before a maintenance window in which no request is started.
	maintenanceLead = 5 * time.Second
	// prefillSafetyFactor multiplies the predicted prefill time of a request that must finish before maintenance.
	prefillSafetyFactor = 2
	// decodeSafetyFactor multiplies the predicted decode time of a request that must finish before maintenance.
	decodeSafetyFactor = 1.25
	// longPrefillShare is the share of a server's prefill rate that a long prompt gets alongside short ones.
	longPrefillShare = 0.25
	// boostedLongPrefillShare replaces longPrefillShare while the long prompt's rank is below its minimum share.
	boostedLongPrefillShare = 0.75
	// overdueMargin is how late a prefill may be, in addition to half of Lag, before its server accepts no more short prompts.
	overdueMargin = 300 * time.Millisecond
	// rateHalfLife is the half-life of granted prompt tokens in the observed rate.
	rateHalfLife = 5 * time.Second
	// minBacklogTime is how long a backlog must last without a break before the observed rate is used.
	minBacklogTime = 5 * time.Second
)

// server holds the accounting of one owned backend server.
type server struct {
	config          dragonflypass.BackendServer
	nextMaintenance time.Time
	// slots is the largest number of concurrent streams.
	slots int
	// models lists the loaded models as reported, empty if the server does not report them.
	models []dragonflypass.ModelID
	// reachable is set while the server's reports can be fetched.
	reachable bool
	epoch     uint64
	// hasReport is set once a report of this epoch has arrived.
	hasReport bool
	// reservedTokens is the memory reserved by the permits, in tokens.
	reservedTokens int
	// streams counts the permits, and suspects those whose request may have crashed a server.
	streams  int
	suspects int
	// prefillEnd holds, for each priority level, the predicted end of the prefill of all granted prompts
	// of that level and of more urgent ones.
	prefillEnd [levelCount]time.Time
	// longPrefillEnd is the predicted end of the prefill of the last granted long prompt.
	longPrefillEnd time.Time
	// longStream is the stream of that prompt, and longRank its rank; both are valid while hasLong is set.
	longStream dragonflypass.StreamID
	hasLong    bool
	longRank   dragonflypass.Rank
	// shortOnly is set if the server accepts no long prompts.
	shortOnly bool
	// overdue is set while the prefill of a short prompt is overdue; the server then accepts no more short prompts.
	overdue bool
}

func (s *server) freeTokens() int { return s.config.KVCapacity - s.reservedTokens }

// hasMoreFree reports whether the server has more free memory than other, which may be nil; identifiers break ties.
func (s *server) hasMoreFree(other *server) bool {
	if other == nil || s.freeTokens() != other.freeTokens() {
		return other == nil || s.freeTokens() > other.freeTokens()
	}
	return s.config.ID < other.config.ID
}

// rankHeadroom is the share of a server's memory and slots that each rank leaves free for more urgent ranks.
var rankHeadroom = [dragonflypass.RankCount]float64{0, 0.05, 0.1}

// hasCapacity reports whether the server has memory and a slot for the request besides the headroom of its rank.
// An empty server also gives out its headroom, since a request that needs it would otherwise never run.
func (s *server) hasCapacity(request *dragonflypass.PermitRequest) bool {
	if s.freeTokens() < request.Tokens() || s.streams >= s.slots {
		return false
	}
	headroom := rankHeadroom[request.Rank]
	if s.freeTokens()-request.Tokens() >= int(headroom*float64(s.config.KVCapacity)) && s.streams < s.slots-int(headroom*float64(s.slots)) {
		return true
	}
	return s.streams == 0
}

// isEligible reports whether the server is up, serves the model and is allowed by the request.
func (s *server) isEligible(request *dragonflypass.PermitRequest) bool {
	if !s.reachable || !s.hasReport || !s.serves(request.Model) {
		return false
	}
	if request.PinnedServer != "" && request.PinnedServer != s.config.ID {
		return false
	}
	return !slices.Contains(request.ExcludedServers, s.config.ID)
}

// serves reports whether the server has the model loaded; a server that does not report its models
// serves those in its configuration.
func (s *server) serves(model dragonflypass.ModelID) bool {
	if len(s.models) == 0 {
		return s.config.Serves(model)
	}
	return slices.Contains(s.models, model)
}

// mayOverlapMaintenance reports whether the request might still run when the server's next maintenance window starts,
// or would start too shortly before it.
func (s *server) mayOverlapMaintenance(request *dragonflypass.PermitRequest, now time.Time) bool {
	if s.nextMaintenance.IsZero() {
		return false
	}
	decodeTime := time.Duration(decodeSafetyFactor * float64(max(s.decodeTime(request.OutputTokens), time.Duration(request.OutputTokens)*request.TimePerToken)))
	end := now.Add(prefillSafetyFactor*s.prefillTime(request.PromptTokens) + decodeTime + maintenanceMargin)
	return now.Add(maintenanceLead).After(s.nextMaintenance) || end.After(s.nextMaintenance)
}

// prefillTime returns the predicted prefill time of a prompt that is alone on the server.
func (s *server) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.config.PrefillRate * float64(time.Second))
}

// decodeTime returns the predicted decode time of an answer.
func (s *server) decodeTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.config.DecodeRate * float64(time.Second))
}

// isLong reports whether the prompt is long; a server prefills only one long prompt at a time.
func isLong(tokens int) bool { return dragonflypass.ClassOf(tokens) >= dragonflypass.ClassLong }

// acceptsPrefill reports whether the server can start the prefill of the request soon enough.
func (s *server) acceptsPrefill(queuedRequest *dragonflypass.QueuedRequest, now time.Time) bool {
	if isLong(queuedRequest.Request.PromptTokens) {
		return !s.hasLong
	}
	return !s.overdue && s.prefillEnd[levelOf(queuedRequest)].Sub(now) <= maxPrefillBacklog
}

// refusesLong reports whether the request is a long prompt and the server accepts only short ones.
// A prompt part that is pinned to the server is accepted.
func (s *server) refusesLong(request *dragonflypass.PermitRequest) bool {
	return s.shortOnly && isLong(request.PromptTokens) && request.PinnedServer == ""
}

// acceptsAnyPrefill reports whether the server can start the prefill of a request of at least one level.
func (s *server) acceptsAnyPrefill(now time.Time) bool {
	return (!s.overdue && s.prefillEnd[0].Sub(now) <= maxPrefillBacklog) || (!s.hasLong && !s.shortOnly)
}

// nextAcceptTime returns when the server will accept short prompts of the next level that it does not accept now,
// zero if it accepts all levels.
func (s *server) nextAcceptTime(now time.Time) time.Time {
	for _, end := range s.prefillEnd {
		if at := end.Add(-maxPrefillBacklog); at.After(now) {
			return at
		}
	}
	return time.Time{}
}

// levelCount is the number of priority levels of the engine; lower levels run first.
const levelCount = dragonflypass.RankCount * dragonflypass.ClassCount

// levelOf returns the request's priority level, by rank and then by length; a boosted request counts as urgent.
//
// Long prompts come after all short ones except bulk; long bulk prompts come last. Short prompts
// leave longPrefillShare of the server's prefill rate to a long prompt.
func levelOf(queuedRequest *dragonflypass.QueuedRequest) int {
	if isLong(queuedRequest.Request.PromptTokens) {
		return longLevel(queuedRequest.Request.Rank)
	}
	rank := queuedRequest.Request.Rank
	if queuedRequest.Boosted {
		rank = dragonflypass.RankUrgent
	}
	return shortLevel(rank, dragonflypass.ClassOf(queuedRequest.Request.PromptTokens))
}

// firstBulkLevel is the level of the shortest prompts of rank bulk.
const firstBulkLevel = int(dragonflypass.RankBulk)*int(dragonflypass.ClassLong) + int(dragonflypass.RankBulk)

func longLevel(rank dragonflypass.Rank) int {
	if rank == dragonflypass.RankBulk {
		return levelCount - 1
	}
	return firstBulkLevel - int(dragonflypass.RankBulk) + int(rank)
}

// shortLevel returns the level of prompts of the rank and of a class that is not long.
func shortLevel(rank dragonflypass.Rank, class dragonflypass.LengthClass) int {
	if rank == dragonflypass.RankBulk {
		return firstBulkLevel + int(class)
	}
	return int(rank)*int(dragonflypass.ClassLong) + int(class)
}

// candidate describes the server for the placement policy.
func (s *server) candidate(queuedRequest *dragonflypass.QueuedRequest, now time.Time) dragonflypass.Candidate {
	return dragonflypass.Candidate{
		Name:     string(s.config.ID),
		Wait:     max(0, s.prefillEnd[levelOf(queuedRequest)].Sub(now)) + s.prefillTime(queuedRequest.Request.PromptTokens),
		InFlight: s.streams,
		Free:     s.freeTokens(),
	}
}

// addRequest accounts for a granted request; belowMinShare reports whether a rank is below its minimum share.
func (s *server) addRequest(queuedRequest *dragonflypass.QueuedRequest, now time.Time, belowMinShare func(dragonflypass.Rank) bool) {
	request := &queuedRequest.Request
	s.reservedTokens += request.Tokens()
	s.streams++
	prefillTime := s.prefillTime(request.PromptTokens)
	if isLong(request.PromptTokens) {
		s.longStream, s.hasLong, s.longRank = request.Stream, true, request.Rank
		s.longPrefillEnd = now.Add(time.Duration(float64(prefillTime) / longPrefillShare))
		for level := longLevel(request.Rank); level < levelCount-1; level++ {
			s.prefillEnd[level] = later(s.prefillEnd[level], now).Add(prefillTime)
		}
		return
	}
	if s.hasLong {
		share := longPrefillShare
		if belowMinShare(s.longRank) {
			share = boostedLongPrefillShare
		}
		prefillTime = time.Duration(float64(prefillTime) / (1 - share))
	}
	for level := levelOf(queuedRequest); level < levelCount; level++ {
		s.prefillEnd[level] = later(s.prefillEnd[level], now).Add(prefillTime)
	}
}

// removeRequest accounts for the end of a request.
func (s *server) removeRequest(stream dragonflypass.StreamID, tokens int) {
	s.reservedTokens -= tokens
	s.streams--
	s.finishPrefill(stream)
}

// finishPrefill records that the stream's prompt has been prefilled.
func (s *server) finishPrefill(stream dragonflypass.StreamID) {
	if s.hasLong && s.longStream == stream {
		s.hasLong = false
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// grantRate measures the rate at which prompt tokens of a model have recently been granted.
type grantRate struct {
	// tokens is the sum of the granted prompt tokens at updatedAt, decaying with rateHalfLife.
	tokens    float64
	updatedAt time.Time
	// backlogSince is the time since which the model has had queued requests without a break.
	backlogSince time.Time
}
