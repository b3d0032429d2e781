package allocator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/arbiter"
	"github.com/dragonflypass/dragonflypass/core/predictor"
)

const (
	// eventGapMargin is the margin between a predicted event gap and the longest acceptable one.
	eventGapMargin = 30 * time.Millisecond
	// maxShortPartTime is the maximum processing time of each part of a short prompt.
	maxShortPartTime = 80 * time.Millisecond
	// partCost is the cost of each part of a prompt, since each makes the prompt depend on one more server.
	partCost = 20 * time.Millisecond
	// noGainShare limits the gain from an early first token: a short prompt gains nothing from a first token that comes
	// before this share of the time to its first-token deadline has passed.
	noGainShare = 0.5
	// mismatchCost is the cost of placing a long prompt at a server reserved for short prompts, or a short prompt at
	// another server.
	mismatchCost = 40 * time.Millisecond
	// timePerDelayedPrompt converts the delay that a long prompt causes at a server reserved for short prompts: each
	// timePerDelayedPrompt of its part's processing time beyond maxShortPartTime counts as one delayed stream.
	timePerDelayedPrompt = 300 * time.Millisecond
	// maxServerWait is the maximum predicted wait at a server to which a long prompt is sent, unless it must start now to
	// be on time.
	maxServerWait = 200 * time.Millisecond
	// maxShortWait is how long a short prompt waits for servers at which it delays no stream.
	maxShortWait = 60 * time.Millisecond
	// maxDelayedStreams is the number of streams that a short prompt may delay once it has waited for maxShortWait.
	maxDelayedStreams = 1
	// slackMargin is the time before the latest start of a long prompt from which the prompt may delay other streams.
	slackMargin = 300 * time.Millisecond
	// lateValue is the value of a late long prompt, relative to one that is on time.
	lateValue = 0.4
	// newDecodeCost is the additional cost of a long prompt's first server if no stream there has an event gap limit.
	newDecodeCost = 200 * time.Millisecond
	// oversizeShare is the share of a server's memory above which a request is spread over several servers.
	oversizeShare = 0.9
	// maxOccupancyShare is the maximum time for which one prompt may occupy its servers while shorter ones are queued, as
	// a share of the time between its arrival and its first-token deadline. If one prompt occupies them for longer, more
	// value is lost by the prompts behind it.
	maxOccupancyShare = 0.6
	// minAnswerShare is the minimum length of an answer, as a share of its expected length, that is used to decide whether
	// the answer can end by its deadline.
	minAnswerShare = 0.5
	// memoryMargin is the memory that is left free beside a reservation, in tokens.
	memoryMargin = 4000
	// maxParts is the largest number of servers that process one prompt.
	maxParts = 17
)

// placement is a choice of servers for a prompt.
type placement struct {
	server  *server
	helpers []*server
	// firstToken is the predicted time of the first token.
	firstToken time.Time
	// cost is used to compare placements; lower is better.
	cost time.Duration
	// delayedStreams is the sum of the delayedStreams of the options.
	delayedStreams float64
	// helperMemory is the memory to reserve at each helper, in tokens.
	helperMemory []int
	// value is the value of the placement for a long prompt, relative to one that is on time.
	value float64
}

// option is a server with its forecast for one part.
type option struct {
	server     *server
	prefillEnd time.Time
	cost       time.Duration
	// wait is the time before the server starts to process the part.
	wait time.Duration
	// delayedStreams is the predicted number of streams at the server, of the same or a more urgent priority, whose event
	// gap limit is exceeded, plus the number of prompts that miss their first-token deadline. It is fractional if
	// timePerDelayedPrompt applies.
	delayedStreams float64
}

// isShort reports whether the prompt counts as short, that is, the servers reserved for short prompts can process it in
// parts of at most maxShortPartTime.
func (c *cluster) isShort(q *queuedRequest) bool {
	parts := min(c.shortServers, maxParts)
	return q.prefillTime <= time.Duration(parts)*maxShortPartTime && fitsEventGap(c.costModel, q, parts)
}

