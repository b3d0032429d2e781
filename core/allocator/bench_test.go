package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// BenchmarkPlacement measures a permit that is requested and released at an owner of 78 servers with six streams each, with
// an empty queue and behind long prompts that wait. A placement should take less than 50 us, and its memory should not grow
// with the queue.
func BenchmarkPlacement(b *testing.B) {
	for _, waiting := range []int{0, 20, 200} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			o := newOwner(78)
			for range 78 * 6 {
				id, _ := o.request("vm-1", 4_960, time.Second, time.Hour)
				o.Prefilled(id)
			}
			for range waiting {
				o.request("vm-1", 390_000, time.Hour, 2*time.Hour)
			}
			b.ReportAllocs()
			for b.Loop() {
				id, _ := o.request("vm-1", 4_960, time.Second, time.Hour)
				o.advance(5 * time.Millisecond)
				permit := o.permits[id]
				delete(o.permits, id)
				delete(o.results, id)
				if permit.Server == "" {
					b.Fatal("no permit")
				}
				o.Release(dragonflypass.PermitRelease{Stream: id, Server: permit.Server, Outcome: dragonflypass.OutcomeDone})
				o.advance(5 * time.Millisecond)
			}
		})
	}
}
