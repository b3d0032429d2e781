package sequencer

import (
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Queue serves requests in the order of their coming; its caller holds the lock of the queues table.
type Queue struct {
	waiting []*dragonflypass.Waiting
}

var _ dragonflypass.Queue = (*Queue)(nil)

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// Push adds a request at the end.
func (q *Queue) Push(waiting *dragonflypass.Waiting, _ time.Time) {
	q.waiting = append(q.waiting, waiting)
}

// Remove takes a request out and reports whether it was there.
func (q *Queue) Remove(waiting *dragonflypass.Waiting) bool {
	i := slices.Index(q.waiting, waiting)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Next takes out and returns the first request if fit accepts it; those behind it wait.
func (q *Queue) Next(_ time.Time, fit func(*dragonflypass.Waiting) bool) *dragonflypass.Waiting {
	if len(q.waiting) == 0 || !fit(q.waiting[0]) {
		return nil
	}
	first := q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	return first
}

// Charge does nothing.
func (q *Queue) Charge(dragonflypass.Rank, dragonflypass.AccountID, float64, int, time.Time) {}

// Wait predicts nothing, so that no request is refused early.
func (q *Queue) Wait(*dragonflypass.PermitRequest, float64, time.Time) time.Duration { return 0 }

// Backlog returns the waiting prompt tokens of the model, up to and including the rank.
func (q *Queue) Backlog(model dragonflypass.ModelID, rank dragonflypass.Rank) int {
	tokens := 0
	for _, w := range q.waiting {
		if w.Request.Model == model && w.Request.Rank <= rank {
			tokens += w.Request.PromptTokens
		}
	}
	return tokens
}

// Below reports no rank, for there are no floors.
func (q *Queue) Below(dragonflypass.Rank) bool { return false }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Expired takes out and returns the requests whose latest start has passed.
func (q *Queue) Expired(now time.Time) []*dragonflypass.Waiting {
	return q.Sift(func(w *dragonflypass.Waiting) bool { return now.Before(w.Request.LatestStart) })
}

// Sift takes out and returns the requests that keep rejects.
func (q *Queue) Sift(keep func(*dragonflypass.Waiting) bool) []*dragonflypass.Waiting {
	var rejected []*dragonflypass.Waiting
	q.waiting = slices.DeleteFunc(q.waiting, func(w *dragonflypass.Waiting) bool {
		if keep(w) {
			return false
		}
		rejected = append(rejected, w)
		return true
	})
	return rejected
}
