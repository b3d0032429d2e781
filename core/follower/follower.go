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
	// EraChanged is called with each newer era of the store that this VM learns of, with no lock held.
	EraChanged func(dragonflypass.Era)
	// PeerAnswerTime is how long after its start a VM waits for newer versions from other VMs before the topic counts as
	// loaded, if the store states its era: a restored copy may be older than what the others have in force. Zero for no wait.
	PeerAnswerTime time.Duration

	mutex   locker.Mutex
	records map[string]dragonflypass.Update
	// tombstones holds the offsets at which keys were removed, for recent removals.
	tombstones map[string]dragonflypass.Offset
	// tombstonesFrom is the offset from which the tombstones are complete; earlier ones have been discarded.
	tombstonesFrom dragonflypass.Offset
	endOffset      dragonflypass.Offset
	loaded         bool
	// era is the newest known era of the store, and copyEra the one in which the copy was read, to which endOffset belongs. The
	// copy stays in use until the topic has been read in the newest era.
	era     dragonflypass.Era
	copyEra dragonflypass.Era
	// restored is set once the store has been restored while this VM runs.
	restored bool
	// version is the highest version of the records, and peerVersion the highest one that another VM has reported.
	version     uint64
	peerVersion uint64
	// applied is set once the listeners have applied the topic, and finishScheduled while the end of the wait for other VMs is
	// scheduled.
	applied         bool
	finishScheduled bool
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
	// loadedDone is closed once the listeners have applied the first page and other VMs had time to answer.
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
	updates []dragonflypass.Update
	// partial is set if the updates are only records of newer versions, which do not make the copy fresh.
	partial   bool
	freshAsOf time.Duration
	source    dragonflypass.VMID
}

