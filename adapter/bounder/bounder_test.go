package bounder_test

import (
	"io"
	"strings"
	"testing"

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

func TestLongBodyIsNotRead(t *testing.T) {
	const limit = 100
	budget := bounder.NewBudget(limit)
	_, err := budget.ReadAll(strings.NewReader(strings.Repeat("x", limit+1)), limit)
	qt.New(t).Check(err, qt.ErrorIs, bounder.ErrTooLarge)
}
