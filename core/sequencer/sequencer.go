package sequencer

import (
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Queue serves requests in the order of their coming; its caller holds the lock of the queues table.
type Queue struct {
	waiting []*dragonflypass.QueuedRequest
}

var _ dragonflypass.Queue = (*Queue)(nil)

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// Push adds a request at the end.
func (q *Queue) Push(waiting *dragonflypass.QueuedRequest, _ time.Time) {
	q.waiting = append(q.waiting, waiting)
}

// Remove takes a request out and reports whether it was there.
func (q *Queue) Remove(waiting *dragonflypass.QueuedRequest) bool {
	i := slices.Index(q.waiting, waiting)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Pop takes out and returns the first request if fit accepts it; those behind it wait.
func (q *Queue) Pop(_ time.Time, fit func(*dragonflypass.QueuedRequest) bool) *dragonflypass.QueuedRequest {
	if len(q.waiting) == 0 || !fit(q.waiting[0]) {
		return nil
	}
	first := q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	return first
}

// Charge does nothing.
func (q *Queue) Charge(dragonflypass.Rank, dragonflypass.AccountID, float64, int, time.Time) {}

// PredictWait predicts nothing, so that no request is refused early.
func (q *Queue) PredictWait(*dragonflypass.PermitRequest, float64, time.Time) time.Duration { return 0 }

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

// BelowMinShare reports no rank, for there are no floors.
func (q *Queue) BelowMinShare(dragonflypass.Rank) bool { return false }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// PopExpired takes out and returns the requests whose latest start has passed.
func (q *Queue) PopExpired(now time.Time) []*dragonflypass.QueuedRequest {
	return q.Filter(func(w *dragonflypass.QueuedRequest) bool { return now.Before(w.Request.LatestStart) })
}

// Filter takes out and returns the requests that keep rejects.
func (q *Queue) Filter(keep func(*dragonflypass.QueuedRequest) bool) []*dragonflypass.QueuedRequest {
	var rejected []*dragonflypass.QueuedRequest
	q.waiting = slices.DeleteFunc(q.waiting, func(w *dragonflypass.QueuedRequest) bool {
		if keep(w) {
			return false
		}
		rejected = append(rejected, w)
		return true
	})
	return rejected
}
