package reserver_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/timer"
	"github.com/dragonflypass/dragonflypass/core/excluder"
	"github.com/dragonflypass/dragonflypass/core/registrar"
	"github.com/dragonflypass/dragonflypass/core/reserver"
	"github.com/dragonflypass/dragonflypass/core/worker"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// lateServer carries out each order to reserve after a delay that is set for it; no response comes to one that takes too long.
type lateServer struct {
	dragonflypass.Backend
	delays   []time.Duration
	reserved atomic.Bool
}

func (s *lateServer) Reserve(ctx context.Context, _ netip.AddrPort, _ dragonflypass.Reservation) (dragonflypass.ServerNotice, error) {
	delay := s.delays[0]
	s.delays = s.delays[1:]
	done := make(chan struct{})
	time.AfterFunc(delay, func() {
		s.reserved.Store(true)
		close(done)
	})
	select {
	case <-done:
		return dragonflypass.ServerNotice{}, nil
	case <-ctx.Done():
		return dragonflypass.ServerNotice{}, dragonflypass.ErrUncertain
	}
}

func (s *lateServer) Free(context.Context, netip.AddrPort, string) (dragonflypass.ServerNotice, error) {
	s.reserved.Store(false)
	return dragonflypass.ServerNotice{}, nil
}

// TestRenewalInProgressDoesNotOutliveRelease frees memory while a renewal is in progress, which the server carries out after
// the release. The memory must be free soon afterwards.
func TestRenewalInProgressDoesNotOutliveRelease(t *testing.T) {
	for _, test := range []struct {
		name  string
		delay time.Duration
		// freeAfter is the time from the release after which the memory must be free.
		freeAfter time.Duration
	}{
		{name: "renewal ends after the release", delay: 300 * time.Millisecond, freeAfter: 400 * time.Millisecond},
		{name: "renewal without response is carried out late", delay: 4 * time.Second, freeAfter: 6 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				meter := fake.NewMeter()
				pool := &worker.Pool{Workers: 4, QueueLimit: 16, Meter: meter}
				clock := timer.New(pool)
				go pool.Run(ctx)
				go clock.Run(ctx)
				server := &lateServer{delays: []time.Duration{0, test.delay}}
				x := excluder.New()
				x.Timer, x.Servers, x.Meter, x.Logger = clock, registrar.New(), meter, fake.Logger{}
				r := &reserver.Reserver{Timer: clock, Pool: pool, Backend: server, Meter: meter, Logger: fake.Logger{}, Excluder: x, Evacuated: func(dragonflypass.ServerID, netip.AddrPort) bool { return false }}
				prefilled := func() bool { return true }
				free, _, err := r.Reserve(ctx, []dragonflypass.Helper{{Reservation: "large", Tokens: 9000}}, prefilled, func() {})
				c.Assert(err, qt.IsNil)
				time.Sleep(1300 * time.Millisecond)
				synctest.Wait()
				c.Assert(server.delays, qt.HasLen, 0)
				free()
				time.Sleep(test.freeAfter)
				c.Check(server.reserved.Load(), qt.IsFalse)
			})
		})
	}
}
