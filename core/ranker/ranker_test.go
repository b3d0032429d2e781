package ranker

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dragonflypass/dragonflypass"
)

const model = dragonflypass.ModelID("model")

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func policies() [dragonflypass.RankCount]dragonflypass.RankPolicy {
	ranks := dragonflypass.DefaultRanks()
	ranks[dragonflypass.RankUrgent].MinShare, ranks[dragonflypass.RankNormal].MinShare, ranks[dragonflypass.RankBulk].MinShare = 0.5, 0.2, 0.1
	return ranks
}

func request(account string, rank dragonflypass.Rank, tokens int) *dragonflypass.QueuedRequest {
	return &dragonflypass.QueuedRequest{QueuedAt: start, Request: dragonflypass.PermitRequest{
		Account: dragonflypass.AccountID(account), Weight: 1, Model: model, Rank: rank, PromptTokens: tokens,
		FirstTokenDeadline: start.Add(time.Second), LatestStart: start.Add(time.Minute),
	}}
}

func acceptAll(*dragonflypass.QueuedRequest) bool { return true }

// serve pops and charges the next n requests and counts them by key.
func serve(q *Queue, n int, key func(*dragonflypass.QueuedRequest) string) map[string]int {
	counts := make(map[string]int)
	for range n {
		w := q.Pop(start, acceptAll)
		if w == nil {
			break
		}
		q.Charge(w.Request.Rank, w.Request.Account, w.Request.Weight, w.Request.PromptTokens, start)
		counts[key(w)]++
	}
	return counts
}

func TestMinSharesUnderOverload(t *testing.T) {
	c := qt.New(t)
	q := New(policies)
	for i := range 1000 {
		for rank := range dragonflypass.Rank(dragonflypass.RankCount) {
			q.Push(request(fmt.Sprint("a", i%5), rank, 1000), start)
		}
	}
	counts := serve(q, 1000, func(w *dragonflypass.QueuedRequest) string { return w.Request.Rank.String() })
	c.Check(counts["normal"] >= 190, qt.IsTrue, qt.Commentf("%v", counts))
	c.Check(counts["bulk"] >= 90, qt.IsTrue, qt.Commentf("%v", counts))
	c.Check(counts["urgent"] >= 650, qt.IsTrue, qt.Commentf("%v", counts))
}

func TestAccountsShareRankEqually(t *testing.T) {
	c := qt.New(t)
	q := New(policies)
	for range 900 {
		q.Push(request("large", dragonflypass.RankNormal, 1000), start)
	}
	for range 50 {
		q.Push(request("small", dragonflypass.RankNormal, 1000), start)
	}
	counts := serve(q, 100, func(w *dragonflypass.QueuedRequest) string { return string(w.Request.Account) })
	c.Check(counts["small"], qt.Equals, 50)
}

// TestIdleAccountGetsNoCredit checks that an account gets no extra service for the time when it was idle.
func TestIdleAccountGetsNoCredit(t *testing.T) {
	c := qt.New(t)
	q := New(policies)
	for range 300 {
		q.Push(request("busy", dragonflypass.RankNormal, 1000), start)
	}
	serve(q, 100, func(*dragonflypass.QueuedRequest) string { return "" })
	for range 100 {
		q.Push(request("idle", dragonflypass.RankNormal, 1000), start)
	}
	counts := serve(q, 100, func(w *dragonflypass.QueuedRequest) string { return string(w.Request.Account) })
	c.Check(counts["busy"] >= 45, qt.IsTrue, qt.Commentf("%v", counts))
}

