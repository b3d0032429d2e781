package allocator

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/predictor"
)

const (
	// pauseMargin is kept between a predicted pause and the longest one on time.
	pauseMargin = 30 * time.Millisecond
	// shortPart is the longest part of a prompt, by its processing time, for which it counts as short.
	shortPart = 80 * time.Millisecond
	// partCost is added for each further part, in time, for each makes the prompt depend on one more server.
	partCost = 20 * time.Millisecond
	// comfort is the part of the time to its target within which a short prompt need not be processed sooner.
	comfort = 0.5
	// strayCost is added, in time, for a server that is kept for prompts of the other length.
	strayCost = 40 * time.Millisecond
	// strayTime is the processing time of a long prompt at a server kept for short ones that makes one of them late.
	strayTime = 300 * time.Millisecond
	// startWait is the longest wait at the servers for which a long prompt is granted its permit ahead.
	startWait = 200 * time.Millisecond
	// forceWait is the longest wait of a short prompt for servers at which it disturbs nobody.
	forceWait = 60 * time.Millisecond
	// harmLimit is the number of streams that may pause for too long so that a short prompt is not held up.
	harmLimit = 1
	// slackMargin is kept between the latest start of a long prompt and its target.
	slackMargin = 300 * time.Millisecond
	// longTries is the number of waiting long prompts that are looked at in one go.
	longTries = 16
	// wakeAfter is the time between two looks at requests that wait.
	wakeAfter = 15 * time.Millisecond
	// lateWorth is what a long prompt that is late counts, as a part of one that is on time.
	lateWorth = 0.4
	// writerCost is added, in time, for a first server of a long prompt at which no long one generates yet.
	writerCost = 200 * time.Millisecond
	// oversizePart is the part of a server's memory from which a prompt is spread over several.
	oversizePart = 0.9
	// blockPart is the longest time for which one prompt may occupy its servers while others wait, as a part of the
	// time to its target when it came: beyond that more worth is lost by those behind it.
	blockPart = 0.6
	// shortAnswer is the part of its expected length that an answer has at least, for deciding whether one can end in time.
	shortAnswer = 0.5
	// memoryMargin is the memory in tokens that is left free beside a reservation.
	memoryMargin = 4000
	// partsLimit is the largest number of servers that process one prompt.
	partsLimit = 17
)

// choice is a placement of a prompt.
type choice struct {
	server  *server
	helpers []*server
	// done is the predicted instant of the first token.
	done time.Time
	// cost compares choices; lower is better.
	cost time.Duration
	// harmed is the number of streams, at least as urgent, that are predicted to pause for too long.
	harmed float64
	// reserved is the memory in tokens to be set aside at each helper.
	reserved []int
	// worth is what the choice of a long prompt earns, as a part of one that is on time.
	worth float64
}

// option is a server with its forecast for a part.
type option struct {
	server *server
	done   time.Time
	cost   time.Duration
	// wait is the time before the part is processed.
	wait time.Duration
	// harmed is the number of streams at the server, at least as urgent, that would pause for too long or
	// are expected to begin late.
	harmed float64
}

// short reports whether the prompt can be processed among short ones.
func (c *cell) short(w *waiting) bool {
	parts := min(c.kept, partsLimit)
	return w.reading <= time.Duration(parts)*shortPart && fitsPause(c.law, w, parts)
}

// fitsPause reports whether a part of the prompt may be processed within one of its own pauses.
func fitsPause(law *dragonflypass.EngineCostModel, w *waiting, parts int) bool {
	pause := w.request.MaxEventGap
	return pause == 0 || w.reading/time.Duration(parts)+law.PassTime(1, 0)+pauseMargin <= pause
}

// dispatch grants what can be granted now; it is called with the mutex held.
func (a *Allocator) dispatch(c *cell, now time.Time) (answers []answer) {
	if len(c.waiting) == 0 {
		return nil
	}
	arrival := now.Add(transit)
	for _, s := range c.ranked {
		s.engine.Advance(arrival)
		s.outlook = s.engine.Backlog(arrival)
	}
	c.resize(now)
	c.order(now)
	tries := longTries
	rest := c.waiting[:0]
	for _, w := range c.waiting {
		given, ok := a.try(c, w, &tries, now)
		if !ok {
			rest = append(rest, w)
			continue
		}
		answers = append(answers, given)
	}
	clear(c.waiting[len(rest):])
	c.waiting = rest
	a.wakeLater(c, now)
	return answers
}

