package appender_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/appender"
	"github.com/dragonflypass/dragonflypass/internal/fake"
	"github.com/dragonflypass/dragonflypass/standin/keeper"
)

// testLog is a log with functions that inject faults.
type testLog struct {
	log           dragonflypass.Log
	setDown       func(bool)
	loseResponses func(int)
}

const retention = 300 * time.Millisecond

func newTestLogs(t *testing.T) map[string]testLog {
	fakeLog := fake.NewLog()
	fakeLog.Retention = retention
	platformLog := keeper.New(retention)
	server := httptest.NewServer(platformLog.Handler())
	t.Cleanup(server.Close)
	client := appender.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	t.Cleanup(client.Close)
	return map[string]testLog{
		"fake": {log: fakeLog, setDown: fakeLog.SetDown, loseResponses: fakeLog.LoseResponses},
		"http": {
			log:           client,
			setDown:       func(down bool) { platformLog.SetFaults(keeper.Faults{Down: down}) },
			loseResponses: func(n int) { platformLog.SetFaults(keeper.Faults{LostResponses: n}) },
		},
	}
}

func change(id string) dragonflypass.LogRecord {
	return dragonflypass.LogRecord{Change: &dragonflypass.Change{ID: id, Author: "a", At: time.Unix(1, 0).UTC()}}
}

// TestLogContract checks the behaviour that every implementation of Log must have.
func TestLogContract(t *testing.T) {
	for name, l := range newTestLogs(t) {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			page, err := l.log.Read(ctx, "s", 1, 10)
			c.Assert(err, qt.IsNil)
			c.Check(page.NextOffset, qt.Equals, dragonflypass.Offset(1))
			for i, id := range []string{"a", "b", "c"} {
				offset, err := l.log.Append(ctx, "s", change(id))
				c.Assert(err, qt.IsNil)
				c.Check(offset, qt.Equals, dragonflypass.Offset(i+1))
			}
			page, err = l.log.Read(ctx, "s", 2, 1)
			c.Assert(err, qt.IsNil)
			c.Assert(page.Entries, qt.HasLen, 1)
			c.Check(page.Entries[0].Record, qt.DeepEquals, change("b"))

			l.loseResponses(1)
			_, err = l.log.Append(ctx, "s", change("d"))
			c.Check(err, qt.ErrorIs, dragonflypass.ErrUncertain)
			page, err = l.log.Read(ctx, "s", 4, 10)
			c.Assert(err, qt.IsNil)
			c.Check(page.Entries, qt.HasLen, 1)

			l.setDown(true)
			_, err = l.log.Append(ctx, "s", change("e"))
			c.Check(err, qt.Not(qt.IsNil))
			_, err = l.log.Read(ctx, "s", 1, 10)
			c.Check(err, qt.ErrorIs, dragonflypass.ErrUnavailable)
			l.setDown(false)

			<-time.After(2 * retention)
			page, err = l.log.Read(ctx, "s", 1, 10)
			c.Check(err, qt.ErrorIs, dragonflypass.ErrTrimmed)
			c.Check(page.FirstOffset, qt.Equals, dragonflypass.Offset(5))
		})
	}
}

func TestAppendReturnsUnavailableWithoutListener(t *testing.T) {
	c := qt.New(t)
	log := appender.New(netip.MustParseAddrPort("127.0.0.1:1"))
	_, err := log.Append(context.Background(), "s", change("a"))
	c.Check(err, qt.ErrorIs, dragonflypass.ErrUnavailable)
}
