package bounder_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass/adapter/bounder"
)

// TestBodiesTakeLimitedMemory reads a body while another one, which has not ended, uses the whole budget.
func TestBodiesTakeLimitedMemory(t *testing.T) {
	c := qt.New(t)
	const free, budgetBytes, limit = 8 << 10, 64 << 10, 1 << 20
	budget := bounder.NewBudget(budgetBytes)
	read := func(size int) error {
		data, err := budget.ReadAll(strings.NewReader(strings.Repeat("x", size)), limit)
		if err == nil {
			c.Check(data, qt.HasLen, size)
		}
		return err
	}
	c.Check(read(free+budgetBytes), qt.IsNil)
	c.Check(read(free+budgetBytes+1), qt.ErrorIs, bounder.ErrBudgetSpent)

	pending, writer := io.Pipe()
	done := make(chan error, 1)
	go func() {
		_, err := budget.ReadAll(pending, limit)
		done <- err
	}()
	_, _ = writer.Write(make([]byte, free+budgetBytes))
	_, _ = writer.Write(nil)
	c.Check(read(free), qt.IsNil)
	c.Check(read(free+1), qt.ErrorIs, bounder.ErrBudgetSpent)
	_ = writer.Close()
	c.Check(<-done, qt.IsNil)
	c.Check(read(free+budgetBytes), qt.IsNil)
}

// TestBodiesAreReadWhole reads bodies of all sizes around those of a piece, in reads of several sizes, and one that is cut off.
func TestBodiesAreReadWhole(t *testing.T) {
	c := qt.New(t)
	const step, limit = 8 << 10, 1 << 20
	text := strings.Repeat("0123456789abcde", limit/15)
	for _, size := range []int{0, 1, step - 1, step, step + 1, 2*step - 1, 2 * step, 2*step + 1, 5*step + 7} {
		for _, wrap := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.HalfReader, iotest.DataErrReader} {
			got, err := bounder.NewBudget(limit).ReadAll(wrap(strings.NewReader(text[:size])), limit)
			c.Assert(err, qt.IsNil)
			c.Check(string(got) == text[:size], qt.IsTrue, qt.Commentf("%d bytes", size))
		}
		cut := io.MultiReader(strings.NewReader(text[:size]), iotest.ErrReader(io.ErrUnexpectedEOF))
		_, err := bounder.NewBudget(limit).ReadAll(cut, limit)
		c.Check(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	}
}

func TestLongBodyIsNotRead(t *testing.T) {
	const limit = 100
	budget := bounder.NewBudget(limit)
	_, err := budget.ReadAll(strings.NewReader(strings.Repeat("x", limit+1)), limit)
	qt.New(t).Check(err, qt.ErrorIs, bounder.ErrTooLarge)
}
