package configurer

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

// The errors of this layer.
var (
	// ErrUndecided means that a change may be in the log but its verdict is not known yet.
	ErrUndecided = eris.New("configurer: the change's outcome is not known yet")
	// ErrUnsent means that a change did not reach the log.
	ErrUnsent = eris.New("configurer: the change did not reach the log")
)

const (
	// pageLimit is the largest number of entries read from the log at once.
	pageLimit = 500
	// tailLimit is the number of entries kept for peers that cannot reach the log.
	tailLimit = 4096
	// readTimeout bounds one call to the log or to a peer.
	readTimeout = 2 * time.Second
	// sharedReaders is the number of other VMs for each of which the log is read one period less often.
	sharedReaders = 8
	// snapshotParts is the number of snapshots written within the log's retention time.
	snapshotParts = 4
)

// Members tells which other entry VMs there are and how far their configuration has come.
type Members interface {
	// Others returns the other entry VMs that are not gone.
	Others() []dragonflypass.Member
}

// Configurer follows the configuration stream and holds the configuration in force.
type Configurer struct {
	Timer   dragonflypass.Timer
	Log     dragonflypass.Log
	Peers   dragonflypass.PeerClient
	Members Members
	Meter   dragonflypass.Meter
	Logger  dragonflypass.Logger
	// Poll is the time between two reads of the log.
	Poll time.Duration
	// Retention is the time for which the log keeps records.
	Retention time.Duration

	// current never changes once stored, so that it is read without the lock.
	current atomic.Pointer[dragonflypass.Configuration]

	mutex locker.Mutex
	fold  *StateMachine
	tail  []dragonflypass.LogEntry
	// changed is closed and replaced each time the configuration moves.
	changed   chan struct{}
	listeners []func(*dragonflypass.Configuration)
	logFailed bool
	// lastRead is the instant at which the log was last read periodically.
	lastRead time.Time
}

// New returns a configurer with an empty configuration.
func New() *Configurer {
	c := &Configurer{
		mutex:   locker.Mutex{Order: locker.Configuration},
		fold:    NewStateMachine(),
		changed: make(chan struct{}),
	}
	c.current.Store(dragonflypass.NewConfiguration(0, nil))
	return c
}

// Subscribe registers a function that is called, outside all locks, after each move of the configuration.
func (c *Configurer) Subscribe(listener func(*dragonflypass.Configuration)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.listeners = append(c.listeners, listener)
}

// Current returns the configuration in force.
func (c *Configurer) Current() *dragonflypass.Configuration {
	return c.current.Load()
}

// Run follows the stream until ctx ends.
func (c *Configurer) Run(ctx context.Context) {
	stopPoll := c.Timer.Every(dragonflypass.JobConfig, c.Poll, c.Refresh)
	defer stopPoll()
	stopSnapshot := c.Timer.Every(dragonflypass.JobSweep, c.Retention/(snapshotParts*4), c.keep)
	defer stopSnapshot()
	<-ctx.Done()
}

// Refresh reads what is new in the log when that is due, and from a peer that has come further.
func (c *Configurer) Refresh(ctx context.Context) {
	if c.due() {
		c.noteLog(c.readLog(ctx))
	}
	c.readPeers(ctx)
}

// due reports whether to read the log now: the more VMs there are that tell each
// other of changes, the less often each one reads.
func (c *Configurer) due() bool {
	now := c.Timer.Now()
	period := c.Poll * time.Duration(1+len(c.Members.Others())/sharedReaders)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Sub(c.lastRead) < period {
		return false
	}
	c.lastRead = now
	return true
}

func (c *Configurer) noteLog(err error) {
	if err != nil {
		c.Meter.Add(dragonflypass.CountLogFailed, 1)
	}
	c.mutex.Lock()
	turned := c.logFailed != (err != nil)
	c.logFailed = err != nil
	c.mutex.Unlock()
	if !turned {
		return
	}
	if err != nil {
		c.Logger.Warn("configuration log unreachable", "error", err)
		return
	}
	c.Logger.Info("configuration log reachable")
}

