package follower_test

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/timer"
	"github.com/dragonflypass/dragonflypass/core/follower"
	"github.com/dragonflypass/dragonflypass/core/worker"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// newReader returns a follower in virtual time that reads the store at each call of Poll.
func newReader(store dragonflypass.Store) *follower.Follower {
	f := newFollower()
	clock := timer.New(&worker.Pool{})
	clock.TimeSinceBoot = func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	f.Timer, f.Store, f.IsReader = clock, store, func() bool { return true }
	return f
}

// putVersion writes a route table of the version.
func putVersion(store *fake.Store, version uint64) {
	store.Put(dragonflypass.TopicRouting, dragonflypass.Update{Key: "routing", Table: &dragonflypass.RouteTable{Version: version}})
}

// putKey writes a record without a version.
func putKey(store *fake.Store, key string) {
	store.Put(dragonflypass.TopicRouting, dragonflypass.Update{Key: key, Server: &dragonflypass.ServerEntry{ID: dragonflypass.ServerID(key)}})
}

// updates returns the records of the topic that the follower would send to a VM that has not read it, by key.
func updates(f *follower.Follower) map[string]dragonflypass.Update {
	byKey := make(map[string]dragonflypass.Update)
	for _, update := range f.MissingUpdates(dragonflypass.Watermark{Topic: f.Topic}, true).Updates {
		byKey[update.Key] = update
	}
	return byKey
}

func isFresh(f *follower.Follower) bool {
	freshAsOf, loaded := f.FreshAsOf()
	return loaded && f.Timer.Uptime()-freshAsOf < 100*time.Millisecond
}

// TestRestoredStoreIsReadAnew restores the store while it has as many records as before, fewer, or none. A reader that went on
// from its offset would miss what the restored copy lacks, and one that ignored lower offsets would never be current again.
func TestRestoredStoreIsReadAnew(t *testing.T) {
	for name, recordsSince := range map[string]int{"higher offsets": 5, "same offsets": 3, "lower offsets": 1, "nothing": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := fake.NewStore()
				f := newReader(store)
				removed := make(map[string]bool)
				f.Subscribe(func(updates []dragonflypass.Update) {
					for _, update := range updates {
						removed[update.Key] = len(update.Raw) == 0
					}
				})
				putKey(store, "kept")
				time.Sleep(time.Minute)
				for i := range 3 {
					putKey(store, fmt.Sprintf("lost-%d", i))
				}
				f.Poll(t.Context())
				c.Assert(f.Watermark().EndOffset, qt.Equals, dragonflypass.Offset(4))

				store.Restore(30 * time.Second)
				for i := range recordsSince {
					putKey(store, fmt.Sprintf("new-%d", i))
				}
				time.Sleep(time.Second)
				f.Poll(t.Context())
				c.Check(f.Watermark().EndOffset, qt.Equals, dragonflypass.Offset(1+recordsSince))
				c.Check(updates(f), qt.HasLen, 1+recordsSince)
				c.Check(removed["lost-0"], qt.IsTrue)
				c.Check(removed["kept"], qt.IsFalse)
				c.Check(isFresh(f), qt.IsTrue)
				putKey(store, "next")
				f.Poll(t.Context())
				c.Check(updates(f), qt.HasLen, 2+recordsSince)
			})
		})
	}
}

// TestSecondRestoreWithinSeconds restores the store again before the first restore has been read, right after it, and while it
// is being read.
func TestSecondRestoreWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := fake.NewStore()
		f := newReader(store)
		for i := range 4 {
			putKey(store, strconv.Itoa(i))
			time.Sleep(10 * time.Second)
		}
		f.Poll(t.Context())
		store.Restore(15 * time.Second)
		store.SetDown(true)
		f.Poll(t.Context())
		c.Check(f.Loaded(), qt.IsTrue)
		store.SetDown(false)
		store.Restore(25 * time.Second)
		time.Sleep(time.Second)
		f.Poll(t.Context())
		c.Check(f.Watermark().EndOffset, qt.Equals, dragonflypass.Offset(2))
		c.Check(isFresh(f), qt.IsTrue)
		store.Restore(35 * time.Second)
		time.AfterFunc(3*time.Millisecond, func() { store.Restore(0) })
		f.Poll(t.Context())
		time.Sleep(time.Second)
		f.Poll(t.Context())
		c.Check(updates(f), qt.HasLen, 1)
		c.Check(isFresh(f), qt.IsTrue)
	})
}

