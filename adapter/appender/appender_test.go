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

// subject is a log with the means to cause its faults.
type subject struct {
	log  dragonflypass.Log
	down func(bool)
	lose func(int)
}

const retention = 300 * time.Millisecond

func subjects(t *testing.T) map[string]subject {
	faked := fake.NewLog()
	faked.Retention = retention
	kept := keeper.New(retention)
	server := httptest.NewServer(kept.Handler())
	t.Cleanup(server.Close)
	client := appender.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	t.Cleanup(client.Close)
	return map[string]subject{
		"fake": {log: faked, down: faked.SetDown, lose: faked.Lose},
		"http": {
			log:  client,
			down: func(down bool) { kept.SetFaults(keeper.Faults{Down: down}) },
			lose: func(n int) { kept.SetFaults(keeper.Faults{Lose: n}) },
		},
	}
}

func change(id string) dragonflypass.LogRecord {
	return dragonflypass.LogRecord{Change: &dragonflypass.Change{ID: id, Author: "a", At: time.Unix(1, 0).UTC()}}
}

// TestLogContract holds what every log does, whatever is behind it.
func TestLogContract(t *testing.T) {
	for name, s := range subjects(t) {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			page, err := s.log.Read(ctx, "s", 1, 10)
			c.Assert(err, qt.IsNil)
			c.Check(page.NextOffset, qt.Equals, dragonflypass.Offset(1))
			for i, id := range []string{"a", "b", "c"} {
				offset, err := s.log.Append(ctx, "s", change(id))
				c.Assert(err, qt.IsNil)
				c.Check(offset, qt.Equals, dragonflypass.Offset(i+1))
			}
			page, err = s.log.Read(ctx, "s", 2, 1)
			c.Assert(err, qt.IsNil)
			c.Assert(page.Entries, qt.HasLen, 1)
			c.Check(page.Entries[0].Record, qt.DeepEquals, change("b"))

			s.lose(1)
			_, err = s.log.Append(ctx, "s", change("d"))
			c.Check(err, qt.ErrorIs, dragonflypass.ErrUncertain)
			page, err = s.log.Read(ctx, "s", 4, 10)
			c.Assert(err, qt.IsNil)
			c.Check(page.Entries, qt.HasLen, 1)

			s.down(true)
			_, err = s.log.Append(ctx, "s", change("e"))
			c.Check(err, qt.Not(qt.IsNil))
			_, err = s.log.Read(ctx, "s", 1, 10)
			c.Check(err, qt.ErrorIs, dragonflypass.ErrUnavailable)
			s.down(false)

			<-time.After(2 * retention)
			page, err = s.log.Read(ctx, "s", 1, 10)
			c.Check(err, qt.ErrorIs, dragonflypass.ErrTrimmed)
			c.Check(page.FirstOffset, qt.Equals, dragonflypass.Offset(5))
		})
	}
}

func TestNothingListens(t *testing.T) {
	c := qt.New(t)
	log := appender.New(netip.MustParseAddrPort("127.0.0.1:1"))
	_, err := log.Append(context.Background(), "s", change("a"))
	c.Check(err, qt.ErrorIs, dragonflypass.ErrUnavailable)
}
