package allocator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/predictor"
)

const (
	// pauseMargin is kept between a predicted pause and the longest one on time.
	pauseMargin = 30 * time.Millisecond
	// shortPart is the longest part of a prompt, by its processing time, for which it counts as short.
	shortPart = 110 * time.Millisecond
	// partCost is added for each further part, in time, for each makes the prompt depend on one more server.
	partCost = 4 * time.Millisecond
	// strayCost is added, in time, for a server that is kept for prompts of the other length.
	strayCost = 80 * time.Millisecond
	// startWait is the longest wait at the servers for which a long prompt is granted its permit ahead.
	startWait = 60 * time.Millisecond
	// forceWait is the longest wait of a short prompt for servers at which it disturbs nobody.
	forceWait = 60 * time.Millisecond
	// slackMargin is kept between the latest start of a long prompt and its target.
	slackMargin = 300 * time.Millisecond
	// wakeAfter is the time between two looks at requests that wait.
	wakeAfter = 15 * time.Millisecond
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
	// sound is set when no stream is predicted to pause for too long.
	sound bool
}

// option is a server with its forecast for a part.
type option struct {
	server *server
	done   time.Time
	cost   time.Duration
	// sound is set when no stream at the server pauses for too long.
	sound bool
}

// short reports whether the prompt can be processed among short ones.
func (c *cell) short(w *waiting) bool {
	parts := min(c.kept, partsLimit)
	return w.reading <= time.Duration(parts)*shortPart && fitsPause(c.law, w, parts)
}

// fitsPause reports whether a part of the prompt may be processed within one of its own pauses.
func fitsPause(law *dragonflypass.EngineLaw, w *waiting, parts int) bool {
	pause := w.request.Pause
	return pause == 0 || w.reading/time.Duration(parts)+law.Pass(1, 0)+pauseMargin <= pause
}