// order sorts the waiting requests: short prompts first, then those with the least slack.
func (c *cell) order(now time.Time) {
	slices.SortStableFunc(c.waiting, func(x, y *waiting) int {
		return cmp.Or(cmp.Compare(c.class(x, now), c.class(y, now)), c.latest(x).Compare(c.latest(y)))
	})
}

// The classes of waiting requests, in the order in which they are served.
const (
	classShort = iota
	// classDue prompts can still be on time.
	classDue
	// classLate prompts cannot.
	classLate
)

func (c *cell) class(w *waiting, now time.Time) int {
	switch {
	case c.short(w):
		return classShort
	case c.latest(w).After(now):
		return classDue
	}
	return classLate
}

// latest is the instant after which a long prompt cannot have its first token on time.
func (c *cell) latest(w *waiting) time.Time {
	parts := max(1, min(len(c.ranked)-c.kept, partsLimit))
	return w.request.FirstTokenDeadline.Add(-w.reading / time.Duration(parts))
}

// try grants the request its permit, or refuses it, or leaves it waiting; tries counts the long prompts that may still be
// looked at.
func (a *Allocator) try(c *cell, w *waiting, tries *int, now time.Time) (answer, bool) {
	usable := a.usable(c, w)
	if len(usable) == 0 {
		return answer{waiting: w, err: dragonflypass.Refuse(dragonflypass.ReasonNoServer, soonRetry, "no server of the service can run the request")}, true
	}
	if now.Add(w.reading/time.Duration(min(len(usable), partsLimit)) + c.writing(w)).After(w.request.Deadline) {
		return answer{waiting: w, err: dragonflypass.Refuse(dragonflypass.ReasonTimeout, 0, "no server can end the request by its deadline")}, true
	}
	short := c.short(w)
	if !short && (*tries == 0 || now.Before(c.calm)) {
		return answer{}, false
	}
	best, ok := c.best(w, usable, short, now)
	if !ok || best.done.Add(c.writing(w)).After(w.request.Deadline) || !a.acceptable(c, w, best, short, now) {
		if !short {
			*tries--
		}
		return answer{}, false
	}
	return answer{waiting: w, permit: a.grant(c, w, best, now)}, true
}

// acceptable reports whether to grant the choice rather than to wait for a better one.
func (a *Allocator) acceptable(c *cell, w *waiting, best choice, short bool, now time.Time) bool {
	if short {
		return best.harmed == 0 || (best.harmed <= harmLimit && now.Sub(w.since) >= forceWait)
	}
	if c.blocks(w, 1+len(best.helpers)) && c.holdsUp(w) {
		return false
	}
	return best.harmed == 0 || (best.worth > 0 && c.pressed(w, now))
}

// writing is the least time to be counted on for the generation of the answer once the prompt is processed.
func (c *cell) writing(w *waiting) time.Duration {
	tokens := c.answerTokens(w)
	if hint := w.request.ExpectedTokens; hint > 0 {
		tokens = min(tokens, hint)
	}
	return time.Duration(shortAnswer * float64(tokens) * float64(c.law.StepTime))
}

// blocks reports whether the prompt would occupy so many servers for longer than those behind it can wait. One that
// was late when it came, as the rest of a broken answer is, never does.
func (c *cell) blocks(w *waiting, parts int) bool {
	left := w.request.FirstTokenDeadline.Sub(w.since)
	return left > 0 && w.reading/time.Duration(parts) > time.Duration(blockPart*float64(left))
}

// holdsUp reports whether shorter prompts wait, so that the shortest one that waits is never blocked.
func (c *cell) holdsUp(w *waiting) bool {
	return slices.ContainsFunc(c.waiting, func(other *waiting) bool { return other.reading < w.reading })
}

// pressed reports whether a long prompt has no time left to wait for servers at which it disturbs nobody.
func (c *cell) pressed(w *waiting, now time.Time) bool {
	return c.class(w, now) == classDue && c.latest(w).Sub(now) < slackMargin
}

// value weighs a choice for a long prompt: what it earns, less what the streams that pause for too long lose.
func (c *cell) value(w *waiting, chosen choice) float64 {
	earned := lateWorth
	if !chosen.done.After(w.request.FirstTokenDeadline) {
		earned = 1
	}
	return earned - (1-lateWorth)*chosen.harmed
}

// usable returns the servers that may have a part in the request; it is called with the mutex held.
func (a *Allocator) usable(c *cell, w *waiting) []*server {
	var sound, all []*server
	for _, s := range c.ranked {
		if slices.Contains(w.request.ExcludedServers, s.entry.ID) {
			continue
		}
		all = append(all, s)
		if a.Assessor.Healthy(s.entry.ID) {
			sound = append(sound, s)
		}
	}
	if len(sound) == 0 {
		return all
	}
	return sound
}

