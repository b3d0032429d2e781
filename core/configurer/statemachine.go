package configurer

import (
	"maps"
	"slices"
	"strings"

	"github.com/dragonflypass/dragonflypass"
)

// recentResultLimit is the number of change results that are retained to recognize retries of a change.
const recentResultLimit = 1024

// StateMachine computes the configuration from the entries of the configuration stream. It is deterministic:
// the same prefix of the stream results in the same state on every VM.
type StateMachine struct {
	offset        dragonflypass.Offset
	items         map[dragonflypass.ItemKey]dragonflypass.VersionedItem
	recentResults []dragonflypass.ChangeResult
	// pending holds the entries that follow a gap.
	pending map[dragonflypass.Offset]dragonflypass.LogEntry
	// newestSnapshot is the entry of the newest snapshot that was read from the log, nil if there is none.
	newestSnapshot *dragonflypass.LogEntry
	// firstEntry is the first entry passed to Apply.
	firstEntry *dragonflypass.LogEntry
}

// NewStateMachine returns a state machine that has not applied any entry.
func NewStateMachine() *StateMachine {
	return &StateMachine{
		items:   make(map[dragonflypass.ItemKey]dragonflypass.VersionedItem),
		pending: make(map[dragonflypass.Offset]dragonflypass.LogEntry),
	}
}

// Offset returns the offset of the last applied entry.
func (m *StateMachine) Offset() dragonflypass.Offset { return m.offset }

// Apply applies the entries and returns the results of the changes among them.
// Entries after a gap stay pending until a snapshot or the missing entries close the gap; entries already applied have no effect.
func (m *StateMachine) Apply(entries []dragonflypass.LogEntry) []dragonflypass.ChangeResult {
	var results []dragonflypass.ChangeResult
	for _, entry := range entries {
		m.recordEntry(entry)
		if entry.Offset > m.offset {
			m.pending[entry.Offset] = entry
		}
		if s := entry.Record.Snapshot; s != nil && s.Offset > m.offset {
			m.restore(s)
		}
		results = append(results, m.applyPending()...)
	}
	return results
}

// recordEntry updates firstEntry and newestSnapshot.
func (m *StateMachine) recordEntry(entry dragonflypass.LogEntry) {
	if m.firstEntry == nil {
		m.firstEntry = &entry
	}
	if m.isNewerSnapshot(entry) {
		m.newestSnapshot = &entry
	}
}

// isNewerSnapshot reports whether the entry is a snapshot from the log that covers at least the offset of the newest known one.
func (m *StateMachine) isNewerSnapshot(entry dragonflypass.LogEntry) bool {
	s := entry.Record.Snapshot
	// An entry that a peer made of its state has the offset of its snapshot; an entry from the log has a later offset.
	if s == nil || entry.Offset <= s.Offset {
		return false
	}
	if m.newestSnapshot == nil {
		return true
	}
	return entry.Offset > m.newestSnapshot.Offset && s.Offset >= m.newestSnapshot.Record.Snapshot.Offset
}

// Complete reports whether no entry is pending behind a gap.
func (m *StateMachine) Complete() bool { return len(m.pending) == 0 }

// restore replaces the state by that of a snapshot with a later offset.
func (m *StateMachine) restore(s *dragonflypass.Snapshot) {
	m.items = make(map[dragonflypass.ItemKey]dragonflypass.VersionedItem, len(s.Items))
	for _, item := range s.Items {
		m.items[item.Key] = item
	}
	m.recentResults = slices.Clone(s.RecentResults)
	m.offset = s.Offset
	maps.DeleteFunc(m.pending, func(offset dragonflypass.Offset, _ dragonflypass.LogEntry) bool {
		return offset <= m.offset
	})
}

// applyPending applies the pending entries that follow without a gap.
func (m *StateMachine) applyPending() []dragonflypass.ChangeResult {
	var results []dragonflypass.ChangeResult
	for {
		entry, ok := m.pending[m.offset+1]
		if !ok {
			return results
		}
		delete(m.pending, entry.Offset)
		m.offset = entry.Offset
		if entry.Record.Change == nil {
			continue
		}
		if result, isNew := m.applyChange(entry.Offset, entry.Record.Change); isNew {
			results = append(results, result)
		}
	}
}

// applyChange accepts or rejects a change and applies it if it is accepted; isNew is false for a retry.
func (m *StateMachine) applyChange(offset dragonflypass.Offset, change *dragonflypass.Change) (result dragonflypass.ChangeResult, isNew bool) {
	if previous, ok := m.Result(change.ID); ok {
		return previous, false
	}
	result = dragonflypass.ChangeResult{ID: change.ID, Author: change.Author, Offset: offset, At: change.At, Accepted: true}
	for _, edit := range change.Edits {
		current := m.items[edit.Key].Version
		if current != edit.BaseVersion {
			result.Accepted = false
			result.Conflict = edit.Key
			result.WinningOffset = current
			break
		}
	}
	if result.Accepted {
		m.applyEdits(offset, change.Edits)
	}
	m.recentResults = append(m.recentResults, result)
	if len(m.recentResults) > recentResultLimit {
		m.recentResults = slices.Delete(m.recentResults, 0, len(m.recentResults)-recentResultLimit)
	}
	return result, true
}

func (m *StateMachine) applyEdits(offset dragonflypass.Offset, edits []dragonflypass.Edit) {
	for _, edit := range edits {
		if edit.Item == nil {
			delete(m.items, edit.Key)
			continue
		}
		m.items[edit.Key] = dragonflypass.VersionedItem{Key: edit.Key, Version: offset, Item: *edit.Item}
	}
}

// Result returns the result of the change with the ID and whether it is known.
func (m *StateMachine) Result(id string) (dragonflypass.ChangeResult, bool) {
	for i := len(m.recentResults) - 1; i >= 0; i-- {
		if m.recentResults[i].ID == id {
			return m.recentResults[i], true
		}
	}
	return dragonflypass.ChangeResult{}, false
}

// RecentResults returns the results of the latest changes in the order of the log.
func (m *StateMachine) RecentResults() []dragonflypass.ChangeResult {
	return slices.Clone(m.recentResults)
}

// Items returns the items in the order of their keys.
func (m *StateMachine) Items() []dragonflypass.VersionedItem {
	return slices.SortedFunc(maps.Values(m.items), func(a, b dragonflypass.VersionedItem) int {
		if order := strings.Compare(string(a.Key.Section), string(b.Key.Section)); order != 0 {
			return order
		}
		return strings.Compare(a.Key.Name, b.Key.Name)
	})
}

// Snapshot returns a snapshot of the complete state. A reader can restore it instead of applying all earlier entries.
func (m *StateMachine) Snapshot() *dragonflypass.Snapshot {
	return &dragonflypass.Snapshot{Offset: m.offset, Items: m.Items(), RecentResults: m.RecentResults()}
}
