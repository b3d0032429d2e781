package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// migrationMargin is the time before a server's maintenance window at which a stream kept open for migration is cancelled.
const migrationMargin = 500 * time.Millisecond

// migrationSource is a stream at a server whose maintenance window starts soon. It stays open until its request
// continues at another server, which copies its KV memory.
type migrationSource struct {
	permit dragonflypass.Permit
	// cancel cancels the stream and returns its permit; further calls have no effect.
	cancel func()
}

// kvSource returns the address and the ID of the stream for the server that copies the stream's KV memory, nil for no source.
func (s *migrationSource) kvSource() *dragonflypass.KVSource {
	if s == nil {
		return nil
	}
	return &dragonflypass.KVSource{Address: s.permit.Address, Stream: s.permit.Stream}
}

// keepForMigration leaves the stream open at its server, so that the next attempt can copy its KV memory. The stream is
// cancelled at the latest migrationMargin before the server's maintenance window.
func (d *Dispatcher) keepForMigration(ctx context.Context, j *job, permit dragonflypass.Permit, outputTokens int) {
	d.releaseSource(j)
	ctx = context.WithoutCancel(ctx)
	cancel := sync.OnceFunc(func() {
		defer d.untrackStream(permit.Stream)
		d.releasePermit(permit.Owner, dragonflypass.PermitRelease{
			Stream: permit.Stream, Server: permit.Server, OutputTokens: outputTokens, Outcome: d.cancelStream(ctx, permit),
		})
	})
	j.source = &migrationSource{permit: permit, cancel: cancel}
	windowStart := d.Current().NextMaintenance(string(permit.Server), d.Timer.Now())
	d.Timer.At(dragonflypass.JobCancel, windowStart.Add(-migrationMargin), func(context.Context) { cancel() })
}

// releaseSource cancels the stream from which the request was migrated. The cancellation runs in a
// worker, or in the calling goroutine if the worker queue is full.
func (d *Dispatcher) releaseSource(j *job) {
	if j.source == nil {
		return
	}
	cancel := j.source.cancel
	j.source = nil
	if !d.Pool.Submit(dragonflypass.JobCancel, func(context.Context) { cancel() }) {
		cancel()
	}
}
