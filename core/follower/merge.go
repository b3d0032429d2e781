package follower

import "github.com/dragonflypass/dragonflypass"

// mergePage merges the page into the copy and returns the changed and removed records. A full snapshot also removes the
// records that it does not contain, but for those with versions, which stay in force. It is called with the mutex held.
func (f *Follower) mergePage(page dragonflypass.UpdatePage, fullSnapshot bool) (changed []dragonflypass.Update) {
	newEra := f.loaded && page.Era != f.copyEra
	if newEra {
		// Servers and VMs write their records again after a restore, as after an outage.
		f.storeRecoveredAt = f.Timer.Uptime()
		clear(f.tombstones)
	}
	keys := make(map[string]bool, len(page.Updates))
	for _, update := range page.Updates {
		keys[update.Key] = true
		if f.mergeUpdate(update, newEra) {
			changed = append(changed, update)
		}
	}
	if fullSnapshot {
		for key, old := range f.records {
			if !keys[key] && old.Version() == 0 {
				f.remove(key, page.EndOffset)
				changed = append(changed, dragonflypass.Update{Key: key, Offset: page.EndOffset})
			}
		}
		// Records that were removed before are not in a snapshot.
		f.tombstonesFrom = page.EndOffset
	}
	f.endOffset, f.copyEra, f.loaded = page.EndOffset, page.Era, true
	if len(changed) > 0 {
		f.updateVersion()
	}
	return changed
}

// mergeUpdate merges a record into the copy and reports whether the listeners must be told of it. A record never replaces one
// of a higher version. In the first snapshot of a new era, the offsets of the copy have no meaning. It is called with the mutex held.
func (f *Follower) mergeUpdate(update dragonflypass.Update, newEra bool) (changed bool) {
	old, ok := f.records[update.Key]
	isLater := newEra || update.Offset > old.Offset
	switch {
	case ok && old.Version() > 0 && (update.Version() > 0 && update.Version() <= old.Version() || newEra && update.Err != nil):
		if !isLater {
			return false
		}
		// The listeners report the older version, or the unreadable record.
		changed = update.Version() != old.Version()
		old.Offset = update.Offset
		f.records[update.Key] = old
		return changed
	case ok && !isLater && update.Version() <= old.Version():
		return false
	case len(update.Raw) == 0 && update.Err == nil:
		f.remove(update.Key, update.Offset)
		return ok
	case ok && !newEra && f.Equal(old, update):
		return false
	}
	f.records[update.Key] = update
	delete(f.tombstones, update.Key)
	return !ok || !f.Equal(old, update)
}

// mergeNewerVersions takes over the records of newer versions that another VM has, in whatever era that VM has read them, and
// returns them. It is called with the mutex held.
func (f *Follower) mergeNewerVersions(updates []dragonflypass.Update) (changed []dragonflypass.Update) {
	for _, update := range updates {
		old := f.records[update.Key]
		if update.Version() <= old.Version() {
			continue
		}
		// The offset may belong to another era.
		update.Offset = old.Offset
		f.records[update.Key] = update
		delete(f.tombstones, update.Key)
		changed = append(changed, update)
	}
	if len(changed) > 0 {
		f.updateVersion()
	}
	return changed
}

// updateVersion updates the highest version of the records. It is called with the mutex held.
func (f *Follower) updateVersion() {
	f.version = 0
	for _, update := range f.records {
		f.version = max(f.version, update.Version())
	}
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