// partCounts are the numbers of parts that are weighed.
var partCounts = []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 14, 17}

// best weighs the numbers of parts and returns the cheapest choice.
func (c *cell) best(w *waiting, usable []*server, short bool, now time.Time) (best choice, ok bool) {
	for _, parts := range partCounts {
		if parts > len(usable) {
			break
		}
		candidate, found := c.split(w, usable, parts, short, now)
		if !found {
			continue
		}
		if !ok || c.better(w, &candidate, &best, short) {
			best, ok = candidate, true
		}
	}
	return best, ok
}

// better compares two choices.
func (c *cell) better(w *waiting, x, y *choice, short bool) bool {
	if short {
		return x.harmed < y.harmed || (x.harmed == y.harmed && x.cost < y.cost)
	}
	x.worth, y.worth = c.value(w, *x), c.value(w, *y)
	return x.worth > y.worth || (x.worth == y.worth && x.cost < y.cost)
}

// split returns the cheapest choice of servers for the number of parts.
func (c *cell) split(w *waiting, usable []*server, parts int, short bool, now time.Time) (choice, bool) {
	options := c.options[:0]
	pressed := short || c.pressed(w, now)
	for _, s := range usable {
		o := c.weigh(w, s, parts, short, now)
		// A long prompt does not queue at the servers, so that the order can still change.
		if pressed || o.wait <= startWait {
			options = append(options, o)
		}
	}
	slices.SortStableFunc(options, func(x, y option) int {
		return cmp.Or(cmp.Compare(x.harmed, y.harmed), cmp.Compare(x.cost, y.cost), x.done.Compare(y.done))
	})
	c.options = options
	if len(options) < parts {
		return choice{}, false
	}
	first := c.first(w, options, parts, short)
	if first < 0 {
		return choice{}, false
	}
	chosen := choice{server: options[first].server, done: options[first].done, cost: options[first].cost, harmed: options[first].harmed}
	for i, o := range options {
		if len(chosen.helpers) == parts-1 {
			break
		}
		if i == first {
			continue
		}
		chosen.helpers = append(chosen.helpers, o.server)
		chosen.harmed += o.harmed
		chosen.cost = max(chosen.cost, o.cost)
		if o.done.After(chosen.done) {
			chosen.done = o.done
		}
	}
	if !c.reserve(w, &chosen) {
		return choice{}, false
	}
	chosen.cost += time.Duration(parts) * partCost
	chosen.worth = c.value(w, chosen)
	return chosen, true
}

