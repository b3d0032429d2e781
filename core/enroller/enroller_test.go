package enroller_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/timer"
	"github.com/dragonflypass/dragonflypass/core/enroller"
	"github.com/dragonflypass/dragonflypass/core/worker"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// start runs an enroller of a VM at the store.
func start(t *testing.T, store *fake.Store) *enroller.Enroller {
	pool := &worker.Pool{Workers: 2, QueueLimit: 16, Meter: fake.NewMeter()}
	clock := timer.New(pool)
	e := enroller.New()
	e.Self, e.Timer, e.Store, e.Logger = dragonflypass.VM{ID: "vm-1"}, clock, store, fake.Logger{}
	for _, run := range []func(context.Context){pool.Run, clock.Run, e.Run} {
		go run(t.Context())
	}
	return e
}

// registrations returns the number of records in the members topic.
func registrations(c *qt.C, store *fake.Store) int {
	page, err := store.Changes(c.Context(), dragonflypass.TopicMembers, 0, 0)
	c.Assert(err, qt.IsNil)
	return len(page.Updates)
}

// TestRegistersOnceInEachEra guards against VMs that are missing from a restored store, and against needless writes.
func TestRegistersOnceInEachEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := fake.NewStore()
		store.SetDown(true)
		e := start(t, store)
		time.Sleep(5 * time.Second)
		store.SetDown(false)
		time.Sleep(5 * time.Second)
		e.NoteEra(1)
		time.Sleep(time.Minute)
		c.Check(registrations(c, store), qt.Equals, 1)
		for era := dragonflypass.Era(2); era <= 4; era++ {
			store.Restore(time.Hour)
			c.Assert(registrations(c, store), qt.Equals, 0)
			e.NoteEra(era)
			e.NoteEra(era)
			time.Sleep(5 * time.Second)
			c.Check(registrations(c, store), qt.Equals, 1)
		}
	})
}

// TestRegistrationBeforeRestoreIsRepeated has the store be restored while the registration is under way, which the response of
// the era before confirms.
func TestRegistrationBeforeRestoreIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := fake.NewStore()
		e := start(t, store)
		time.Sleep(time.Millisecond)
		e.NoteEra(2)
		time.Sleep(2 * time.Millisecond)
		store.Restore(time.Hour)
		time.Sleep(5 * time.Second)
		c.Check(registrations(c, store), qt.Equals, 1)
	})
}
