package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// sourceMargin is the time before a server's window at which a stream kept for its KV memory is cancelled.
const sourceMargin = 500 * time.Millisecond

// source is a stream at a server about to be taken down, kept until its request goes on at another server,
// which copies its KV memory.
type source struct {
	permit dragonflypass.Permit
	// end cancels the stream and returns its permit, once.
	end func()
}

// export names the stream for the server that copies it, nil for no source.
func (s *source) export() *dragonflypass.KVSource {
	if s == nil {
		return nil
	}
	return &dragonflypass.KVSource{Address: s.permit.Address, Stream: s.permit.Stream}
}

// keep leaves the stream at its server for the next attempt to copy, at the longest until shortly before the server's window.
func (d *Dispatcher) keep(ctx context.Context, j *job, permit dragonflypass.Permit, output int) {
	d.letGo(j)
	ctx = context.WithoutCancel(ctx)
	end := sync.OnceFunc(func() {
		defer d.unhold(permit.Stream)
		d.release(permit.Owner, dragonflypass.PermitRelease{
			Stream: permit.Stream, Server: permit.Server, OutputTokens: output, Outcome: d.cancel(ctx, permit),
		})
	})
	j.source = &source{permit: permit, end: end}
	closing := d.Current().NextMaintenance(string(permit.Server), d.Timer.Now())
	d.Timer.At(dragonflypass.JobCancel, closing.Add(-sourceMargin), func(context.Context) { end() })
}

// letGo ends the stream from which the request was moved, from a worker.
func (d *Dispatcher) letGo(j *job) {
	if j.source == nil {
		return
	}
	end := j.source.end
	j.source = nil
	if !d.Pool.Submit(dragonflypass.JobCancel, func(context.Context) { end() }) {
		end()
	}
}
