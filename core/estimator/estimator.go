package estimator

import (
	"math"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// defaultBytes is the number of bytes in a token before anything is learned.
	defaultBytes = 3.5
	// defaultOutput is the number of tokens in an answer before anything is learned.
	defaultOutput = 256
	// learnRate is the weight of a new observation.
	learnRate = 0.1
	// minBytes and maxBytes bound the bytes in a token that are believed.
	minBytes = 0.5
	maxBytes = 16
	// deviations is the number of mean deviations added to the mean answer.
	deviations = 2
	// rowLimit is the number of account and model pairs that are remembered.
	rowLimit = 100_000
)

// Estimator keeps the table of what was learned.
type Estimator struct {
	mutex locker.Mutex
	rows  map[key]*row
	paces map[dragonflypass.ModelID]*pace
}

// pace is the time for each generated token, with its mean deviation.
type pace struct {
	mean      float64
	deviation float64
}

type key struct {
	account dragonflypass.AccountID
	model   dragonflypass.ModelID
}

type row struct {
	bytes     float64
	output    float64
	deviation float64
}

// New returns an estimator that has learned nothing.
func New() *Estimator {
	return &Estimator{mutex: locker.Mutex{Order: locker.Accounts}, rows: make(map[key]*row), paces: make(map[dragonflypass.ModelID]*pace)}
}

// PromptTokens estimates the tokens in a text of the given number of bytes.
func (e *Estimator) PromptTokens(account dragonflypass.AccountID, model dragonflypass.ModelID, bytes int) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	perToken := defaultBytes
	if r, ok := e.rows[key{account: account, model: model}]; ok {
		perToken = r.bytes
	}
	return max(1, int(math.Ceil(float64(bytes)/perToken)))
}

// OutputTokens estimates the tokens of an answer, leaning to the long side, within the limit.
func (e *Estimator) OutputTokens(account dragonflypass.AccountID, model dragonflypass.ModelID, limit int) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r, ok := e.rows[key{account: account, model: model}]
	if !ok {
		return min(limit, defaultOutput)
	}
	return min(limit, int(math.Ceil(r.output+deviations*r.deviation)))
}

// RecordCompletion takes in a finished request's prompt length in bytes and tokens and its answer's length in tokens.
func (e *Estimator) RecordCompletion(account dragonflypass.AccountID, model dragonflypass.ModelID, bytes, prompt, output int) {
	if bytes <= 0 || prompt <= 0 {
		return
	}
	perToken := math.Min(maxBytes, math.Max(minBytes, float64(bytes)/float64(prompt)))
	e.mutex.Lock()
	defer e.mutex.Unlock()
	k := key{account: account, model: model}
	r, ok := e.rows[k]
	if !ok {
		if len(e.rows) >= rowLimit {
			return
		}
		e.rows[k] = &row{bytes: perToken, output: float64(output), deviation: float64(output) / 2}
		return
	}
	r.bytes += learnRate * (perToken - r.bytes)
	r.deviation += learnRate * (math.Abs(float64(output)-r.output) - r.deviation)
	r.output += learnRate * (float64(output) - r.output)
}

// TimePerToken returns the time for each generated token of the model, leaning to the slow side; zero when nothing is known.
func (e *Estimator) TimePerToken(model dragonflypass.ModelID) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	p, ok := e.paces[model]
	if !ok {
		return 0
	}
	return time.Duration(p.mean + deviations*p.deviation)
}

// RecordTimePerToken takes in the mean time for each generated token of one answer.
func (e *Estimator) RecordTimePerToken(model dragonflypass.ModelID, span time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	p, ok := e.paces[model]
	if !ok {
		e.paces[model] = &pace{mean: float64(span)}
		return
	}
	p.deviation += learnRate * (math.Abs(float64(span)-p.mean) - p.deviation)
	p.mean += learnRate * (float64(span) - p.mean)
}
