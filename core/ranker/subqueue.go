package ranker

import (
	"container/heap"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// entry is a queued request with its account and its state in the queue.
type entry struct {
	queuedRequest *dragonflypass.QueuedRequest
	account       *account
	// heapIndex is the entry's index in the heap of latest starts.
	heapIndex int
	isRemoved bool
}

// accountQueue holds the queued requests of one account in one subqueue, in order of arrival.
type accountQueue struct {
	id      dragonflypass.AccountID
	account *account
	// sortKey is the account's virtual time by which the heap is ordered; it may be out of date.
	sortKey float64
	entries []*entry
	// pending is the number of entries that are not marked as removed.
	pending   int
	heapIndex int
}

func (s *subqueue) push(e *entry) {
	request := &e.queuedRequest.Request
	aq, ok := s.byAccount[request.Account]
	if !ok {
		aq = &accountQueue{id: request.Account, account: e.account, sortKey: e.account.virtualTime}
		s.byAccount[request.Account] = aq
		heap.Push(&s.accountQueues, aq)
	}
	aq.entries = append(aq.entries, e)
	aq.pending++
}

func (s *subqueue) remove(e *entry) {
	request := &e.queuedRequest.Request
	e.isRemoved = true
	aq := s.byAccount[request.Account]
	aq.pending--
	if aq.pending == 0 {
		heap.Remove(&s.accountQueues, aq.heapIndex)
		delete(s.byAccount, aq.id)
		return
	}
	aq.trim()
}

// trim removes the entries at the front that are marked as removed.
func (aq *accountQueue) trim() {
	n := 0
	for n < len(aq.entries) && aq.entries[n].isRemoved {
		aq.entries[n] = nil
		n++
	}
	aq.entries = aq.entries[n:]
}

// refresh restores the heap order after the first account was served from another subqueue.
func (s *subqueue) refresh() {
	for {
		top := s.accountQueues[0]
		if top.sortKey >= top.account.virtualTime {
			return
		}
		top.sortKey = top.account.virtualTime
		heap.Fix(&s.accountQueues, 0)
	}
}

// first returns the first request for which fit returns true. It offers the requests of the first account, then those
// of the others, at most maxAccountOffers of each and maxSubqueueOffers in total.
func (s *subqueue) first(fit func(*dragonflypass.QueuedRequest) bool) *entry {
	s.refresh()
	remaining := maxSubqueueOffers
	for i := 0; i < len(s.accountQueues) && remaining > 0; i++ {
		e, offers := s.accountQueues[i].first(fit, min(remaining, maxAccountOffers))
		if e != nil {
			return e
		}
		remaining -= offers
	}
	return nil
}

// first returns the first request for which fit returns true, and the number of requests offered, which is at most limit.
func (aq *accountQueue) first(fit func(*dragonflypass.QueuedRequest) bool, limit int) (match *entry, offers int) {
	for _, e := range aq.entries {
		if e.isRemoved {
			continue
		}
		offers++
		if fit(e.queuedRequest) {
			return e, offers
		}
		if offers == limit {
			break
		}
	}
	return nil, offers
}

// minVirtualTime returns the virtual time of the least served account in the subqueue.
func (s *subqueue) minVirtualTime() float64 {
	s.refresh()
	return s.accountQueues[0].sortKey
}

// firstTokenDeadline returns the deadline for the first token of the subqueue's first request.
func (s *subqueue) firstTokenDeadline() time.Time {
	s.refresh()
	return s.accountQueues[0].entries[0].queuedRequest.Request.FirstTokenDeadline
}

// accountQueueHeap orders account queues by the virtual time of their account.
type accountQueueHeap []*accountQueue

func (h accountQueueHeap) Len() int { return len(h) }
func (h accountQueueHeap) Less(i, j int) bool {
	if h[i].sortKey != h[j].sortKey {
		return h[i].sortKey < h[j].sortKey
	}
	return h[i].id < h[j].id
}
func (h accountQueueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push adds an account queue for container/heap.
func (h *accountQueueHeap) Push(x any) {
	aq := x.(*accountQueue)
	aq.heapIndex = len(*h)
	*h = append(*h, aq)
}

// Pop removes the last account queue for container/heap.
func (h *accountQueueHeap) Pop() any {
	old := *h
	aq := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return aq
}

// latestStartHeap orders entries by their latest start.
type latestStartHeap []*entry

func (h *latestStartHeap) push(e *entry)   { heap.Push(h, e) }
func (h *latestStartHeap) remove(e *entry) { heap.Remove(h, e.heapIndex) }

func (h latestStartHeap) Len() int { return len(h) }
func (h latestStartHeap) Less(i, j int) bool {
	return h[i].queuedRequest.Request.LatestStart.Before(h[j].queuedRequest.Request.LatestStart)
}
func (h latestStartHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push adds an entry for container/heap.
func (h *latestStartHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop removes the last entry for container/heap.
func (h *latestStartHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