// fitsEventGap reports whether a part of the prompt can be processed within the event gap limit of the prompt's own
// request.
func fitsEventGap(costModel *dragonflypass.EngineCostModel, q *queuedRequest, parts int) bool {
	limit := q.request.MaxEventGap
	return limit == 0 || q.prefillTime/time.Duration(parts)+costModel.PassTime(1, 0)+eventGapMargin <= limit
}

// minDecodeTime returns the minimum time that the generation of the answer takes after the prompt has been processed.
func (c *cluster) minDecodeTime(q *queuedRequest) time.Duration {
	return time.Duration(minAnswerShare * float64(c.minOutput(q)) * float64(c.costModel.StepTime))
}

// occupiesTooLong reports whether the prompt, split into the given number of parts, would occupy its servers for longer
// than the prompts behind it can wait. It is false for a request that was already late on arrival, such as the continuation of an
// interrupted answer.
func (c *cluster) occupiesTooLong(q *queuedRequest, parts int) bool {
	allowedTime := q.request.FirstTokenDeadline.Sub(q.queuedAt)
	return allowedTime > 0 && q.prefillTime/time.Duration(parts) > time.Duration(maxOccupancyShare*float64(allowedTime))
}

// shorterQueued reports whether shorter prompts are queued. It is false for the shortest one, which is therefore never
// blocked.
func (c *cluster) shorterQueued(q *queuedRequest) bool {
	return slices.ContainsFunc(c.queue, func(other *queuedRequest) bool { return other.prefillTime < q.prefillTime })
}

// startDue reports whether a long prompt must start now, even at servers where it delays other streams, to be on time.
func (c *cluster) startDue(q *queuedRequest, now time.Time) bool {
	slack := c.latestStart(q).Sub(now)
	return slack > 0 && slack < slackMargin
}

// placementValue returns the value of a placement for a long prompt, minus the loss for the streams that it delays.
func (c *cluster) placementValue(q *queuedRequest, candidate placement) float64 {
	value := lateValue
	if !candidate.firstToken.After(q.request.FirstTokenDeadline) {
		value = 1
	}
	return value - (1-lateValue)*arbiter.DelayCost(q.request.PromptTokens)*candidate.delayedStreams
}

// usableServers returns the servers that may process the request. The mutex must be held.
func (a *Allocator) usableServers(c *cluster, q *queuedRequest) []*server {
	return withoutExcluded(a.availableServers(c, nil), q.request.ExcludedServers)
}

// availableServers appends the servers that may receive requests to the list: the healthy ones, or all if none is healthy,
// without those that leave. The mutex must be held.
func (a *Allocator) availableServers(c *cluster, list []*server) []*server {
	start := len(list)
	healthy := 0
	for _, s := range c.serverList {
		if a.Leaving(s.entry) {
			continue
		}
		list = append(list, s)
		if s.healthy = a.Assessor.Healthy(s.entry.ID); s.healthy {
			healthy++
		}
	}
	if healthy == 0 {
		return list
	}
	return append(list[:start], slices.DeleteFunc(list[start:], func(s *server) bool { return !s.healthy })...)
}

// withoutExcluded returns the servers that are not listed.
func withoutExcluded(servers []*server, excluded []dragonflypass.ServerID) []*server {
	if len(excluded) == 0 {
		return servers
	}
	var rest []*server
	for _, s := range servers {
		if !slices.Contains(excluded, s.entry.ID) {
			rest = append(rest, s)
		}
	}
	return rest
}

// partCounts are the numbers of parts that are compared.
var partCounts = []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 14, 17}

// bestPlacement returns the best placement over all partCounts; ok is false if there is none.
func (c *cluster) bestPlacement(q *queuedRequest, usable []*server, short bool, now time.Time) (best placement, ok bool) {
	noGain := time.Duration(noGainShare * float64(q.request.FirstTokenDeadline.Sub(now)))
	for _, parts := range partCounts {
		if parts > len(usable) {
			break
		}
		// More parts cannot make the placement of a short prompt cheaper.
		if short && ok && best.delayedStreams == 0 && best.cost <= noGain+time.Duration(parts)*partCost {
			break
		}
		candidate, found := c.placeParts(q, usable, parts, short, now)
		if !found {
			continue
		}
		if !ok || c.betterPlacement(q, &candidate, &best, short) {
			best, ok = candidate, true
		}
	}
	return best, ok
}

