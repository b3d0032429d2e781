package placer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/dragonflypass/dragonflypass"
)

// ShortestWait prefers the shortest predicted time to the first token.
type ShortestWait struct{}

// Sort sorts by predicted time, then by fewer requests in flight, then by more free memory.
func (ShortestWait) Sort(candidates []dragonflypass.Candidate) {
	slices.SortFunc(candidates, func(a, b dragonflypass.Candidate) int {
		return cmp.Or(
			cmp.Compare(a.Wait+a.NetworkDelay-a.CacheSavings, b.Wait+b.NetworkDelay-b.CacheSavings),
			cmp.Compare(a.InFlight, b.InFlight),
			cmp.Compare(b.Free, a.Free),
			cmp.Compare(a.Name, b.Name),
		)
	})
}

// TwoChoices chooses the better of two random candidates by predicted time, so that VMs with
// the same outdated load summaries do not all choose the same candidate.
type TwoChoices struct {
	// Random is the source of the choices.
	Random *rand.Rand

	mutex sync.Mutex
}

// Sort places the better of two random candidates first, followed by the others by predicted time.
func (t *TwoChoices) Sort(candidates []dragonflypass.Candidate) {
	ShortestWait{}.Sort(candidates)
	if len(candidates) <= 2 {
		return
	}
	t.mutex.Lock()
	first, second := t.Random.IntN(len(candidates)), t.Random.IntN(len(candidates)-1)
	t.mutex.Unlock()
	if second >= first {
		second++
	}
	better := min(first, second)
	best := candidates[better]
	copy(candidates[1:better+1], candidates[:better])
	candidates[0] = best
}

// RoundRobin is the round-robin baseline.
type RoundRobin struct {
	counter atomic.Uint64
}

// Sort places the next candidate in turn first.
func (r *RoundRobin) Sort(candidates []dragonflypass.Candidate) {
	sortByName(candidates)
	if len(candidates) == 0 {
		return
	}
	rotateLeft(candidates, int(r.counter.Add(1)%uint64(len(candidates))))
}

// FewestInFlight is the baseline that prefers the fewest requests in flight.
type FewestInFlight struct{}

// Sort sorts by requests in flight.
func (FewestInFlight) Sort(candidates []dragonflypass.Candidate) {
	slices.SortFunc(candidates, func(a, b dragonflypass.Candidate) int {
		return cmp.Or(cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.Name, b.Name))
	})
}

// Random is the baseline that chooses at random.
type Random struct {
	// Random is the source of the choices.
	Random *rand.Rand

	mutex sync.Mutex
}

// Sort shuffles the candidates.
func (r *Random) Sort(candidates []dragonflypass.Candidate) {
	sortByName(candidates)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
}

func sortByName(candidates []dragonflypass.Candidate) {
	slices.SortFunc(candidates, func(a, b dragonflypass.Candidate) int { return cmp.Compare(a.Name, b.Name) })
}

func rotateLeft(candidates []dragonflypass.Candidate, count int) {
	slices.Reverse(candidates[:count])
	slices.Reverse(candidates[count:])
	slices.Reverse(candidates)
}

var (
	_ dragonflypass.Placement = ShortestWait{}
	_ dragonflypass.Placement = (*TwoChoices)(nil)
	_ dragonflypass.Placement = (*RoundRobin)(nil)
	_ dragonflypass.Placement = FewestInFlight{}
	_ dragonflypass.Placement = (*Random)(nil)
)
