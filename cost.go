package dragonflypass

import "time"

// CostLevel is how specific a cost key is.
type CostLevel uint8

// The levels of cost keys, from the least to the most specific one.
const (
	// CostOfRoute keys select the requests of a route at a service.
	CostOfRoute CostLevel = iota
	// CostOfClass keys select a length class in addition.
	CostOfClass
	// CostOfAccount keys select a client account in addition.
	CostOfAccount
	// CostOfPart keys select the first shared part of the prompt in addition.
	CostOfPart
	CostLevelCount = 4
)

// CostKey selects requests that are expected to cost about the same. The fields beyond its level are zero.
type CostKey struct {
	Level   CostLevel
	Service ServiceID
	Route   string
	Class   LengthClass
	Account AccountID
	Part    SharedPart
}

// At returns the key of the level that selects the requests of k and others.
func (k CostKey) At(level CostLevel) CostKey {
	k.Level = level
	if level < CostOfPart {
		k.Part = ""
	}
	if level < CostOfAccount {
		k.Account = ""
	}
	if level < CostOfClass {
		k.Class = 0
	}
	return k
}

// CostReport is what an entry VM has learned from its own requests about the cost of requests. It contains nothing that
// the VM has learned from other VMs, so that no request counts twice.
type CostReport struct {
	Key CostKey
	// Time is the mean processing time and TimeSpread its mean deviation; TimeCount is the number of requests that they rest on,
	// of which older ones count less.
	Time       time.Duration
	TimeSpread time.Duration
	TimeCount  float64
	// Output is the mean length of the answer in tokens, OutputSpread its mean deviation, and OutputCount as TimeCount.
	Output       float64
	OutputSpread float64
	OutputCount  float64
}

// PaceReport is what an entry VM has observed itself of the speed of a server.
type PaceReport struct {
	Server    ServerID
	Service   ServiceID
	Zone      AvailabilityZone
	StartedAt int64
	// Mean is the mean of how much longer than predicted responses took there, in powers of two, and Count the number of
	// observations, of which older ones count less.
	Mean  float64
	Count float64
}

// OutputEstimate is the expected length of an answer in tokens.
type OutputEstimate struct {
	// Mean is the mean, zero if nothing is known. High is a length that few answers exceed.
	Mean int
	High int
}
