package bounder

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/rationer"
)

const (
	// pieceBytes is the size in bytes of the pieces in which a body is received while its memory is not allocated at once.
	pieceBytes = 16 << 10
	// firstBytes is the size in bytes of the first piece, which a short body does not exceed.
	firstBytes = 1 << 10
	// directBytes is the announced length in bytes up to which the whole memory is allocated once firstBytes have arrived. That
	// of a longer body is allocated once a directShare-th of it has arrived.
	directBytes = 64 << 10
	directShare = 4
	// deadlineStep is the minimum time by which the deadline for the next bytes is extended, since that takes time.
	deadlineStep = 500 * time.Millisecond
	// chunkedReadBytes is the maximum size in bytes of a read of a chunked body. The reader of net/http blocks until a read within a
	// chunk is complete, and progress shows only then.
	chunkedReadBytes = 1 << 10
	// maxUploadWait is the maximum time for which a body waits for memory. By then, bodies without progress can be evicted.
	maxUploadWait = 1200 * time.Millisecond
)

// pieces holds unused pieces, so that bodies received in pieces leave no garbage.
var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// Upload is the body of a request to be received within limits.
type Upload struct {
	Body io.Reader
	// Ration is charged for the memory as the bytes arrive.
	Ration *rationer.Ration
	// Length is the announced length, negative if there is none; Limit is the maximum length.
	Length int64
	Limit  int64
	// Stall is the maximum time without progress, and Deadline the time at which the body must have been received.
	Stall    time.Duration
	Deadline time.Time
	// SetDeadline sets the time until which the next bytes are awaited.
	SetDeadline func(time.Time) error

	pieces []*[pieceBytes]byte
	// total is the number of bytes received.
	total int64
	// setAt is the time at which the deadline was last extended.
	setAt time.Time
	// waitUntil is the end of the time for which the body may wait for memory, zero until it does.
	waitUntil time.Time
	// refusal is set if no more memory is granted.
	refusal *dragonflypass.Refusal
}

// errRefused ends the reading of a body that is refused.
var errRefused = errors.New("bounder: the body is refused")

// ReadAll receives the body to its end. Its memory stays charged to the ration, which is closed if the body is refused.
func (u *Upload) ReadAll() ([]byte, *dragonflypass.Refusal) {
	u.extend(time.Now())
	data, err := u.read()
	u.freePieces()
	if !u.Ration.Received() && err == nil {
		err = errRefused
	}
	if err == nil && u.Length >= 0 && u.total < u.Length {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		return data, nil
	}
	refusal := u.refuse(err)
	u.Ration.Close()
	return nil, refusal
}

// refuse returns the refusal for an error of the reader.
func (u *Upload) refuse(err error) *dragonflypass.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case u.refusal != nil:
		return u.refusal
	case errors.Is(err, ErrTooLarge) || errors.As(err, &tooLarge):
		return dragonflypass.Refuse(dragonflypass.ReasonTooLarge, 0, "the body exceeds the limit of %d bytes", u.Limit)
	case u.Ration.Evicted():
		return u.Ration.Refuse(time.Now())
	case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(u.Deadline):
		return u.Ration.Stalled(u.Stall, time.Now())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return dragonflypass.Refuse(dragonflypass.ReasonTimeout, 0, "the body was not received in time")
	case u.Length >= 0:
		return dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "the body is shorter than its Content-Length")
	}
	return dragonflypass.Refuse(dragonflypass.ReasonBadRequest, 0, "the body could not be read")
}