// first returns the index of the option whose server generates the answer, negative when none can: of those that
// harm least the cheapest, where a long prompt costs more at a server without another one's stream.
func (c *cell) first(w *waiting, options []option, parts int, short bool) int {
	best := -1
	var lowest time.Duration
	for i, o := range options {
		if !c.holds(w, o.server, parts) {
			continue
		}
		if best >= 0 && o.harmed > options[best].harmed {
			break
		}
		cost := o.cost
		if !short && o.server.outlook.EventGapLimit() == 0 {
			cost += writerCost
		}
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// holds reports whether the server has a slot and the memory for the whole request, or for a part of one that
// is larger than any server's memory.
func (c *cell) holds(w *waiting, s *server, parts int) bool {
	if s.streams >= c.law.Slots {
		return false
	}
	tokens := c.tokens(w)
	if c.oversize(tokens) && parts > 1 {
		return s.free(c.law) >= c.law.KVCapacity/2
	}
	return s.free(c.law) >= tokens
}

// oversize reports whether no single server is to hold so many tokens.
func (c *cell) oversize(tokens int) bool { return tokens > int(oversizePart*float64(c.law.KVCapacity)) }

// reserve spreads what the first server cannot hold over the helpers, and reports whether they can.
func (c *cell) reserve(w *waiting, chosen *choice) bool {
	lacks := c.tokens(w) - chosen.server.free(c.law) + memoryMargin
	if lacks <= memoryMargin {
		return true
	}
	chosen.reserved = make([]int, len(chosen.helpers))
	for i, s := range chosen.helpers {
		free := s.free(c.law) - memoryMargin
		if lacks <= 0 || free < memoryMargin {
			continue
		}
		chosen.reserved[i] = min(free, lacks)
		lacks -= chosen.reserved[i]
	}
	return lacks <= 0
}

// tokens is the memory that the request is expected to need.
func (c *cell) tokens(w *waiting) int { return w.request.PromptTokens + c.answerTokens(w) }

// answerTokens is the expected length of the request's answer in tokens.
func (c *cell) answerTokens(w *waiting) int {
	if w.request.OutputTokens > 0 {
		return min(c.law.MeanOutputTokens, w.request.OutputTokens)
	}
	return c.law.MeanOutputTokens
}

// weigh forecasts one part at the server.
func (c *cell) weigh(w *waiting, s *server, parts int, short bool, now time.Time) option {
	read := predictor.PrefillTask{Stream: w.request.Stream, Tokens: w.request.PromptTokens, Parts: parts}
	f := s.outlook.Forecast(read)
	o := option{server: s, done: f.PrefillEnd, cost: f.PrefillEnd.Sub(now), wait: f.PrefillEnd.Sub(now) - w.reading/time.Duration(parts) - c.law.PassTime(1, 0)}
	if pause := s.outlook.EventGapLimit(); pause > 0 && f.LongestPass > pause-pauseMargin {
		o.harmed = float64(s.engine.DelayedStreams(f.LongestPass+pauseMargin, w.request.Priority))
	}
	part := w.reading / time.Duration(parts)
	if parts > 1 {
		o.harmed += s.delays(part)
	}
	if !short && s.rank < c.kept && part > shortPart {
		// Short prompts that come to the server meanwhile wait for the part.
		o.harmed += float64(part-shortPart) / float64(strayTime)
	}
	if short {
		o.cost = max(o.cost, time.Duration(comfort*float64(w.request.FirstTokenDeadline.Sub(now))))
	}
	if c.strays(s, short) {
		o.cost += strayCost
	}
	return o
}

// strays reports whether the server is kept for prompts of the other length.
func (c *cell) strays(s *server, short bool) bool {
	return (s.rank < c.kept) != short
}

// grant makes the permit; it is called with the mutex held.
func (a *Allocator) grant(c *cell, w *waiting, chosen choice, now time.Time) dragonflypass.Permit {
	p := &permit{
		request: w.request, cell: c, server: chosen.server, helpers: chosen.helpers, parts: 1 + len(chosen.helpers),
		reserved: chosen.reserved, tokens: c.tokens(w), granted: now, first: chosen.done, promised: chosen.done, heard: now,
	}
	a.permits[w.request.Stream] = p
	a.place(p, now.Add(transit))
	for _, s := range p.servers() {
		a.Assessor.RecordSelection(s.entry.ID)
	}
	if p.short = c.short(w); p.short {
		c.shorts++
	}
	for _, s := range p.servers() {
		s.outlook = s.engine.Backlog(now.Add(transit))
	}
	a.Meter.Add(dragonflypass.CountPermitGranted, 1)
	a.Logger.Info("permit granted", "id", w.request.ID, "server", p.server.entry.ID, "helpers", ids(p.helpers), "short", p.short,
		"waited", now.Sub(w.since), "first", chosen.done.Sub(now), "streams", p.server.streams, "harmed", chosen.harmed,
		"kept", c.kept, "servers", len(c.ranked), "waiting", len(c.waiting))
	granted := dragonflypass.Permit{
		Stream: w.request.Stream, Owner: a.Self, Server: p.server.entry.ID, Address: p.server.entry.Address,
		Priority: -1, TimeToFirstToken: chosen.done.Sub(now),
	}
	for i, s := range p.helpers {
		h := dragonflypass.Helper{Server: s.entry.ID, Address: s.entry.Address}
		if p.reserves(i) > 0 {
			h.Reservation, h.Tokens = reservationName(w.request.Stream, i), p.reserves(i)
		}
		granted.Helpers = append(granted.Helpers, h)
	}
	return granted
}

// ids names the servers.
func ids(servers []*server) []dragonflypass.ServerID {
	named := make([]dragonflypass.ServerID, len(servers))
	for i, s := range servers {
		named[i] = s.entry.ID
	}
	return named
}

// reservationName is unique over all VMs and their restarts.
func reservationName(stream dragonflypass.StreamID, index int) string {
	return fmt.Sprintf("%s-%x-%d-%d", stream.VM, stream.Incarnation, stream.Sequence, index)
}

// wakeLater has the waiting requests looked at again; it is called with the mutex held.
func (a *Allocator) wakeLater(c *cell, now time.Time) {
	if len(c.waiting) == 0 || c.wake != nil {
		return
	}
	c.wake = a.Timer.At(dragonflypass.JobSweep, now.Add(wakeAfter), func(context.Context) {
		at := a.Timer.Now()
		a.mutex.Lock()
		c.wake = nil
		answers := a.dispatch(c, at)
		a.mutex.Unlock()
		a.tell(answers)
	})
}
