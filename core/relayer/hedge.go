package relayer

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/balancer"
)

// hedgeFraction is the fraction of a route's latency objective after which a repeatable request is also sent to a
// second server; the remaining time is enough for a response of usual duration.
const hedgeFraction = 0.5

// errSuperseded cancels an attempt because another server has responded.
var errSuperseded = errors.New("another backend server responded first")

// sendHedged sends the request to the server and, if there is no response after hedgeFraction of the latency
// objective, to a second server as well. A successful response cancels the other attempt. It returns the results of
// the attempts that it waited for; a successful result comes last.
func (r *Relayer) sendHedged(ctx context.Context, j *job, choice balancer.Choice) []result {
	if !j.route.Retryable() || j.route.LatencyObjective <= 0 || j.attemptCount+1 >= j.route.MaxAttempts {
		return []result{r.send(ctx, j, choice)}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// decided is set by whichever of the timer and this goroutine first determines whether a second attempt is made.
	var decided atomic.Bool
	hedgeResults := make(chan []result, 1)
	excluded := append(slices.Clone(j.excluded), choice.Entry.ID)
	hedgeAt := r.Timer.Now().Add(time.Duration(hedgeFraction * float64(j.route.LatencyObjective)))
	stop := r.Timer.At(dragonflypass.JobRetry, hedgeAt, func(context.Context) {
		if !decided.CompareAndSwap(false, true) {
			return
		}
		results := r.sendHedge(ctx, j, excluded)
		if len(results) > 0 && results[0].succeeded() {
			cancel(errSuperseded)
		}
		hedgeResults <- results
	})
	defer stop()
	results := []result{r.send(ctx, j, choice)}
	if decided.CompareAndSwap(false, true) || results[0].succeeded() {
		return results
	}
	return append(results, <-hedgeResults...)
}

// sendHedge sends the request to a server that is not excluded, if the retry budget allows.
func (r *Relayer) sendHedge(ctx context.Context, j *job, excluded []dragonflypass.ServerID) []result {
	if ctx.Err() != nil || !r.takeRetry(j.service) {
		return nil
	}
	choice, ok := r.pick(j, excluded)
	if !ok {
		return nil
	}
	r.Meter.Add(dragonflypass.CountHedged, 1)
	return []result{r.send(ctx, j, choice)}
}
