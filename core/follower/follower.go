package follower

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// storeCallMargin is the time that a read of the store may take in addition to its wait. A slow store
	// answers after 250 ms.
	storeCallMargin = 500 * time.Millisecond
	// outageThreshold is the time without a successful read after which the store counts as having been unavailable.
	// It is shorter than the three missed heartbeats after which registry entries expire.
	outageThreshold = 3 * time.Second
	// minRetryDelay is the delay after the first failed read. It doubles with each further one, up to maxDoublings times
	// and to maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	maxDoublings  = 3
	// maxInlineBytes is the largest size of the updates in the response to a regular heartbeat. Larger ones take longer than
	// a heartbeat may, and are fetched once, from one VM.
	maxInlineBytes = 8 << 10
	// snapshotMargin is the same for a read of the complete topic, which may have several pages.
	snapshotMargin = 3 * time.Second
	// peerWaitTime is how long after its start a VM waits for its neighbours to provide the topic. If all VMs of a large
	// fleet read the complete topic after a common restart, the store would be busy for longer.
	peerWaitTime = 2500 * time.Millisecond
	// tombstoneLimit is the largest number of removed keys that are kept to inform other VMs.
	tombstoneLimit = 512
)

// PollPolicy limits the reads of the store by one VM.
type PollPolicy struct {
	// LongPoll is how long the store waits for a change before it answers a read.
	LongPoll time.Duration
	// MaxStaleness is the staleness of the copy above which a VM that is not a reader reads the store itself, and
	// ReadInterval the mean time between two such reads. Their times are random: many VMs may lose their readers at once.
	MaxStaleness time.Duration
	ReadInterval time.Duration
	// StalenessLimit is the staleness before which a read starts even if the mean time between two is longer; zero for none.
	StalenessLimit time.Duration
	// HasPeers is set if this VM has live neighbours, which provide the topic once one of them has read it.
	HasPeers bool
}

// Follower keeps a local copy of one topic.
type Follower struct {
	Topic  dragonflypass.Topic
	Kind   dragonflypass.JobKind
	Timer  dragonflypass.Timer
	Store  dragonflypass.Store
	Meter  dragonflypass.Meter
	Logger dragonflypass.Logger
	// PollInterval is the shortest time between the starts of two reads.
	PollInterval time.Duration
	// PollPolicy returns the limits on the reads of this VM.
	PollPolicy func() PollPolicy
	// Changed is called after changes from the given VM, or from the store if it is empty, have been applied, with no lock
	// held.
	Changed func(source dragonflypass.VMID)
	// IsReader reports whether this VM reads the store on behalf of the other VMs.
	IsReader func() bool
	// Equal reports whether two records of a key have the same meaning, so that the newer one is not reported as a change.
	Equal func(older, newer dragonflypass.Update) bool

	mutex   locker.Mutex
	records map[string]dragonflypass.Update
	// tombstones holds the offsets at which keys were removed, for recent removals.
	tombstones map[string]dragonflypass.Offset
	// tombstonesFrom is the offset from which the tombstones are complete; earlier ones have been discarded.
	tombstonesFrom dragonflypass.Offset
	endOffset      dragonflypass.Offset
	loaded         bool
	// freshAsOf is the uptime as of which the copy is known to be current: the start of the latest successful
	// read by this VM or another one. appliedAsOf is that of the changes that the listeners have applied.
	freshAsOf   time.Duration
	appliedAsOf time.Duration
	// storeRecoveredAt is the uptime of the first successful read after the latest outage of the store, zero if there was none.
	storeRecoveredAt time.Duration
	storeFailed      bool
	// retryAt is the uptime before which the store is not read after a failed read, and failures the number
	// of failed reads since the last successful one.
	retryAt  time.Duration
	failures int
	// startedAt is the uptime at the start of Run.
	startedAt time.Duration
	// ownReadAt is the uptime before which a VM that is not a reader does not read the store.
	ownReadAt time.Duration
	// loadedDone is closed once the listeners have applied the first page.
	loadedDone chan struct{}
	listeners  []func([]dragonflypass.Update)
	// undelivered holds the changes that the listeners have not received, in the order in which they were merged. The goroutine
	// that has set delivering passes them on.
	undelivered []change
	delivering  bool
}

