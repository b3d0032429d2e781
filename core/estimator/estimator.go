package estimator

import (
	"math"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// defaultBytesPerToken is used until a request of the account and model has completed.
	defaultBytesPerToken = 3.5
	// defaultOutputTokens is the output length that is used until a request of the account and model has completed.
	defaultOutputTokens = 256
	// smoothingFactor is the weight of a new observation in the moving averages.
	smoothingFactor = 0.1
	// minBytesPerToken and maxBytesPerToken limit the observations, so that an implausible one has little effect.
	minBytesPerToken = 0.5
	maxBytesPerToken = 16
	// deviationFactor is the number of mean deviations by which an estimate exceeds the mean.
	deviationFactor = 2
	// maxLengthEstimates is the largest number of pairs of account and model for which estimates are kept.
	maxLengthEstimates = 100_000
)

// Estimator maintains moving averages over completed requests.
type Estimator struct {
	mutex         locker.Mutex
	lengths       map[accountModel]*lengthEstimate
	timesPerToken map[dragonflypass.ModelID]*timePerTokenEstimate
}

// timePerTokenEstimate is the moving average of the time per output token, and its mean deviation, in nanoseconds.
type timePerTokenEstimate struct {
	mean      float64
	deviation float64
}

type accountModel struct {
	account dragonflypass.AccountID
	model   dragonflypass.ModelID
}

// lengthEstimate holds moving averages; deviation is the mean deviation of the output length in tokens.
type lengthEstimate struct {
	bytesPerToken float64
	outputTokens  float64
	deviation     float64
}

// New returns an estimator without observations.
func New() *Estimator {
	return &Estimator{mutex: locker.Mutex{Order: locker.Accounts}, lengths: make(map[accountModel]*lengthEstimate), timesPerToken: make(map[dragonflypass.ModelID]*timePerTokenEstimate)}
}

// PromptTokens estimates the number of tokens in a text of the given length in bytes; it is at least 1.
func (e *Estimator) PromptTokens(account dragonflypass.AccountID, model dragonflypass.ModelID, textBytes int) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	bytesPerToken := defaultBytesPerToken
	if estimate, ok := e.lengths[accountModel{account: account, model: model}]; ok {
		bytesPerToken = estimate.bytesPerToken
	}
	return max(1, int(math.Ceil(float64(textBytes)/bytesPerToken)))
}

// OutputTokens estimates the output length of a request in tokens, at most maxTokens. The estimate is above the mean, so
// that most outputs are shorter.
func (e *Estimator) OutputTokens(account dragonflypass.AccountID, model dragonflypass.ModelID, maxTokens int) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	estimate, ok := e.lengths[accountModel{account: account, model: model}]
	if !ok {
		return min(maxTokens, defaultOutputTokens)
	}
	return min(maxTokens, int(math.Ceil(estimate.outputTokens+deviationFactor*estimate.deviation)))
}

// RecordCompletion records a completed request: its prompt length in bytes and tokens, and its output length in tokens.
func (e *Estimator) RecordCompletion(account dragonflypass.AccountID, model dragonflypass.ModelID, promptBytes, promptTokens, outputTokens int) {
	if promptBytes <= 0 || promptTokens <= 0 {
		return
	}
	bytesPerToken := math.Min(maxBytesPerToken, math.Max(minBytesPerToken, float64(promptBytes)/float64(promptTokens)))
	e.mutex.Lock()
	defer e.mutex.Unlock()
	key := accountModel{account: account, model: model}
	estimate, ok := e.lengths[key]
	if !ok {
		if len(e.lengths) >= maxLengthEstimates {
			return
		}
		e.lengths[key] = &lengthEstimate{bytesPerToken: bytesPerToken, outputTokens: float64(outputTokens), deviation: float64(outputTokens) / 2}
		return
	}
	estimate.bytesPerToken += smoothingFactor * (bytesPerToken - estimate.bytesPerToken)
	estimate.deviation += smoothingFactor * (math.Abs(float64(outputTokens)-estimate.outputTokens) - estimate.deviation)
	estimate.outputTokens += smoothingFactor * (float64(outputTokens) - estimate.outputTokens)
}

// TimePerToken estimates the time per output token of the model. The estimate is above the mean, so that most outputs
// are faster; it is zero before the first observation.
func (e *Estimator) TimePerToken(model dragonflypass.ModelID) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	estimate, ok := e.timesPerToken[model]
	if !ok {
		return 0
	}
	return time.Duration(estimate.mean + deviationFactor*estimate.deviation)
}

// RecordTimePerToken records the mean time per output token of a completed request.
func (e *Estimator) RecordTimePerToken(model dragonflypass.ModelID, timePerToken time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	estimate, ok := e.timesPerToken[model]
	if !ok {
		e.timesPerToken[model] = &timePerTokenEstimate{mean: float64(timePerToken)}
		return
	}
	estimate.deviation += smoothingFactor * (math.Abs(float64(timePerToken)-estimate.mean) - estimate.deviation)
	estimate.mean += smoothingFactor * (float64(timePerToken) - estimate.mean)
}
