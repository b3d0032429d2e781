package tracer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Request is one arrival of a trace.
type Request struct {
	At      time.Duration
	Account dragonflypass.AccountID
	Rank    dragonflypass.Rank
	// Prompt and Output are in tokens.
	Prompt int
	Output int
	// Body tells requests apart; equal ones are copies.
	Body dragonflypass.Digest
	// Crashes is set when the request crashes the server that runs it.
	Crashes bool
}

// Load describes a flow of requests of one rank.
type Load struct {
	Rank dragonflypass.Rank
	// Rate is in prompt tokens a second.
	Rate float64
	// Accounts send equal parts of the flow.
	Accounts []dragonflypass.AccountID
	From     time.Duration
	Until    time.Duration
	// Long is the part of the requests that have more than a hundred thousand tokens.
	Long float64
}

const (
	// medianPrompt and spreadPrompt describe the log-normal length of usual prompts in tokens.
	medianPrompt = 2_500
	spreadPrompt = 0.9
	shortest     = 1_000
	longestUsual = 100_000
	// longest is the longest prompt of a trace in tokens; one server holds it.
	longest = 380_000
	// medianOutput and spreadOutput describe the log-normal length of answers in tokens.
	medianOutput = 120
	spreadOutput = 0.6
	longestOut   = 600
)

// Mean is the mean prompt length in tokens of a flow with the part of long prompts.
func Mean(long float64) float64 {
	usual := medianPrompt*math.Exp(spreadPrompt*spreadPrompt/2) + 150
	return (1-long)*usual + long*(longestUsual+longest)/2
}

// Make returns the arrivals of the loads in the order of their instants; the same seed gives the same trace.
func Make(seed uint64, loads ...Load) []Request {
	var trace []Request
	for i, load := range loads {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		perSecond := load.Rate / Mean(load.Long)
		at := load.From
		for {
			at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
			if at >= load.Until {
				break
			}
			trace = append(trace, arrival(random, load, at, len(trace)))
		}
	}
	slices.SortStableFunc(trace, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return trace
}

func arrival(random *rand.Rand, load Load, at time.Duration, number int) Request {
	prompt := min(longestUsual, max(shortest, int(medianPrompt*math.Exp(random.NormFloat64()*spreadPrompt))))
	if random.Float64() < load.Long {
		prompt = longestUsual + random.IntN(longest-longestUsual)
	}
	output := min(longestOut, max(8, int(medianOutput*math.Exp(random.NormFloat64()*spreadOutput))))
	request := Request{At: at, Account: load.Accounts[random.IntN(len(load.Accounts))], Rank: load.Rank, Prompt: prompt, Output: output}
	copy(request.Body[:], fmt.Sprintf("%d/%d/%d", load.Rank, number, prompt))
	return request
}
