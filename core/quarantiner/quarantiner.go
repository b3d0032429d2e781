package quarantiner

import (
	"context"
	"maps"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// defaultCrashLimit is the number of crashes at which a request is quarantined.
	defaultCrashLimit = 2
	// suspectDuration is how long a request remains a suspect after its last crash.
	suspectDuration = 10 * time.Minute
	// quarantineDuration is how long a request remains quarantined after its last crash.
	quarantineDuration = time.Hour
	// crashBroadcastTime is the time within which the report of a crash reaches the other entry VMs.
	crashBroadcastTime = time.Second
	// successRetention is how long a request counts as harmless after it completed.
	successRetention = 10 * time.Minute
	// defaultSuccessLimit is the largest number of completed requests that are kept.
	defaultSuccessLimit = 50_000
	// maxCrashSuspects is the largest number of suspects that are counted for one crash.
	maxCrashSuspects = 64
	// maxSuspects is the largest number of suspected and quarantined requests that are kept, and maxCrashes that of crashes.
	maxSuspects = 20_000
	maxCrashes  = 20_000
	// sweepInterval is the time between two sweeps.
	sweepInterval = time.Minute
)

// Decision is the result of checking whether a request may run.
type Decision uint8

// The decisions, from the least to the most restrictive.
const (
	// Allowed means that the request may run anywhere.
	Allowed Decision = iota
	// AllowedAlone means that the request may run, in one copy at a time, on a server that runs no other suspect.
	AllowedAlone
	// Delayed means that the request may not run until the report of its crash has reached the other entry VMs.
	Delayed
	// Quarantined means that the request may not run until the quarantine expires.
	Quarantined
)

// Quarantiner maintains the tables of suspects, crashes and completed requests.
type Quarantiner struct {
	Timer  dragonflypass.Timer
	Meter  dragonflypass.Meter
	Logger dragonflypass.Logger
	// CrashLimit is the number of crashes at which a request is quarantined, by default 2.
	CrashLimit int
	// SuccessLimit is the largest number of completed requests that are kept for RecentlySucceeded, by default 50,000.
	SuccessLimit int

	mutex     locker.Mutex
	suspects  map[dragonflypass.Fingerprint]*suspect
	crashes   map[dragonflypass.CrashID]*crashRecord
	successes map[dragonflypass.Fingerprint]time.Time
	// grave holds the suspects that are quarantined or will be at the next crash. It may contain some that are no longer suspects.
	grave map[dragonflypass.Fingerprint]struct{}
	// completions holds the times at which servers completed suspects, and disputed those of which another VM has reported that it
	// suspects the request because of earlier crashes.
	completions map[dragonflypass.Fingerprint]time.Time
	disputed    map[dragonflypass.Fingerprint]time.Time
	parts       partTable
}

// crashRecord is a crash that has been reported. Several VMs may report it, each with its own requests.
type crashRecord struct {
	recordedAt time.Time
	// reported are the suspects that have been reported.
	reported map[dragonflypass.Fingerprint]bool
}

// New returns a quarantiner with empty tables.
func New() *Quarantiner {
	return &Quarantiner{
		CrashLimit: defaultCrashLimit, SuccessLimit: defaultSuccessLimit,
		mutex:       locker.Mutex{Order: locker.Suspects},
		suspects:    make(map[dragonflypass.Fingerprint]*suspect),
		crashes:     make(map[dragonflypass.CrashID]*crashRecord),
		successes:   make(map[dragonflypass.Fingerprint]time.Time),
		grave:       make(map[dragonflypass.Fingerprint]struct{}),
		completions: make(map[dragonflypass.Fingerprint]time.Time),
		disputed:    make(map[dragonflypass.Fingerprint]time.Time),
		parts:       newPartTable(),
	}
}

// Run sweeps the tables periodically until ctx ends.
func (q *Quarantiner) Run(ctx context.Context) {
	stop := q.Timer.Every(dragonflypass.JobSweep, sweepInterval, func(context.Context) { q.Sweep() })
	defer stop()
	<-ctx.Done()
}

