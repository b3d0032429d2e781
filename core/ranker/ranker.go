package ranker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// shareHalfLife is the time in which service once given counts half in the ranks' shares.
	shareHalfLife = 30 * time.Second
	// laneTries is the number of requests of one lane that are offered in one go, entryTries that of one account.
	laneTries  = 6
	entryTries = 4
	// cleanEvery is the number of pushes between two removals of idle accounts.
	cleanEvery = 1024
)

// Queue is the queue of an owner; its caller holds the lock of the queues table.
type Queue struct {
	// Policies returns the ranks' targets and floors in force.
	Policies func() [dragonflypass.RankCount]dragonflypass.RankPolicy

	ranks    [dragonflypass.RankCount]rankState
	lanes    map[laneKey]*lane
	entries  map[*dragonflypass.QueuedRequest]*entry
	latest   latestHeap
	decayed  time.Time
	pushes   int
	accounts map[accountKey]*account
	// backlogs holds the waiting prompt tokens.
	backlogs map[backlogKey]int
}

type backlogKey struct {
	model dragonflypass.ModelID
	rank  dragonflypass.Rank
}

// rankState is what one rank has waiting and has been given.
type rankState struct {
	queued int
	// served is the service given in tokens, decaying with shareHalfLife.
	served float64
	// virtual is the counter of the account served last.
	virtual float64
	// weight is the sum of the weights of the accounts with waiting requests.
	weight float64
}

type laneKey struct {
	model dragonflypass.ModelID
	rank  dragonflypass.Rank
	class dragonflypass.LengthClass
	// only is set for requests that one server alone may run, so that they hold up no others.
	only dragonflypass.ServerID
}

// lane holds the waiting requests of one model, rank and length class.
type lane struct {
	key    laneKey
	lines  lineHeap
	byName map[dragonflypass.AccountID]*line
}

type accountKey struct {
	rank dragonflypass.Rank
	id   dragonflypass.AccountID
}

// account is one client account's service within one rank.
type account struct {
	// counter is the service given in tokens over the account's weight.
	counter float64
	weight  float64
	queued  int
	tokens  int
}

var _ dragonflypass.Queue = (*Queue)(nil)

