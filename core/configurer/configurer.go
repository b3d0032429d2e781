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

// Errors returned by Submit.
var (
	// ErrResultUnknown means that the change may be in the log but its result is not known yet.
	ErrResultUnknown = eris.New("configurer: the result of the change is not known yet")
	// ErrNotAppended means that the change did not reach the log.
	ErrNotAppended = eris.New("configurer: the change did not reach the log")
)

const (
	// pageLimit is the maximum number of entries in one read of the log.
	pageLimit = 500
	// tailLimit is the number of recent entries that are retained for peers that cannot reach the log.
	tailLimit = 4096
	// readTimeout bounds one read from the log or a peer, and the append of a snapshot.
	readTimeout = 2 * time.Second
	// vmsPerPollPeriod is the number of other VMs that add one Poll to the time between two reads of the log.
	vmsPerPollPeriod = 8
	// snapshotsPerRetention is the number of snapshots written within the retention time of the log.
	snapshotsPerRetention = 4
)

// Members provides the other entry VMs and the offsets of their configurations.
type Members interface {
	// Others returns the other entry VMs whose state is not gone.
	Others() []dragonflypass.Member
}

// Configurer reads the configuration stream of the log and maintains the configuration in effect.
type Configurer struct {
	Timer   dragonflypass.Timer
	Log     dragonflypass.Log
	Peers   dragonflypass.PeerClient
	Members Members
	Meter   dragonflypass.Meter
	Logger  dragonflypass.Logger
	// PollInterval is the shortest time between two periodic reads of the log.
	PollInterval time.Duration
	// Retention is the time for which the log retains records.
	Retention time.Duration

	// current points to an immutable configuration, so that it can be read without the mutex.
	current atomic.Pointer[dragonflypass.Configuration]

	mutex locker.Mutex
	state *StateMachine
	tail  []dragonflypass.LogEntry
	// advancedCh is closed and replaced each time the configuration advances.
	advancedCh chan struct{}
	listeners  []func(*dragonflypass.Configuration)
	logFailed  bool
	// lastRead is the time of the last periodic read of the log.
	lastRead time.Time
}

// New returns a configurer with an empty configuration.
func New() *Configurer {
	c := &Configurer{
		mutex:      locker.Mutex{Order: locker.Configuration},
		state:      NewStateMachine(),
		advancedCh: make(chan struct{}),
	}
	c.current.Store(dragonflypass.NewConfiguration(0, nil))
	return c
}

// Subscribe registers a function that is called each time the configuration has advanced, without any lock held.
func (c *Configurer) Subscribe(listener func(*dragonflypass.Configuration)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.listeners = append(c.listeners, listener)
}

// Current returns the configuration in effect.
func (c *Configurer) Current() *dragonflypass.Configuration {
	return c.current.Load()
}

// Run reads the stream and writes snapshots periodically until ctx ends.
func (c *Configurer) Run(ctx context.Context) {
	stopPoll := c.Timer.Every(dragonflypass.JobConfig, c.PollInterval, c.Refresh)
	defer stopPoll()
	stopSnapshot := c.Timer.Every(dragonflypass.JobSweep, c.Retention/(snapshotsPerRetention*4), c.writeSnapshotIfDue)
	defer stopSnapshot()
	<-ctx.Done()
}

// Refresh reads new entries from the log if a read is due, and from a peer whose configuration is newer.
func (c *Configurer) Refresh(ctx context.Context) {
	if c.readDue() {
		c.recordLogStatus(c.readLog(ctx))
	}
	c.readPeers(ctx)
}

// readDue reports whether a periodic read of the log is due, and if so records the time of the read.
// VMs also pass new entries to each other, so a VM reads the log less often if there are more VMs.
func (c *Configurer) readDue() bool {
	now := c.Timer.Now()
	period := c.PollInterval * time.Duration(1+len(c.Members.Others())/vmsPerPollPeriod)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Sub(c.lastRead) < period {
		return false
	}
	c.lastRead = now
	return true
}

