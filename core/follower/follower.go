package follower

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// callMargin is the time beyond its wait that a read of the store may take; a slow store takes 250 ms.
	callMargin = 500 * time.Millisecond
	// gapTime is the time without a proof after which the store counts as having been away: entries lapse
	// after three heartbeats, which take longer.
	gapTime = 3 * time.Second
	// droppedLimit is the number of dropped keys that are remembered for other VMs.
	droppedLimit = 512
)

// Follower keeps the copy of one topic.
type Follower struct {
	Topic  dragonflypass.Topic
	Kind   dragonflypass.JobKind
	Timer  dragonflypass.Timer
	Store  dragonflypass.Store
	Meter  dragonflypass.Meter
	Logger dragonflypass.Logger
	// Period is the shortest time between the beginnings of two reads.
	Period time.Duration
	// PollPolicy returns how long the store holds a read back while nothing has changed, and the age of the newest proof
	// from which a VM that leaves the reading to others reads by itself.
	PollPolicy func() (wait, patience time.Duration)
	// IsReader reports whether this VM reads the store for the others.
	IsReader func() bool
	// Equal reports whether two records of a key say the same, so that the newer one is no news.
	Equal func(older, newer dragonflypass.Update) bool

	mutex   locker.Mutex
	records map[string]dragonflypass.Update
	// dropped holds the offsets at which keys were dropped lately.
	dropped map[string]dragonflypass.Offset
	// forgotten is the offset before which dropped keys are no longer known.
	forgotten dragonflypass.Offset
	end       dragonflypass.Offset
	known     bool
	// proved is the uptime at which the read that proved the copy current began.
	proved time.Duration
	// returned is the uptime at which a proof came after the store had been away.
	returned  time.Duration
	away      bool
	listeners []func([]dragonflypass.Update)
}

// New returns a follower of the topic that has read nothing.
func New(topic dragonflypass.Topic, kind dragonflypass.JobKind) *Follower {
	return &Follower{
		Topic: topic, Kind: kind,
		mutex:   locker.Mutex{Order: locker.Configuration},
		records: make(map[string]dragonflypass.Update),
		dropped: make(map[string]dragonflypass.Offset),
	}
}

// Subscribe registers a function that is called, outside all locks, with what has changed; it is called before Run.
func (f *Follower) Subscribe(listener func([]dragonflypass.Update)) {
	f.listeners = append(f.listeners, listener)
}

// Run reads the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	stop := f.Timer.Every(f.Kind, f.Period, f.Read)
	defer stop()
	f.Read(ctx)
	<-ctx.Done()
}

// Read reads the store once, unless another VM does and its news are fresh.
func (f *Follower) Read(ctx context.Context) {
	began := f.Timer.Uptime()
	from, wait, due := f.due(began)
	if !due {
		return
	}
	ctx, cancel := f.Timer.WithDeadline(ctx, f.Timer.Now().Add(wait+callMargin))
	defer cancel()
	page, whole, err := f.read(ctx, from, wait)
	if err != nil {
		f.failed(err)
		return
	}
	f.take(page, whole, began, "store")
}