// lateStore delays the response to a read of changes until it is released.
type lateStore struct {
	*fake.Store
	read, release chan struct{}
	withoutEra    bool
}

func (s *lateStore) Changes(ctx context.Context, topic dragonflypass.Topic, from dragonflypass.Offset, wait time.Duration) (dragonflypass.UpdatePage, error) {
	page, err := s.Store.Changes(ctx, topic, from, wait)
	if s.withoutEra {
		page.Era = 0
	}
	close(s.read)
	<-s.release
	return page, err
}

// TestLateResponseOfOldEraIsIgnored has a response from before a restore arrive after another VM has sent the restored topic.
// Its records are lost, and its offset would hide the changes since the restore.
func TestLateResponseOfOldEraIsIgnored(t *testing.T) {
	for _, withoutEra := range []bool{false, true} {
		t.Run(fmt.Sprintf("without era %t", withoutEra), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := &lateStore{Store: fake.NewStore(), read: make(chan struct{}), release: make(chan struct{}), withoutEra: withoutEra}
				late, other := newReader(store), newReader(store.Store)
				putKey(store.Store, "kept")
				late.Poll(t.Context())
				time.Sleep(time.Minute)
				putKey(store.Store, "lost")
				go late.Poll(t.Context())
				<-store.read
				store.Restore(30 * time.Second)
				other.Poll(t.Context())
				late.HandleWatermark(late.Timer.Uptime(), other.MissingUpdates(late.Watermark(), true), "vm-2")
				freshAsOf, _ := late.FreshAsOf()
				close(store.release)
				synctest.Wait()
				c.Check(late.Watermark().EndOffset, qt.Equals, dragonflypass.Offset(1))
				c.Check(updates(late), qt.HasLen, 1)
				after, _ := late.FreshAsOf()
				c.Check(after, qt.Equals, freshAsOf)
			})
		})
	}
}

// TestOldEraProvesNothing has a VM that has not noticed a restore, with higher offsets, answer one that has. Its reads do not
// show the changes of the new era, and its updates are lost. It must get the restored topic itself.
func TestOldEraProvesNothing(t *testing.T) {
	for _, fullSnapshot := range []bool{false, true} {
		t.Run(fmt.Sprintf("full snapshot %t", fullSnapshot), func(t *testing.T) { testOldEraProvesNothing(t, fullSnapshot) })
	}
}

func testOldEraProvesNothing(t *testing.T, fullSnapshot bool) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := fake.NewStore()
		behind, ahead := newReader(store), newReader(store)
		putKey(store, "kept")
		time.Sleep(time.Minute)
		putKey(store, "lost")
		behind.Poll(t.Context())
		store.Restore(30 * time.Second)
		ahead.Poll(t.Context())
		freshAsOf, _ := ahead.FreshAsOf()
		time.Sleep(time.Second)
		answer := behind.MissingUpdates(ahead.Watermark(), true)
		answer.Staleness, answer.FullSnapshot = 0, fullSnapshot
		answer.Updates = append(answer.Updates, dragonflypass.Update{Key: "late", Offset: 1, Raw: []byte("x")})
		ahead.HandleWatermark(ahead.Timer.Uptime(), answer, "vm-1")
		after, _ := ahead.FreshAsOf()
		c.Check(after, qt.Equals, freshAsOf)
		c.Check(updates(ahead), qt.HasLen, 1)

		answer = ahead.MissingUpdates(behind.Watermark(), false)
		c.Check(answer.FullSnapshot, qt.IsTrue)
		behind.HandleWatermark(behind.Timer.Uptime(), answer, "vm-2")
		c.Check(behind.Watermark().EndOffset, qt.Equals, dragonflypass.Offset(1))
		c.Check(updates(behind), qt.HasLen, 1)
		restored := behind.Watermark()
		c.Check(restored.Era, qt.Equals, ahead.Watermark().Era)
		c.Check(ahead.MissingUpdates(restored, true).Updates, qt.HasLen, 0)
	})
}