// RecordCrash records that a server crashed while running the requests with the fingerprints. It reports whether
// the crash, or one of its suspects, is a new one.
func (q *Quarantiner) RecordCrash(crash dragonflypass.ServerCrash) bool {
	now := q.Timer.Now()
	key := dragonflypass.CrashID{Server: crash.Server, Epoch: crash.Epoch}
	q.mutex.Lock()
	record, known := q.crashes[key]
	var causes []dragonflypass.Fingerprint
	sentAt := make(map[dragonflypass.Fingerprint]time.Time, len(crash.Suspects))
	if !known {
		evictIfFull(q.crashes, maxCrashes, func(a, b *crashRecord) bool { return a.recordedAt.Before(b.recordedAt) })
		record = &crashRecord{recordedAt: now, reported: make(map[dragonflypass.Fingerprint]bool)}
		q.crashes[key] = record
		causes = q.likelyCauses(crash.Fingerprints, now)
	}
	var started, ended []dragonflypass.SharedPart
	isNew := !known
	for _, s := range crash.Suspects {
		if record.reported[s.Fingerprint] || len(record.reported) >= maxCrashSuspects {
			continue
		}
		record.reported[s.Fingerprint] = true
		sentAt[s.Fingerprint] = s.SentAt
		isNew = true
		if known {
			causes = append(causes, s.Fingerprint)
		}
		startedNow, endedNow := q.parts.recordSuspect(key, s, crash.At, now)
		started, ended = append(started, startedNow...), append(ended, endedNow...)
	}
	quarantined := 0
	for _, fingerprint := range causes {
		if q.countCrash(fingerprint, key, sentAt[fingerprint], crash.At, now) {
			quarantined++
		}
	}
	q.mutex.Unlock()
	if !known {
		q.Meter.Add(dragonflypass.CountServerCrashed, 1)
	}
	if quarantined > 0 {
		q.Meter.Add(dragonflypass.CountQuarantined, int64(quarantined))
		q.Logger.Warn("request quarantined", "server", crash.Server, "requests", quarantined)
	}
	q.reportParts(started, ended)
	return isNew
}

// reportParts counts and logs the parts whose quarantine has started or ended.
func (q *Quarantiner) reportParts(started, ended []dragonflypass.SharedPart) {
	for _, part := range started {
		q.Meter.Add(dragonflypass.CountPartQuarantined, 1)
		q.Logger.Warn("shared part quarantined", "part", part)
	}
	for _, part := range ended {
		q.Meter.Add(dragonflypass.CountPartCleared, 1)
		q.Logger.Info("shared part cleared", "part", part)
	}
}

// RecordBegun records that a server has begun to answer a prompt of the model with the parts, so that none of them crashes
// servers.
func (q *Quarantiner) RecordBegun(model dragonflypass.ModelID, parts []dragonflypass.SharedPart) {
	if len(parts) == 0 {
		return
	}
	now := q.Timer.Now()
	var ended []dragonflypass.SharedPart
	q.mutex.Lock()
	for _, part := range parts {
		if q.parts.clear(partKey{model: model, part: part}, now, now) {
			ended = append(ended, part)
		}
	}
	q.mutex.Unlock()
	q.reportParts(nil, ended)
}

// Refuses returns the reason why a request with the fingerprint and the parts, which are sorted, must not run, or nil.
func (q *Quarantiner) Refuses(fingerprint dragonflypass.Fingerprint, parts []dragonflypass.SharedPart) *dragonflypass.Refusal {
	if q.Check(fingerprint) == Quarantined {
		return dragonflypass.Refuse(dragonflypass.ReasonQuarantined, 0, "backend servers crashed while running this request")
	}
	now := q.Timer.Now()
	q.mutex.Lock()
	part, until := q.parts.refusing(fingerprint, parts, now)
	q.mutex.Unlock()
	if part == "" {
		return nil
	}
	return dragonflypass.Refuse(dragonflypass.ReasonQuarantined, until.Sub(now), "backend servers crashed while running requests with part %s of this prompt", part)
}

// Statuses returns what other VMs should know of shared parts and of requests.
func (q *Quarantiner) Statuses() ([]dragonflypass.PartStatus, []dragonflypass.RequestStatus) {
	return q.PartStatuses(), q.RequestStatuses()
}

// Merge adds what another VM knows of shared parts and of requests.
func (q *Quarantiner) Merge(parts []dragonflypass.PartStatus, requests []dragonflypass.RequestStatus) {
	q.MergeParts(parts)
	q.MergeRequests(requests)
}

// PartStatuses returns what other VMs should know of shared parts: those that are quarantined and those that have been
// cleared recently.
func (q *Quarantiner) PartStatuses() []dragonflypass.PartStatus {
	now := q.Timer.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.parts.statuses(now)
}

// MergeParts adds what another VM knows of shared parts.
func (q *Quarantiner) MergeParts(statuses []dragonflypass.PartStatus) {
	if len(statuses) == 0 {
		return
	}
	now := q.Timer.Now()
	var started, ended []dragonflypass.SharedPart
	q.mutex.Lock()
	for _, status := range statuses[:min(len(statuses), maxStatuses)] {
		hasStarted, hasEnded := q.parts.merge(status, now)
		if hasStarted {
			started = append(started, status.Part)
		}
		if hasEnded {
			ended = append(ended, status.Part)
		}
	}
	q.mutex.Unlock()
	q.reportParts(started, ended)
}

