package bounder

import (
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"
)

// stepBytes is the size in bytes of the steps in which memory is taken from a budget. The first step of each body is free, so that
// short bodies can be read while long ones use all of it.
const stepBytes = 8 << 10

// The reasons why a body is not read to its end.
var (
	ErrTooLarge    = eris.New("bounder: the body exceeds the size limit")
	ErrBudgetSpent = eris.New("bounder: the memory for bodies is in use")
)

// Budget is the memory that the bodies being read may take together, besides their first 8 KB each.
type Budget struct {
	memory Memory
}

// Memory is memory of which bodies take parts.
type Memory interface {
	// TryAcquire takes bytes and reports whether there were enough.
	TryAcquire(bytes int64) bool
	// Release gives bytes back.
	Release(bytes int64)
}

// BudgetOf returns a budget that takes its memory from the given one.
func BudgetOf(memory Memory) *Budget { return &Budget{memory: memory} }

// NewBudget returns a budget of the given size in bytes.
func NewBudget(bytes int64) *Budget { return &Budget{memory: semaphore.NewWeighted(bytes)} }

// ReadAll reads a body of at most limit bytes to its end. It returns ErrTooLarge, ErrBudgetSpent or the error of the reader.
func (b *Budget) ReadAll(body io.Reader, limit int64) ([]byte, error) {
	r := &reader{body: body, budget: b, limit: limit}
	defer func() { b.memory.Release(r.held) }()
	first, err := io.ReadAll(io.LimitReader(r, stepBytes))
	if err != nil || len(first) < stepBytes {
		return first, err
	}
	// The pieces are joined only once the body has ended, so that one without an end takes no more than its budget.
	pieces := [][]byte{first}
	for err == nil {
		var piece []byte
		piece, err = readPiece(r)
		pieces = append(pieces, piece)
	}
	if !errors.Is(err, io.EOF) {
		return nil, err
	}
	return bytes.Join(pieces, nil), nil
}

// readPiece reads until a piece is full. The error is that of the reader, io.EOF at the end of the body.
func readPiece(r io.Reader) ([]byte, error) {
	piece := make([]byte, stepBytes)
	length := 0
	for length < len(piece) {
		n, err := r.Read(piece[length:])
		length += n
		if err != nil {
			return piece[:length], err
		}
	}
	return piece, nil
}

// reader takes the memory for what it reads from a budget.
type reader struct {
	body   io.Reader
	budget *Budget
	limit  int64
	total  int64
	held   int64
}

// Read reads from the body. It returns ErrTooLarge or ErrBudgetSpent once a limit is exceeded.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.total += int64(n)
	if r.total > r.limit {
		return n, ErrTooLarge
	}
	for r.total > r.held+stepBytes {
		if !r.budget.memory.TryAcquire(stepBytes) {
			return n, ErrBudgetSpent
		}
		r.held += stepBytes
	}
	return n, err
}
