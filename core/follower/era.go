package follower

import "github.com/dragonflypass/dragonflypass"

// position is where the next read of the store goes on.
type position struct {
	offset dragonflypass.Offset
	// era is the newest known era.
	era dragonflypass.Era
	// valid is set if the copy was read in the newest era, so that the changes since the offset complete it.
	valid bool
}

func (f *Follower) position() position {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return position{offset: f.endOffset, era: f.era, valid: f.loaded && f.copyEra == f.era}
}

// NoteEra records the era that the store has stated to this VM or to another one. Once it is newer than that of the copy, the
// topic has to be read again, and nothing of an older era is applied or shows that the copy is current. The copy stays in use.
func (f *Follower) NoteEra(era dragonflypass.Era) {
	f.mutex.Lock()
	before := f.era
	if era <= before {
		f.mutex.Unlock()
		return
	}
	f.era = era
	f.restored = f.restored || before != 0
	f.mutex.Unlock()
	if before != 0 {
		f.Meter.Add(dragonflypass.CountStoreRestored, 1)
		f.Logger.Warn("store restored", "topic", f.Topic, "era", era, "before", before)
	}
	f.EraChanged(era)
}

// isApplicable reports whether the page continues the copy. The page of an older era does not, and in a new era only a full
// snapshot replaces the copy, whatever its offsets are. It is called with the mutex held.
func (f *Follower) isApplicable(page dragonflypass.UpdatePage, fullSnapshot bool) bool {
	switch {
	case page.Era < f.era:
		return false
	case !f.loaded:
		return true
	case page.Era != f.copyEra:
		return fullSnapshot
	}
	return page.EndOffset >= f.endOffset
}
