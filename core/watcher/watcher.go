package watcher

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
	"github.com/dragonflypass/dragonflypass/core/scheduler"
)

const (
	// reportTimeout bounds one fetch of a server's report and one crash report to another VM.
	reportTimeout = time.Second
	// failureLimit is the number of consecutive failed fetches after which a server counts as down.
	failureLimit = 2
)

// Members lists the other entry VMs.
type Members interface {
	// Others returns the other entry VMs whose state is not gone.
	Others() []dragonflypass.Member
}

// Watcher fetches the reports of the owned servers periodically.
type Watcher struct {
	Timer       dragonflypass.Timer
	Pool        dragonflypass.Pool
	Engine      dragonflypass.Engine
	Peers       dragonflypass.PeerClient
	Members     Members
	Scheduler   *scheduler.Scheduler
	Quarantiner *quarantiner.Quarantiner
	Meter       dragonflypass.Meter
	Logger      dragonflypass.Logger
	// ReportInterval is the time between two fetches of one server's report.
	ReportInterval time.Duration

	mutex locker.Mutex
	// pending marks the servers for which a fetch is queued or running.
	pending map[dragonflypass.ServerID]bool
	// failures counts the consecutive failed fetches of each server.
	failures map[dragonflypass.ServerID]int
}

// New returns a watcher that has not fetched any reports.
func New() *Watcher {
	return &Watcher{
		mutex:    locker.Mutex{Order: locker.Servers},
		pending:  make(map[dragonflypass.ServerID]bool),
		failures: make(map[dragonflypass.ServerID]int),
	}
}

// Run fetches reports and sweeps the quarantine table until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	stop := w.Timer.Every(dragonflypass.JobReport, w.ReportInterval, w.Tick)
	defer stop()
	stopSweep := w.Timer.Every(dragonflypass.JobSweep, time.Minute, func(context.Context) { w.Quarantiner.Sweep() })
	defer stopSweep()
	<-ctx.Done()
}

// Tick queues a fetch of the report of each owned server.
func (w *Watcher) Tick(context.Context) {
	for _, server := range w.Scheduler.Owned() {
		if !w.markPending(server.ID) {
			continue
		}
		if !w.Pool.Submit(dragonflypass.JobReport, func(ctx context.Context) { w.fetchReport(ctx, server) }) {
			w.clearPending(server.ID)
		}
	}
}

// markPending marks a fetch as pending; it returns false if one already is.
func (w *Watcher) markPending(id dragonflypass.ServerID) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.pending[id] {
		return false
	}
	w.pending[id] = true
	return true
}

func (w *Watcher) clearPending(id dragonflypass.ServerID) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.pending, id)
}

func (w *Watcher) fetchReport(ctx context.Context, server dragonflypass.BackendServer) {
	defer w.clearPending(server.ID)
	ctx, cancel := w.Timer.WithDeadline(ctx, w.Timer.Now().Add(reportTimeout))
	defer cancel()
	report, err := w.Engine.Report(ctx, server.Address)
	if err != nil {
		w.handleFailure(server.ID, err)
		return
	}
	if w.recordFetch(server.ID, false) >= failureLimit {
		w.Logger.Info("backend server up", "server", server.ID)
	}
	report.Server = server.ID
	if crash, isNew := w.Scheduler.HandleRestart(report); isNew {
		w.broadcastCrash(crash)
	}
	w.Scheduler.HandleReport(report)
}

// recordFetch records a fetch and returns the number of consecutive failures:
// including this one if it failed, before it if it succeeded.
func (w *Watcher) recordFetch(id dragonflypass.ServerID, failed bool) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !failed {
		previous := w.failures[id]
		delete(w.failures, id)
		return previous
	}
	w.failures[id]++
	return w.failures[id]
}

func (w *Watcher) handleFailure(id dragonflypass.ServerID, err error) {
	w.Meter.Add(dragonflypass.CountReportFailed, 1)
	failures := w.recordFetch(id, true)
	refused := errors.Is(err, dragonflypass.ErrUnavailable)
	if !refused && failures < failureLimit {
		return
	}
	if failures == failureLimit {
		w.Logger.Warn("backend server down", "server", id, "error", err)
	}
	crash, isNew := w.Scheduler.HandleUnreachable(id, refused)
	w.Scheduler.RejectUnservable()
	if isNew {
		w.broadcastCrash(crash)
	}
}

// broadcastCrash rejects the queued requests that can no longer be served and reports the crash to the other entry VMs.
func (w *Watcher) broadcastCrash(crash dragonflypass.ServerCrash) {
	w.Scheduler.RejectUnservable()
	for _, member := range w.Members.Others() {
		w.Pool.Submit(dragonflypass.JobPeer, func(ctx context.Context) {
			ctx, cancel := w.Timer.WithDeadline(ctx, w.Timer.Now().Add(reportTimeout))
			defer cancel()
			_ = w.Peers.ReportCrash(ctx, member.VM, crash)
		})
	}
}

// FetchNow fetches the server's report immediately; it is called after a stream from the server broke.
func (w *Watcher) FetchNow(id dragonflypass.ServerID) {
	for _, server := range w.Scheduler.Owned() {
		if server.ID == id && w.markPending(id) {
			if !w.Pool.Submit(dragonflypass.JobReport, func(ctx context.Context) { w.fetchReport(ctx, server) }) {
				w.clearPending(id)
			}
		}
	}
}