// change is the result of merging one page.
type change struct {
	// updates may be empty.
	updates   []dragonflypass.Update
	freshAsOf time.Duration
	source    dragonflypass.VMID
}

// New returns a follower of the topic with an empty copy.
func New(topic dragonflypass.Topic, kind dragonflypass.JobKind) *Follower {
	return &Follower{
		Topic: topic, Kind: kind,
		Changed:    func(dragonflypass.VMID) {},
		loadedDone: make(chan struct{}),
		mutex:      locker.Mutex{Order: locker.Configuration},
		records:    make(map[string]dragonflypass.Update),
		tombstones: make(map[string]dragonflypass.Offset),
	}
}

// Subscribe registers a function that is called with the changed records, with no lock held. It must be
// called before Run.
func (f *Follower) Subscribe(listener func([]dragonflypass.Update)) {
	f.listeners = append(f.listeners, listener)
}

// Run reads the topic until ctx is cancelled.
func (f *Follower) Run(ctx context.Context) {
	f.mutex.Lock()
	f.startedAt = f.Timer.Uptime()
	f.mutex.Unlock()
	stop := f.Timer.Every(f.Kind, f.PollInterval, f.Poll)
	defer stop()
	f.Poll(ctx)
	<-ctx.Done()
}

// Poll reads the store once, unless another VM reads it and the copy is fresh enough.
func (f *Follower) Poll(ctx context.Context) {
	startedAt := f.Timer.Uptime()
	from, wait, due := f.planRead(startedAt)
	if !due {
		return
	}
	page, fullSnapshot, err := f.fetch(ctx, from, wait)
	if err != nil {
		f.recordFailure(err)
		return
	}
	f.applyPage(page, fullSnapshot, startedAt, "")
}

// planRead returns the offset to read from, how long the store may wait for a change, and whether this VM has to read
// now. If a VM that is not a reader has to read, its copy is stale, so the store must answer at once: a read makes the
// copy fresh only as of the start of the read.
func (f *Follower) planRead(now time.Duration) (from dragonflypass.Offset, wait time.Duration, due bool) {
	policy, reader := f.PollPolicy(), f.IsReader()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case !reader && f.loaded && now-f.freshAsOf <= policy.MaxStaleness:
		// The next time that the copy is stale, the read starts after a random delay.
		f.ownReadAt = f.freshAsOf + policy.MaxStaleness + policy.randomDelay(policy.MaxStaleness)
		return f.endOffset, 0, false
	case now < f.retryAt:
		return f.endOffset, 0, false
	case reader:
		return f.endOffset, policy.LongPoll, true
	case now < f.ownReadAt, !f.loaded && policy.HasPeers && now-f.startedAt < peerWaitTime:
		return f.endOffset, 0, false
	}
	f.ownReadAt = now + policy.ReadInterval/2 + policy.randomDelay(policy.ReadInterval/2)
	return f.endOffset, 0, true
}

// randomDelay returns a random duration below the read interval, so that a copy with the given staleness does not reach the
// staleness limit.
func (p *PollPolicy) randomDelay(staleness time.Duration) time.Duration {
	limit := p.ReadInterval
	if p.StalenessLimit > 0 {
		limit = min(limit, p.StalenessLimit-staleness)
	}
	if limit <= 0 {
		return 0
	}
	return rand.N(limit)
}

// fetch returns the changes since the offset, or the complete topic if the store no longer retains all of them or they do not fit
// into one response: the topic is smaller then.
func (f *Follower) fetch(ctx context.Context, from dragonflypass.Offset, wait time.Duration) (page dragonflypass.UpdatePage, fullSnapshot bool, err error) {
	if f.Watermark().Loaded {
		changesCtx, cancel := f.Timer.WithDeadline(ctx, f.Timer.Now().Add(wait+storeCallMargin))
		defer cancel()
		page, err = f.Store.Changes(changesCtx, f.Topic, from, wait)
		if !errors.Is(err, dragonflypass.ErrTrimmed) && !errors.Is(err, dragonflypass.ErrTruncated) {
			return page, false, err
		}
	}
	ctx, cancel := f.Timer.WithDeadline(ctx, f.Timer.Now().Add(snapshotMargin))
	defer cancel()
	page, err = f.Store.Latest(ctx, f.Topic)
	return page, true, err
}

