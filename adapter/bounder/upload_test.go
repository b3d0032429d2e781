package bounder_test

import (
	"io"
	"net/netip"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/bounder"
	"github.com/dragonflypass/dragonflypass/core/rationer"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

const uploadLimit = 1 << 20

func newUpload(c testing.TB, r *rationer.Rationer, body io.Reader, length int64) *bounder.Upload {
	ration, refusal := r.OpenBody(netip.MustParseAddr("10.0.0.1"), time.Now(), func() {})
	if refusal != nil {
		c.Fatal(refusal)
	}
	return &bounder.Upload{
		Body: body, Ration: ration, Length: length, Limit: uploadLimit, Stall: time.Minute, Deadline: time.Now().Add(time.Hour),
		SetDeadline: func(time.Time) error { return nil },
	}
}

// TestUploadsAreReadWhole receives bodies of many sizes, announced and chunked. Their size must stay charged until the end, and no more.
func TestUploadsAreReadWhole(t *testing.T) {
	c := qt.New(t)
	text := strings.Repeat("0123456789abcde", uploadLimit/15+1)
	for _, size := range []int{1, 1 << 10, 1<<10 + 1, 17 << 10, 30 << 10, 64 << 10, 64<<10 + 1, 65<<10 + 7, 300_000, uploadLimit} {
		for _, length := range []int64{-1, int64(size)} {
			for _, wrap := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.HalfReader, iotest.DataErrReader} {
				r := fake.NewRationer()
				u := newUpload(c, r, wrap(strings.NewReader(text[:size])), length)
				got, refusal := u.ReadAll()
				c.Assert(refusal == nil, qt.IsTrue)
				c.Check(string(got) == text[:size], qt.IsTrue, qt.Commentf("%d bytes, length %d", size, length))
				usage := r.Usage()
				c.Check(usage.Bytes <= int64(size) && usage.Bytes >= int64(size)-1<<10, qt.IsTrue, qt.Commentf("%d of %d bytes charged", usage.Bytes, size))
				c.Check(usage.Bodies, qt.Equals, 0)
				u.Ration.Close()
				c.Check(r.Usage(), qt.Equals, rationer.Usage{})
			}
		}
	}
}

// TestFaultyUploadsAreRefused receives bodies that are too long, too short or get no memory. Nothing may stay charged.
func TestFaultyUploadsAreRefused(t *testing.T) {
	c := qt.New(t)
	for name, test := range map[string]struct {
		size, length, memory int64
		reason               dragonflypass.Reason
	}{
		"too long":         {uploadLimit + 1, -1, 4 * uploadLimit, dragonflypass.ReasonTooLarge},
		"too short":        {100_000, 200_000, 4 * uploadLimit, dragonflypass.ReasonBadRequest},
		"much too short":   {10, 200_000, 4 * uploadLimit, dragonflypass.ReasonBadRequest},
		"no memory":        {uploadLimit, uploadLimit, uploadLimit / 2, dragonflypass.ReasonBusy},
		"no memory, chunk": {uploadLimit, -1, uploadLimit / 2, dragonflypass.ReasonBusy},
	} {
		r := fake.NewRationer()
		r.Limits.Bytes = test.memory
		u := newUpload(c, r, io.LimitReader(iotest.HalfReader(zeros{}), test.size), test.length)
		_, refusal := u.ReadAll()
		c.Assert(refusal != nil, qt.IsTrue, qt.Commentf("%s", name))
		c.Check(refusal.Reason, qt.Equals, test.reason, qt.Commentf("%s", name))
		c.Check(r.Usage(), qt.Equals, rationer.Usage{}, qt.Commentf("%s", name))
	}
}

// TestAnnouncedBytesAreNotCharged announces a long body and sends little of it.
func TestAnnouncedBytesAreNotCharged(t *testing.T) {
	c := qt.New(t)
	for _, sent := range []int64{0, 100, 20_000, uploadLimit / 5} {
		r := fake.NewRationer()
		reader, writer := io.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = newUpload(c, r, reader, uploadLimit).ReadAll()
		}()
		_, _ = io.CopyN(writer, zeros{}, sent)
		_, _ = writer.Write(nil)
		c.Check(r.Usage().Bytes <= sent+16<<10, qt.IsTrue, qt.Commentf("%d bytes charged for %d", r.Usage().Bytes, sent))
		_ = writer.Close()
		<-done
	}
}

// zeros is an endless source of zeros.
type zeros struct{}

// Read fills the buffer.
func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// BenchmarkBody30KB compares the memory and the time of receiving a body at once with those of an upload. Reads return at most 4 KB, as
// those of a connection.
func BenchmarkBody30KB(b *testing.B) {
	const size = 30 << 10
	text := strings.Repeat("x", size)
	read := func() io.Reader { return &blocks{strings.NewReader(text)} }
	b.Run("at once", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			data := make([]byte, size)
			_, _ = io.ReadFull(read(), data)
		}
	})
	b.Run("upload", func(b *testing.B) {
		r := fake.NewRationer()
		b.ReportAllocs()
		for b.Loop() {
			u := newUpload(b, r, read(), size)
			_, _ = u.ReadAll()
			u.Ration.Close()
		}
	})
	b.Run("all, chunked", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = io.ReadAll(read())
		}
	})
	b.Run("upload, chunked", func(b *testing.B) {
		r := fake.NewRationer()
		b.ReportAllocs()
		for b.Loop() {
			u := newUpload(b, r, read(), -1)
			_, _ = u.ReadAll()
			u.Ration.Close()
		}
	})
}

// blocks returns at most 4 KB from each read.
type blocks struct{ reader io.Reader }

// Read reads at most 4 KB.
func (b *blocks) Read(p []byte) (int, error) { return b.reader.Read(p[:min(len(p), 4<<10)]) }
