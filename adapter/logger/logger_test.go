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

// runLogger runs the test with a logger and returns the decoded lines.
func runLogger(t *testing.T, test func(l *Logger)) (decoded []map[string]any) {
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
			var entry map[string]any
			c.Assert(json.Unmarshal([]byte(text), &entry), qt.IsNil, qt.Commentf("%s", text))
			decoded = append(decoded, entry)
		}
	})
	return decoded
}

func TestLinesAreWrittenAsJSON(t *testing.T) {
	c := qt.New(t)
	got := runLogger(t, func(l *Logger) {
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

func TestEqualLinesAreAggregated(t *testing.T) {
	c := qt.New(t)
	got := runLogger(t, func(l *Logger) {
		for range 50 {
			l.Info("store lost", "topic", "routing")
		}
		time.Sleep(1500 * time.Millisecond)
	})
	c.Assert(got, qt.HasLen, 2)
	c.Check(got[1]["msg"], qt.Equals, "lines gathered")
	c.Check(got[1]["equal"], qt.Equals, 49.0)
}

func TestLinesPerMessageAreLimited(t *testing.T) {
	c := qt.New(t)
	got := runLogger(t, func(l *Logger) {
		for i := range 10 * linesPerMessageLimit {
			l.Info("request ended", "id", i)
			if i%100 == 99 {
				synctest.Wait()
			}
		}
		l.Info("owner", "id", 1)
		time.Sleep(1500 * time.Millisecond)
	})
	lineCounts := make(map[string]int)
	for _, entry := range got {
		lineCounts[entry["msg"].(string)]++
	}
	c.Check(lineCounts, qt.DeepEquals, map[string]int{"request ended": linesPerMessageLimit, "owner": 1, "lines gathered": 1})
}

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	bytes.Buffer
}

func (o *blockedOutput) Write(data []byte) (int, error) {
	<-o.release
	return o.Buffer.Write(data)
}

func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, err := New("info")
		c.Assert(err, qt.IsNil)
		meter, output := fake.NewMeter(), &blockedOutput{release: make(chan struct{})}
		l.Output, l.Meter = output, meter
		go l.Run(t.Context())
		l.Info("first")
		synctest.Wait()
		start := time.Now()
		for i := range 2 * queueLength {
			l.Info("request ended", "id", i)
		}
		c.Check(time.Since(start), qt.Equals, time.Duration(0))
		c.Check(meter.Count(dragonflypass.CountLinesDropped), qt.Equals, int64(queueLength))
		close(output.release)
		time.Sleep(2 * time.Second)
		l.Close()
		c.Check(output.String(), qt.Contains, `"msg":"lines dropped","vm":"","kind":"request ended","count":1024`)
	})
}

func TestLevels(t *testing.T) {
	c := qt.New(t)
	got := runLogger(t, func(l *Logger) {
		c.Check(l.SetLevel("loud"), qt.ErrorIs, ErrLevel)
		c.Check(l.SetLevel("warn"), qt.IsNil)
		l.Info("below the level")
		l.Warn("written")
	})
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0]["msg"], qt.Equals, "written")
}

// requestPairs returns the keys and values of the line written at the end of a request.
func requestPairs() []any {
	return []any{"id", "c-123456", "route", "icebreak", "service", "models", "outcome", "answered", "status", 200, "first", 123 * time.Millisecond,
		"pause", 45 * time.Millisecond, "whole", time.Second, "events", 38, "attempts", []string{"s-1 ended 1s owner vm-2"}, "routing", uint64(17)}
}

// BenchmarkQueued measures the cost of a line for the request that logs it.
func BenchmarkQueued(b *testing.B) {
	l, _ := New("info")
	l.Output, l.Meter = io.Discard, fake.NewMeter()
	go l.Run(b.Context())
	b.ReportAllocs()
	for b.Loop() {
		l.Info("request ended", requestPairs()...)
	}
}

// BenchmarkSlog and BenchmarkCharm measure the cost of formatting and writing a line with each library.
func BenchmarkSlog(b *testing.B) {
	l, _ := New("info")
	l.Output, l.Meter = io.Discard, fake.NewMeter()
	w := newWriter(l)
	b.ReportAllocs()
	for b.Loop() {
		w.format(line{message: "request ended", pairs: requestPairs()})
		w.flush()
	}
}

func BenchmarkCharm(b *testing.B) {
	// The library skips the formatting if the output is io.Discard, so the output is a buffer.
	var output bytes.Buffer
	l := log.NewWithOptions(&output, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339})
	b.ReportAllocs()
	for b.Loop() {
		l.Info("request ended", requestPairs()...)
		output.Reset()
	}
}