// recordFailure counts a failed read and logs the first one of an outage.
func (f *Follower) recordFailure(err error) {
	f.Meter.Add(dragonflypass.CountStoreFailed, 1)
	f.mutex.Lock()
	firstFailure := !f.storeFailed
	f.storeFailed = true
	f.retryAt = max(f.retryAt, f.Timer.Uptime()+min(maxRetryDelay, minRetryDelay<<min(f.failures, maxDoublings)))
	f.failures++
	f.mutex.Unlock()
	if firstFailure {
		f.Logger.Warn("store lost", "topic", f.Topic, "error", err)
	}
}

// applyPage applies a page that makes the copy fresh as of the given uptime, and calls the listeners with the changes.
// It ignores a page that ends before the copy does.
func (f *Follower) applyPage(page dragonflypass.UpdatePage, fullSnapshot bool, freshAsOf time.Duration, source dragonflypass.VMID) {
	for i := range page.Updates {
		page.Updates[i].ReadAt = freshAsOf
	}
	f.mutex.Lock()
	if f.loaded && page.EndOffset < f.endOffset {
		f.mutex.Unlock()
		return
	}
	changed := f.mergePage(page, fullSnapshot)
	recovered := f.recordFresh(freshAsOf)
	f.undelivered = append(f.undelivered, change{updates: changed, freshAsOf: freshAsOf, source: source})
	f.mutex.Unlock()
	if recovered {
		f.Logger.Info("store regained", "topic", f.Topic, "source", cmp.Or(source, "store"))
	}
	for _, update := range changed {
		if update.Err != nil {
			f.Meter.Add(dragonflypass.CountRecordUnreadable, 1)
			f.Logger.Warn("unreadable record", "topic", f.Topic, "key", update.Key, "offset", uint64(update.Offset), "error", update.Err)
		}
	}
	f.deliver()
}

// deliver calls the listeners with the changes that they have not received, unless another goroutine does so already: a
// change must not reach them after a later one.
func (f *Follower) deliver() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.delivering {
		return
	}
	f.delivering = true
	for len(f.undelivered) > 0 {
		next := f.undelivered[0]
		f.undelivered = f.undelivered[1:]
		f.mutex.Unlock()
		if len(next.updates) > 0 {
			for _, listener := range f.listeners {
				listener(next.updates)
			}
		}
		f.recordApplied(next.freshAsOf)
		if len(next.updates) > 0 {
			f.Changed(next.source)
		}
		f.mutex.Lock()
	}
	f.delivering = false
}

// recordApplied records that the listeners have applied changes that were read as of the given uptime.
func (f *Follower) recordApplied(freshAsOf time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.appliedAsOf = max(f.appliedAsOf, freshAsOf)
	if !f.Loaded() {
		close(f.loadedDone)
	}
}

// mergePage merges the page into the copy and returns the changed and removed records. A full snapshot also removes the
// records that it does not contain. It is called with the mutex held.
func (f *Follower) mergePage(page dragonflypass.UpdatePage, fullSnapshot bool) (changed []dragonflypass.Update) {
	keys := make(map[string]bool, len(page.Updates))
	for _, update := range page.Updates {
		keys[update.Key] = true
		old, ok := f.records[update.Key]
		switch {
		case ok && update.Offset <= old.Offset:
		case len(update.Raw) == 0 && update.Err == nil:
			if ok {
				changed = append(changed, update)
			}
			f.remove(update.Key, update.Offset)
		case ok && f.Equal(old, update):
		default:
			f.records[update.Key] = update
			delete(f.tombstones, update.Key)
			changed = append(changed, update)
		}
	}
	if fullSnapshot {
		for key := range f.records {
			if !keys[key] {
				f.remove(key, page.EndOffset)
				changed = append(changed, dragonflypass.Update{Key: key, Offset: page.EndOffset})
			}
		}
		// Records that were removed before are not in a snapshot.
		f.tombstonesFrom = page.EndOffset
	}
	f.endOffset, f.loaded = page.EndOffset, true
	return changed
}

