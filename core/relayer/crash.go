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
// probes the server and reports a crash with the request's fingerprint if the server turns out to be unreachable.
func (r *Relayer) checkForCrash(ctx context.Context, j *job, server dragonflypass.ServerID, err error) {
	fingerprint := fingerprintOf(j.match, j.exchange)
	if err == nil {
		r.Quarantiner.RecordSuccess(fingerprint)
		return
	}
	interrupted := errors.Is(err, dragonflypass.ErrUncertain) || errors.Is(err, dragonflypass.ErrBroken)
	entry, listed := r.Directory.Server(server)
	if !interrupted || ctx.Err() != nil || !listed {
		return
	}
	r.Prober.ProbeServer(server)
	now := r.Timer.Now()
	r.Timer.At(dragonflypass.JobSweep, now.Add(crashCheckDelay), func(context.Context) {
		if !r.Assessor.Unreachable(server) {
			return
		}
		crash := dragonflypass.ServerCrash{
			Server: server, Epoch: uint64(entry.StartedAt), Fingerprints: []dragonflypass.Fingerprint{fingerprint}, At: now,
		}
		if r.Quarantiner.RecordCrash(crash) {
			r.Crashes.BroadcastCrash(crash)
		}
	})
}