// due returns the offset to read from, how long the store is to hold the read back, and whether this VM has to read. One
// that reads because no proof came from the others needs one at once: a proof is as old as the beginning of its read.
func (f *Follower) due(now time.Duration) (from dragonflypass.Offset, wait time.Duration, due bool) {
	longest, patience := f.PollPolicy()
	if f.IsReader() {
		wait, due = longest, true
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.end, wait, due || !f.known || now-f.proved > patience
}

// read returns what has changed, or the whole topic where the changes are no longer kept.
func (f *Follower) read(ctx context.Context, from dragonflypass.Offset, wait time.Duration) (page dragonflypass.UpdatePage, whole bool, err error) {
	if f.Loaded() {
		page, err = f.Store.Changes(ctx, f.Topic, from, wait)
		if !errors.Is(err, dragonflypass.ErrTrimmed) {
			return page, false, err
		}
	}
	page, err = f.Store.Latest(ctx, f.Topic)
	return page, true, err
}

func (f *Follower) failed(err error) {
	f.Meter.Add(dragonflypass.CountStoreFailed, 1)
	f.mutex.Lock()
	news := !f.away
	f.away = true
	f.mutex.Unlock()
	if news {
		f.Logger.Warn("store lost", "topic", f.Topic, "error", err)
	}
}

// take applies a page that proves the copy current as of the uptime.
func (f *Follower) take(page dragonflypass.UpdatePage, whole bool, proof time.Duration, source any) {
	f.mutex.Lock()
	if f.known && page.EndOffset < f.end {
		f.mutex.Unlock()
		return
	}
	changed := f.apply(page, whole)
	back := f.prove(proof)
	f.mutex.Unlock()
	if back {
		f.Logger.Info("store regained", "topic", f.Topic, "source", source)
	}
	for _, update := range changed {
		if update.Err != nil {
			f.Meter.Add(dragonflypass.CountRecordUnreadable, 1)
			f.Logger.Warn("unreadable record", "topic", f.Topic, "key", update.Key, "offset", uint64(update.Offset), "error", update.Err)
		}
	}
	if len(changed) == 0 {
		return
	}
	for _, listener := range f.listeners {
		listener(changed)
	}
}

// apply is called with the mutex held and returns the records that are new.
func (f *Follower) apply(page dragonflypass.UpdatePage, whole bool) (changed []dragonflypass.Update) {
	seen := make(map[string]bool, len(page.Updates))
	for _, update := range page.Updates {
		seen[update.Key] = true
		old, ok := f.records[update.Key]
		switch {
		case ok && update.Offset <= old.Offset:
		case len(update.Raw) == 0 && update.Err == nil:
			if ok {
				changed = append(changed, update)
			}
			f.drop(update.Key, update.Offset)
		case ok && f.Equal(old, update):
		default:
			f.records[update.Key] = update
			delete(f.dropped, update.Key)
			changed = append(changed, update)
		}
	}
	if whole {
		for key := range f.records {
			if !seen[key] {
				f.drop(key, page.EndOffset)
				changed = append(changed, dragonflypass.Update{Key: key, Offset: page.EndOffset})
			}
		}
	}
	f.end, f.known = page.EndOffset, true
	return changed
}

// drop is called with the mutex held.
func (f *Follower) drop(key string, offset dragonflypass.Offset) {
	delete(f.records, key)
	f.dropped[key] = offset
	if len(f.dropped) > droppedLimit {
		clear(f.dropped)
		f.forgotten = offset + 1
	}
}

// prove notes a proof and reports whether the store had been away; it is called with the mutex held.
func (f *Follower) prove(proof time.Duration) (back bool) {
	if proof-f.proved > gapTime {
		f.returned = f.Timer.Uptime()
	}
	f.proved = max(f.proved, proof)
	back = f.away
	f.away = false
	return back
}

// Loaded reports whether the topic has been read at all.
func (f *Follower) Loaded() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.known
}

// FreshAsOf returns the uptime as of which the copy is proved current; known is false when nothing has been read.
func (f *Follower) FreshAsOf() (proved time.Duration, known bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.proved, f.known
}

// StoreRecoveredAt returns the uptime at which the store came back last, zero when it never was away.
func (f *Follower) StoreRecoveredAt() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.returned
}

// Watermark tells how far the topic has been read.
func (f *Follower) Watermark() dragonflypass.Watermark {
	now := f.Timer.Uptime()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.mark(now)
}

// mark is called with the mutex held.
func (f *Follower) mark(now time.Duration) dragonflypass.Watermark {
	return dragonflypass.Watermark{Topic: f.Topic, EndOffset: f.end, Loaded: f.known, Staleness: now - f.proved}
}

// MissingUpdates returns this VM's mark with what a VM with the other mark lacks.
func (f *Follower) MissingUpdates(other dragonflypass.Watermark) dragonflypass.Watermark {
	now := f.Timer.Uptime()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	mark := f.mark(now)
	if other.Loaded && other.EndOffset >= f.end {
		return mark
	}
	mark.FullSnapshot = !other.Loaded || other.EndOffset < f.forgotten
	for _, update := range f.records {
		if mark.FullSnapshot || update.Offset >= other.EndOffset {
			mark.Updates = append(mark.Updates, update)
		}
	}
	for key, offset := range f.dropped {
		if !mark.FullSnapshot && offset >= other.EndOffset {
			mark.Updates = append(mark.Updates, dragonflypass.Update{Key: key, Offset: offset})
		}
	}
	return mark
}

// HandleWatermark takes another VM's mark, which answered a question asked at the uptime.
func (f *Follower) HandleWatermark(asked time.Duration, mark dragonflypass.Watermark, from dragonflypass.VMID) {
	if !mark.Loaded {
		return
	}
	page := dragonflypass.UpdatePage{EndOffset: mark.EndOffset}
	for _, update := range mark.Updates {
		page.Updates = append(page.Updates, f.Store.Decode(f.Topic, update.Key, update.Offset, update.Raw))
	}
	f.take(page, mark.FullSnapshot, asked-mark.Staleness, from)
}