// TestVersionInForceSurvivesRestore restores the store from a copy with an older route table, or with none. A VM that starts
// afterwards, whether it asks another VM or the store first, must get the version in force, or a revoked key would be accepted
// again.
func TestVersionInForceSurvivesRestore(t *testing.T) {
	for _, restoredVersion := range []uint64{5, 0} {
		t.Run(fmt.Sprint(restoredVersion), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := fake.NewStore()
				running := newReader(store)
				putKey(store, "other")
				if restoredVersion > 0 {
					putVersion(store, restoredVersion)
				}
				time.Sleep(time.Minute)
				putVersion(store, 8)
				running.Poll(t.Context())
				store.Restore(30 * time.Second)
				fromStore, fromPeer, beforeReread := newReader(store), newReader(store), newReader(store)
				fromStore.Poll(t.Context())
				beforeReread.Poll(t.Context())
				ask := func(f *follower.Follower) {
					f.HandleWatermark(f.Timer.Uptime(), running.MissingUpdates(f.Watermark(), false), "vm-1")
				}
				ask(beforeReread)
				running.Poll(t.Context())
				for _, f := range []*follower.Follower{fromStore, fromPeer} {
					ask(f)
				}
				fromPeer.Poll(t.Context())
				for name, f := range map[string]*follower.Follower{"running": running, "from store": fromStore, "from peer": fromPeer, "before reread": beforeReread} {
					update := updates(f)["routing"]
					c.Check(update.Version(), qt.Equals, uint64(8), qt.Commentf("%s", name))
					c.Check(f.Watermark().Version, qt.Equals, uint64(8), qt.Commentf("%s", name))
				}
				// The operator writes the version again, and then the next one.
				for _, version := range []uint64{8, 9} {
					putVersion(store, version)
					running.Poll(t.Context())
					ask(fromStore)
					update := updates(fromStore)["routing"]
					c.Check(update.Version(), qt.Equals, version)
				}
			})
		})
	}
}

// TestResponsesWithoutEra has the store stop stating its era. Its responses must count as those of the era known so far, and the
// topic must not be read anew.
func TestResponsesWithoutEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := fake.NewStore()
		f := newReader(store)
		putKey(store, "a")
		f.Poll(t.Context())
		store.SetEraWithheld(true)
		putKey(store, "b")
		calls := store.Calls()
		time.Sleep(time.Second)
		f.Poll(t.Context())
		c.Check(store.Calls(), qt.Equals, calls+1)
		c.Check(updates(f), qt.HasLen, 2)
		c.Check(isFresh(f), qt.IsTrue)
		store.Trim(dragonflypass.TopicRouting)
		putKey(store, "c")
		f.Poll(t.Context())
		c.Check(updates(f), qt.HasLen, 3)
	})
}

// TestTrimWithoutNewEra discards the changes that a VM has not read, without a restore. The VM must read the topic as before.
func TestTrimWithoutNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store, meter := fake.NewStore(), fake.NewMeter()
		f := newReader(store)
		f.Meter = meter
		putKey(store, "a")
		f.Poll(t.Context())
		era := f.Watermark().Era
		putKey(store, "b")
		store.Trim(dragonflypass.TopicRouting)
		f.Poll(t.Context())
		c.Check(updates(f), qt.HasLen, 2)
		c.Check(f.Watermark().Era, qt.Equals, era)
		c.Check(meter.Count(dragonflypass.CountStoreRestored), qt.Equals, int64(0))
	})
}

// TestVMsThatSendNoEra exchanges watermarks with a VM of an earlier version, which neither sends eras nor versions. It must be
// able to follow, and prove freshness until the store is restored: its copy may be older than that.
func TestVMsThatSendNoEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := fake.NewStore()
		f := newReader(store)
		putVersion(store, 5)
		f.Poll(t.Context())
		earlier := dragonflypass.Watermark{Topic: f.Topic, EndOffset: 1, Loaded: true}
		c.Check(f.MissingUpdates(earlier, true).Updates, qt.HasLen, 0)
		time.Sleep(time.Second)
		f.HandleWatermark(f.Timer.Uptime(), earlier, "vm-1")
		c.Check(isFresh(f), qt.IsTrue)
		putVersion(store, 6)
		f.Poll(t.Context())
		missing := f.MissingUpdates(earlier, true)
		c.Check(missing.Updates, qt.HasLen, 1)
		c.Check(missing.FullSnapshot, qt.IsFalse)

		store.Restore(30 * time.Second)
		f.Poll(t.Context())
		time.Sleep(time.Second)
		earlier.EndOffset = 2
		f.HandleWatermark(f.Timer.Uptime(), earlier, "vm-1")
		c.Check(isFresh(f), qt.IsFalse)
		c.Check(f.MissingUpdates(earlier, true).Updates, qt.HasLen, 0)
	})
}

