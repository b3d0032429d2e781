package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// begunRetention is how long it is known that an answer was begun. It is longer than a report of a crash takes.
	begunRetention = 10 * time.Second
	// clearedRetention is how long other VMs are told that a part has been cleared.
	clearedRetention = 30 * time.Second
	// mergeTolerance is the difference in time below which a status from another VM is no news.
	mergeTolerance = time.Second
	// maxPartRecords is the largest number of records, and maxBegunParts that of parts whose begun answers are known.
	maxPartRecords = 2048
	maxBegunParts  = 8192
	// maxSuspectParts is the largest number of parts of one request that are suspected.
	maxSuspectParts = 256
	// maxStatuses is the largest number of statuses in a heartbeat.
	maxStatuses = 64
)

// partKey identifies a shared part; a part may crash the servers of one model only.
type partKey struct {
	model dragonflypass.ModelID
	part  dragonflypass.SharedPart
}

// partTable holds the records of shared parts. It is protected by the mutex of the quarantiner.
type partTable struct {
	records map[partKey]*partRecord
	// begun holds the times of recent first events of answers to prompts with the part, and previousBegun the older ones.
	begun, previousBegun map[partKey]time.Time
	rotatedAt            time.Time
	// cleared holds the times at which parts with a record were cleared.
	cleared map[partKey]time.Time
}

func newPartTable() partTable {
	return partTable{
		records: make(map[partKey]*partRecord), begun: make(map[partKey]time.Time), previousBegun: make(map[partKey]time.Time),
		cleared: make(map[partKey]time.Time),
	}
}

