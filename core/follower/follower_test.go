package follower_test

import (
	"context"
	"sync"
	"sync/atomic"
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

// TestNewReaderReadsAtOnce makes a VM a reader that has not been one. It must read the store at once, and not after the
// delay for VMs that are no readers: the other VMs rely on it.
func TestNewReaderReadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		pool := &worker.Pool{Workers: 4, QueueLimit: 16, Meter: fake.NewMeter()}
		clock := timer.New(pool)
		store, reader := fake.NewStore(), new(atomic.Bool)
		f := follower.New(dragonflypass.TopicRouting, dragonflypass.JobRouting)
		f.Timer, f.Store, f.Meter, f.Logger = clock, &fake.StoreAccess{Store: store}, fake.NewMeter(), fake.Logger{}
		f.PollInterval = 100 * time.Millisecond
		f.PollPolicy = func() follower.PollPolicy {
			return follower.PollPolicy{MaxStaleness: 2 * time.Second, ReadInterval: 4 * time.Second}
		}
		f.IsReader = reader.Load
		f.Equal = func(dragonflypass.Update, dragonflypass.Update) bool { return false }
		go pool.Run(ctx)
		go clock.Run(ctx)
		go f.Run(ctx)
		time.Sleep(50 * time.Millisecond)
		calls := store.Calls()
		c.Assert(f.Loaded(), qt.IsTrue)
		time.Sleep(time.Second)
		c.Check(store.Calls(), qt.Equals, calls)
		reader.Store(true)
		time.Sleep(300 * time.Millisecond)
		c.Check(store.Calls() > calls, qt.IsTrue)
	})
}

// TestVMWithoutProofsStaysFresh has a VM of a large fleet, which hears from no other VM, read the store itself.
func TestVMWithoutProofsStaysFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const limit = 4250 * time.Millisecond
		pool := &worker.Pool{Workers: 4, QueueLimit: 16, Meter: fake.NewMeter()}
		clock, start := timer.New(pool), time.Now()
		clock.TimeSinceBoot = func() time.Duration { return time.Since(start) + time.Hour }
		f := newFollower()
		f.Timer, f.Store = clock, &fake.StoreAccess{Store: fake.NewStore()}
		f.PollInterval = 100 * time.Millisecond
		f.PollPolicy = func() follower.PollPolicy {
			return follower.PollPolicy{MaxStaleness: 2100 * time.Millisecond, ReadInterval: 4 * time.Second, StalenessLimit: limit}
		}
		for _, run := range []func(context.Context){pool.Run, clock.Run, f.Run} {
			go run(t.Context())
		}
		time.Sleep(time.Second)
		c.Assert(f.Loaded(), qt.IsTrue)
		for range 3000 {
			time.Sleep(100 * time.Millisecond)
			freshAsOf, _ := f.FreshAsOf()
			c.Assert(clock.Uptime()-freshAsOf <= limit+2*f.PollInterval, qt.IsTrue)
		}
	})
}

// rawStore decodes every record to itself.
type rawStore struct{ dragonflypass.Store }

func (rawStore) Decode(_ dragonflypass.Topic, key string, offset dragonflypass.Offset, raw []byte) dragonflypass.Update {
	return dragonflypass.Update{Key: key, Offset: offset, Raw: raw}
}

// newFollower returns a follower that is no reader and has not read the topic.
func newFollower() *follower.Follower {
	f := follower.New(dragonflypass.TopicRouting, dragonflypass.JobRouting)
	f.Timer, f.Store, f.Meter, f.Logger = timer.New(&worker.Pool{}), rawStore{}, fake.NewMeter(), fake.Logger{}
	f.PollPolicy, f.IsReader = func() follower.PollPolicy { return follower.PollPolicy{} }, func() bool { return false }
	f.Equal = func(dragonflypass.Update, dragonflypass.Update) bool { return false }
	return f
}

// page returns a watermark with a new record of the only key of the topic.
func page(offset dragonflypass.Offset) dragonflypass.Watermark {
	return dragonflypass.Watermark{Topic: dragonflypass.TopicRouting, EndOffset: offset, Loaded: true,
		Updates: []dragonflypass.Update{{Key: "routing", Offset: offset, Raw: []byte("record")}}}
}

// TestOlderRecordIsNotDeliveredLast has a second page arrive while the listeners are still busy with the first one.
func TestOlderRecordIsNotDeliveredLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFollower()
		var mutex sync.Mutex
		var delivered []dragonflypass.Offset
		f.Subscribe(func(updates []dragonflypass.Update) {
			if updates[0].Offset == 1 {
				time.Sleep(time.Second)
			}
			mutex.Lock()
			defer mutex.Unlock()
			delivered = append(delivered, updates[0].Offset)
		})
		var pages sync.WaitGroup
		for offset := dragonflypass.Offset(1); offset <= 3; offset++ {
			pages.Go(func() { f.HandleWatermark(f.Timer.Uptime(), page(offset), "vm-1") })
			synctest.Wait()
		}
		pages.Wait()
		c.Check(delivered, qt.DeepEquals, []dragonflypass.Offset{1, 2, 3})
	})
}

