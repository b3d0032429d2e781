package drainer

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// checkEvery is the time between two looks at the VM's windows.
	checkEvery = time.Second
	// lead is the time before a window at which the VM says that it leaves.
	lead = 10 * time.Second
	// pollEvery is the time between two looks at the requests in progress.
	pollEvery = 50 * time.Millisecond
)

// Drainer decides when the VM leaves and waits for its requests to end.
type Drainer struct {
	Self    dragonflypass.VMID
	Timer   dragonflypass.Timer
	Logger  dragonflypass.Logger
	Current func() *dragonflypass.Configuration
	// Leave tells the other entry VMs and refuses new work.
	Leave func(context.Context)
	// Recheck refuses the requests that wait for this VM's servers.
	Recheck func()
	// Busy returns the number of callers' requests in progress.
	Busy func() int

	once sync.Once
}

// Run watches the VM's windows until ctx ends.
func (d *Drainer) Run(ctx context.Context) {
	stop := d.Timer.Every(dragonflypass.JobSweep, checkEvery, d.Check)
	defer stop()
	<-ctx.Done()
}

// Check begins to leave when the VM's window is near.
func (d *Drainer) Check(ctx context.Context) {
	now := d.Timer.Now()
	closing := d.Current().NextMaintenance(string(d.Self), now)
	if closing.IsZero() || closing.Sub(now) > lead {
		return
	}
	d.Start(ctx)
}

// Start takes the VM out of service.
func (d *Drainer) Start(ctx context.Context) {
	d.once.Do(func() {
		d.Logger.Info("draining", "vm", d.Self, "requests", d.Busy())
		d.Leave(ctx)
		d.Recheck()
	})
}

// Drain takes the VM out of service and waits until no request is in progress or ctx ends.
func (d *Drainer) Drain(ctx context.Context) error {
	d.Start(ctx)
	idle := make(chan struct{})
	var closed sync.Once
	stop := d.Timer.Every(dragonflypass.JobSweep, pollEvery, func(context.Context) {
		if d.Busy() == 0 {
			closed.Do(func() { close(idle) })
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
