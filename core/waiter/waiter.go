package waiter

import (
	"context"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Wait waits for the duration and returns true, or returns false if ctx ends first.
func Wait(ctx context.Context, timer dragonflypass.Timer, duration time.Duration) bool {
	timerDone := make(chan struct{})
	stop := timer.At(dragonflypass.JobSweep, timer.Now().Add(duration), func(context.Context) { close(timerDone) })
	defer stop()
	select {
	case <-timerDone:
		return true
	case <-ctx.Done():
		return false
	}
}
