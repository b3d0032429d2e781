package sequencer

import (
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Queue serves requests in order of arrival; callers must hold the lock of the queues table.
type Queue struct {
	requests []*dragonflypass.QueuedRequest
}

var _ dragonflypass.Queue = (*Queue)(nil)

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// Push adds a request at the end.
func (q *Queue) Push(queuedRequest *dragonflypass.QueuedRequest, _ time.Time) {
	q.requests = append(q.requests, queuedRequest)
}

// Remove removes a request and reports whether it was queued.
func (q *Queue) Remove(queuedRequest *dragonflypass.QueuedRequest) bool {
	i := slices.Index(q.requests, queuedRequest)
	if i < 0 {
		return false
	}
	q.requests = slices.Delete(q.requests, i, i+1)
	return true
}

// Pop removes and returns the first request if fit returns true for it; otherwise all requests wait.
func (q *Queue) Pop(_ time.Time, fit func(*dragonflypass.QueuedRequest) bool) *dragonflypass.QueuedRequest {
	if len(q.requests) == 0 || !fit(q.requests[0]) {
		return nil
	}
	first := q.requests[0]
	q.requests = slices.Delete(q.requests, 0, 1)
	return first
}

// Charge does nothing.
func (q *Queue) Charge(dragonflypass.Rank, dragonflypass.AccountID, float64, int, time.Time) {}

// PredictWait returns zero, so that no request is refused because of its predicted wait.
func (q *Queue) PredictWait(*dragonflypass.PermitRequest, float64, time.Time) time.Duration { return 0 }

// Backlog returns the number of queued prompt tokens of the model, up to and including the rank.
func (q *Queue) Backlog(model dragonflypass.ModelID, rank dragonflypass.Rank) int {
	tokens := 0
	for _, w := range q.requests {
		if w.Request.Model == model && w.Request.Rank <= rank {
			tokens += w.Request.PromptTokens
		}
	}
	return tokens
}

// BelowMinShare returns false, because this queue has no minimum shares.
func (q *Queue) BelowMinShare(dragonflypass.Rank) bool { return false }

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.requests) }

// PopExpired removes and returns the requests whose latest start has passed.
func (q *Queue) PopExpired(now time.Time) []*dragonflypass.QueuedRequest {
	return q.Filter(func(w *dragonflypass.QueuedRequest) bool { return now.Before(w.Request.LatestStart) })
}

// Filter removes and returns the requests for which keep returns false.
func (q *Queue) Filter(keep func(*dragonflypass.QueuedRequest) bool) []*dragonflypass.QueuedRequest {
	var rejected []*dragonflypass.QueuedRequest
	q.requests = slices.DeleteFunc(q.requests, func(w *dragonflypass.QueuedRequest) bool {
		if keep(w) {
			return false
		}
		rejected = append(rejected, w)
		return true
	})
	return rejected
}