// betterPlacement reports whether x is better than y. For a long prompt, it updates their values first.
func (c *cluster) betterPlacement(q *queuedRequest, x, y *placement, short bool) bool {
	if short {
		return x.delayedStreams < y.delayedStreams || (x.delayedStreams == y.delayedStreams && x.cost < y.cost)
	}
	x.value, y.value = c.placementValue(q, *x), c.placementValue(q, *y)
	return x.value > y.value || (x.value == y.value && x.cost < y.cost)
}

// placeParts returns the cheapest placement for the number of parts, or false if there is none.
func (c *cluster) placeParts(q *queuedRequest, usable []*server, parts int, short bool, now time.Time) (placement, bool) {
	c.options = c.evaluateAll(c.options[:0], q, usable, parts, short, now)
	options := c.options
	if len(options) < parts {
		return placement{}, false
	}
	if parts > 1 {
		slices.SortStableFunc(options, compareOptions)
	}
	first := c.firstServer(q, options, parts, short)
	if first < 0 {
		return placement{}, false
	}
	result := placement{server: options[first].server, firstToken: options[first].prefillEnd, cost: options[first].cost, delayedStreams: options[first].delayedStreams}
	for i := 0; len(result.helpers) < parts-1; i++ {
		if i != first {
			result.addHelper(&options[i])
		}
	}
	if !c.reserveTokens(q, &result) {
		return placement{}, false
	}
	result.cost += time.Duration(parts) * partCost
	result.value = c.placementValue(q, result)
	return result, true
}

// evaluateAll appends the options for one part of the prompt to the list.
func (c *cluster) evaluateAll(options []option, q *queuedRequest, usable []*server, parts int, short bool, now time.Time) []option {
	startDue := short || c.startDue(q, now)
	for _, s := range usable {
		if s.throttled {
			continue
		}
		o := c.evaluate(q, s, parts, short, now)
		// A long prompt waits in the queue here, not at a server, so that the order can still change.
		if startDue || o.wait <= maxServerWait {
			options = append(options, o)
		}
	}
	return options
}

// compareOptions orders options by the harm that they do, their cost and the end of the part.
func compareOptions(x, y option) int {
	return cmp.Or(cmp.Compare(x.delayedStreams, y.delayedStreams), cmp.Compare(x.cost, y.cost), x.prefillEnd.Compare(y.prefillEnd))
}

// addHelper adds the server of the option as a helper.
func (p *placement) addHelper(o *option) {
	p.helpers = append(p.helpers, o.server)
	p.delayedStreams += o.delayedStreams
	p.cost = max(p.cost, o.cost)
	if o.prefillEnd.After(p.firstToken) {
		p.firstToken = o.prefillEnd
	}
}

// firstServer returns the index of the option whose server generates the answer: the cheapest one with enough capacity
// among the options with the fewest delayed streams. The cost for a long prompt may include newDecodeCost. The index is
// negative if no server has enough capacity.
func (c *cluster) firstServer(q *queuedRequest, options []option, parts int, short bool) int {
	best := -1
	var lowest time.Duration
	for i := range options {
		o := &options[i]
		cost := o.cost
		if !short && o.server.backlog.EventGapLimit() == 0 {
			cost += newDecodeCost
		}
		if best >= 0 && !precedes(o, cost, &options[best], lowest) || !c.hasCapacity(q, o.server, parts) {
			continue
		}
		best, lowest = i, cost
	}
	return best
}

// precedes reports whether the option x with the given cost is better than y with its cost.
func precedes(x *option, xCost time.Duration, y *option, yCost time.Duration) bool {
	if x.delayedStreams != y.delayedStreams {
		return x.delayedStreams < y.delayedStreams
	}
	return cmp.Or(cmp.Compare(xCost, yCost), x.prefillEnd.Compare(y.prefillEnd)) < 0
}

