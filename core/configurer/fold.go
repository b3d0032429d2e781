package configurer

import (
	"maps"
	"slices"
	"strings"

	"github.com/dragonflypass/dragonflypass"
)

// recentLimit is the number of verdicts kept to know repetitions of a change.
const recentLimit = 1024

// StateMachine is the state that a prefix of the configuration stream amounts to; the same prefix gives the same state everywhere.
type StateMachine struct {
	offset  dragonflypass.Offset
	items   map[dragonflypass.ItemKey]dragonflypass.VersionedItem
	recent  []dragonflypass.ChangeResult
	waiting map[dragonflypass.Offset]dragonflypass.LogEntry
	// snapshot is the entry of the newest snapshot seen, nil when there was none.
	snapshot *dragonflypass.LogEntry
	// oldest is the first entry seen.
	oldest *dragonflypass.LogEntry
}

// NewStateMachine returns the state before the first record.
func NewStateMachine() *StateMachine {
	return &StateMachine{
		items:   make(map[dragonflypass.ItemKey]dragonflypass.VersionedItem),
		waiting: make(map[dragonflypass.Offset]dragonflypass.LogEntry),
	}
}

// Offset returns the offset of the last record folded in.
func (f *StateMachine) Offset() dragonflypass.Offset { return f.offset }

// Apply folds entries in and returns the verdicts on the changes among them.
// Entries after a gap wait for a snapshot that closes it; entries already folded in change nothing.
func (f *StateMachine) Apply(entries []dragonflypass.LogEntry) []dragonflypass.ChangeResult {
	var verdicts []dragonflypass.ChangeResult
	for _, entry := range entries {
		f.note(entry)
		if entry.Offset > f.offset {
			f.waiting[entry.Offset] = entry
		}
		if s := entry.Record.Snapshot; s != nil && s.Offset > f.offset {
			f.adopt(s)
		}
		verdicts = append(verdicts, f.drain()...)
	}
	return verdicts
}

func (f *StateMachine) note(entry dragonflypass.LogEntry) {
	if f.oldest == nil {
		f.oldest = &entry
	}
	if f.renews(entry) {
		f.snapshot = &entry
	}
}

// renews reports whether the entry is a snapshot in the log that covers at least what the newest known one does.
func (f *StateMachine) renews(entry dragonflypass.LogEntry) bool {
	s := entry.Record.Snapshot
	// A snapshot that a peer made has the offset it covers; one in the log has a later offset.
	if s == nil || entry.Offset <= s.Offset {
		return false
	}
	if f.snapshot == nil {
		return true
	}
	return entry.Offset > f.snapshot.Offset && s.Offset >= f.snapshot.Record.Snapshot.Offset
}

// Complete reports whether nothing waits for a gap to close.
func (f *StateMachine) Complete() bool { return len(f.waiting) == 0 }

// adopt takes a snapshot's state, which is later than the fold's own.
func (f *StateMachine) adopt(s *dragonflypass.Snapshot) {
	f.items = make(map[dragonflypass.ItemKey]dragonflypass.VersionedItem, len(s.Items))
	for _, item := range s.Items {
		f.items[item.Key] = item
	}
	f.recent = slices.Clone(s.RecentResults)
	f.offset = s.Offset
	maps.DeleteFunc(f.waiting, func(offset dragonflypass.Offset, _ dragonflypass.LogEntry) bool {
		return offset <= f.offset
	})
}

// drain folds in the waiting entries that follow without a gap.
func (f *StateMachine) drain() []dragonflypass.ChangeResult {
	var verdicts []dragonflypass.ChangeResult
	for {
		entry, ok := f.waiting[f.offset+1]
		if !ok {
			return verdicts
		}
		delete(f.waiting, entry.Offset)
		f.offset = entry.Offset
		if entry.Record.Change == nil {
			continue
		}
		if verdict, isNew := f.change(entry.Offset, entry.Record.Change); isNew {
			verdicts = append(verdicts, verdict)
		}
	}
}

// change decides on a change and applies it when it is accepted; isNew is false for a repetition.
func (f *StateMachine) change(offset dragonflypass.Offset, change *dragonflypass.Change) (verdict dragonflypass.ChangeResult, isNew bool) {
	if known, ok := f.Verdict(change.ID); ok {
		return known, false
	}
	verdict = dragonflypass.ChangeResult{ID: change.ID, Author: change.Author, Offset: offset, At: change.At, Accepted: true}
	for _, edit := range change.Edits {
		current := f.items[edit.Key].Version
		if current != edit.BaseVersion {
			verdict.Accepted = false
			verdict.Conflict = edit.Key
			verdict.WinningOffset = current
			break
		}
	}
	if verdict.Accepted {
		f.edit(offset, change.Edits)
	}
	f.recent = append(f.recent, verdict)
	if len(f.recent) > recentLimit {
		f.recent = slices.Delete(f.recent, 0, len(f.recent)-recentLimit)
	}
	return verdict, true
}

func (f *StateMachine) edit(offset dragonflypass.Offset, edits []dragonflypass.Edit) {
	for _, edit := range edits {
		if edit.Item == nil {
			delete(f.items, edit.Key)
			continue
		}
		f.items[edit.Key] = dragonflypass.VersionedItem{Key: edit.Key, Version: offset, Item: *edit.Item}
	}
}

// Verdict returns how the change with the identifier was decided, if that is known.
func (f *StateMachine) Verdict(id string) (dragonflypass.ChangeResult, bool) {
	for i := len(f.recent) - 1; i >= 0; i-- {
		if f.recent[i].ID == id {
			return f.recent[i], true
		}
	}
	return dragonflypass.ChangeResult{}, false
}

// Recent returns the latest verdicts in the log's order.
func (f *StateMachine) Recent() []dragonflypass.ChangeResult { return slices.Clone(f.recent) }

// Items returns the items in the order of their keys.
func (f *StateMachine) Items() []dragonflypass.VersionedItem {
	return slices.SortedFunc(maps.Values(f.items), func(a, b dragonflypass.VersionedItem) int {
		if order := strings.Compare(string(a.Key.Section), string(b.Key.Section)); order != 0 {
			return order
		}
		return strings.Compare(a.Key.Name, b.Key.Name)
	})
}

// Snapshot returns the whole state as a record that later readers can start from.
func (f *StateMachine) Snapshot() *dragonflypass.Snapshot {
	return &dragonflypass.Snapshot{Offset: f.offset, Items: f.Items(), RecentResults: f.Recent()}
}
