package registrar_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/timer"
	"github.com/dragonflypass/dragonflypass/core/registrar"
	"github.com/dragonflypass/dragonflypass/core/worker"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// TestRestoredEntryDoesNotReplaceNewerOne restores the store from a copy in which a server is not draining yet, or has not
// restarted at another address. Until the server had time to write its entry again, the newer entry must stay in force; then the
// restored one is used.
func TestRestoredEntryDoesNotReplaceNewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := timer.New(&worker.Pool{})
		clock.TimeSinceBoot = func() time.Duration { return time.Duration(time.Now().UnixNano()) }
		var restoredAt time.Duration
		r := registrar.New()
		r.Timer, r.Logger, r.Changed = clock, fake.Logger{}, func() {}
		r.StoreRecoveredAt = func() time.Duration { return restoredAt }
		apply := func(id dragonflypass.ServerID, startedAt int64, state dragonflypass.ServerState) {
			entry := dragonflypass.ServerEntry{ID: id, StartedAt: startedAt, State: state, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(startedAt))}
			r.ApplyUpdates([]dragonflypass.Update{{Key: string(id), Server: &entry}})
		}
		port := func(id dragonflypass.ServerID) uint16 {
			entry, _ := r.Server(id)
			return entry.Address.Port()
		}
		apply("restarted", 2, dragonflypass.ServerReady)
		apply("rewritten", 2, dragonflypass.ServerReady)
		apply("draining", 2, dragonflypass.ServerDraining)

		restoredAt = clock.Uptime()
		for _, id := range []dragonflypass.ServerID{"restarted", "rewritten"} {
			apply(id, 1, dragonflypass.ServerReady)
			c.Check(port(id), qt.Equals, uint16(2))
		}
		apply("draining", 2, dragonflypass.ServerReady)
		c.Check(port("draining"), qt.Equals, uint16(0))
		time.Sleep(time.Second)
		apply("rewritten", 2, dragonflypass.ServerReady)
		r.RemoveMissing(t.Context())
		c.Check(port("restarted"), qt.Equals, uint16(2))

		time.Sleep(2 * time.Second)
		r.RemoveMissing(t.Context())
		c.Check(port("restarted"), qt.Equals, uint16(1))
		c.Check(port("rewritten"), qt.Equals, uint16(2))
		c.Check(port("draining"), qt.Equals, uint16(2))
		apply("rewritten", 1, dragonflypass.ServerReady)
		c.Check(port("rewritten"), qt.Equals, uint16(1))
	})
}
