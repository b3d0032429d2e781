package relayer

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/appraiser"
	"github.com/dragonflypass/dragonflypass/core/balancer"
)

// errorStatus is the lowest status of a response whose processing time says nothing about successful requests.
const errorStatus = 400

// maxWriteShare is the share of its time for which the caller may hold up an answer whose time is used to learn the speed of the
// server.
const maxWriteShare = 0.05

// costKey returns the most specific key under which the cost of the request is learned.
func (j *job) costKey() dragonflypass.CostKey {
	key := dragonflypass.CostKey{
		Level: dragonflypass.CostOfPart, Service: j.service, Route: j.route.Name, Account: j.match.Account, Class: dragonflypass.ClassOf(len(j.exchange.Body)),
	}
	if j.exchange.Prompt != nil {
		key.Class = classOf(j.exchange.Prompt)
	}
	if len(j.exchange.SharedParts) > 0 {
		key.Part = j.exchange.SharedParts[0]
	}
	return key
}

// pick selects a server of a plain service by the predicted completion time of the request.
func (r *Relayer) pick(j *job, excluded []dragonflypass.ServerID) (balancer.Choice, bool) {
	estimate, _ := r.Appraiser.Time(j.costKey())
	return r.Balancer.Pick(r.Directory.Servers(j.service), excluded, estimate.Mean, int64(len(j.exchange.Body)))
}

// recordWork records the processing time of a request at a plain server. resp is nil if it was not answered.
func (r *Relayer) recordWork(ctx context.Context, j *job, choice balancer.Choice, resp *response, elapsed time.Duration) {
	if resp == nil {
		// An attempt that another server has overtaken shows that this one takes at least as long.
		if ratio, share := choice.Ratio(elapsed, nil); errors.Is(context.Cause(ctx), errSuperseded) && ratio > choice.Pace {
			r.Pacer.Record(&choice.Entry, ratio, share)
		}
		return
	}
	if resp.head.Status >= errorStatus {
		return
	}
	if ratio, share := choice.Ratio(elapsed, resp.head.Load); share > 0 {
		r.Pacer.Record(&choice.Entry, ratio, share)
	}
	if !choice.MayHaveWaited(resp.head.Load) || choice.Work == 0 {
		r.Appraiser.Record(j.costKey(), appraiser.Observation{Time: time.Duration(float64(elapsed) / choice.Pace)})
	}
}

// recordOutput records the length of an answer that was forwarded completely.
func (r *Relayer) recordOutput(j *job) {
	if j.route.Kind != dragonflypass.KindStream || j.eventCount == 0 || j.exchange.LastEventID != "" {
		return
	}
	observation := appraiser.Observation{Time: j.lastChunkAt.Sub(j.firstChunkAt), Output: r.outputTokens(j.service, j.eventCount)}
	if shape := j.exchange.Prompt; shape != nil {
		observation.Hint = shape.ExpectedTokens
		if shape.OutputTokens > 0 {
			observation.Output = min(observation.Output, shape.OutputTokens)
		}
	}
	r.Appraiser.Record(j.costKey(), observation)
}

// generatedTokens returns the number of tokens that the server of the attempt has generated, to tell the owner of the server's
// speed. It returns zero if the caller was slow to read: the time of the answer then says nothing of the server.
func (r *Relayer) generatedTokens(a *attempt, j *job) int {
	if j.writeTime > time.Duration(maxWriteShare*float64(r.Timer.Now().Sub(a.startedAt))) {
		return 0
	}
	return r.outputTokens(j.service, a.eventCount)
}

// outputTokens returns the number of tokens in the given number of events: each pass of a server ends with one.
func (r *Relayer) outputTokens(service dragonflypass.ServiceID, events int) int {
	costModel := r.CostModel(service)
	if costModel == nil {
		return 0
	}
	return events * costModel.StepsPerPass
}