// dispatch grants what can be granted now; it is called with the mutex held.
func (a *Allocator) dispatch(c *cell, now time.Time) (answers []told) {
	if len(c.waiting) == 0 {
		return nil
	}
	arrival := now.Add(transit)
	for _, s := range c.ranked {
		s.engine.Advance(arrival)
		s.outlook = s.engine.Outlook(arrival)
	}
	c.resize(now)
	c.order(now)
	blocked := false
	rest := c.waiting[:0]
	for _, w := range c.waiting {
		answer, ok := a.try(c, w, &blocked, now)
		if !ok {
			rest = append(rest, w)
			continue
		}
		answers = append(answers, answer)
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
	return w.request.Target.Add(-w.reading / time.Duration(parts))
}

// try grants the request its permit, or refuses it, or leaves it waiting; blocked is set once a long prompt waits.
func (a *Allocator) try(c *cell, w *waiting, blocked *bool, now time.Time) (told, bool) {
	usable := a.usable(c, w)
	if len(usable) == 0 {
		return told{waiting: w, err: dragonflypass.Refuse(dragonflypass.ReasonNoServer, soonRetry, "no server of the service can run the request")}, true
	}
	short := c.short(w)
	if !short && *blocked {
		return told{}, false
	}
	best, ok := c.best(w, usable, short, now)
	if !ok || !a.acceptable(c, w, best, short, now) {
		*blocked = *blocked || !short
		return told{}, false
	}
	return told{waiting: w, permit: a.grant(c, w, best, now)}, true
}

// acceptable reports whether to grant the choice rather than to wait for a better one.
func (a *Allocator) acceptable(c *cell, w *waiting, best choice, short bool, now time.Time) bool {
	if short {
		return best.sound || now.Sub(w.since) >= forceWait
	}
	parts := time.Duration(1 + len(best.helpers))
	wait := best.done.Sub(now) - w.reading/parts - c.law.Pass(1, 0)
	if best.sound && wait <= startWait {
		return true
	}
	// Without slack the prompt takes its place behind what the servers have.
	return c.class(w, now) == classDue && c.latest(w).Sub(now) < slackMargin
}

// usable returns the servers that may have a part in the request; it is called with the mutex held.
func (a *Allocator) usable(c *cell, w *waiting) []*server {
	var sound, all []*server
	for _, s := range c.ranked {
		if slices.Contains(w.request.Exclude, s.entry.ID) {
			continue
		}
		all = append(all, s)
		if a.Assessor.Sound(s.entry.ID) {
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
		better := !ok || (candidate.sound && !best.sound) || (candidate.sound == best.sound && candidate.cost < best.cost)
		if better {
			best, ok = candidate, true
		}
		if short && candidate.sound && w.reading/time.Duration(parts) <= shortPart/4 {
			// Smaller parts would not be done sooner than the passes allow.
			break
		}
	}
	return best, ok
}

// split returns the cheapest choice of servers for the number of parts.
func (c *cell) split(w *waiting, usable []*server, parts int, short bool, now time.Time) (choice, bool) {
	options := c.options[:0]
	for _, s := range usable {
		options = append(options, c.weigh(w, s, parts, short, now))
	}
	slices.SortStableFunc(options, func(x, y option) int {
		if x.sound != y.sound {
			if x.sound {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.cost, y.cost)
	})
	c.options = options
	first := slices.IndexFunc(options, func(o option) bool { return c.holds(w, o.server) })
	if first < 0 {
		return choice{}, false
	}
	chosen := choice{server: options[first].server, done: options[first].done, cost: options[first].cost, sound: options[first].sound}
	for i, o := range options {
		if len(chosen.helpers) == parts-1 {
			break
		}
		if i == first {
			continue
		}
		chosen.helpers = append(chosen.helpers, o.server)
		chosen.sound = chosen.sound && o.sound
		chosen.cost = max(chosen.cost, o.cost)
		if o.done.After(chosen.done) {
			chosen.done = o.done
		}
	}
	chosen.cost += time.Duration(parts) * partCost
	return chosen, true
}

// holds reports whether the server has a slot and the memory for the whole request.
func (c *cell) holds(w *waiting, s *server) bool {
	return s.streams < c.law.Slots && s.free(c.law) >= c.tokens(w)
}

// tokens is the memory that the request is expected to need.
func (c *cell) tokens(w *waiting) int {
	output := c.law.Answer
	if w.request.OutputTokens > 0 {
		output = min(output, w.request.OutputTokens)
	}
	return w.request.PromptTokens + output
}

// weigh forecasts one part at the server.
func (c *cell) weigh(w *waiting, s *server, parts int, short bool, now time.Time) option {
	read := predictor.Part(w.request.Stream, w.request.PromptTokens, parts, parts > 1)
	f := s.outlook.Forecast(read)
	o := option{server: s, done: f.Done, cost: f.Done.Sub(now), sound: true}
	if pause := s.outlook.Pause(); pause > 0 && f.Longest > pause-pauseMargin {
		o.sound = false
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
		tokens: c.tokens(w), granted: now, first: chosen.done, heard: now,
	}
	a.permits[w.request.Stream] = p
	a.place(p, now.Add(transit))
	for _, s := range p.servers() {
		a.Assessor.Chosen(s.entry.ID)
	}
	if p.short = c.short(w); p.short {
		c.shorts++
		c.noteShort(w.reading, now)
	}
	for _, s := range p.servers() {
		s.outlook = s.engine.Outlook(now.Add(transit))
	}
	a.Meter.Add(dragonflypass.CountPermitGranted, 1)
	granted := dragonflypass.Permit{
		Stream: w.request.Stream, Owner: a.Self, Server: p.server.entry.ID, Address: p.server.entry.Address,
		Priority: -1, First: chosen.done.Sub(now),
	}
	for _, s := range p.helpers {
		granted.Helpers = append(granted.Helpers, dragonflypass.Helper{Server: s.entry.ID, Address: s.entry.Address})
	}
	return granted
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
		tell(answers)
	})
}
