package dispatcher

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
)

const (
	// defaultOutput is the largest answer in tokens of a request that names none.
	defaultOutput = 1024
	// windowMargin is the time kept between the end of a request and the VM's own window.
	windowMargin = time.Second
	// longSlack multiplies the processing time of a long prompt, which has a part of its server beside short ones.
	longSlack = 3
	// startSlack multiplies the predicted run of a request before its deadline, and startMargin is added to it:
	// the time after which an owner knows that a server is behind.
	startSlack  = 1.15
	startMargin = 2500 * time.Millisecond
	// boundPrefillSlack and boundDecodeSlack multiply the predicted times of a request that must end before a window.
	boundPrefillSlack = 2
	boundDecodeSlack  = 1.25
	// fallbackPrefill and fallbackDecode are rates in tokens a second for models without a known server.
	fallbackPrefill = 10_000
	fallbackDecode  = 30
)

// CompletionRequest is a completion as a front end received it.
type CompletionRequest struct {
	ID      string
	Account dragonflypass.AccountID
	Model   dragonflypass.ModelID
	// Rank is the rank asked for; the account's own is used when it is more urgent than allowed.
	Rank dragonflypass.Rank
	// Prompt is the text that the model continues.
	Prompt string
	// Output is the largest number of tokens to generate, zero for the default.
	Output int
	// Body is the sum of what makes the request the same when it is sent again.
	Body    dragonflypass.Digest
	Arrived time.Time
}

// prepare checks the request against the configuration and the account's limits.
func (d *Dispatcher) prepare(ask CompletionRequest) (*job, func(), *dragonflypass.Refusal) {
	current := d.Current()
	account, ok := current.Accounts[ask.Account]
	if !ok {
		return nil, nil, dragonflypass.Refuse(dragonflypass.ReasonUnauthorized, 0, "unknown client account")
	}
	model, ok := current.Models[ask.Model]
	if !ok {
		return nil, nil, dragonflypass.Refuse(dragonflypass.ReasonNotFound, 0, "unknown model %q", ask.Model)
	}
	if !account.MayUse(ask.Model) {
		return nil, nil, dragonflypass.Refuse(dragonflypass.ReasonForbidden, 0, "account %s may not use model %q", account.ID, ask.Model)
	}
	request, refusal := d.request(ask, account, model)
	if refusal != nil {
		return nil, nil, refusal
	}
	if d.Quarantiner.Check(request.Fingerprint) == quarantiner.Quarantined {
		return nil, nil, dragonflypass.Refuse(dragonflypass.ReasonQuarantined, 0, "backend servers crashed while running this request")
	}
	j := &job{request: request, account: account, weight: current.Weight(account, request.Arrived)}
	if refusal := d.bound(j, current); refusal != nil {
		return nil, nil, refusal
	}
	end, refusal := d.Admitter.Admit(account, request.Tokens())
	if refusal != nil {
		return nil, nil, refusal
	}
	return j, end, nil
}

// request fills in what the layer knows of the request.
func (d *Dispatcher) request(ask CompletionRequest, account *dragonflypass.ClientAccount, model *dragonflypass.Model) (*dragonflypass.Request, *dragonflypass.Refusal) {
	rank := max(ask.Rank, account.Rank)
	prompt := d.Estimator.PromptTokens(account.ID, model.ID, len(ask.Prompt))
	if prompt >= model.Limit {
		return nil, dragonflypass.Refuse(dragonflypass.ReasonTooLarge, 0, "the prompt's %d tokens leave no room in the model's %d", prompt, model.Limit)
	}
	output := ask.Output
	if output <= 0 {
		output = defaultOutput
	}
	output = min(output, model.Limit-prompt)
	return &dragonflypass.Request{
		ID:             ask.ID,
		Account:        account.ID,
		Model:          model.ID,
		Rank:           rank,
		Prompt:         ask.Prompt,
		PromptTokens:   prompt,
		OutputTokens:   output,
		ExpectedTokens: d.Estimator.OutputTokens(account.ID, model.ID, output),
		Fingerprint:    dragonflypass.Fingerprint{Account: account.ID, Model: model.ID, Body: ask.Body},
		Arrived:        ask.Arrived,
		Deadline:       ask.Arrived.Add(d.Current().Ranks[rank].Timeout),
	}, nil
}

// bound moves the deadline before the VM's own window and refuses what cannot end by then.
func (d *Dispatcher) bound(j *job, current *dragonflypass.Configuration) *dragonflypass.Refusal {
	if d.Leaving() {
		return dragonflypass.Refuse(dragonflypass.ReasonLeaving, time.Second, "VM %s is leaving", d.Self.ID)
	}
	closing := current.NextMaintenance(string(d.Self.ID), j.request.Arrived)
	if closing.IsZero() {
		return nil
	}
	last := closing.Add(-windowMargin)
	if last.Before(j.request.Deadline) {
		j.request.Deadline = last
		j.bounded = true
	}
	if !j.request.Arrived.Before(d.latestStart(j, current)) {
		return dragonflypass.Refuse(dragonflypass.ReasonLeaving, time.Second, "VM %s is taken down before the request could end", d.Self.ID)
	}
	return nil
}

// latestStart is the instant after which what is left of the request cannot end by its deadline.
// A deadline set by the VM's window must not cut the answer, so its longest and slowest is allowed for.
func (d *Dispatcher) latestStart(j *job, current *dragonflypass.Configuration) time.Time {
	prefill, decode := rates(current, j.request.Model)
	prompt := j.request.PromptTokens + j.tokens
	if !j.bounded {
		return LatestStart(j.request.Deadline, prompt, max(0, j.request.ExpectedTokens-j.tokens), prefill, decode)
	}
	left := max(0, j.request.OutputTokens-j.tokens)
	rest := max(seconds(float64(left)/decode), time.Duration(left)*d.Estimator.TimePerToken(j.request.Model))
	first := seconds(float64(prompt) / prefill)
	return j.request.Deadline.Add(-boundPrefillSlack*first - time.Duration(boundDecodeSlack*float64(rest)))
}

// LatestStart is the instant at which a prompt and answer of the given tokens must start to end by the deadline,
// at the given rates in tokens a second and with slack for the other work of the server.
func LatestStart(deadline time.Time, prompt, output int, prefill, decode float64) time.Time {
	slack := 1.0
	if dragonflypass.ClassOf(prompt) >= dragonflypass.ClassLong {
		slack = longSlack
	}
	run := seconds(slack*float64(prompt)/prefill + float64(output)/decode)
	return deadline.Add(-startMargin - time.Duration(startSlack*float64(run)))
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// FirstTokenDeadline is the instant by which the first token is due: the rank's target, longer in proportion for long prompts.
func FirstTokenDeadline(request *dragonflypass.Request, policy dragonflypass.RankPolicy) time.Time {
	scale := max(1, float64(request.PromptTokens)/float64(dragonflypass.ClassBounds[dragonflypass.ClassShort]))
	return request.Arrived.Add(time.Duration(float64(policy.FirstTokenTarget) * scale))
}

// rates returns the slowest prompt processing and generation rates in tokens a second among the model's servers.
func rates(current *dragonflypass.Configuration, model dragonflypass.ModelID) (prefill, decode float64) {
	for _, server := range current.ServersOf(model) {
		if prefill == 0 || server.PrefillRate < prefill {
			prefill = server.PrefillRate
		}
		if decode == 0 || server.DecodeRate < decode {
			decode = server.DecodeRate
		}
	}
	if prefill == 0 {
		return fallbackPrefill, fallbackDecode
	}
	return prefill, decode
}
