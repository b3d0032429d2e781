package appraiser

import (
	"container/list"
	"math"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// keyLimit is the maximum number of keys; the one that was not seen for the longest time makes room for another. A key takes
	// less than 1 KiB with the reports of other VMs, so that the table takes at most 2 MiB.
	keyLimit = 2048
	// retention is how long a key is kept that is no longer seen.
	retention = 10 * time.Minute
	// minEvidence is the number of observations from which an estimate is used.
	minEvidence = 4
	// highSpreads is the number of spreads above the mean that few answers exceed.
	highSpreads = 2.5
	// minHintSpread is the smallest spread of the callers' estimates, in powers of two.
	minHintSpread = 0.1
	// maxHintError bounds the error of a caller's estimate, in powers of two.
	maxHintError = 4
)

// Appraiser keeps the estimates by key.
type Appraiser struct {
	Timer dragonflypass.Timer

	mutex   locker.Mutex
	entries map[dragonflypass.CostKey]*entry
	// recent lists the entries, the one seen last first.
	recent *list.List
	// reports are the latest reports for other VMs, made at reportedAt.
	reports    []dragonflypass.CostReport
	reportedAt time.Time
	// reportedTo holds the time of the reports that each other VM has received.
	reportedTo map[dragonflypass.VMID]time.Time
}

// entry holds what is known about the requests of one key.
type entry struct {
	key     dragonflypass.CostKey
	element *list.Element
	// seenAt is the time at which this VM, or another one according to its report, last observed a request.
	seenAt time.Time
	own    [quantityCount]estimate
	// hint is the distribution of the ratio of the output to the caller's estimate, in powers of two, plus hintOffset.
	hint estimate
	// shares are the reports of other VMs.
	shares []share
}

// quantity is what an estimate is about.
type quantity uint8

const (
	// processingTime is in seconds, and outputLength in tokens.
	processingTime quantity = iota
	outputLength
	quantityCount = 2
)

// hintOffset keeps the values of entry.hint positive: a ratio of 1 is hintOffset.
const hintOffset = 2 * maxHintError

// Observation is what was observed of a request.
type Observation struct {
	// Time is the processing time, zero if it is not known.
	Time time.Duration
	// Output is the length of the answer in tokens, zero for none, and Hint the caller's estimate of it, zero for none.
	Output int
	Hint   int
}

// Estimate is the expected processing time of a request.
type Estimate struct {
	Mean   time.Duration
	Spread time.Duration
	// Age is the time since the latest observation.
	Age time.Duration
}

// New returns an appraiser without estimates.
func New() *Appraiser {
	return &Appraiser{
		mutex: locker.Mutex{Order: locker.Loads}, entries: make(map[dragonflypass.CostKey]*entry), recent: list.New(),
		reportedTo: make(map[dragonflypass.VMID]time.Time),
	}
}

// Record adds the observation of a request to the estimates of its key and of the less specific ones. The key must be of the
// level CostOfPart.
func (a *Appraiser) Record(key dragonflypass.CostKey, observation Observation) {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.removeExpired(now)
	for level := range dragonflypass.CostLevel(dragonflypass.CostLevelCount) {
		if !applies(key, level) {
			continue
		}
		e := a.entry(key.At(level))
		a.touch(e, now)
		if observation.Time > 0 {
			e.own[processingTime].record(observation.Time.Seconds(), now)
		}
		if observation.Output > 0 {
			e.own[outputLength].record(float64(observation.Output), now)
		}
		if observation.Output > 0 && observation.Hint > 0 {
			hintError := math.Log2(float64(observation.Output) / float64(observation.Hint))
			e.hint.record(hintOffset+max(-maxHintError, min(maxHintError, hintError)), now)
		}
	}
}

// applies reports whether a key of the level adds something to the less specific ones.
func applies(key dragonflypass.CostKey, level dragonflypass.CostLevel) bool {
	switch level {
	case dragonflypass.CostOfAccount:
		return key.Account != ""
	case dragonflypass.CostOfPart:
		return key.Part != ""
	}
	return true
}

