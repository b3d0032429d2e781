package verifier

import (
	"bytes"
	"testing"

	"github.com/dragonflypass/dragonflypass/standin/corrupter"
)

// FuzzHead guards against a verdict that depends on how the bytes of a head are divided into reads.
func FuzzHead(f *testing.F) {
	for _, response := range append(corrupter.Statuses(), corrupter.Heads()...) {
		f.Add([]byte(response.Text[:min(len(response.Text), 1<<10)]), uint(7))
	}
	f.Fuzz(func(t *testing.T, data []byte, size uint) {
		var whole, divided Head
		wholeErr := whole.Feed(data)
		var dividedErr error
		for rest := data; len(rest) > 0 && dividedErr == nil; {
			n := min(len(rest), int(1+size%64))
			dividedErr = divided.Feed(rest[:n])
			rest = rest[n:]
		}
		if wholeErr != dividedErr || whole.done != divided.done || !bytes.Equal(whole.line, divided.line) {
			t.Fatalf("%v %v, %v %v", wholeErr, dividedErr, whole.done, divided.done)
		}
	})
}
