package ranker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// shareHalfLife is the half-life of past service in the ranks' shares.
	shareHalfLife = 30 * time.Second
	// maxSubqueueOffers is the largest number of requests of one subqueue that one Pop passes to fit.
	// maxAccountOffers is that limit for each account in the subqueue.
	maxSubqueueOffers = 6
	maxAccountOffers  = 4
	// pushesPerCleanup is the number of pushes between two removals of idle accounts.
	pushesPerCleanup = 1024
)

// Queue is an owner's queue; callers must hold the lock of the queues table.
type Queue struct {
	// Policies returns the current policies of the ranks.
	Policies func() [dragonflypass.RankCount]dragonflypass.RankPolicy

	ranks         [dragonflypass.RankCount]rankState
	subqueues     map[subqueueKey]*subqueue
	entries       map[*dragonflypass.QueuedRequest]*entry
	byLatestStart latestStartHeap
	lastDecay     time.Time
	pushes        int
	accounts      map[accountKey]*account
	// backlogs holds the queued prompt tokens of each model and rank.
	backlogs map[backlogKey]int
}

type backlogKey struct {
	model dragonflypass.ModelID
	rank  dragonflypass.Rank
}

// rankState describes the queued requests and the past service of one rank.
type rankState struct {
	queueLength int
	// servedTokens is the service received in tokens, decaying with shareHalfLife.
	servedTokens float64
	// virtualTime is the highest virtual time of an account when it was served.
	virtualTime float64
	// totalWeight is the sum of the weights of the accounts with queued requests.
	totalWeight float64
}

type subqueueKey struct {
	model dragonflypass.ModelID
	rank  dragonflypass.Rank
	class dragonflypass.LengthClass
	// pinnedServer is set for requests that only one server may run, so that they do not block others.
	pinnedServer dragonflypass.ServerID
}

// subqueue holds the queued requests of one model, rank and length class, and of one pinned server if there is one.
type subqueue struct {
	key           subqueueKey
	accountQueues accountQueueHeap
	byAccount     map[dragonflypass.AccountID]*accountQueue
}

type accountKey struct {
	rank dragonflypass.Rank
	id   dragonflypass.AccountID
}

// account describes the queued requests and the past service of one client account within one rank.
type account struct {
	// virtualTime is the service received in tokens, divided by the account's weight.
	virtualTime  float64
	weight       float64
	queueLength  int
	queuedTokens int
}

var _ dragonflypass.Queue = (*Queue)(nil)

// New returns an empty queue.
func New(policies func() [dragonflypass.RankCount]dragonflypass.RankPolicy) *Queue {
	return &Queue{
		Policies:  policies,
		subqueues: make(map[subqueueKey]*subqueue),
		entries:   make(map[*dragonflypass.QueuedRequest]*entry),
		accounts:  make(map[accountKey]*account),
		backlogs:  make(map[backlogKey]int),
	}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.entries) }

// Push adds a request after the others of its account in its subqueue.
func (q *Queue) Push(queuedRequest *dragonflypass.QueuedRequest, now time.Time) {
	request := &queuedRequest.Request
	rank := &q.ranks[request.Rank]
	if rank.queueLength == 0 {
		q.raiseServed(request.Rank)
	}
	a := q.account(request)
	if a.queueLength == 0 {
		a.virtualTime = math.Max(a.virtualTime, rank.virtualTime)
		a.weight = request.Weight
		rank.totalWeight += a.weight
	}
	e := &entry{queuedRequest: queuedRequest, account: a}
	q.subqueue(request).push(e)
	q.byLatestStart.push(e)
	q.entries[queuedRequest] = e
	a.queueLength++
	a.queuedTokens += request.PromptTokens
	q.backlogs[backlogKey{model: request.Model, rank: request.Rank}] += request.PromptTokens
	rank.queueLength++
	q.removeIdleAccounts()
}

// raiseServed raises the service of a rank that had no queued requests to its minimum share, so that it does not
// claim service for the time when it was idle.
func (q *Queue) raiseServed(rank dragonflypass.Rank) {
	minShare := q.Policies()[rank].MinShare
	q.ranks[rank].servedTokens = math.Max(q.ranks[rank].servedTokens, minShare*q.totalServed())
}

func (q *Queue) totalServed() float64 {
	total := 0.0
	for i := range q.ranks {
		total += q.ranks[i].servedTokens
	}
	return total
}

func (q *Queue) account(request *dragonflypass.PermitRequest) *account {
	key := accountKey{rank: request.Rank, id: request.Account}
	a, ok := q.accounts[key]
	if !ok {
		a = &account{weight: request.Weight}
		q.accounts[key] = a
	}
	return a
}

