package dispatcher

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// defaultOutputTokens is the largest answer, in tokens, of a request that sets no limit.
	defaultOutputTokens = 1024
	// ownWindowMargin is how long before the VM's own maintenance window every request must have ended.
	ownWindowMargin = time.Second
	// longPrefillSlack multiplies the prefill time of a long prompt, which shares its server with short ones.
	longPrefillSlack = 3
	// startSlack multiplies the predicted run time of a request and startMargin is added to it; the sum is the time that
	// must be left before the deadline. startMargin covers the time
	// that an owner takes to detect that a server is behind.
	startSlack  = 1.15
	startMargin = 2500 * time.Millisecond
	// windowPrefillSlack and windowDecodeSlack multiply the predicted times of a request that must end before a maintenance window.
	windowPrefillSlack = 2
	windowDecodeSlack  = 1.25
	// fallbackPrefillRate and fallbackDecodeRate are rates in tokens per second for models without a known server.
	fallbackPrefillRate = 10_000
	fallbackDecodeRate  = 30
)

// CompletionRequest is a completion request as a front end received it.
type CompletionRequest struct {
	ID      string
	Account dragonflypass.AccountID
	Model   dragonflypass.ModelID
	// Rank is the requested rank; the account's own rank is used if the requested one is more urgent.
	Rank dragonflypass.Rank
	// Prompt is the text that the model continues.
	Prompt string
	// MaxOutputTokens is the largest number of tokens to generate, zero for the default.
	MaxOutputTokens int
	// BodyHash is the hash of the parts of the request that are the same in each retry.
	BodyHash dragonflypass.Digest
	// Parts are the parts of the prompt that other prompts may share, sorted and without duplicates.
	Parts   []dragonflypass.SharedPart
	Arrived time.Time
}

// prepare checks the request against the configuration and the account's limits.
// The returned function must be called when the request has ended.
func (d *Dispatcher) prepare(completion CompletionRequest) (*job, func(), *dragonflypass.Refusal) {
	current := d.Current()
	account, ok := current.Accounts[completion.Account]
	if !ok {
		return nil, nil, dragonflypass.Refuse(dragonflypass.ReasonUnauthorized, 0, "unknown client account")
	}
	model, ok := current.Models[completion.Model]
	if !ok {
		return nil, nil, dragonflypass.Refuse(dragonflypass.ReasonNotFound, 0, "unknown model %q", completion.Model)
	}
	if !account.MayUse(completion.Model) {
		return nil, nil, dragonflypass.Refuse(dragonflypass.ReasonForbidden, 0, "account %s may not use model %q", account.ID, completion.Model)
	}
	request, refusal := d.newRequest(completion, account, model)
	if refusal != nil {
		return nil, nil, refusal
	}
	if refusal := d.Quarantiner.Refuses(request.Fingerprint, request.Parts); refusal != nil {
		return nil, nil, refusal
	}
	j := &job{request: request, account: account, weight: current.Weight(account, request.Arrived)}
	if refusal := d.applyOwnWindow(j, current); refusal != nil {
		return nil, nil, refusal
	}
	releaseAdmission, refusal := d.Admitter.Admit(account, request.Tokens())
	if refusal != nil {
		return nil, nil, refusal
	}
	return j, releaseAdmission, nil
}

// newRequest returns the request with its estimated token counts and its deadline.
func (d *Dispatcher) newRequest(completion CompletionRequest, account *dragonflypass.ClientAccount, model *dragonflypass.Model) (*dragonflypass.Request, *dragonflypass.Refusal) {
	rank := max(completion.Rank, account.Rank)
	promptTokens := d.Estimator.PromptTokens(account.ID, model.ID, len(completion.Prompt))
	if promptTokens >= model.Limit {
		return nil, dragonflypass.Refuse(dragonflypass.ReasonTooLarge, 0, "the prompt's %d tokens leave no room for output within the model's limit of %d tokens", promptTokens, model.Limit)
	}
	outputTokens := completion.MaxOutputTokens
	if outputTokens <= 0 {
		outputTokens = defaultOutputTokens
	}
	outputTokens = min(outputTokens, model.Limit-promptTokens)
	return &dragonflypass.Request{
		ID:             completion.ID,
		Account:        account.ID,
		Model:          model.ID,
		Rank:           rank,
		Prompt:         completion.Prompt,
		PromptTokens:   promptTokens,
		OutputTokens:   outputTokens,
		ExpectedTokens: d.Estimator.OutputTokens(account.ID, model.ID, outputTokens),
		Fingerprint:    dragonflypass.Fingerprint{Account: account.ID, Model: model.ID, Body: completion.BodyHash},
		Parts:          completion.Parts,
		Arrived:        completion.Arrived,
		Deadline:       completion.Arrived.Add(d.Current().Ranks[rank].Timeout),
	}, nil
}