func (c *Configurer) readLog(ctx context.Context) error {
	from := c.offset() + 1
	for {
		page, err := c.readPage(ctx, from)
		if errors.Is(err, dragonflypass.ErrTrimmed) && page.FirstOffset > from {
			from = page.FirstOffset
			continue
		}
		if err != nil {
			return err
		}
		c.apply(page.Entries)
		if len(page.Entries) == 0 {
			return nil
		}
		from = page.Entries[len(page.Entries)-1].Offset + 1
	}
}

func (c *Configurer) readPage(ctx context.Context, from dragonflypass.Offset) (dragonflypass.LogPage, error) {
	ctx, cancel := c.Timer.WithDeadline(ctx, c.Timer.Now().Add(readTimeout))
	defer cancel()
	return c.Log.Read(ctx, dragonflypass.LogStreamConfig, from, pageLimit)
}

// readPeers asks the peer that has come furthest, if that is further than this VM.
func (c *Configurer) readPeers(ctx context.Context) {
	others := slices.Clone(c.Members.Others())
	slices.SortStableFunc(others, func(a, b dragonflypass.Member) int { return int(b.ConfigOffset) - int(a.ConfigOffset) })
	for _, member := range others {
		offset := c.offset()
		if member.ConfigOffset <= offset {
			return
		}
		if c.readPeer(ctx, member, offset+1) {
			return
		}
	}
}

func (c *Configurer) readPeer(ctx context.Context, member dragonflypass.Member, from dragonflypass.Offset) bool {
	ctx, cancel := c.Timer.WithDeadline(ctx, c.Timer.Now().Add(readTimeout))
	defer cancel()
	page, err := c.Peers.ConfigEntries(ctx, member.VM, from)
	if err != nil {
		return false
	}
	c.Meter.Add(dragonflypass.CountConfigFromPeer, 1)
	c.apply(page.Entries)
	return true
}

func (c *Configurer) offset() dragonflypass.Offset {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.fold.Offset()
}

// apply folds entries in and tells the listeners when the configuration has moved.
func (c *Configurer) apply(entries []dragonflypass.LogEntry) {
	c.mutex.Lock()
	before := c.fold.Offset()
	verdicts := c.fold.Apply(entries)
	c.keepTail(entries)
	moved := c.fold.Offset() != before
	if moved {
		c.current.Store(dragonflypass.NewConfiguration(c.fold.Offset(), c.fold.Items()))
		close(c.changed)
		c.changed = make(chan struct{})
	}
	current, listeners := c.current.Load(), slices.Clone(c.listeners)
	c.mutex.Unlock()
	if !moved {
		return
	}
	c.report(verdicts)
	for _, listener := range listeners {
		listener(current)
	}
}

func (c *Configurer) report(verdicts []dragonflypass.ChangeResult) {
	for _, v := range verdicts {
		if v.Accepted {
			c.Meter.Add(dragonflypass.CountConfigApplied, 1)
			c.Logger.Info("configuration change in force", "offset", v.Offset, "author", v.Author)
			continue
		}
		c.Meter.Add(dragonflypass.CountConfigRejected, 1)
		c.Logger.Warn("configuration change rejected", "offset", v.Offset, "author", v.Author,
			"item", v.Conflict.Section, "name", v.Conflict.Name, "winner", v.WinningOffset)
	}
}

// keepTail keeps the newest entries without a gap; it is called with the mutex held.
func (c *Configurer) keepTail(entries []dragonflypass.LogEntry) {
	for _, entry := range entries {
		next := dragonflypass.Offset(0)
		if n := len(c.tail); n > 0 {
			next = c.tail[n-1].Offset + 1
		}
		switch {
		case next != 0 && entry.Offset < next:
			continue
		case next != 0 && entry.Offset > next:
			c.tail = nil
		}
		c.tail = append(c.tail, entry)
	}
	if extra := len(c.tail) - tailLimit; extra > 0 {
		c.tail = slices.Delete(c.tail, 0, extra)
	}
}