// evaluate forecasts one part of the prompt at the server.
func (c *cluster) evaluate(q *queuedRequest, s *server, parts int, short bool, now time.Time) option {
	task := predictor.PrefillTask{Stream: q.request.Stream, Tokens: q.request.PromptTokens, Parts: parts}
	f := s.backlog.Forecast(task)
	ownTime := q.prefillTime/time.Duration(parts) + c.costModel.PassTime(1, 0)
	o := option{server: s, prefillEnd: f.PrefillEnd, cost: f.PrefillEnd.Sub(now), wait: f.PrefillEnd.Sub(now) - time.Duration(s.engine.Slowdown*float64(ownTime))}
	if gapLimit := s.backlog.EventGapLimit(); gapLimit > 0 && f.LongestPass > gapLimit-eventGapMargin {
		o.delayedStreams = float64(s.engine.DelayedStreams(f.LongestPass+eventGapMargin, q.request.Priority))
	}
	partTime := q.prefillTime / time.Duration(parts)
	if parts > 1 {
		o.delayedStreams += s.missedDeadlines(partTime)
	}
	if !short && s.position < c.shortServers && partTime > maxShortPartTime {
		// Short prompts that arrive at the server in the meantime wait for the part.
		o.delayedStreams += float64(partTime-maxShortPartTime) / float64(timePerDelayedPrompt)
	}
	if parts > 1 {
		// A part overtakes the prompts that the server has. If every new prompt overtook the earlier ones, all would be late.
		pending := s.backlog.PendingUntil().Sub(now)
		o.wait = max(o.wait, pending)
		o.cost = max(o.cost, pending+partTime)
	}
	if short {
		o.cost = max(o.cost, time.Duration(noGainShare*float64(q.request.FirstTokenDeadline.Sub(now))))
	}
	if c.mismatched(s, short) {
		o.cost += mismatchCost
	}
	return o
}

// mismatched reports whether the prompt is long and the server is reserved for short prompts, or the reverse.
func (c *cluster) mismatched(s *server, short bool) bool {
	return (s.position < c.shortServers) != short
}

// grant records the permit and returns it; the mutex must be held.
func (a *Allocator) grant(c *cluster, q *queuedRequest, best placement, now time.Time) dragonflypass.Permit {
	p := &permit{
		request: q.request, cluster: c, server: best.server, helpers: best.helpers, parts: 1 + len(best.helpers),
		helperMemory: best.helperMemory, tokens: c.requiredTokens(q), grantedAt: now, firstToken: best.firstToken, initialFirstToken: best.firstToken, lastReported: now,
	}
	a.addPermit(p)
	a.addToServers(p, now.Add(transitTime))
	a.recordThrottled(p)
	for _, s := range p.servers() {
		a.Assessor.RecordSelection(s.entry.ID)
	}
	if p.short = c.isShort(q); p.short {
		c.shortPermits++
	}
	for _, s := range p.servers() {
		s.backlog = s.engine.Backlog(now.Add(transitTime))
	}
	a.Meter.Add(dragonflypass.CountPermitGranted, 1)
	a.Logger.Info("permit granted", "id", q.request.ID, "server", p.server.entry.ID, "helpers", serverIDs(p.helpers), "short", p.short,
		"waited", now.Sub(q.queuedAt), "first", best.firstToken.Sub(now), "streams", p.server.streams, "harmed", best.delayedStreams,
		"kept", c.shortServers, "servers", len(c.serverList), "waiting", len(c.queue))
	result := dragonflypass.Permit{
		Stream: q.request.Stream, Owner: a.Self, Server: p.server.entry.ID, Address: p.server.entry.Address,
		Priority: -1, TimeToFirstToken: best.firstToken.Sub(now),
	}
	for i, s := range p.helpers {
		h := dragonflypass.Helper{Server: s.entry.ID, Address: s.entry.Address}
		if p.helperTokens(i) > 0 {
			h.Reservation, h.Tokens = reservationName(q.request.Stream, i), p.helperTokens(i)
		}
		result.Helpers = append(result.Helpers, h)
	}
	return result
}

// serverIDs returns the identifiers of the servers.
func serverIDs(servers []*server) []dragonflypass.ServerID {
	ids := make([]dragonflypass.ServerID, len(servers))
	for i, s := range servers {
		ids[i] = s.entry.ID
	}
	return ids
}

// reservationName returns a name that is unique across all VMs and their restarts.
func reservationName(stream dragonflypass.StreamID, index int) string {
	return fmt.Sprintf("%s-%x-%d-%d", stream.VM, stream.Incarnation, stream.Sequence, index)
}
