package dragonflypass

import "time"

// Rank is the urgency of a request; lower values are served first.
type Rank uint8

// The three ranks of work.
const (
	RankUrgent Rank = iota
	RankNormal
	RankBulk
	RankCount = 3
)

var rankNames = [RankCount]string{"urgent", "normal", "bulk"}

// String returns the rank's name in settings and metrics.
func (r Rank) String() string {
	if r >= RankCount {
		return "unknown"
	}
	return rankNames[r]
}

// ParseRank returns the rank with the given name; ok is false when there is none.
func ParseRank(name string) (rank Rank, ok bool) {
	for i, known := range rankNames {
		if known == name {
			return Rank(i), true
		}
	}
	return 0, false
}

// RankPolicy holds the targets of one rank.
type RankPolicy struct {
	// FirstTokenTarget is the target for the first token of a prompt of FirstTokens tokens or fewer.
	FirstTokenTarget time.Duration
	// Timeout is the time in which an admitted request finishes or fails.
	Timeout time.Duration
	// MinShare is the share of service, 0 to 1, that the rank keeps while it has work.
	MinShare float64
}

// LengthClass groups prompts by their length in tokens.
type LengthClass uint8

// The length classes; their upper bounds are in ClassBounds.
const (
	ClassShort LengthClass = iota
	ClassMedium
	ClassLong
	ClassHuge
	ClassCount = 4
)

// ClassBounds holds the largest prompt of each length class in tokens, the last class being open.
var ClassBounds = [ClassCount - 1]int{2_000, 16_000, 128_000}

var classNames = [ClassCount]string{"2k", "16k", "128k", "over"}

// String returns the class's name in metrics, after its upper bound.
func (c LengthClass) String() string {
	if c >= ClassCount {
		return "unknown"
	}
	return classNames[c]
}

// ClassOf returns the length class of a prompt of the given number of tokens.
func ClassOf(tokens int) LengthClass {
	for i, bound := range ClassBounds {
		if tokens <= bound {
			return LengthClass(i)
		}
	}
	return ClassHuge
}
