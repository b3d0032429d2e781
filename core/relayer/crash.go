package relayer

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// crashCheckDelay is the time from an interrupted request to the check whether its server has crashed; it is long
// enough for two probes.
const crashCheckDelay = 400 * time.Millisecond

// checkForCrash records a successful request with the quarantiner. If the server interrupted the request, it
// probes the server and reports a crash with the request's fingerprint if the server turns out to be unreachable. begun is
// set if the server had sent an event of its answer.
func (r *Relayer) checkForCrash(ctx context.Context, j *job, server dragonflypass.ServerID, begun bool, err error) {
	fingerprint := fingerprintOf(j.match, j.exchange)
	if err == nil {
		r.Quarantiner.RecordSuccess(fingerprint)
		return
	}
	interrupted := errors.Is(err, dragonflypass.ErrUncertain) || errors.Is(err, dragonflypass.ErrBroken)
	entry, listed := r.Directory.Server(server)
	if !interrupted {
		return
	}
	fields := []any{"id", j.exchange.ID, "server", server, "begun", begun, "account", j.match.Account, "parts", j.exchange.PromptParts}
	if ctx.Err() != nil || !listed {
		r.Logger.Info("interrupted request not checked", append(fields, "listed", listed, "cause", context.Cause(ctx))...)
		return
	}
	r.Prober.ProbeServer(server)
	now := r.Timer.Now()
	r.Timer.At(dragonflypass.JobSweep, now.Add(crashCheckDelay), func(context.Context) {
		if !r.Assessor.Unreachable(server) {
			r.Logger.Info("interrupted request, server reachable", fields...)
			return
		}
		crash := dragonflypass.ServerCrash{
			Server: server, Epoch: uint64(entry.StartedAt), Fingerprints: []dragonflypass.Fingerprint{fingerprint}, At: now,
		}
		isNew := r.Quarantiner.RecordCrash(crash)
		r.Logger.Info("server crashed", append(fields, "epoch", crash.Epoch, "first_report", isNew)...)
		if isNew {
			r.Crashes.BroadcastCrash(crash)
		}
	})
}