// TestStartWaitsForNewerVersions starts a VM that reads an older route table from a restored store. The topic must not count as
// loaded before other VMs had time to answer, nor while one of them is known to have a newer version that is still on its way,
// but for no more than a few seconds. It must not wait if the store knows no eras.
func TestStartWaitsForNewerVersions(t *testing.T) {
	const answerTime, arrival, limit = 300 * time.Millisecond, time.Second, 2500 * time.Millisecond
	for _, test := range []struct {
		name                       string
		withoutEra, newer, arrives bool
		loadedAfter                time.Duration
	}{
		{name: "no other VM", loadedAfter: answerTime},
		{name: "no era", withoutEra: true, newer: true},
		{name: "newer version", newer: true, arrives: true, loadedAfter: arrival},
		{name: "newer version that never arrives", newer: true, loadedAfter: limit},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				pool := &worker.Pool{Workers: 4, QueueLimit: 16, Meter: fake.NewMeter()}
				clock := timer.New(pool)
				clock.TimeSinceBoot = func() time.Duration { return time.Duration(time.Now().UnixNano()) }
				store := fake.NewStore()
				store.SetEraWithheld(test.withoutEra)
				putVersion(store, 5)
				f := newReader(store)
				f.Timer, f.PollInterval, f.PeerAnswerTime = clock, 100*time.Millisecond, answerTime
				for _, run := range []func(context.Context){pool.Run, clock.Run, f.Run} {
					go run(t.Context())
				}
				if test.newer {
					newer := dragonflypass.Watermark{Topic: f.Topic, Era: 1, Version: 8, EndOffset: 1, Loaded: true, Withheld: true}
					time.AfterFunc(answerTime/2, func() { f.HandleWatermark(f.Timer.Uptime(), newer, "vm-1") })
				}
				if test.arrives {
					time.AfterFunc(arrival, func() {
						other := newReader(store)
						putVersion(store, 8)
						other.Poll(t.Context())
						f.HandleWatermark(f.Timer.Uptime(), other.MissingUpdates(f.Watermark(), true), "vm-1")
					})
				}
				const tolerance = 20 * time.Millisecond
				time.Sleep(test.loadedAfter - tolerance)
				c.Check(f.Loaded(), qt.IsFalse)
				time.Sleep(2 * tolerance)
				c.Check(f.Loaded(), qt.IsTrue)
			})
		})
	}
}

// TestCopyOfUnknownEraIsReplaced has a VM that got the topic from one that sends no era learn the era from another one. Its copy
// may be from before a restore, so it must neither prove freshness nor be passed on, and it must get the topic anew.
func TestCopyOfUnknownEraIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := fake.NewStore()
		putKey(store, "a")
		ahead, f := newReader(store), newReader(store)
		ahead.Poll(t.Context())
		unknown := ahead.MissingUpdates(f.Watermark(), true)
		unknown.Era, unknown.EndOffset = 0, 5
		f.HandleWatermark(f.Timer.Uptime(), unknown, "vm-1")
		c.Assert(f.Loaded(), qt.IsTrue)

		answer := f.MissingUpdates(ahead.Watermark(), true)
		c.Check(answer.Loaded, qt.IsFalse)
		c.Check(answer.Updates, qt.HasLen, 0)
		f.HandleWatermark(f.Timer.Uptime(), ahead.MissingUpdates(f.Watermark(), true), "vm-2")
		c.Check(f.Watermark().EndOffset, qt.Equals, dragonflypass.Offset(1))
		c.Check(f.Watermark().Era, qt.Equals, dragonflypass.Era(1))
	})
}
