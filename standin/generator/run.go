package generator

import (
	"context"
	"time"
)

// Run works the engine's batch steps until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	pause := time.NewTimer(time.Hour)
	defer pause.Stop()
	for {
		span := e.step()
		if span == 0 {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		pause.Reset(span)
		select {
		case <-pause.C:
		case <-ctx.Done():
			return
		}
	}
}
