package placer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/dragonflypass/dragonflypass"
)

// Least places by the fewest predicted seconds to the first token.
type Least struct{}

// Sort sorts by predicted time, then by fewer requests, then by more memory.
func (Least) Sort(candidates []dragonflypass.Candidate) {
	slices.SortFunc(candidates, func(a, b dragonflypass.Candidate) int {
		return cmp.Or(
			cmp.Compare(a.Wait+a.NetworkDelay-a.CacheSavings, b.Wait+b.NetworkDelay-b.CacheSavings),
			cmp.Compare(a.InFlight, b.InFlight),
			cmp.Compare(b.Free, a.Free),
			cmp.Compare(a.Name, b.Name),
		)
	})
}

// TwoChoices compares two random candidates by predicted time, so that many
// nodes with the same lagging digests do not all choose the same place.
type TwoChoices struct {
	// Random is the source of the choices.
	Random *rand.Rand

	mutex sync.Mutex
}

// Sort puts the better of two random candidates first and the others behind by predicted time.
func (t *TwoChoices) Sort(candidates []dragonflypass.Candidate) {
	Least{}.Sort(candidates)
	if len(candidates) <= 2 {
		return
	}
	t.mutex.Lock()
	first, second := t.Random.IntN(len(candidates)), t.Random.IntN(len(candidates)-1)
	t.mutex.Unlock()
	if second >= first {
		second++
	}
	chosen := min(first, second)
	best := candidates[chosen]
	copy(candidates[1:chosen+1], candidates[:chosen])
	candidates[0] = best
}

// Rotation is the round robin baseline.
type Rotation struct {
	turn atomic.Uint64
}

// Sort puts the next candidate in turn first.
func (r *Rotation) Sort(candidates []dragonflypass.Candidate) {
	byName(candidates)
	if len(candidates) == 0 {
		return
	}
	rotate(candidates, int(r.turn.Add(1)%uint64(len(candidates))))
}

// Fewest is the baseline that chooses the fewest outstanding requests.
type Fewest struct{}

// Sort sorts by outstanding requests.
func (Fewest) Sort(candidates []dragonflypass.Candidate) {
	slices.SortFunc(candidates, func(a, b dragonflypass.Candidate) int {
		return cmp.Or(cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.Name, b.Name))
	})
}

// Uniform is the baseline that chooses at random.
type Uniform struct {
	// Random is the source of the choices.
	Random *rand.Rand

	mutex sync.Mutex
}

// Sort shuffles the candidates.
func (u *Uniform) Sort(candidates []dragonflypass.Candidate) {
	byName(candidates)
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.Random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
}

func byName(candidates []dragonflypass.Candidate) {
	slices.SortFunc(candidates, func(a, b dragonflypass.Candidate) int { return cmp.Compare(a.Name, b.Name) })
}

func rotate(candidates []dragonflypass.Candidate, by int) {
	slices.Reverse(candidates[:by])
	slices.Reverse(candidates[by:])
	slices.Reverse(candidates)
}

var (
	_ dragonflypass.Placement = Least{}
	_ dragonflypass.Placement = (*TwoChoices)(nil)
	_ dragonflypass.Placement = (*Rotation)(nil)
	_ dragonflypass.Placement = Fewest{}
	_ dragonflypass.Placement = (*Uniform)(nil)
)
