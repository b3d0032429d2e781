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

// Request is one request of a trace. At is its arrival time after the start of the trace.
type Request struct {
	At      time.Duration
	Account dragonflypass.AccountID
	Rank    dragonflypass.Rank
	// PromptTokens and OutputTokens are the lengths of the prompt and of the answer.
	PromptTokens int
	OutputTokens int
	// Body identifies the content of the request: requests with the same body are copies of each other.
	Body dragonflypass.Digest
	// CrashesServer is set if the request crashes the server that runs it.
	CrashesServer bool
}

// Load describes the requests of one rank that arrive between two times.
type Load struct {
	Rank dragonflypass.Rank
	// TokenRate is in prompt tokens per second.
	TokenRate float64
	// Accounts are the accounts that send the requests, in equal shares.
	Accounts []dragonflypass.AccountID
	From     time.Duration
	Until    time.Duration
	// LongShare is the share of requests with more than 100,000 prompt tokens.
	LongShare float64
}

const (
	// medianPromptTokens and promptSigma describe the log-normal length of regular prompts.
	medianPromptTokens     = 2_500
	promptSigma            = 0.9
	minPromptTokens        = 1_000
	maxRegularPromptTokens = 100_000
	// maxPromptTokens is the longest prompt of a trace; it fits on one server.
	maxPromptTokens = 380_000
	// medianOutputTokens and outputSigma describe the log-normal length of answers.
	medianOutputTokens = 120
	outputSigma        = 0.6
	maxOutputTokens    = 600
)

// MeanPromptTokens returns the mean prompt length of a load with the given share of long prompts, in tokens.
func MeanPromptTokens(longShare float64) float64 {
	regularMean := medianPromptTokens*math.Exp(promptSigma*promptSigma/2) + 150
	return (1-longShare)*regularMean + longShare*(maxRegularPromptTokens+maxPromptTokens)/2
}

// Generate returns the requests of the loads in order of arrival. The same seed gives the same trace.
func Generate(seed uint64, loads ...Load) []Request {
	var trace []Request
	for i, load := range loads {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		perSecond := load.TokenRate / MeanPromptTokens(load.LongShare)
		at := load.From
		for {
			at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
			if at >= load.Until {
				break
			}
			trace = append(trace, newRequest(random, load, at, len(trace)))
		}
	}
	slices.SortStableFunc(trace, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return trace
}

func newRequest(random *rand.Rand, load Load, at time.Duration, index int) Request {
	prompt := min(maxRegularPromptTokens, max(minPromptTokens, int(medianPromptTokens*math.Exp(random.NormFloat64()*promptSigma))))
	if random.Float64() < load.LongShare {
		prompt = maxRegularPromptTokens + random.IntN(maxPromptTokens-maxRegularPromptTokens)
	}
	output := min(maxOutputTokens, max(8, int(medianOutputTokens*math.Exp(random.NormFloat64()*outputSigma))))
	request := Request{At: at, Account: load.Accounts[random.IntN(len(load.Accounts))], Rank: load.Rank, PromptTokens: prompt, OutputTokens: output}
	copy(request.Body[:], fmt.Sprintf("%d/%d/%d", load.Rank, index, prompt))
	return request
}