// applyOwnWindow moves the deadline before the VM's own maintenance window and refuses a request that cannot end by then.
func (d *Dispatcher) applyOwnWindow(j *job, current *dragonflypass.Configuration) *dragonflypass.Refusal {
	if d.Leaving() {
		return dragonflypass.Refuse(dragonflypass.ReasonLeaving, time.Second, "VM %s is leaving", d.Self.ID)
	}
	windowStart := current.NextMaintenance(string(d.Self.ID), j.request.Arrived)
	if windowStart.IsZero() {
		return nil
	}
	latestEnd := windowStart.Add(-ownWindowMargin)
	if latestEnd.Before(j.request.Deadline) {
		j.request.Deadline = latestEnd
		j.windowBound = true
	}
	if !j.request.Arrived.Before(d.latestStart(j, current)) {
		return dragonflypass.Refuse(dragonflypass.ReasonLeaving, time.Second, "the maintenance of VM %s starts before the request could end", d.Self.ID)
	}
	return nil
}

// latestStart returns the time after which the rest of the request can no longer finish by its deadline.
// A deadline set by the VM's maintenance window must not cut off the answer, so the longest and slowest answer is assumed.
func (d *Dispatcher) latestStart(j *job, current *dragonflypass.Configuration) time.Time {
	prefill, decode := slowestRates(current, j.request.Model)
	promptTokens := j.request.PromptTokens + j.deliveredTokens
	if !j.windowBound {
		return LatestStart(j.request.Deadline, promptTokens, max(0, j.request.ExpectedTokens-j.deliveredTokens), prefill, decode)
	}
	outputTokens := max(0, j.request.OutputTokens-j.deliveredTokens)
	decodeTime := max(seconds(float64(outputTokens)/decode), time.Duration(outputTokens)*d.Estimator.TimePerToken(j.request.Model))
	prefillTime := seconds(float64(promptTokens) / prefill)
	return j.request.Deadline.Add(-windowPrefillSlack*prefillTime - time.Duration(windowDecodeSlack*float64(decodeTime)))
}

// LatestStart returns the time by which a request of the given prompt and output tokens must start to end by the deadline.
// The rates are in tokens per second. Slack factors extend the predicted run time, since other requests share the
// server, and startMargin is added to it.
func LatestStart(deadline time.Time, promptTokens, outputTokens int, prefill, decode float64) time.Time {
	prefillSlack := 1.0
	if dragonflypass.ClassOf(promptTokens) >= dragonflypass.ClassLong {
		prefillSlack = longPrefillSlack
	}
	runTime := seconds(prefillSlack*float64(promptTokens)/prefill + float64(outputTokens)/decode)
	return deadline.Add(-startMargin - time.Duration(startSlack*float64(runTime)))
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// FirstTokenDeadline returns the time by which the first token is due: the rank's target, which grows in proportion for long prompts.
func FirstTokenDeadline(request *dragonflypass.Request, policy dragonflypass.RankPolicy) time.Time {
	scale := max(1, float64(request.PromptTokens)/float64(dragonflypass.ClassBounds[dragonflypass.ClassShort]))
	return request.Arrived.Add(time.Duration(float64(policy.FirstTokenTarget) * scale))
}

// slowestRates returns the slowest prefill and decode rates, in tokens per second, among the model's servers.
func slowestRates(current *dragonflypass.Configuration, model dragonflypass.ModelID) (prefill, decode float64) {
	for _, server := range current.ServersOf(model) {
		if prefill == 0 || server.PrefillRate < prefill {
			prefill = server.PrefillRate
		}
		if decode == 0 || server.DecodeRate < decode {
			decode = server.DecodeRate
		}
	}
	if prefill == 0 {
		return fallbackPrefillRate, fallbackDecodeRate
	}
	return prefill, decode
}
