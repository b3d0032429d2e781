package streamer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass/adapter/streamer"
	"github.com/dragonflypass/dragonflypass/standin/interrupter"
)

// TestEngineIsCalledOnNewConnectionAfterSilence guards against calls that fail once for each idle connection to an engine when all of
// them have gone silent.
func TestEngineIsCalledOnNewConnectionAfterSilence(t *testing.T) {
	c := qt.New(t)
	const idle, timeout = 8, 300 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// The calls overlap, so that each has a connection of its own.
		time.Sleep(timeout / 6)
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	network := &interrupter.Interrupter{Target: netip.MustParseAddrPort(server.Listener.Addr().String())}
	address, err := network.Start()
	c.Assert(err, qt.IsNil)
	defer network.Close()
	engines := streamer.New()
	defer engines.Close()
	report := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := engines.Report(ctx, address)
		return err
	}
	var wg sync.WaitGroup
	for range idle {
		wg.Go(func() { c.Check(report(), qt.IsNil) })
	}
	wg.Wait()
	network.Silence()
	c.Check(report(), qt.IsNotNil)
	c.Check(report(), qt.IsNil)
}