// TestTopicIsNotLoadedBeforeItIsApplied has a second first page arrive, which changes nothing, while the listeners are still
// busy with the first one. Requests after a start wait until the topic counts as loaded.
func TestTopicIsNotLoadedBeforeItIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFollower()
		applied := make(chan struct{})
		f.Subscribe(func([]dragonflypass.Update) {
			time.Sleep(time.Second)
			close(applied)
		})
		go func() {
			<-f.LoadedDone()
			select {
			case <-applied:
			default:
				c.Error("loaded before the listeners have applied the topic")
			}
		}()
		for range 2 {
			go f.HandleWatermark(f.Timer.Uptime(), page(1), "vm-1")
			synctest.Wait()
			c.Check(f.Loaded(), qt.IsFalse)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		c.Check(f.Loaded(), qt.IsTrue)
	})
}

// TestTableIsNotFreshBeforeItIsApplied reads the topic again after a long time. What the listeners have applied must not
// count as current before they have applied what has been read.
func TestTableIsNotFreshBeforeItIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFollower()
		f.HandleWatermark(f.Timer.Uptime(), page(1), "vm-1")
		before, loaded := f.FreshAsOf()
		c.Assert(loaded, qt.IsTrue)
		f.Subscribe(func([]dragonflypass.Update) { time.Sleep(time.Second) })
		readAt := before + 10*time.Second
		go f.HandleWatermark(readAt, page(2), "vm-1")
		synctest.Wait()
		during, _ := f.FreshAsOf()
		c.Check(during, qt.Equals, before)
		time.Sleep(time.Second)
		synctest.Wait()
		after, _ := f.FreshAsOf()
		c.Check(after, qt.Equals, readAt)
	})
}

// TestRemovalReachesVMsThroughNewOne removes a record while one VM starts, whose snapshot does not contain the record any more.
// A VM that follows this one must not keep the record.
func TestRemovalReachesVMsThroughNewOne(t *testing.T) {
	c := qt.New(t)
	behind, started := newFollower(), newFollower()
	behind.HandleWatermark(behind.Timer.Uptime(), page(1), "vm-1")
	removed := false
	behind.Subscribe(func(updates []dragonflypass.Update) {
		removed = removed || updates[0].Key == "routing" && len(updates[0].Raw) == 0
	})
	snapshot := dragonflypass.Watermark{Topic: dragonflypass.TopicRouting, EndOffset: 3, Loaded: true, FullSnapshot: true}
	started.HandleWatermark(started.Timer.Uptime(), snapshot, "store")
	behind.HandleWatermark(behind.Timer.Uptime(), started.MissingUpdates(behind.Watermark(), false), "vm-2")
	c.Check(behind.Watermark().EndOffset, qt.Equals, dragonflypass.Offset(3))
	c.Check(removed, qt.IsTrue)
}

// TestEmptyTopicIsLoaded reads a topic without records, about which no listener hears.
func TestEmptyTopicIsLoaded(t *testing.T) {
	c := qt.New(t)
	f := newFollower()
	f.HandleWatermark(f.Timer.Uptime(), dragonflypass.Watermark{Topic: dragonflypass.TopicRouting, EndOffset: 1, Loaded: true}, "vm-1")
	c.Check(f.Loaded(), qt.IsTrue)
}

// TestLargeUpdatesAreWithheld checks that the response to a regular heartbeat carries no large updates, and that a VM which
// is sent none does not take its copy for current.
func TestLargeUpdatesAreWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ahead, behind := newFollower(), newFollower()
		large := dragonflypass.Watermark{Topic: dragonflypass.TopicRouting, EndOffset: 1, Loaded: true, FullSnapshot: true,
			Updates: []dragonflypass.Update{{Key: "routing", Raw: make([]byte, 100_000)}}}
		ahead.HandleWatermark(ahead.Timer.Uptime(), large, "vm-1")
		c.Assert(ahead.Loaded(), qt.IsTrue)

		regular := ahead.MissingUpdates(behind.Watermark(), false)
		c.Check(regular.Withheld, qt.IsTrue)
		c.Check(regular.Updates, qt.HasLen, 0)
		behind.HandleWatermark(behind.Timer.Uptime(), regular, "vm-2")
		c.Check(behind.Loaded(), qt.IsFalse)
		c.Check(ahead.MissingUpdates(behind.Watermark(), true).Updates, qt.HasLen, 1)
	})
}