// New returns an empty queue.
func New(policies func() [dragonflypass.RankCount]dragonflypass.RankPolicy) *Queue {
	return &Queue{
		Policies: policies,
		lanes:    make(map[laneKey]*lane),
		entries:  make(map[*dragonflypass.QueuedRequest]*entry),
		accounts: make(map[accountKey]*account),
		backlogs: make(map[backlogKey]int),
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// Push adds a request behind the others of its account in its lane.
func (q *Queue) Push(waiting *dragonflypass.QueuedRequest, now time.Time) {
	request := &waiting.Request
	rank := &q.ranks[request.Rank]
	if rank.queued == 0 {
		q.liftRank(request.Rank)
	}
	a := q.account(request)
	if a.queued == 0 {
		a.counter = math.Max(a.counter, rank.virtual)
		a.weight = request.Weight
		rank.weight += a.weight
	}
	e := &entry{waiting: waiting, account: a}
	q.lane(request).push(e)
	q.latest.push(e)
	q.entries[waiting] = e
	a.queued++
	a.tokens += request.PromptTokens
	q.backlogs[backlogKey{model: request.Model, rank: request.Rank}] += request.PromptTokens
	rank.queued++
	q.clean()
}

// liftRank keeps a rank that had nothing waiting from claiming service for that time.
func (q *Queue) liftRank(rank dragonflypass.Rank) {
	floor := q.Policies()[rank].MinShare
	q.ranks[rank].served = math.Max(q.ranks[rank].served, floor*q.served())
}

func (q *Queue) served() float64 {
	total := 0.0
	for i := range q.ranks {
		total += q.ranks[i].served
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

func (q *Queue) lane(request *dragonflypass.PermitRequest) *lane {
	key := laneKey{model: request.Model, rank: request.Rank, class: dragonflypass.ClassOf(request.PromptTokens), only: request.PinnedServer}
	l, ok := q.lanes[key]
	if !ok {
		l = &lane{key: key, byName: make(map[dragonflypass.AccountID]*line)}
		q.lanes[key] = l
	}
	return l
}

// clean forgets idle accounts that a return would lift to the rank's level anyway.
func (q *Queue) clean() {
	q.pushes++
	if q.pushes%cleanEvery != 0 {
		return
	}
	for key, a := range q.accounts {
		if a.queued == 0 && a.counter <= q.ranks[key.rank].virtual {
			delete(q.accounts, key)
		}
	}
}

// Remove takes a request out and reports whether it was there.
func (q *Queue) Remove(waiting *dragonflypass.QueuedRequest) bool {
	e, ok := q.entries[waiting]
	if !ok {
		return false
	}
	q.remove(e)
	return true
}

func (q *Queue) remove(e *entry) {
	request := &e.waiting.Request
	delete(q.entries, e.waiting)
	q.latest.remove(e)
	l := q.lane(request)
	l.remove(e)
	if len(l.lines) == 0 {
		delete(q.lanes, l.key)
	}
	rank := &q.ranks[request.Rank]
	q.backlogs[backlogKey{model: request.Model, rank: request.Rank}] -= request.PromptTokens
	rank.queued--
	e.account.queued--
	e.account.tokens -= request.PromptTokens
	if e.account.queued == 0 {
		rank.weight -= e.account.weight
	}
}

// Pop takes out and returns the first request that fit accepts: ranks below
// their floor first, then the more urgent, within a rank the account with the
// least service, and of an account the request that is closest to its target.
func (q *Queue) Pop(now time.Time, fit func(*dragonflypass.QueuedRequest) bool) *dragonflypass.QueuedRequest {
	for _, rank := range q.rankOrder() {
		lifted := q.lack(rank) > 0
		offer := func(w *dragonflypass.QueuedRequest) bool {
			w.Boosted = lifted
			return fit(w)
		}
		for _, l := range q.lanesByService(rank) {
			if e := l.first(offer); e != nil {
				q.remove(e)
				q.ranks[rank].virtual = math.Max(q.ranks[rank].virtual, e.account.counter)
				return e.waiting
			}
		}
	}
	return nil
}

// lack is how far the rank is below its floor, from 0 to 1.
func (q *Queue) lack(rank dragonflypass.Rank) float64 {
	floor, total := q.Policies()[rank].MinShare, q.served()
	if floor <= 0 || total <= 0 {
		return 0
	}
	return math.Max(0, 1-q.ranks[rank].served/(floor*total))
}

// BelowMinShare reports whether the rank has been given less than its floor.
func (q *Queue) BelowMinShare(rank dragonflypass.Rank) bool { return q.lack(rank) > 0 }

// rankOrder returns the ranks with waiting requests in the order of service.
func (q *Queue) rankOrder() []dragonflypass.Rank {
	order := make([]dragonflypass.Rank, 0, dragonflypass.RankCount)
	for rank := range dragonflypass.Rank(dragonflypass.RankCount) {
		if q.ranks[rank].queued > 0 {
			order = append(order, rank)
		}
	}
	slices.SortStableFunc(order, func(a, b dragonflypass.Rank) int { return cmp.Compare(q.lack(b), q.lack(a)) })
	return order
}

// lanesByService returns the rank's lanes, the one with the least served account first, of
// several the one whose first request is closest to its target.
func (q *Queue) lanesByService(rank dragonflypass.Rank) []*lane {
	var lanes []*lane
	for key, l := range q.lanes {
		if key.rank == rank {
			lanes = append(lanes, l)
		}
	}
	slices.SortFunc(lanes, func(a, b *lane) int {
		if order := cmp.Compare(a.least(), b.least()); order != 0 {
			return order
		}
		if order := a.target().Compare(b.target()); order != 0 {
			return order
		}
		if order := cmp.Compare(a.key.class, b.key.class); order != 0 {
			return order
		}
		return cmp.Or(cmp.Compare(a.key.model, b.key.model), cmp.Compare(a.key.only, b.key.only))
	})
	return lanes
}

// Charge counts service given to an account and its rank.
func (q *Queue) Charge(rank dragonflypass.Rank, id dragonflypass.AccountID, weight float64, tokens int, now time.Time) {
	q.decay(now)
	q.ranks[rank].served += float64(tokens)
	key := accountKey{rank: rank, id: id}
	a, ok := q.accounts[key]
	if !ok {
		a = &account{counter: q.ranks[rank].virtual, weight: weight}
		q.accounts[key] = a
	}
	a.counter += float64(tokens) / math.Max(weight, math.SmallestNonzeroFloat32)
}

func (q *Queue) decay(now time.Time) {
	span := now.Sub(q.decayed)
	if span < time.Second {
		return
	}
	q.decayed = now
	factor := math.Exp2(-span.Seconds() / shareHalfLife.Seconds())
	for i := range q.ranks {
		q.ranks[i].served *= factor
	}
}

// Backlog returns the waiting prompt tokens of the model, up to and including the rank.
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

// PredictWait predicts a further request's time in the queue at the given rate in tokens a second.
//
// Within its rank the request waits for the whole backlog or, when that is less, for
// its own account's backlog at the account's share; the more urgent ranks go first,
// but for the floor of its own.
func (q *Queue) PredictWait(request *dragonflypass.PermitRequest, rate float64, _ time.Time) time.Duration {
	if rate <= 0 {
		return 0
	}
	own := float64(q.rankBacklog(request.Model, request.Rank))
	if a, ok := q.accounts[accountKey{rank: request.Rank, id: request.Account}]; !ok || a.queued == 0 {
		own = math.Min(own, float64(request.PromptTokens)*q.ranks[request.Rank].weight/math.Max(request.Weight, 1e-9))
	} else {
		own = math.Min(own, float64(a.tokens)*q.ranks[request.Rank].weight/a.weight)
	}
	urgent := 0.0
	if request.Rank > 0 {
		urgent = float64(q.Backlog(request.Model, request.Rank-1))
	}
	seconds := (urgent + own) / rate
	if floor := q.Policies()[request.Rank].MinShare; floor > 0 {
		seconds = math.Min(seconds, own/(floor*rate))
	}
	return time.Duration(seconds * float64(time.Second))
}

// PopExpired takes out and returns the requests whose latest start has passed.
func (q *Queue) PopExpired(now time.Time) []*dragonflypass.QueuedRequest {
	var expired []*dragonflypass.QueuedRequest
	for len(q.latest) > 0 && !now.Before(q.latest[0].waiting.Request.LatestStart) {
		e := q.latest[0]
		q.remove(e)
		expired = append(expired, e.waiting)
	}
	return expired
}

// Filter takes out and returns the requests that keep rejects.
func (q *Queue) Filter(keep func(*dragonflypass.QueuedRequest) bool) []*dragonflypass.QueuedRequest {
	var rejected []*dragonflypass.QueuedRequest
	for waiting, e := range q.entries {
		if !keep(waiting) {
			q.remove(e)
			rejected = append(rejected, waiting)
		}
	}
	slices.SortFunc(rejected, func(a, b *dragonflypass.QueuedRequest) int {
		return cmp.Or(a.QueuedAt.Compare(b.QueuedAt), cmp.Compare(a.Request.Stream.Sequence, b.Request.Stream.Sequence))
	})
	return rejected
}
