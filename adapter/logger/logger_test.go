package logger

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// lines runs the test with a logger and returns what was written, decoded.
func lines(t *testing.T, test func(l *Logger)) (decoded []map[string]any) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, err := New("info")
		c.Assert(err, qt.IsNil)
		var output bytes.Buffer
		l.VM, l.Output, l.Meter = "vm-1", &output, fake.NewMeter()
		go l.Run(t.Context())
		test(l)
		l.Close()
		for text := range strings.Lines(output.String()) {
			var one map[string]any
			c.Assert(json.Unmarshal([]byte(text), &one), qt.IsNil, qt.Commentf("%s", text))
			decoded = append(decoded, one)
		}
	})
	return decoded
}

func TestLinesAreJSON(t *testing.T) {
	c := qt.New(t)
	got := lines(t, func(l *Logger) {
		l.Info("request ended", "id", "a\"b\n", "whole", 1500*time.Microsecond, "error", errors.New("broke"),
			"address", netip.MustParseAddrPort("127.0.0.1:80"), "state", dragonflypass.MemberLive, "attempts", []string{"x", "y"})
		l.Warn("odd", "key without value")
		l.Info("no error", "error", error(nil))
	})
	c.Assert(got, qt.HasLen, 3)
	c.Check(got[0]["msg"], qt.Equals, "request ended")
	c.Check(got[0]["vm"], qt.Equals, "vm-1")
	c.Check(got[0]["id"], qt.Equals, "a\"b\n")
	c.Check(got[0]["whole_ms"], qt.Equals, 1.5)
	c.Check(got[0]["error"], qt.Equals, "broke")
	c.Check(got[0]["address"], qt.Equals, "127.0.0.1:80")
	c.Check(got[0]["state"], qt.Equals, "live")
	c.Check(got[1]["level"], qt.Equals, "WARN")
}

func TestEqualLinesAreGathered(t *testing.T) {
	c := qt.New(t)
	got := lines(t, func(l *Logger) {
		for range 50 {
			l.Info("store lost", "topic", "routing")
		}
		time.Sleep(1500 * time.Millisecond)
	})
	c.Assert(got, qt.HasLen, 2)
	c.Check(got[1]["msg"], qt.Equals, "lines gathered")
	c.Check(got[1]["equal"], qt.Equals, 49.0)
}

func TestKindsAreBounded(t *testing.T) {
	c := qt.New(t)
	got := lines(t, func(l *Logger) {
		for i := range 10 * kindLimit {
			l.Info("request ended", "id", i)
			if i%100 == 99 {
				synctest.Wait()
			}
		}
		l.Info("owner", "id", 1)
		time.Sleep(1500 * time.Millisecond)
	})
	kinds := make(map[string]int)
	for _, one := range got {
		kinds[one["msg"].(string)]++
	}
	c.Check(kinds, qt.DeepEquals, map[string]int{"request ended": kindLimit, "owner": 1, "lines gathered": 1})
}

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(data []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(data)
}

func TestStuckOutputBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, err := New("info")
		c.Assert(err, qt.IsNil)
		meter, output := fake.NewMeter(), &stuck{release: make(chan struct{})}
		l.Output, l.Meter = output, meter
		go l.Run(t.Context())
		l.Info("first")
		synctest.Wait()
		began := time.Now()
		for i := range 2 * queueLength {
			l.Info("request ended", "id", i)
		}
		c.Check(time.Since(began), qt.Equals, time.Duration(0))
		c.Check(meter.Count(dragonflypass.CountLinesDropped), qt.Equals, int64(queueLength))
		close(output.release)
		time.Sleep(2 * time.Second)
		l.Close()
		c.Check(output.String(), qt.Contains, `"msg":"lines dropped","vm":"","kind":"request ended","count":1024`)
	})
}

func TestLevels(t *testing.T) {
	c := qt.New(t)
	got := lines(t, func(l *Logger) {
		c.Check(l.SetLevel("loud"), qt.ErrorIs, ErrLevel)
		c.Check(l.SetLevel("warn"), qt.IsNil)
		l.Info("left out")
		l.Warn("written")
	})
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0]["msg"], qt.Equals, "written")
}

// pairs are those of the line that ends a request.
func pairs() []any {
	return []any{"id", "c-123456", "route", "icebreak", "service", "models", "outcome", "answered", "status", 200, "first", 123 * time.Millisecond,
		"pause", 45 * time.Millisecond, "whole", time.Second, "events", 38, "attempts", []string{"s-1 ended 1s owner vm-2"}, "routing", uint64(17)}
}

// BenchmarkQueued measures a line as a request sees it.
func BenchmarkQueued(b *testing.B) {
	l, _ := New("info")
	l.Output, l.Meter = io.Discard, fake.NewMeter()
	go l.Run(b.Context())
	b.ReportAllocs()
	for b.Loop() {
		l.Info("request ended", pairs()...)
	}
}

// BenchmarkSlog and BenchmarkCharm measure the writing of a line with either library.
func BenchmarkSlog(b *testing.B) {
	l, _ := New("info")
	l.Output, l.Meter = io.Discard, fake.NewMeter()
	w := newWriter(l)
	b.ReportAllocs()
	for b.Loop() {
		w.format(line{message: "request ended", pairs: pairs()})
		w.flush()
	}
}

func BenchmarkCharm(b *testing.B) {
	// An output of this type keeps the library from leaving the work out.
	var output bytes.Buffer
	l := log.NewWithOptions(&output, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339})
	b.ReportAllocs()
	for b.Loop() {
		l.Info("request ended", pairs()...)
		output.Reset()
	}
}
