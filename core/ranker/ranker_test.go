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

func everything(*dragonflypass.QueuedRequest) bool { return true }

// serve takes out and charges the next n requests and counts them by key.
func serve(q *Queue, n int, key func(*dragonflypass.QueuedRequest) string) map[string]int {
	counts := make(map[string]int)
	for range n {
		w := q.Pop(start, everything)
		if w == nil {
			break
		}
		q.Charge(w.Request.Rank, w.Request.Account, w.Request.Weight, w.Request.PromptTokens, start)
		counts[key(w)]++
	}
	return counts
}

func TestFloorsHoldInAFlood(t *testing.T) {
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

func TestAccountsShareARank(t *testing.T) {
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

// TestReturningAccountClaimsNothing has an account come back that was idle while others were served.
func TestReturningAccountClaimsNothing(t *testing.T) {
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

// TestBlockedRequestHoldsUpNoOther has the first request of an account fit nowhere.
func TestBlockedRequestHoldsUpNoOther(t *testing.T) {
	c := qt.New(t)
	q := New(policies)
	blocked := request("a", dragonflypass.RankNormal, 1000)
	free := request("a", dragonflypass.RankNormal, 1000)
	q.Push(blocked, start)
	q.Push(free, start)
	c.Check(q.Pop(start, func(w *dragonflypass.QueuedRequest) bool { return w != blocked }), qt.Equals, free)
}

func TestExpired(t *testing.T) {
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

// TestRandomUse holds that whatever is pushed comes out once, and that the sums return to zero.
func TestRandomUse(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q := New(policies)
		inside := make(map[*dragonflypass.QueuedRequest]bool)
		take := func(w *dragonflypass.QueuedRequest) {
			if !inside[w] {
				r.Fatalf("a request came out twice")
			}
			delete(inside, w)
		}
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			switch rapid.IntRange(0, 4).Draw(r, "step") {
			case 0, 1:
				w := request(fmt.Sprint("a", rapid.IntRange(0, 4).Draw(r, "account")), dragonflypass.Rank(rapid.IntRange(0, 2).Draw(r, "rank")), rapid.IntRange(1, 300_000).Draw(r, "tokens"))
				w.Request.LatestStart = start.Add(time.Duration(rapid.IntRange(0, 100).Draw(r, "latest")) * time.Second)
				q.Push(w, start)
				inside[w] = true
			case 2:
				if w := q.Pop(start, everything); w != nil {
					take(w)
					q.Charge(w.Request.Rank, w.Request.Account, 1, w.Request.PromptTokens, start)
				}
			case 3:
				for _, w := range q.PopExpired(start.Add(time.Duration(rapid.IntRange(0, 50).Draw(r, "now")) * time.Second)) {
					take(w)
				}
			case 4:
				for w := range inside {
					if q.Remove(w) {
						take(w)
					}
					break
				}
			}
			if q.Len() != len(inside) {
				r.Fatalf("%d requests inside, not %d", q.Len(), len(inside))
			}
		}
		for w := q.Pop(start, everything); w != nil; w = q.Pop(start, everything) {
			take(w)
		}
		if len(inside) != 0 || q.Backlog(model, dragonflypass.RankBulk) != 0 {
			r.Fatalf("%d requests and %d tokens left", len(inside), q.Backlog(model, dragonflypass.RankBulk))
		}
	})
}

// TestLargeAccountDoesNotGoFirst has a large account's overdue short requests before a small account's longer one.
func TestLargeAccountDoesNotGoFirst(t *testing.T) {
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
	c.Check(q.Pop(start, everything), qt.Equals, small)
}