// ConfigEntries returns entries from the offset on, or a snapshot when they are no longer kept.
func (c *Configurer) ConfigEntries(from dragonflypass.Offset) dragonflypass.LogPage {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	page := dragonflypass.LogPage{FirstOffset: from, NextOffset: c.fold.Offset() + 1}
	if len(c.tail) > 0 && c.tail[0].Offset <= from {
		start := int(from - c.tail[0].Offset)
		if start < len(c.tail) {
			page.Entries = slices.Clone(c.tail[start:])
		}
		return page
	}
	snapshot := dragonflypass.LogRecord{Snapshot: c.fold.Snapshot()}
	page.Entries = []dragonflypass.LogEntry{{Offset: c.fold.Offset(), At: c.Timer.Now(), Record: snapshot}}
	return page
}

// Submit appends the change and waits until the log's order has decided on it.
// Errors: ErrUnsent when it cannot have reached the log, ErrUndecided when ctx ended before the verdict was known.
func (c *Configurer) Submit(ctx context.Context, change dragonflypass.Change) (dragonflypass.ChangeResult, error) {
	sent := false
	for {
		_, err := c.Log.Append(ctx, dragonflypass.LogStreamConfig, dragonflypass.LogRecord{Change: &change})
		sent = sent || !errors.Is(err, dragonflypass.ErrUnavailable)
		if err != nil {
			c.Meter.Add(dragonflypass.CountLogFailed, 1)
		}
		if err != nil && !sent {
			return dragonflypass.ChangeResult{}, eris.Wrap(ErrUnsent, err.Error())
		}
		verdict, ok := c.await(ctx, change.ID, err == nil)
		if ok {
			return verdict, nil
		}
		if ctx.Err() != nil {
			return dragonflypass.ChangeResult{}, ErrUndecided
		}
	}
}

// await waits for the verdict, for one poll period only when the append's own outcome is unknown.
func (c *Configurer) await(ctx context.Context, id string, appended bool) (dragonflypass.ChangeResult, bool) {
	if !appended {
		var cancel context.CancelFunc
		ctx, cancel = c.Timer.WithDeadline(ctx, c.Timer.Now().Add(c.Poll))
		defer cancel()
	}
	_ = c.readLog(ctx)
	for {
		c.mutex.Lock()
		verdict, ok := c.fold.Verdict(id)
		changed := c.changed
		c.mutex.Unlock()
		if ok {
			return verdict, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return dragonflypass.ChangeResult{}, false
		}
	}
}

// History returns the latest verdicts in the log's order.
func (c *Configurer) History() []dragonflypass.ChangeResult {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.fold.Recent()
}

// keep writes a snapshot when the newest one grows old against the log's retention time.
func (c *Configurer) keep(ctx context.Context) {
	if err := c.readLog(ctx); err != nil {
		return
	}
	snapshot := c.overdue()
	if snapshot == nil {
		return
	}
	ctx, cancel := c.Timer.WithDeadline(ctx, c.Timer.Now().Add(readTimeout))
	defer cancel()
	if _, err := c.Log.Append(ctx, dragonflypass.LogStreamConfig, dragonflypass.LogRecord{Snapshot: snapshot}); err != nil {
		c.Meter.Add(dragonflypass.CountLogFailed, 1)
		return
	}
	c.Meter.Add(dragonflypass.CountSnapshotWritten, 1)
	_ = c.readLog(ctx)
}

// overdue returns the snapshot to write, nil when the log holds one that is young enough.
func (c *Configurer) overdue() *dragonflypass.Snapshot {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.fold.Complete() {
		return nil
	}
	newest := c.fold.snapshot
	if newest == nil {
		newest = c.fold.oldest
	}
	if newest == nil || c.Timer.Now().Sub(newest.At) < c.Retention/snapshotParts {
		return nil
	}
	return c.fold.Snapshot()
}