func TestWeightsScaleShares(t *testing.T) {
	c := qt.New(t)
	q := New(policies)
	for range 300 {
		heavy := request("heavy", dragonflypass.RankNormal, 1000)
		heavy.Request.Weight = 3
		q.Push(heavy, start)
		q.Push(request("light", dragonflypass.RankNormal, 1000), start)
	}
	counts := serve(q, 200, func(w *dragonflypass.QueuedRequest) string { return string(w.Request.Account) })
	c.Check(counts["heavy"] >= 145 && counts["heavy"] <= 155, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestBlockedRequestDoesNotBlockAccount checks that an account's next request is served if its first one fits nowhere.
func TestBlockedRequestDoesNotBlockAccount(t *testing.T) {
	c := qt.New(t)
	q := New(policies)
	blocked := request("a", dragonflypass.RankNormal, 1000)
	runnable := request("a", dragonflypass.RankNormal, 1000)
	q.Push(blocked, start)
	q.Push(runnable, start)
	c.Check(q.Pop(start, func(w *dragonflypass.QueuedRequest) bool { return w != blocked }), qt.Equals, runnable)
}

func TestPopExpired(t *testing.T) {
	c := qt.New(t)
	q := New(policies)
	early := request("a", dragonflypass.RankNormal, 1000)
	early.Request.LatestStart = start.Add(time.Second)
	q.Push(request("a", dragonflypass.RankNormal, 1000), start)
	q.Push(early, start)
	c.Check(q.PopExpired(start), qt.HasLen, 0)
	c.Check(q.PopExpired(start.Add(time.Second)), qt.DeepEquals, []*dragonflypass.QueuedRequest{early})
	c.Check(q.Len(), qt.Equals, 1)
}

// TestRandomOperations checks that each pushed request is returned once and that the backlog returns to zero.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q := New(policies)
		queued := make(map[*dragonflypass.QueuedRequest]bool)
		expectQueued := func(w *dragonflypass.QueuedRequest) {
			if !queued[w] {
				r.Fatalf("a request was returned twice or was never queued")
			}
			delete(queued, w)
		}
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			switch rapid.IntRange(0, 4).Draw(r, "step") {
			case 0, 1:
				w := request(fmt.Sprint("a", rapid.IntRange(0, 4).Draw(r, "account")), dragonflypass.Rank(rapid.IntRange(0, 2).Draw(r, "rank")), rapid.IntRange(1, 300_000).Draw(r, "tokens"))
				w.Request.LatestStart = start.Add(time.Duration(rapid.IntRange(0, 100).Draw(r, "latest")) * time.Second)
				q.Push(w, start)
				queued[w] = true
			case 2:
				if w := q.Pop(start, acceptAll); w != nil {
					expectQueued(w)
					q.Charge(w.Request.Rank, w.Request.Account, 1, w.Request.PromptTokens, start)
				}
			case 3:
				for _, w := range q.PopExpired(start.Add(time.Duration(rapid.IntRange(0, 50).Draw(r, "now")) * time.Second)) {
					expectQueued(w)
				}
			case 4:
				for w := range queued {
					if q.Remove(w) {
						expectQueued(w)
					}
					break
				}
			}
			if q.Len() != len(queued) {
				r.Fatalf("Len is %d, want %d", q.Len(), len(queued))
			}
		}
		for w := q.Pop(start, acceptAll); w != nil; w = q.Pop(start, acceptAll) {
			expectQueued(w)
		}
		if len(queued) != 0 || q.Backlog(model, dragonflypass.RankBulk) != 0 {
			r.Fatalf("%d requests and %d tokens are still queued", len(queued), q.Backlog(model, dragonflypass.RankBulk))
		}
	})
}

// TestLargeAccountIsNotServedFirst checks that overdue short requests of a large account do not
// overtake a longer request of a small account that has received less service.
func TestLargeAccountIsNotServedFirst(t *testing.T) {
	c := qt.New(t)
	q := New(policies)
	for range 100 {
		overdue := request("large", dragonflypass.RankNormal, 1000)
		overdue.Request.FirstTokenDeadline = start.Add(-time.Second)
		q.Push(overdue, start)
	}
	serve(q, 10, func(*dragonflypass.QueuedRequest) string { return "" })
	small := request("small", dragonflypass.RankNormal, 8000)
	small.Request.FirstTokenDeadline = start.Add(time.Minute)
	q.Push(small, start)
	c.Check(q.Pop(start, acceptAll), qt.Equals, small)
}
