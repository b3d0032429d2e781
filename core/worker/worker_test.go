package worker_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/worker"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

func TestPoolRejectsJobsWhenQueueOfKindIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		meter := fake.NewMeter()
		pool := &worker.Pool{Workers: 2, QueueLimit: 3, Meter: meter}
		done := make(chan struct{})
		go func() { pool.Run(ctx); close(done) }()

		var finished atomic.Int32
		slowJob := func(context.Context) { time.Sleep(time.Second); finished.Add(1) }
		accepted := 0
		for range 10 {
			if pool.Submit(dragonflypass.JobReport, slowJob) {
				accepted++
			}
		}
		c.Check(accepted < 10, qt.IsTrue)
		c.Check(meter.Count(dragonflypass.CountJobShed), qt.Equals, int64(10-accepted))
		c.Check(pool.Submit(dragonflypass.JobHeartbeat, slowJob), qt.IsTrue)
		time.Sleep(10 * time.Second)
		c.Check(finished.Load(), qt.Equals, int32(accepted+1))

		cancel()
		<-done
		c.Check(pool.Submit(dragonflypass.JobReport, slowJob), qt.IsFalse)
	})
}
