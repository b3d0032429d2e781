package ranker

import (
	"container/heap"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// entry is a waiting request with its places in the queue's structures.
type entry struct {
	waiting *dragonflypass.QueuedRequest
	account *account
	// latest is the entry's place in the heap of latest starts.
	latest int
	gone   bool
}

// line holds the waiting requests of one account in one lane, in the order of their coming.
type line struct {
	id      dragonflypass.AccountID
	account *account
	// key is the account's counter when the line was last put in order.
	key     float64
	entries []*entry
	live    int
	index   int
}

func (l *lane) push(e *entry) {
	request := &e.waiting.Request
	ln, ok := l.byName[request.Account]
	if !ok {
		ln = &line{id: request.Account, account: e.account, key: e.account.counter}
		l.byName[request.Account] = ln
		heap.Push(&l.lines, ln)
	}
	ln.entries = append(ln.entries, e)
	ln.live++
}

func (l *lane) remove(e *entry) {
	request := &e.waiting.Request
	e.gone = true
	ln := l.byName[request.Account]
	ln.live--
	if ln.live == 0 {
		heap.Remove(&l.lines, ln.index)
		delete(l.byName, ln.id)
		return
	}
	ln.trim()
}

// trim drops removed entries from the line's front.
func (ln *line) trim() {
	n := 0
	for n < len(ln.entries) && ln.entries[n].gone {
		ln.entries[n] = nil
		n++
	}
	ln.entries = ln.entries[n:]
}

// settle restores the order after the first line's account was served elsewhere.
func (l *lane) settle() {
	for {
		top := l.lines[0]
		if top.key >= top.account.counter {
			return
		}
		top.key = top.account.counter
		heap.Fix(&l.lines, 0)
	}
}

// first returns the first request that fit accepts among the first few: those of the first account, then of the next ones.
func (l *lane) first(fit func(*dragonflypass.QueuedRequest) bool) *entry {
	l.settle()
	left := laneTries
	for i := 0; i < len(l.lines) && left > 0; i++ {
		e, tried := l.lines[i].first(fit, min(left, entryTries))
		if e != nil {
			return e
		}
		left -= tried
	}
	return nil
}

// first returns the first request that fit accepts among so many of the line, and how many it was offered.
func (ln *line) first(fit func(*dragonflypass.QueuedRequest) bool, tries int) (found *entry, tried int) {
	for _, e := range ln.entries {
		if e.gone {
			continue
		}
		tried++
		if fit(e.waiting) {
			return e, tried
		}
		if tried == tries {
			break
		}
	}
	return nil, tried
}

// least is the counter of the account with the least service in the lane.
func (l *lane) least() float64 {
	l.settle()
	return l.lines[0].key
}

// target is the instant at which the lane's first request is due its first token.
func (l *lane) target() time.Time {
	l.settle()
	return l.lines[0].entries[0].waiting.Request.FirstTokenDeadline
}

// lineHeap orders lines by their account's counter.
type lineHeap []*line

func (h lineHeap) Len() int { return len(h) }
func (h lineHeap) Less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
	}
	return h[i].id < h[j].id
}
func (h lineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a line for container/heap.
func (h *lineHeap) Push(x any) {
	ln := x.(*line)
	ln.index = len(*h)
	*h = append(*h, ln)
}

// Pop removes the last line for container/heap.
func (h *lineHeap) Pop() any {
	old := *h
	ln := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return ln
}

// latestHeap orders entries by their latest start.
type latestHeap []*entry

func (h *latestHeap) push(e *entry)   { heap.Push(h, e) }
func (h *latestHeap) remove(e *entry) { heap.Remove(h, e.latest) }

func (h latestHeap) Len() int { return len(h) }
func (h latestHeap) Less(i, j int) bool {
	return h[i].waiting.Request.LatestStart.Before(h[j].waiting.Request.LatestStart)
}
func (h latestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].latest, h[j].latest = i, j
}

// Push adds an entry for container/heap.
func (h *latestHeap) Push(x any) {
	e := x.(*entry)
	e.latest = len(*h)
	*h = append(*h, e)
}

// Pop removes the last entry for container/heap.
func (h *latestHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