// New returns a follower of the topic with an empty copy.
func New(topic dragonflypass.Topic, kind dragonflypass.JobKind) *Follower {
	return &Follower{
		Topic: topic, Kind: kind,
		Changed:    func(dragonflypass.VMID) {},
		EraChanged: func(dragonflypass.Era) {},
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
	wait, due := f.planRead(startedAt)
	if !due {
		return
	}
	position := f.position()
	page, fullSnapshot, err := f.fetch(ctx, position, wait)
	if err != nil {
		f.recordFailure(err)
		return
	}
	// A response that does not state its era may have left the store before this VM learnt of a newer one.
	page.Era = cmp.Or(page.Era, position.era)
	f.applyPage(page, fullSnapshot, startedAt, "")
}

// planRead returns how long the store may wait for a change, and whether this VM has to read
// now. If a VM that is not a reader has to read, its copy is stale, so the store must answer at once: a read makes the
// copy fresh only as of the start of the read.
func (f *Follower) planRead(now time.Duration) (wait time.Duration, due bool) {
	policy, reader := f.PollPolicy(), f.IsReader()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case !reader && f.loaded && now-f.freshAsOf <= policy.MaxStaleness:
		// The next time that the copy is stale, the read starts after a random delay.
		f.ownReadAt = f.freshAsOf + policy.MaxStaleness + policy.randomDelay(policy.MaxStaleness)
		return 0, false
	case now < f.retryAt:
		return 0, false
	case reader:
		return policy.LongPoll, true
	case now < f.ownReadAt, !f.loaded && policy.HasPeers && now-f.startedAt < peerWaitTime:
		return 0, false
	}
	f.ownReadAt = now + policy.ReadInterval/2 + policy.randomDelay(policy.ReadInterval/2)
	return 0, true
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

// fetch returns the changes since the position, or the complete topic if the store has been restored, no longer retains all
// changes, or they do not fit into one response: the topic is smaller then.
func (f *Follower) fetch(ctx context.Context, from position, wait time.Duration) (page dragonflypass.UpdatePage, fullSnapshot bool, err error) {
	if from.valid {
		changesCtx, cancel := f.Timer.WithDeadline(ctx, f.Timer.Now().Add(wait+storeCallMargin))
		defer cancel()
		page, err = f.Store.Changes(changesCtx, f.Topic, from.offset, wait)
		f.NoteEra(page.Era)
		incomplete := errors.Is(err, dragonflypass.ErrTrimmed) || errors.Is(err, dragonflypass.ErrTruncated)
		restored := err == nil && page.Era > from.era
		if !incomplete && !restored {
			return page, false, err
		}
	}
	ctx, cancel := f.Timer.WithDeadline(ctx, f.Timer.Now().Add(snapshotMargin))
	defer cancel()
	page, err = f.Store.Latest(ctx, f.Topic)
	f.NoteEra(page.Era)
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
// It ignores a page of an older era or that ends before the copy does, but for the newer versions that another VM has.
func (f *Follower) applyPage(page dragonflypass.UpdatePage, fullSnapshot bool, freshAsOf time.Duration, source dragonflypass.VMID) {
	for i := range page.Updates {
		page.Updates[i].ReadAt = freshAsOf
	}
	var changed []dragonflypass.Update
	f.mutex.Lock()
	if source != "" {
		changed = f.mergeNewerVersions(page.Updates)
	}
	applicable, recovered := f.isApplicable(page, fullSnapshot), false
	if applicable {
		changed = append(changed, f.mergePage(page, fullSnapshot)...)
		recovered = f.recordFresh(freshAsOf)
	}
	if !applicable && page.Era < f.era {
		f.Meter.Add(dragonflypass.CountOldEraIgnored, 1)
	}
	if applicable || len(changed) > 0 {
		f.undelivered = append(f.undelivered, change{updates: changed, partial: !applicable, freshAsOf: freshAsOf, source: source})
	}
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
		f.recordApplied(next)
		if len(next.updates) > 0 {
			f.Changed(next.source)
		}
		f.mutex.Lock()
	}
	f.delivering = false
}

// recordApplied records that the listeners have applied the change.
func (f *Follower) recordApplied(applied change) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !applied.partial {
		f.appliedAsOf = max(f.appliedAsOf, applied.freshAsOf)
		f.applied = true
	}
	f.finishLoading()
}

// finishLoading makes the topic count as loaded once the listeners have applied it and other VMs had time to answer. It is
// called with the mutex held.
func (f *Follower) finishLoading() {
	if !f.applied || f.Loaded() {
		return
	}
	remaining := f.peerWait(f.Timer.Uptime() - f.startedAt)
	if remaining <= 0 {
		close(f.loadedDone)
		return
	}
	if f.finishScheduled {
		return
	}
	f.finishScheduled = true
	f.Timer.At(f.Kind, f.Timer.Now().Add(remaining), func(context.Context) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.finishScheduled = false
		f.finishLoading()
	})
}

// peerWait returns how much longer a VM that started the given time ago waits for other VMs. It is called with the mutex held.
func (f *Follower) peerWait(age time.Duration) time.Duration {
	switch {
	case f.PeerAnswerTime == 0 || f.copyEra == 0:
		return 0
	case age < f.PeerAnswerTime:
		return f.PeerAnswerTime - age
	case f.peerVersion > f.version:
		return peerWaitTime - age
	}
	return 0
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

// Loaded reports whether the topic has been read and applied at least once, and other VMs had time to answer. It takes no lock, so it may be called with any
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

// watermark is Watermark for callers that hold the mutex. A copy of an unknown era is not reported as loaded once an era is
// known: other VMs would take it for a copy of that era.
func (f *Follower) watermark(now time.Duration) dragonflypass.Watermark {
	return dragonflypass.Watermark{
		Topic: f.Topic, Era: f.copyEra, Version: f.version, EndOffset: f.endOffset,
		Loaded: f.loaded && (f.copyEra != 0 || f.era == 0), Staleness: now - f.freshAsOf,
	}
}
