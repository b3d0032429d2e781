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
	// reportTimeout bounds one reading of a server's report.
	reportTimeout = time.Second
	// failLimit is the number of failed readings in a row after which a server counts as down.
	failLimit = 2
)

// Members tells which other entry VMs there are.
type Members interface {
	// Others returns the other entry VMs that are not gone.
	Others() []dragonflypass.Member
}

// Watcher reads reports periodically.
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
	// Period is the time between two readings of one server's report.
	Period time.Duration

	mutex locker.Mutex
	busy  map[dragonflypass.ServerID]bool
	fails map[dragonflypass.ServerID]int
}

// New returns a watcher that has read nothing.
func New() *Watcher {
	return &Watcher{
		mutex: locker.Mutex{Order: locker.Servers},
		busy:  make(map[dragonflypass.ServerID]bool),
		fails: make(map[dragonflypass.ServerID]int),
	}
}

// Run reads reports until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	stop := w.Timer.Every(dragonflypass.JobReport, w.Period, w.Tick)
	defer stop()
	stopSweep := w.Timer.Every(dragonflypass.JobSweep, time.Minute, func(context.Context) { w.Quarantiner.Sweep() })
	defer stopSweep()
	<-ctx.Done()
}

// Tick starts a reading of each owned server.
func (w *Watcher) Tick(context.Context) {
	for _, server := range w.Scheduler.Owned() {
		if !w.begin(server.ID) {
			continue
		}
		if !w.Pool.Submit(dragonflypass.JobReport, func(ctx context.Context) { w.read(ctx, server) }) {
			w.end(server.ID)
		}
	}
}

func (w *Watcher) begin(id dragonflypass.ServerID) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.busy[id] {
		return false
	}
	w.busy[id] = true
	return true
}

func (w *Watcher) end(id dragonflypass.ServerID) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.busy, id)
}

func (w *Watcher) read(ctx context.Context, server dragonflypass.BackendServer) {
	defer w.end(server.ID)
	ctx, cancel := w.Timer.WithDeadline(ctx, w.Timer.Now().Add(reportTimeout))
	defer cancel()
	report, err := w.Engine.Report(ctx, server.Address)
	if err != nil {
		w.failed(server.ID, err)
		return
	}
	if w.count(server.ID, false) >= failLimit {
		w.Logger.Info("backend server up", "server", server.ID)
	}
	report.Server = server.ID
	if crash, news := w.Scheduler.HandleRestart(report); news {
		w.tell(crash)
	}
	w.Scheduler.HandleReport(report)
}

// count notes a reading and returns the number of failures in a row, the ones before it if it succeeded.
func (w *Watcher) count(id dragonflypass.ServerID, failed bool) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !failed {
		before := w.fails[id]
		delete(w.fails, id)
		return before
	}
	w.fails[id]++
	return w.fails[id]
}

func (w *Watcher) failed(id dragonflypass.ServerID, err error) {
	w.Meter.Add(dragonflypass.CountReportFailed, 1)
	fails := w.count(id, true)
	refused := errors.Is(err, dragonflypass.ErrUnavailable)
	if !refused && fails < failLimit {
		return
	}
	if fails == failLimit {
		w.Logger.Warn("backend server down", "server", id, "error", err)
	}
	crash, news := w.Scheduler.HandleUnreachable(id, refused)
	w.Scheduler.RejectUnservable()
	if news {
		w.tell(crash)
	}
}

// tell passes news of a crash on to the other entry VMs.
func (w *Watcher) tell(crash dragonflypass.ServerCrash) {
	w.Scheduler.RejectUnservable()
	for _, member := range w.Members.Others() {
		w.Pool.Submit(dragonflypass.JobPeer, func(ctx context.Context) {
			ctx, cancel := w.Timer.WithDeadline(ctx, w.Timer.Now().Add(reportTimeout))
			defer cancel()
			_ = w.Peers.ReportCrash(ctx, member.VM, crash)
		})
	}
}

// Probe reads the server's report at once, as after a stream broke there.
func (w *Watcher) Probe(id dragonflypass.ServerID) {
	for _, server := range w.Scheduler.Owned() {
		if server.ID == id && w.begin(id) {
			if !w.Pool.Submit(dragonflypass.JobReport, func(ctx context.Context) { w.read(ctx, server) }) {
				w.end(id)
			}
		}
	}
}