// lastBegun returns the time of the last known first event of an answer to a prompt with the part, the zero time if none is
// known.
func (t *partTable) lastBegun(key partKey) time.Time {
	last := t.begun[key]
	for _, at := range []time.Time{t.previousBegun[key], t.cleared[key]} {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// recordSuspect adds a crash for the parts of a suspect. It returns the parts whose quarantine has started, and those whose
// quarantine has ended because another part explains their crashes.
func (t *partTable) recordSuspect(key dragonflypass.CrashID, suspect dragonflypass.CrashSuspect, at, now time.Time) (started, ended []dragonflypass.SharedPart) {
	model := suspect.Fingerprint.Model
	parts := t.suspectParts(model, suspect.Parts, at)
	for _, part := range parts {
		t.record(partKey{model: model, part: part}).add(key, suspect, parts, at)
	}
	for _, part := range parts {
		id := partKey{model: model, part: part}
		record := t.records[id]
		if record == nil || !record.proved() || t.explained(id, record, now) {
			continue
		}
		if !record.quarantined(now) {
			started = append(started, part)
		}
		record.quarantine(now)
		ended = append(ended, t.releaseExplained(id, record, now)...)
	}
	return started, ended
}

// explained reports whether another part that is quarantined explains all crashes of the part.
func (t *partTable) explained(id partKey, record *partRecord, now time.Time) bool {
	for other, cause := range t.records {
		if other.model == id.model && other.part != id.part && cause.quarantined(now) && record.explainedBy(other.part, cause) {
			return true
		}
	}
	return false
}

// releaseExplained ends the quarantines that were due to reports which arrived before those of the cause.
func (t *partTable) releaseExplained(id partKey, cause *partRecord, now time.Time) (ended []dragonflypass.SharedPart) {
	for other, record := range t.records {
		if other.model == id.model && other.part != id.part && record.quarantined(now) && record.explainedBy(id.part, cause) {
			record.quarantines--
			record.quarantinedUntil = time.Time{}
			ended = append(ended, other.part)
		}
	}
	return ended
}

// suspectParts returns the parts that may have caused a crash: those with which no server has begun an answer since. Of more
// than maxSuspectParts, those that have been suspected before come first.
func (t *partTable) suspectParts(model dragonflypass.ModelID, parts []dragonflypass.SharedPart, at time.Time) []dragonflypass.SharedPart {
	suspected := make([]dragonflypass.SharedPart, 0, len(parts))
	for _, part := range parts {
		key := partKey{model: model, part: part}
		if begunAt := t.lastBegun(key); begunAt.After(at) {
			// The VM that reported the crash may not know.
			t.markCleared(key, begunAt)
			continue
		}
		suspected = append(suspected, part)
	}
	if len(suspected) > maxSuspectParts {
		slices.SortStableFunc(suspected, func(a, b dragonflypass.SharedPart) int {
			return cmp.Compare(t.crashCount(model, b), t.crashCount(model, a))
		})
		suspected = suspected[:maxSuspectParts]
		slices.Sort(suspected)
	}
	return suspected
}

// crashCount returns the number of crashes that have been counted for the part.
func (t *partTable) crashCount(model dragonflypass.ModelID, part dragonflypass.SharedPart) int {
	record, ok := t.records[partKey{model: model, part: part}]
	if !ok {
		return 0
	}
	return record.count
}

// record returns the record of the part, and creates it if there is none.
func (t *partTable) record(key partKey) *partRecord {
	record, ok := t.records[key]
	if ok {
		return record
	}
	evictIfFull(t.records, maxPartRecords, func(a, b *partRecord) bool { return a.weight() < b.weight() })
	record = &partRecord{}
	t.records[key] = record
	return record
}

// weight returns how much evidence would be lost with the record.
func (r *partRecord) weight() int { return r.quarantines*maxPartCrashes + r.count }

// clear records that a server began to answer a prompt with the part. It reports whether that ended a quarantine.
func (t *partTable) clear(key partKey, at, now time.Time) bool {
	t.recordBegun(key, at, now)
	record, ok := t.records[key]
	if !ok || at.Before(record.lastCrash) {
		return false
	}
	delete(t.records, key)
	t.markCleared(key, at)
	return record.quarantined(now)
}

// prune removes the parts from required with which a server has begun an answer since the last crash.
func (t *partTable) prune(id partKey, record *partRecord) {
	isCleared := func(part dragonflypass.SharedPart) bool {
		begunAt := t.lastBegun(partKey{model: id.model, part: part})
		return part != id.part && !begunAt.IsZero() && !begunAt.Before(record.lastCrash)
	}
	if slices.ContainsFunc(record.required, isCleared) {
		record.required = slices.DeleteFunc(slices.Clone(record.required), isCleared)
	}
}

// markCleared makes statuses report the part as cleared.
func (t *partTable) markCleared(key partKey, at time.Time) {
	if _, ok := t.cleared[key]; ok || len(t.cleared) < maxPartRecords {
		t.cleared[key] = at
	}
}

// recordBegun stores the time of a first event. Those of the last begunRetention are kept.
func (t *partTable) recordBegun(key partKey, at, now time.Time) {
	if now.Sub(t.rotatedAt) > begunRetention || len(t.begun) >= maxBegunParts {
		t.previousBegun, t.begun, t.rotatedAt = t.begun, make(map[partKey]time.Time), now
	}
	if at.After(t.begun[key]) {
		t.begun[key] = at
	}
}

// refusing returns the part because of which a request must not run, and the end of its quarantine. The part is empty if the
// request may run.
func (t *partTable) refusing(fingerprint dragonflypass.Fingerprint, parts []dragonflypass.SharedPart, now time.Time) (dragonflypass.SharedPart, time.Time) {
	if len(t.records) == 0 {
		return "", time.Time{}
	}
	for _, part := range parts {
		id := partKey{model: fingerprint.Model, part: part}
		record, ok := t.records[id]
		if !ok || !record.quarantined(now) {
			continue
		}
		t.prune(id, record)
		if record.refuses(fingerprint.Account, parts) {
			return part, record.quarantinedUntil
		}
	}
	return "", time.Time{}
}

// merge adds what another VM knows of a part. It reports whether that started a quarantine, or ended one.
func (t *partTable) merge(status dragonflypass.PartStatus, now time.Time) (started, ended bool) {
	id := partKey{model: status.Model, part: status.Part}
	record, known := t.records[id]
	if !status.BegunAt.IsZero() {
		isNews := status.BegunAt.Sub(t.lastBegun(id)) >= mergeTolerance || known && !status.BegunAt.Before(record.lastCrash)
		if !isNews || now.Sub(status.BegunAt) > clearedRetention {
			return false, false
		}
		t.markCleared(id, status.BegunAt)
		return false, t.clear(id, status.BegunAt, now)
	}
	if now.After(status.QuarantinedUntil) || t.lastBegun(id).After(status.LastCrash) {
		return false, false
	}
	if known && record.count > 0 && t.explained(id, record, now) {
		return false, false
	}
	record = t.record(id)
	wasQuarantined := record.quarantined(now)
	record.restrictTo(status.Required, status.Required)
	for _, account := range status.Accounts {
		record.addAccount(account)
	}
	record.quarantines = max(record.quarantines, status.Quarantines, 1)
	if status.LastCrash.After(record.lastCrash) {
		record.lastCrash = status.LastCrash
	}
	if status.QuarantinedUntil.Sub(record.quarantinedUntil) > mergeTolerance {
		record.quarantinedUntil = status.QuarantinedUntil
	}
	return !wasQuarantined && record.quarantined(now), false
}

// statuses returns the statuses of the quarantined parts, and of those that have been cleared recently.
func (t *partTable) statuses(now time.Time) []dragonflypass.PartStatus {
	var quarantined, cleared []dragonflypass.PartStatus
	for key, record := range t.records {
		if record.quarantined(now) {
			t.prune(key, record)
			quarantined = append(quarantined, dragonflypass.PartStatus{
				Model: key.model, Part: key.part, Required: record.required, Accounts: slices.Clone(record.accounts), Quarantines: record.quarantines,
				LastCrash: record.lastCrash, QuarantinedUntil: record.quarantinedUntil,
			})
		}
	}
	for key, at := range t.cleared {
		if now.Sub(at) <= clearedRetention {
			cleared = append(cleared, dragonflypass.PartStatus{Model: key.model, Part: key.part, BegunAt: at})
		}
	}
	slices.SortFunc(quarantined, func(a, b dragonflypass.PartStatus) int { return b.LastCrash.Compare(a.LastCrash) })
	slices.SortFunc(cleared, func(a, b dragonflypass.PartStatus) int { return b.BegunAt.Compare(a.BegunAt) })
	// Both kinds get a part of the limit, so that neither keeps the other from the other VMs.
	quarantined = quarantined[:min(len(quarantined), maxStatuses/2)]
	return append(quarantined, cleared[:min(len(cleared), maxStatuses/2)]...)
}

// sweep removes what has expired.
func (t *partTable) sweep(now time.Time) {
	for key, record := range t.records {
		if record.expired(now) {
			delete(t.records, key)
		}
	}
	for key, at := range t.cleared {
		if now.Sub(at) > clearedRetention {
			delete(t.cleared, key)
		}
	}
	if now.Sub(t.rotatedAt) > begunRetention {
		clear(t.begun)
		clear(t.previousBegun)
	}
}

// SuspectPart describes a suspected or quarantined shared part in a state dump.
type SuspectPart struct {
	Model dragonflypass.ModelID
	Part  dragonflypass.SharedPart
	// Required are the parts that a prompt must have to be refused.
	Required []dragonflypass.SharedPart
	// Accounts are client accounts whose requests crashed servers. If there is one, only its requests are refused.
	Accounts []dragonflypass.AccountID
	Crashes  int
	// Until is the end of the quarantine, zero if there was none.
	Until time.Time
}

// SuspectParts returns the suspected parts for a state dump, sorted by part.
func (q *Quarantiner) SuspectParts() []SuspectPart {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	list := make([]SuspectPart, 0, len(q.parts.records))
	for id, record := range q.parts.records {
		q.parts.prune(id, record)
		list = append(list, SuspectPart{
			Model: id.model, Part: id.part, Required: record.required, Accounts: slices.Clone(record.accounts), Crashes: record.count, Until: record.quarantinedUntil,
		})
	}
	slices.SortFunc(list, func(a, b SuspectPart) int { return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Model, b.Model)) })
	return list
}