// read receives the body in pieces and, once enough of the announced length has arrived, directly.
func (u *Upload) read() ([]byte, error) {
	direct := u.Limit + 1
	switch {
	case u.Length >= 0 && u.Length <= directBytes:
		direct = min(firstBytes, u.Length)
	case u.Length >= 0:
		direct = u.Length / directShare
	}
	first := make([]byte, min(firstBytes, u.Limit+1))
	if u.Length >= 0 {
		first = first[:min(int64(len(first)), u.Length)]
	}
	n, err := u.fill(first)
	if err != nil || u.total == u.Length {
		return first[:n], ignoreEOF(err)
	}
	for u.total < direct {
		if err := u.take(pieceBytes); err != nil {
			return nil, err
		}
		piece := pieces.Get().(*[pieceBytes]byte)
		u.pieces = append(u.pieces, piece)
		_, err := u.fill(piece[:])
		if errors.Is(err, io.EOF) {
			return u.join(first, u.total)
		}
		if err != nil {
			return nil, err
		}
	}
	data, err := u.join(first, u.Length)
	if err != nil {
		return nil, err
	}
	_, err = u.fill(data[u.total:])
	return data, ignoreEOF(err)
}

// join allocates memory of the length and copies what has been received into it. The pieces are given back.
func (u *Upload) join(first []byte, length int64) ([]byte, error) {
	if err := u.take(length); err != nil {
		return nil, err
	}
	data := make([]byte, length)
	copied := copy(data, first)
	for _, piece := range u.pieces {
		copied += copy(data[copied:max(int64(copied), u.total)], piece[:])
	}
	u.freePieces()
	return data, nil
}

// freePieces gives the pieces and their memory back.
func (u *Upload) freePieces() {
	for _, piece := range u.pieces {
		pieces.Put(piece)
	}
	u.Ration.Give(int64(len(u.pieces)) * pieceBytes)
	u.pieces = nil
}

func (u *Upload) take(bytes int64) error {
	if Acquire(u.Ration, bytes, &u.waitUntil, maxUploadWait) {
		return nil
	}
	u.refusal = u.Ration.Refuse(time.Now())
	return errRefused
}

// Acquire takes memory for an exchange. If there is too little, it waits until the given time, in which nothing is read from the other
// side; a zero time is set to the end of the maximum wait. It reports whether there was enough.
func Acquire(ration *rationer.Ration, bytes int64, until *time.Time, maxWait time.Duration) bool {
	now := time.Now()
	granted, freed, retryAt := ration.Take(bytes, now)
	if granted {
		return true
	}
	if until.IsZero() {
		*until = now.Add(maxWait)
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for !granted && now.Before(*until) && !ration.Evicted() {
		ration.Wait(now)
		wait := until.Sub(now)
		if retryAt.After(now) {
			wait = min(wait, retryAt.Sub(now))
		}
		timer.Reset(wait)
		select {
		case <-freed:
		case <-timer.C:
		}
		now = time.Now()
		granted, freed, retryAt = ration.Take(bytes, now)
	}
	return granted
}

// fill reads until the buffer is full. The error is that of the reader, io.EOF at the end of the body.
func (u *Upload) fill(buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var read int
		end := min(int64(len(buffer)), int64(n)+u.Limit+1-u.total)
		if u.Length < 0 {
			end = min(end, int64(n)+chunkedReadBytes)
		}
		read, err = u.Body.Read(buffer[n:end])
		n += read
		u.total += int64(read)
		if u.total > u.Limit {
			return n, ErrTooLarge
		}
		now := time.Now()
		if u.Ration.Record(read, now) && now.Sub(u.setAt) > u.step() {
			u.extend(now)
		}
	}
	if n == len(buffer) && errors.Is(err, io.EOF) {
		// The next read returns the end again.
		err = nil
	}
	return n, err
}

// extend sets the deadline for the next bytes.
func (u *Upload) extend(now time.Time) {
	u.setAt = now
	deadline := now.Add(u.Stall + u.step())
	if u.Deadline.Before(deadline) {
		deadline = u.Deadline
	}
	_ = u.SetDeadline(deadline)
}

// step returns the minimum time by which the deadline is extended.
func (u *Upload) step() time.Duration { return min(deadlineStep, u.Stall/8) }

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
