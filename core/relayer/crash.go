package relayer

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// crashCheckDelay is the time from an interrupted request to the second check whether its server has crashed.
	crashCheckDelay = 400 * time.Millisecond
	// crashProbeTimeout limits the probe of a server that has interrupted a request.
	crashProbeTimeout = 50 * time.Millisecond
)

// interruption is an attempt that its server interrupted.
type interruption struct {
	server dragonflypass.ServerEntry
	sentAt time.Time
	at     time.Time
	// begun is set if the server had begun its answer.
	begun bool
}

// checkForCrash records a successful request with the quarantiner. If the server interrupted the request, it probes the
// server and reports a crash if the server is unreachable. begun is set if the server had begun its answer.
func (r *Relayer) checkForCrash(ctx context.Context, j *job, server dragonflypass.ServerID, sentAt time.Time, begun bool, err error) {
	if err == nil {
		r.Quarantiner.RecordSuccess(j.fingerprint())
		return
	}
	if !errors.Is(err, dragonflypass.ErrUncertain) && !errors.Is(err, dragonflypass.ErrBroken) {
		return
	}
	if ctx.Err() != nil {
		// This VM or the caller has ended the attempt.
		return
	}
	entry, listed := r.Directory.Server(server)
	if !listed {
		r.Logger.Info("interrupted request, server not listed", "id", j.exchange.ID, "server", server, "begun", begun)
		return
	}
	i := interruption{server: entry, sentAt: sentAt, at: r.Timer.Now(), begun: begun}
	// The request must not be sent to another server before it is known whether it has crashed this one.
	if !begun && r.hasCrashed(ctx, entry) {
		r.reportCrash(j, i)
		return
	}
	r.Prober.ProbeServer(server)
	r.Timer.At(dragonflypass.JobSweep, i.at.Add(crashCheckDelay), func(ctx context.Context) {
		if !r.hasCrashed(ctx, entry) {
			r.Logger.Info("interrupted request, server reachable", "id", j.exchange.ID, "server", server, "begun", begun)
			return
		}
		r.reportCrash(j, i)
	})
}

// hasCrashed reports whether the server is known to be unreachable, or does not accept a connection.
func (r *Relayer) hasCrashed(ctx context.Context, server dragonflypass.ServerEntry) bool {
	if r.Assessor.Unreachable(server.ID) {
		return true
	}
	probeCtx, cancel := r.Timer.WithDeadline(ctx, r.Timer.Now().Add(crashProbeTimeout))
	defer cancel()
	r.Meter.Add(dragonflypass.CountServerProbes, 1)
	if r.Backend.Probe(probeCtx, server.Address) == nil || probeCtx.Err() != nil {
		return false
	}
	r.Assessor.RecordProbe(server.ID, false)
	return true
}

// reportCrash records the crash of a server that interrupted the request, and tells the other entry VMs.
func (r *Relayer) reportCrash(j *job, i interruption) {
	fingerprint := j.fingerprint()
	crash := dragonflypass.ServerCrash{
		Server: i.server.ID, Epoch: uint64(i.server.StartedAt), Fingerprints: []dragonflypass.Fingerprint{fingerprint}, At: i.at,
	}
	if !i.begun {
		crash.Suspects = []dragonflypass.CrashSuspect{{Fingerprint: fingerprint, Parts: j.exchange.SharedParts, SentAt: i.sentAt}}
	}
	isNew := r.Quarantiner.RecordCrash(crash)
	r.Logger.Info("server crashed", "server", i.server.ID, "epoch", crash.Epoch, "id", j.exchange.ID, "begun", i.begun, "account", j.match.Account,
		"parts", j.exchange.SharedParts, "new", isNew)
	if isNew {
		r.Crashes.BroadcastCrash(crash)
	}
}
