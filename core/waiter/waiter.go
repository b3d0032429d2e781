package waiter

import (
	"context"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Wait waits for the span and reports whether ctx goes on.
func Wait(ctx context.Context, timer dragonflypass.Timer, span time.Duration) bool {
	waited := make(chan struct{})
	stop := timer.At(dragonflypass.JobSweep, timer.Now().Add(span), func(context.Context) { close(waited) })
	defer stop()
	select {
	case <-waited:
		return true
	case <-ctx.Done():
		return false
	}
}
