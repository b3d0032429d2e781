package dragonflypass

import "time"

// Rank is the urgency of a request; lower values are served first.
type Rank uint8

// The ranks.
const (
	RankUrgent Rank = iota
	RankNormal
	RankBulk
	RankCount = 3
)

var rankNames = [RankCount]string{"urgent", "normal", "bulk"}

// String returns the rank's name as used in settings and metrics.
func (r Rank) String() string {
	if r >= RankCount {
		return "unknown"
	}
	return rankNames[r]
}

// ParseRank returns the rank with the given name; ok is false if there is none.
func ParseRank(name string) (rank Rank, ok bool) {
	for i, rankName := range rankNames {
		if rankName == name {
			return Rank(i), true
		}
	}
	return 0, false
}

// RankPolicy holds the service targets of a rank.
type RankPolicy struct {
	// FirstTokenTarget is the target for the time to the first token of a prompt in ClassShort; it
	// grows in proportion to the length of longer prompts.
	FirstTokenTarget time.Duration
	// Timeout is the time within which an admitted request finishes or fails.
	Timeout time.Duration
	// MinShare is the minimum share of service, 0 to 1, that the rank gets while it has queued requests.
	MinShare float64
}

// LengthClass is a class of prompt lengths in tokens.
type LengthClass uint8

// The length classes; ClassBounds holds their upper bounds.
const (
	ClassShort LengthClass = iota
	ClassMedium
	ClassLong
	ClassHuge
	ClassCount = 4
)

// ClassBounds holds the maximum prompt length of each length class in tokens; the last class has none.
var ClassBounds = [ClassCount - 1]int{2_000, 16_000, 128_000}

var classNames = [ClassCount]string{"2k", "16k", "128k", "over"}

// String returns the class's name as used in metrics, which is its upper bound.
func (c LengthClass) String() string {
	if c >= ClassCount {
		return "unknown"
	}
	return classNames[c]
}

// ClassOf returns the length class of a prompt with the given number of tokens.
func ClassOf(tokens int) LengthClass {
	for i, bound := range ClassBounds {
		if tokens <= bound {
			return LengthClass(i)
		}
	}
	return ClassHuge
}