// Time returns the expected processing time of a request; ok is false if there is not enough evidence.
func (a *Appraiser) Time(key dragonflypass.CostKey) (estimate Estimate, ok bool) {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s, _, ok := a.find(key, processingTime, now)
	if !ok {
		return Estimate{}, false
	}
	return Estimate{
		Mean: toDuration(s.mean), Spread: toDuration(s.spread), Age: max(0, now.Sub(s.latest)),
	}, true
}

// Output returns the expected length of an answer; ok is false if there is not enough evidence. hint is the caller's own
// estimate and limit the maximum number of tokens, each zero for none. The hint counts as much as the callers' hints have
// been right so far, compared with the spread of the answers.
func (a *Appraiser) Output(key dragonflypass.CostKey, hint, limit int) (estimate dragonflypass.OutputEstimate, ok bool) {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s, e, ok := a.find(key, outputLength, now)
	if !ok {
		return dragonflypass.OutputEstimate{}, false
	}
	mean, high := s.mean, s.mean+highSpreads*s.spread
	if hint > 0 && e.hint.evidence(now) >= minEvidence {
		hintSpread := max(minHintSpread, e.hint.spread)
		ownSpread := math.Log2(1 + s.spread/s.mean)
		weight := ownSpread * ownSpread / (ownSpread*ownSpread + hintSpread*hintSpread)
		corrected := float64(hint) * math.Exp2(e.hint.mean-hintOffset)
		mean = min(high, weight*corrected+(1-weight)*mean)
	}
	if limit > 0 {
		mean, high = min(mean, float64(limit)), min(high, float64(limit))
	}
	return dragonflypass.OutputEstimate{Mean: max(1, int(math.Round(mean))), High: int(math.Ceil(high))}, true
}

// toDuration returns the duration of the number of seconds.
func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// find returns the estimate of the most specific key with enough evidence. The mutex must be held.
func (a *Appraiser) find(key dragonflypass.CostKey, of quantity, now time.Time) (s sum, e *entry, ok bool) {
	for level := dragonflypass.CostLevelCount - 1; level >= 0; level-- {
		if !applies(key, dragonflypass.CostLevel(level)) {
			continue
		}
		e := a.entries[key.At(dragonflypass.CostLevel(level))]
		if e == nil || now.Sub(e.seenAt) > retention {
			continue
		}
		s := sum{}
		s.add(&e.own[of], now)
		for i := range e.shares {
			if now.Sub(e.shares[i].receivedAt) <= shareTTL {
				s.add(&e.shares[i].estimates[of], now)
			}
		}
		if s.weight >= minEvidence {
			s.mean, s.spread = s.mean/s.weight, s.spread/s.weight
			return s, e, true
		}
	}
	return sum{}, nil, false
}

// entry returns the entry of the key, which is created if needed. The mutex must be held.
func (a *Appraiser) entry(key dragonflypass.CostKey) *entry {
	if e, ok := a.entries[key]; ok {
		return e
	}
	if len(a.entries) >= keyLimit {
		a.remove(a.recent.Back())
	}
	e := &entry{key: key}
	e.element = a.recent.PushFront(e)
	a.entries[key] = e
	return e
}

func (a *Appraiser) touch(e *entry, now time.Time) {
	e.seenAt = now
	a.recent.MoveToFront(e.element)
}

func (a *Appraiser) remove(element *list.Element) {
	delete(a.entries, a.recent.Remove(element).(*entry).key)
}

// removeExpired removes the entries that are no longer seen. The mutex must be held.
func (a *Appraiser) removeExpired(now time.Time) {
	for last := a.recent.Back(); last != nil && now.Sub(last.Value.(*entry).seenAt) > retention; last = a.recent.Back() {
		a.remove(last)
	}
}

// Keys returns the number of keys with estimates.
func (a *Appraiser) Keys() int {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.removeExpired(now)
	return len(a.entries)
}
