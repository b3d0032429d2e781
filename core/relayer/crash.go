package relayer

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// crashCheck is the time after which a server that broke off is known to be down or not: that of two probes.
const crashCheck = 400 * time.Millisecond

// suspect has a server that broke a request off probed, and accuses the request when the server is down.
func (r *Relayer) suspect(ctx context.Context, j *job, server dragonflypass.ServerID, err error) {
	fingerprint := print(j.found, j.exchange)
	if err == nil {
		r.Quarantiner.RecordSuccess(fingerprint)
		return
	}
	broke := errors.Is(err, dragonflypass.ErrUncertain) || errors.Is(err, dragonflypass.ErrBroken)
	entry, known := r.Directory.Server(server)
	if !broke || ctx.Err() != nil || !known {
		return
	}
	r.Prober.ProbeServer(server)
	now := r.Timer.Now()
	r.Timer.At(dragonflypass.JobSweep, now.Add(crashCheck), func(context.Context) {
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
