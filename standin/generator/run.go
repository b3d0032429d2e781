package generator

import (
	"context"
	"time"
)

// Run executes batch steps until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		duration := e.step()
		if duration == 0 {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		timer.Reset(duration)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}