func (q *Queue) subqueue(request *dragonflypass.PermitRequest) *subqueue {
	key := subqueueKey{model: request.Model, rank: request.Rank, class: dragonflypass.ClassOf(request.PromptTokens), pinnedServer: request.PinnedServer}
	s, ok := q.subqueues[key]
	if !ok {
		s = &subqueue{key: key, byAccount: make(map[dragonflypass.AccountID]*accountQueue)}
		q.subqueues[key] = s
	}
	return s
}

// removeIdleAccounts removes idle accounts whose virtual time would be raised to that of the rank on their next request.
func (q *Queue) removeIdleAccounts() {
	q.pushes++
	if q.pushes%pushesPerCleanup != 0 {
		return
	}
	for key, a := range q.accounts {
		if a.queueLength == 0 && a.virtualTime <= q.ranks[key.rank].virtualTime {
			delete(q.accounts, key)
		}
	}
}

// Remove removes a request and reports whether it was queued.
func (q *Queue) Remove(queuedRequest *dragonflypass.QueuedRequest) bool {
	e, ok := q.entries[queuedRequest]
	if !ok {
		return false
	}
	q.remove(e)
	return true
}

func (q *Queue) remove(e *entry) {
	request := &e.queuedRequest.Request
	delete(q.entries, e.queuedRequest)
	q.byLatestStart.remove(e)
	s := q.subqueue(request)
	s.remove(e)
	if len(s.accountQueues) == 0 {
		delete(q.subqueues, s.key)
	}
	rank := &q.ranks[request.Rank]
	q.backlogs[backlogKey{model: request.Model, rank: request.Rank}] -= request.PromptTokens
	rank.queueLength--
	e.account.queueLength--
	e.account.queuedTokens -= request.PromptTokens
	if e.account.queueLength == 0 {
		rank.totalWeight -= e.account.weight
	}
}

// Pop removes and returns the first request for which fit returns true. Ranks below their minimum share come
// first, then the more urgent ranks. Within a rank, accounts with less service come first. Among an account's requests
// at the front of subqueues, the one with the earliest first-token deadline comes first.
func (q *Queue) Pop(now time.Time, fit func(*dragonflypass.QueuedRequest) bool) *dragonflypass.QueuedRequest {
	for _, rank := range q.rankOrder() {
		boosted := q.shareDeficit(rank) > 0
		offer := func(w *dragonflypass.QueuedRequest) bool {
			w.Boosted = boosted
			return fit(w)
		}
		for _, s := range q.subqueuesByService(rank) {
			if e := s.first(offer); e != nil {
				q.remove(e)
				q.ranks[rank].virtualTime = math.Max(q.ranks[rank].virtualTime, e.account.virtualTime)
				return e.queuedRequest
			}
		}
	}
	return nil
}

// shareDeficit returns how far the rank is below its minimum share, from 0 (not below) to 1 (no service).
func (q *Queue) shareDeficit(rank dragonflypass.Rank) float64 {
	minShare, total := q.Policies()[rank].MinShare, q.totalServed()
	if minShare <= 0 || total <= 0 {
		return 0
	}
	return math.Max(0, 1-q.ranks[rank].servedTokens/(minShare*total))
}

// BelowMinShare reports whether the rank has received less than its minimum share.
func (q *Queue) BelowMinShare(rank dragonflypass.Rank) bool { return q.shareDeficit(rank) > 0 }

// rankOrder returns the ranks that have queued requests, in the order in which they are served.
func (q *Queue) rankOrder() []dragonflypass.Rank {
	order := make([]dragonflypass.Rank, 0, dragonflypass.RankCount)
	for rank := range dragonflypass.Rank(dragonflypass.RankCount) {
		if q.ranks[rank].queueLength > 0 {
			order = append(order, rank)
		}
	}
	slices.SortStableFunc(order, func(a, b dragonflypass.Rank) int { return cmp.Compare(q.shareDeficit(b), q.shareDeficit(a)) })
	return order
}

// subqueuesByService returns the rank's subqueues, ordered by the service of their least served account
// and then by the first-token deadline of their first request.
func (q *Queue) subqueuesByService(rank dragonflypass.Rank) []*subqueue {
	var subqueues []*subqueue
	for key, s := range q.subqueues {
		if key.rank == rank {
			subqueues = append(subqueues, s)
		}
	}
	slices.SortFunc(subqueues, func(a, b *subqueue) int {
		if order := cmp.Compare(a.minVirtualTime(), b.minVirtualTime()); order != 0 {
			return order
		}
		if order := a.firstTokenDeadline().Compare(b.firstTokenDeadline()); order != 0 {
			return order
		}
		if order := cmp.Compare(a.key.class, b.key.class); order != 0 {
			return order
		}
		return cmp.Or(cmp.Compare(a.key.model, b.key.model), cmp.Compare(a.key.pinnedServer, b.key.pinnedServer))
	})
	return subqueues
}

