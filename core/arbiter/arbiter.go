package arbiter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Class is the precedence of a queued prompt; lower values are served first.
type Class uint8

// The classes of queued prompts.
const (
	// ShortOnTime is for short prompts that can still meet their first-token deadline.
	ShortOnTime Class = iota
	// LongOnTime is for long prompts that can still meet it.
	LongOnTime
	// ShortLate is for short prompts that cannot, and LongLate for such long prompts. They get the capacity that no prompt
	// needs to be on time.
	ShortLate
	LongLate
)

// Prompt is a queued prompt.
type Prompt struct {
	// Index identifies the prompt to the caller.
	Index int
	// Short is set if the prompt counts as short.
	Short bool
	// Work is the server time that the prompt takes, and Value the relative loss of its caller if it is late.
	Work  time.Duration
	Value float64
	// QueuedAt is the time of its arrival.
	QueuedAt time.Time
	// LatestStart is the latest start with which the first token can be on time.
	LatestStart time.Time
	// Expires is the latest start with which the prompt can be served at all.
	Expires time.Time

	class    Class
	excluded bool
}

// Class returns the class that Arrange has assigned to the prompt.
func (p *Prompt) Class() Class { return p.class }

// Capacity describes the servers of a queue.
type Capacity struct {
	// LongServers is the number of servers available to long prompts, and LongBacklog the time until they have processed
	// the prompts that they have now.
	LongServers int
	LongBacklog time.Duration
	// LateRate is the number of late short prompts that are served per second.
	LateRate float64
}

const (
	// contestedShare is the share of the time from arrival to the latest start after which a waiting short prompt shows that
	// the capacity for short prompts is contested.
	contestedShare = 0.5
	// minReturn is the minimum time after which a rejected caller may return, and returnSpread the share of the remaining
	// time over which the returns are spread.
	minReturn    = 200 * time.Millisecond
	returnSpread = 0.4
)

// Arrange sorts the prompts in the order in which they should be served.
//
// Burst of short prompts: by latest start, all prompts of a queue that grows become late together. Once one of them has
// waited for contestedShare of its time, the newest ones are served first, so that those that are served are on time
// (adaptive LIFO).
//
// Burst of long prompts: with earliest deadline first, one prompt that takes many servers makes all those behind it late.
// The prompts with the most work for their value are postponed until the others can be on time (Moore-Hodgson).
func Arrange(prompts []Prompt, capacity Capacity, now time.Time) {
	contested := false
	for i := range prompts {
		p := &prompts[i]
		p.excluded = false
		onTime := p.LatestStart.After(now)
		switch {
		case p.Short && onTime:
			p.class = ShortOnTime
			slack := p.LatestStart.Sub(p.QueuedAt)
			contested = contested || now.Sub(p.QueuedAt) > time.Duration(contestedShare*float64(slack))
		case p.Short:
			p.class = ShortLate
		case onTime:
			p.class = LongOnTime
		default:
			p.class = LongLate
		}
	}
	slices.SortStableFunc(prompts, func(x, y Prompt) int { return compare(&x, &y, contested) })
	if postponeHeavy(prompts, capacity, now) {
		slices.SortStableFunc(prompts, func(x, y Prompt) int { return compare(&x, &y, contested) })
	}
}

// compare compares the precedence of two prompts.
func compare(x, y *Prompt, contested bool) int {
	if x.class != y.class {
		return cmp.Compare(x.class, y.class)
	}
	switch x.class {
	case ShortOnTime:
		if contested {
			return y.QueuedAt.Compare(x.QueuedAt)
		}
		return x.LatestStart.Compare(y.LatestStart)
	case LongOnTime:
		return x.LatestStart.Compare(y.LatestStart)
	case ShortLate:
		return x.Expires.Compare(y.Expires)
	}
	return cmp.Compare(x.workPerValue(), y.workPerValue())
}

// workPerValue returns the work of the prompt for each unit of its value.
func (p *Prompt) workPerValue() float64 {
	return float64(p.Work) / max(p.Value, math.SmallestNonzeroFloat64)
}

// postponeHeavy moves the long prompts that make others late to the late ones, and reports whether there are any. The prompts
// must be sorted.
func postponeHeavy(prompts []Prompt, capacity Capacity, now time.Time) (changed bool) {
	servers := float64(max(1, capacity.LongServers))
	first := slices.IndexFunc(prompts, func(p Prompt) bool { return p.class == LongOnTime })
	if first < 0 {
		return false
	}
	work := time.Duration(0)
	for i := first; i < len(prompts) && prompts[i].class == LongOnTime; i++ {
		for now.Add(capacity.LongBacklog + time.Duration(float64(work)/servers)).After(prompts[i].LatestStart) {
			worst := heaviest(prompts[first : i+1])
			if worst == nil {
				break
			}
			worst.excluded, changed = true, true
			if worst == &prompts[i] {
				break
			}
			work -= worst.Work
		}
		if !prompts[i].excluded {
			work += prompts[i].Work
		}
	}
	for i := range prompts {
		if prompts[i].excluded {
			prompts[i].class = LongLate
		}
	}
	return changed
}

// heaviest returns the prompt with the most work for its value that has not been excluded, nil if there is none.
func heaviest(prompts []Prompt) (worst *Prompt) {
	for i := range prompts {
		p := &prompts[i]
		if !p.excluded && (worst == nil || p.workPerValue() > worst.workPerValue()) {
			worst = p
		}
	}
	return worst
}

// fullDelayCost is the length in tokens of a prompt whose caller loses as much as that of a delayed short stream if the
// prompt is late.
const fullDelayCost = 70_000

// DelayCost returns what the delay of one stream of a short prompt costs, relative to the loss of the caller of a prompt with
// the given length if that prompt is late.
//
// Long prompts beside streams of short ones: at a fixed price for a delayed stream, a prompt of 190,000 tokens that had to
// start was kept waiting for a server without streams, and its caller lost several times as much.
func DelayCost(promptTokens int) float64 {
	return min(1, fullDelayCost/float64(max(1, promptTokens)))
}

// Unservable reports whether a late short prompt behind the given number of other ones cannot start before it expires.
//
// After the peak of a burst: callers that leave after waiting in vain return at once, while those that are rejected
// return when there may be capacity.
func Unservable(p *Prompt, ahead int, capacity Capacity, now time.Time) bool {
	if p.class != ShortLate || capacity.LateRate <= 0 {
		return false
	}
	wait := time.Duration(float64(ahead) / capacity.LateRate * float64(time.Second))
	return now.Add(wait).After(p.Expires)
}

// RetryAfter returns when the caller of a rejected prompt should return, if it waits at most limit. draw is a random
// number from 0 to 1 that spreads the returns.
func RetryAfter(limit time.Duration, draw float64) time.Duration {
	return max(minReturn, time.Duration(float64(limit)*(1-returnSpread*draw)))
}