// remove deletes the record and keeps a tombstone. Above the limit it discards all tombstones, so that VMs that are
// further behind get a full snapshot. It is called with the mutex held.
func (f *Follower) remove(key string, offset dragonflypass.Offset) {
	delete(f.records, key)
	f.tombstones[key] = offset
	if len(f.tombstones) > tombstoneLimit {
		clear(f.tombstones)
		f.tombstonesFrom = offset + 1
	}
}

// recordFresh advances the freshness of the copy and reports whether this ends a run of failed reads. It is called with
// the mutex held.
func (f *Follower) recordFresh(freshAsOf time.Duration) (recovered bool) {
	if freshAsOf-f.freshAsOf > outageThreshold {
		f.storeRecoveredAt = f.Timer.Uptime()
	}
	f.freshAsOf = max(f.freshAsOf, freshAsOf)
	recovered = f.storeFailed
	f.storeFailed, f.failures = false, 0
	return recovered
}

// Loaded reports whether the topic has been read and applied at least once. It takes no lock, so it may be called with any
// held.
func (f *Follower) Loaded() bool {
	select {
	case <-f.loadedDone:
		return true
	default:
		return false
	}
}

// LoadedDone returns a channel that is closed once the topic has been read and the listeners have applied it.
func (f *Follower) LoadedDone() <-chan struct{} { return f.loadedDone }

// FreshAsOf returns the uptime as of which what the listeners have applied is known to be current. The result loaded is
// false until they have applied the topic once.
func (f *Follower) FreshAsOf() (freshAsOf time.Duration, loaded bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.appliedAsOf, f.Loaded()
}

// StoreRecoveredAt returns the uptime at which the store last became available again, zero if it has had no outage.
func (f *Follower) StoreRecoveredAt() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.storeRecoveredAt
}

// Watermark returns the offset up to which the topic has been read, with its staleness and without updates.
func (f *Follower) Watermark() dragonflypass.Watermark {
	now := f.Timer.Uptime()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.watermark(now)
}

// watermark is Watermark for callers that hold the mutex.
func (f *Follower) watermark(now time.Duration) dragonflypass.Watermark {
	return dragonflypass.Watermark{Topic: f.Topic, EndOffset: f.endOffset, Loaded: f.loaded, Staleness: now - f.freshAsOf}
}

// MissingUpdates returns this VM's watermark, with the updates that a VM with the other watermark is missing, unless they
// are large and all is not set. The updates are a full snapshot if the other VM has not read the topic, or is too far behind for the tombstones.
func (f *Follower) MissingUpdates(other dragonflypass.Watermark, all bool) dragonflypass.Watermark {
	now := f.Timer.Uptime()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	watermark := f.watermark(now)
	if other.Loaded && other.EndOffset >= f.endOffset {
		return watermark
	}
	watermark.FullSnapshot = !other.Loaded || other.EndOffset < f.tombstonesFrom
	for _, update := range f.records {
		if watermark.FullSnapshot || update.Offset >= other.EndOffset {
			watermark.Updates = append(watermark.Updates, update)
		}
	}
	for key, offset := range f.tombstones {
		if !watermark.FullSnapshot && offset >= other.EndOffset {
			watermark.Updates = append(watermark.Updates, dragonflypass.Update{Key: key, Offset: offset})
		}
	}
	size := 0
	for _, update := range watermark.Updates {
		size += len(update.Raw)
	}
	if size > maxInlineBytes && !all {
		watermark.Updates, watermark.Withheld = nil, true
	}
	return watermark
}

// HandleWatermark applies another VM's watermark, which it sent in response to a heartbeat that this VM sent at the
// uptime sentAt. The staleness is counted from that time, so that the copy is never considered fresher than it is.
func (f *Follower) HandleWatermark(sentAt time.Duration, watermark dragonflypass.Watermark, from dragonflypass.VMID) {
	if !watermark.Loaded || watermark.Withheld {
		return
	}
	page := dragonflypass.UpdatePage{EndOffset: watermark.EndOffset}
	for _, update := range watermark.Updates {
		page.Updates = append(page.Updates, f.Store.Decode(f.Topic, update.Key, update.Offset, update.Raw))
	}
	f.applyPage(page, watermark.FullSnapshot, sentAt-watermark.Staleness, from)
}