// Charge records service received by an account and its rank.
func (q *Queue) Charge(rank dragonflypass.Rank, id dragonflypass.AccountID, weight float64, tokens int, now time.Time) {
	q.decay(now)
	q.ranks[rank].servedTokens += float64(tokens)
	key := accountKey{rank: rank, id: id}
	a, ok := q.accounts[key]
	if !ok {
		a = &account{virtualTime: q.ranks[rank].virtualTime, weight: weight}
		q.accounts[key] = a
	}
	a.virtualTime += float64(tokens) / math.Max(weight, math.SmallestNonzeroFloat32)
}

func (q *Queue) decay(now time.Time) {
	elapsed := now.Sub(q.lastDecay)
	if elapsed < time.Second {
		return
	}
	q.lastDecay = now
	factor := math.Exp2(-elapsed.Seconds() / shareHalfLife.Seconds())
	for i := range q.ranks {
		q.ranks[i].servedTokens *= factor
	}
}

// Backlog returns the number of queued prompt tokens of the model, up to and including the rank.
func (q *Queue) Backlog(model dragonflypass.ModelID, rank dragonflypass.Rank) int {
	tokens := 0
	for r := range rank + 1 {
		tokens += q.rankBacklog(model, r)
	}
	return tokens
}

func (q *Queue) rankBacklog(model dragonflypass.ModelID, rank dragonflypass.Rank) int {
	return q.backlogs[backlogKey{model: model, rank: rank}]
}

// PredictWait predicts how long a new request would be queued; rate is the service rate in tokens per second.
//
// Within its rank the request waits for the whole backlog or, if that is less, for the backlog of
// its own account, served at the account's share. If the account has no queued requests, the prompt of
// the request itself counts as the account's backlog. More urgent ranks are served first, except that
// the request's rank gets its minimum share.
func (q *Queue) PredictWait(request *dragonflypass.PermitRequest, rate float64, _ time.Time) time.Duration {
	if rate <= 0 {
		return 0
	}
	rankTokens := float64(q.rankBacklog(request.Model, request.Rank))
	if a, ok := q.accounts[accountKey{rank: request.Rank, id: request.Account}]; !ok || a.queueLength == 0 {
		rankTokens = math.Min(rankTokens, float64(request.PromptTokens)*q.ranks[request.Rank].totalWeight/math.Max(request.Weight, 1e-9))
	} else {
		rankTokens = math.Min(rankTokens, float64(a.queuedTokens)*q.ranks[request.Rank].totalWeight/a.weight)
	}
	urgentTokens := 0.0
	if request.Rank > 0 {
		urgentTokens = float64(q.Backlog(request.Model, request.Rank-1))
	}
	seconds := (urgentTokens + rankTokens) / rate
	if minShare := q.Policies()[request.Rank].MinShare; minShare > 0 {
		seconds = math.Min(seconds, rankTokens/(minShare*rate))
	}
	return time.Duration(seconds * float64(time.Second))
}

// PopExpired removes and returns the requests whose latest start has passed.
func (q *Queue) PopExpired(now time.Time) []*dragonflypass.QueuedRequest {
	var expired []*dragonflypass.QueuedRequest
	for len(q.byLatestStart) > 0 && !now.Before(q.byLatestStart[0].queuedRequest.Request.LatestStart) {
		e := q.byLatestStart[0]
		q.remove(e)
		expired = append(expired, e.queuedRequest)
	}
	return expired
}

// Filter removes and returns the requests for which keep returns false.
func (q *Queue) Filter(keep func(*dragonflypass.QueuedRequest) bool) []*dragonflypass.QueuedRequest {
	var rejected []*dragonflypass.QueuedRequest
	for queuedRequest, e := range q.entries {
		if !keep(queuedRequest) {
			q.remove(e)
			rejected = append(rejected, queuedRequest)
		}
	}
	slices.SortFunc(rejected, func(a, b *dragonflypass.QueuedRequest) int {
		return cmp.Or(a.QueuedAt.Compare(b.QueuedAt), cmp.Compare(a.Request.Stream.Sequence, b.Request.Stream.Sequence))
	})
	return rejected
}
