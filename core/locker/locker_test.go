package locker

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLockOrderViolationPanics(t *testing.T) {
	c := qt.New(t)
	EnableChecks()
	defer checkEnabled.Store(false)
	first := &Mutex{Order: Members}
	second := &Mutex{Order: Permits}

	first.Lock()
	second.Lock()
	first.Unlock()
	second.Unlock()

	second.Lock()
	c.Assert(first.Lock, qt.PanicMatches, "locker: members taken while holding permits")
	second.Unlock()

	first.Lock()
	c.Assert(first.Lock, qt.PanicMatches, "locker: members taken while holding members")
	first.Unlock()
}
