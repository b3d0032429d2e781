package relayer

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// hedgePart is the part of a route's latency objective after which a request that may be repeated is sent to a
// second server as well; what is left is enough for an answer of usual length.
const hedgePart = 0.5

// errOvertaken ends a sending because another server has answered.
var errOvertaken = errors.New("another backend server answered first")

// hedged sends the request to the server and, when that one takes long, to another one; the first good answer ends
// the other sending. It returns the results that are known, the last one being good if any is.
func (r *Relayer) hedged(ctx context.Context, j *job, entry dragonflypass.ServerEntry) []result {
	if !j.route.Repeatable() || j.route.LatencyObjective <= 0 || j.attempts+1 >= j.route.MaxAttempts {
		return []result{r.ask(ctx, j, entry)}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// taken is set by the one that decides whether there is a second sending.
	var taken atomic.Bool
	second := make(chan []result, 1)
	exclude := append(slices.Clone(j.exclude), entry.ID)
	late := r.Timer.Now().Add(time.Duration(hedgePart * float64(j.route.LatencyObjective)))
	stop := r.Timer.At(dragonflypass.JobRetry, late, func(context.Context) {
		if !taken.CompareAndSwap(false, true) {
			return
		}
		results := r.second(ctx, j, exclude)
		if len(results) > 0 && results[0].good() {
			cancel(errOvertaken)
		}
		second <- results
	})
	defer stop()
	results := []result{r.ask(ctx, j, entry)}
	if taken.CompareAndSwap(false, true) || results[0].good() {
		return results
	}
	return append(results, <-second...)
}

// second sends the request to a server that is not excluded, if the budget allows.
func (r *Relayer) second(ctx context.Context, j *job, exclude []dragonflypass.ServerID) []result {
	if ctx.Err() != nil || !r.spend(j.service) {
		return nil
	}
	entry, ok := r.Balancer.Pick(r.Directory.Servers(j.service), exclude)
	if !ok {
		return nil
	}
	r.Meter.Add(dragonflypass.CountHedged, 1)
	return []result{r.ask(ctx, j, entry)}
}
