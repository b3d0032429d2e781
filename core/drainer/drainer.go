package drainer

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// windowCheckInterval is the time between two checks of the VM's maintenance windows.
	windowCheckInterval = time.Second
	// leaveLead is the time before a maintenance window at which the VM announces that it is leaving.
	leaveLead = 10 * time.Second
	// idleCheckInterval is the time between two checks of the number of requests in progress.
	idleCheckInterval = 50 * time.Millisecond
)

// Drainer decides when the VM leaves and waits for its requests to end.
type Drainer struct {
	Self   dragonflypass.VMID
	Timer  dragonflypass.Timer
	Logger dragonflypass.Logger
	// Current returns the configuration in effect.
	Current func() *dragonflypass.Configuration
	// Leave notifies the other entry VMs and makes this VM refuse new requests.
	Leave func(context.Context)
	// RejectUnservable rejects the queued requests that this VM's servers can no longer serve.
	RejectUnservable func()
	// Busy returns the number of callers' requests in progress.
	Busy func() int

	startOnce sync.Once
}

// Run checks the VM's maintenance windows until ctx ends.
func (d *Drainer) Run(ctx context.Context) {
	stop := d.Timer.Every(dragonflypass.JobSweep, windowCheckInterval, d.Check)
	defer stop()
	<-ctx.Done()
}

// Check takes the VM out of service if its next maintenance window starts within the lead time.
func (d *Drainer) Check(ctx context.Context) {
	now := d.Timer.Now()
	nextWindow := d.Current().NextMaintenance(string(d.Self), now)
	if nextWindow.IsZero() || nextWindow.Sub(now) > leaveLead {
		return
	}
	d.Start(ctx)
}

// Start takes the VM out of service; later calls have no effect.
func (d *Drainer) Start(ctx context.Context) {
	d.startOnce.Do(func() {
		d.Logger.Info("draining", "vm", d.Self, "requests", d.Busy())
		d.Leave(ctx)
		d.RejectUnservable()
	})
}

// Drain takes the VM out of service and waits until no request is in progress.
// It returns the cause of ctx if ctx ends first.
func (d *Drainer) Drain(ctx context.Context) error {
	d.Start(ctx)
	idle := make(chan struct{})
	var closeOnce sync.Once
	stop := d.Timer.Every(dragonflypass.JobSweep, idleCheckInterval, func(context.Context) {
		if d.Busy() == 0 {
			closeOnce.Do(func() { close(idle) })
		}
	})
	defer stop()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