// recordLogStatus counts a failed read and logs when the log becomes unreachable or reachable.
func (c *Configurer) recordLogStatus(err error) {
	if err != nil {
		c.Meter.Add(dragonflypass.CountLogFailed, 1)
	}
	c.mutex.Lock()
	statusChanged := c.logFailed != (err != nil)
	c.logFailed = err != nil
	c.mutex.Unlock()
	if !statusChanged {
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

// readPeers reads entries from the peer with the newest configuration, if that is newer than this VM's.
// If the read fails, it tries the next peer.
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
	return c.state.Offset()
}

// apply applies the entries and calls the listeners if the configuration has advanced.
func (c *Configurer) apply(entries []dragonflypass.LogEntry) {
	c.mutex.Lock()
	previousOffset := c.state.Offset()
	results := c.state.Apply(entries)
	c.appendToTail(entries)
	advanced := c.state.Offset() != previousOffset
	if advanced {
		c.current.Store(dragonflypass.NewConfiguration(c.state.Offset(), c.state.Items()))
		close(c.advancedCh)
		c.advancedCh = make(chan struct{})
	}
	current, listeners := c.current.Load(), slices.Clone(c.listeners)
	c.mutex.Unlock()
	if !advanced {
		return
	}
	c.reportResults(results)
	for _, listener := range listeners {
		listener(current)
	}
}

func (c *Configurer) reportResults(results []dragonflypass.ChangeResult) {
	for _, result := range results {
		if result.Accepted {
			c.Meter.Add(dragonflypass.CountConfigApplied, 1)
			c.Logger.Info("configuration change in effect", "offset", result.Offset, "author", result.Author)
			continue
		}
		c.Meter.Add(dragonflypass.CountConfigRejected, 1)
		c.Logger.Warn("configuration change rejected", "offset", result.Offset, "author", result.Author,
			"item", result.Conflict.Section, "name", result.Conflict.Name, "winner", result.WinningOffset)
	}
}

// appendToTail retains the newest entries, without a gap between them; the mutex must be held.
func (c *Configurer) appendToTail(entries []dragonflypass.LogEntry) {
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
	if excess := len(c.tail) - tailLimit; excess > 0 {
		c.tail = slices.Delete(c.tail, 0, excess)
	}
}

// ConfigEntries returns the entries starting at the offset, or a snapshot if they are no longer retained.
func (c *Configurer) ConfigEntries(from dragonflypass.Offset) dragonflypass.LogPage {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	page := dragonflypass.LogPage{FirstOffset: from, NextOffset: c.state.Offset() + 1}
	if len(c.tail) > 0 && c.tail[0].Offset <= from {
		start := int(from - c.tail[0].Offset)
		if start < len(c.tail) {
			page.Entries = slices.Clone(c.tail[start:])
		}
		return page
	}
	snapshot := dragonflypass.LogRecord{Snapshot: c.state.Snapshot()}
	page.Entries = []dragonflypass.LogEntry{{Offset: c.state.Offset(), At: c.Timer.Now(), Record: snapshot}}
	return page
}

// Submit appends the change to the log and waits for its result. The order of the log decides between conflicting changes.
// Errors: ErrNotAppended if the change did not reach the log, ErrResultUnknown if ctx ended before the result was known.
func (c *Configurer) Submit(ctx context.Context, change dragonflypass.Change) (dragonflypass.ChangeResult, error) {
	possiblyAppended := false
	for {
		_, err := c.Log.Append(ctx, dragonflypass.LogStreamConfig, dragonflypass.LogRecord{Change: &change})
		possiblyAppended = possiblyAppended || !errors.Is(err, dragonflypass.ErrUnavailable)
		if err != nil {
			c.Meter.Add(dragonflypass.CountLogFailed, 1)
		}
		if err != nil && !possiblyAppended {
			return dragonflypass.ChangeResult{}, eris.Wrap(ErrNotAppended, err.Error())
		}
		result, ok := c.awaitResult(ctx, change.ID, err == nil)
		if ok {
			return result, nil
		}
		if ctx.Err() != nil {
			return dragonflypass.ChangeResult{}, ErrResultUnknown
		}
	}
}

// awaitResult waits for the result of a change. If it is unknown whether the append succeeded,
// it waits for one poll period only.
func (c *Configurer) awaitResult(ctx context.Context, id string, appended bool) (dragonflypass.ChangeResult, bool) {
	if !appended {
		var cancel context.CancelFunc
		ctx, cancel = c.Timer.WithDeadline(ctx, c.Timer.Now().Add(c.PollInterval))
		defer cancel()
	}
	_ = c.readLog(ctx)
	for {
		c.mutex.Lock()
		result, ok := c.state.Result(id)
		advanced := c.advancedCh
		c.mutex.Unlock()
		if ok {
			return result, true
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return dragonflypass.ChangeResult{}, false
		}
	}
}

// History returns the results of the latest changes in the order of the log.
func (c *Configurer) History() []dragonflypass.ChangeResult {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.RecentResults()
}

// writeSnapshotIfDue appends a snapshot to the log if one is due, so that the log always retains a recent snapshot.
func (c *Configurer) writeSnapshotIfDue(ctx context.Context) {
	if err := c.readLog(ctx); err != nil {
		return
	}
	snapshot := c.dueSnapshot()
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

// dueSnapshot returns the snapshot to write, or nil if the newest one in the log is recent enough
// or entries are missing. Until the log has a snapshot, the age of the first entry counts.
func (c *Configurer) dueSnapshot() *dragonflypass.Snapshot {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.state.Complete() {
		return nil
	}
	newest := c.state.newestSnapshot
	if newest == nil {
		newest = c.state.firstEntry
	}
	if newest == nil || c.Timer.Now().Sub(newest.At) < c.Retention/snapshotsPerRetention {
		return nil
	}
	return c.state.Snapshot()
}