// likelyCauses returns the fingerprints that may have caused the crash: those that were suspects already, or all if there
// are none. It is called with the mutex held.
func (q *Quarantiner) likelyCauses(fingerprints []dragonflypass.Fingerprint, now time.Time) []dragonflypass.Fingerprint {
	var priorSuspects []dragonflypass.Fingerprint
	for _, fingerprint := range fingerprints {
		if s, ok := q.suspects[fingerprint]; ok && now.Before(s.expiresAt) {
			priorSuspects = append(priorSuspects, fingerprint)
		}
	}
	if len(priorSuspects) > 0 {
		return priorSuspects
	}
	return fingerprints
}

// countCrash counts a crash at the given time for the fingerprint and reports whether this puts it in quarantine. sentAt is the zero
// time if it is not known. Many callers may send the same request to a plain service, so servers of one that go down together, as
// when a zone fails, count as one crash: only a request that was sent after the last crash is further evidence. It is called
// with the mutex held.
func (q *Quarantiner) countCrash(fingerprint dragonflypass.Fingerprint, crash dragonflypass.CrashID, sentAt, at, now time.Time) bool {
	delete(q.successes, fingerprint)
	s := q.suspectOf(fingerprint, now)
	if fingerprint.Model == "" && !sentAt.IsZero() && !sentAt.After(s.lastCrash.Add(-sendOrderTolerance)) {
		return false
	}
	if at.IsZero() || at.After(now) {
		at = now
	}
	wasQuarantined := s.quarantined(q.CrashLimit)
	q.addCrashes(fingerprint, s, []dragonflypass.CrashID{crash}, at)
	return !wasQuarantined && s.quarantined(q.CrashLimit)
}

// RecordSuccess records that a request completed. Unless it is quarantined, it is no longer a suspect.
func (q *Quarantiner) RecordSuccess(fingerprint dragonflypass.Fingerprint) {
	now := q.Timer.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.successes) < q.SuccessLimit {
		q.successes[fingerprint] = now
	}
	q.recordCompletion(fingerprint, now)
}

// RecentlySucceeded reports whether the request completed recently, so that several copies of it may run at the same time.
func (q *Quarantiner) RecentlySucceeded(fingerprint dragonflypass.Fingerprint) bool {
	now := q.Timer.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	succeededAt, ok := q.successes[fingerprint]
	return ok && now.Sub(succeededAt) < successRetention
}

// Check returns whether a request with the fingerprint may run.
func (q *Quarantiner) Check(fingerprint dragonflypass.Fingerprint) Decision {
	now := q.Timer.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	s, ok := q.suspects[fingerprint]
	if !ok {
		return Allowed
	}
	if !now.Before(s.expiresAt) {
		delete(q.suspects, fingerprint)
		return Allowed
	}
	switch {
	case s.quarantined(q.CrashLimit):
		return Quarantined
	case now.Sub(s.lastCrash) < crashBroadcastTime:
		return Delayed
	}
	return AllowedAlone
}

// evictIfFull removes an entry from a table that has reached its limit: of some, the least.
func evictIfFull[K comparable, V any](table map[K]V, limit int, less func(a, b V) bool) {
	if len(table) < limit {
		return
	}
	const sampleSize = 16
	var least K
	sampled := 0
	for key, value := range table {
		if sampled == 0 || less(value, table[least]) {
			least = key
		}
		if sampled++; sampled == sampleSize {
			break
		}
	}
	delete(table, least)
}

// Sweep removes expired crashes, completed requests and suspects.
func (q *Quarantiner) Sweep() {
	now := q.Timer.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for key, record := range q.crashes {
		if now.Sub(record.recordedAt) > quarantineDuration {
			delete(q.crashes, key)
		}
	}
	for fingerprint, succeededAt := range q.successes {
		if now.Sub(succeededAt) > successRetention {
			delete(q.successes, fingerprint)
		}
	}
	for fingerprint, s := range q.suspects {
		if !now.Before(s.expiresAt) {
			delete(q.suspects, fingerprint)
		}
	}
	for _, times := range []map[dragonflypass.Fingerprint]time.Time{q.completions, q.disputed} {
		maps.DeleteFunc(times, func(_ dragonflypass.Fingerprint, at time.Time) bool { return now.Sub(at) > completionRetention })
	}
	q.parts.sweep(now)
}
