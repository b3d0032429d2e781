package encoder

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
)

// ErrFormat means that data does not have the expected format.
var ErrFormat = eris.New("encoder: invalid format")

func formatError(format string, args ...any) error {
	return eris.Wrapf(ErrFormat, format, args...)
}

// record is the JSON form of a log record; exactly one field is set.
type record struct {
	Change          *Change          `json:"change,omitempty"`
	Snapshot        *Snapshot        `json:"snapshot,omitempty"`
	Claim           *claim           `json:"claim,omitempty"`
	ClaimOutcome    *claimOutcome    `json:"end,omitempty"`
	ClaimCheckpoint *claimCheckpoint `json:"copy,omitempty"`

	Assignment *assignment `json:"assignment,omitempty"`
}

type assignment struct {
	Server      string `json:"server"`
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

// Key is the JSON form of an item's key.
type Key struct {
	Section string `json:"section"`
	Name    string `json:"name"`
}

// Change is the JSON form of a configuration change.
type Change struct {
	ID     string    `json:"id"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	Edits  []Edit    `json:"edits"`
}

// Edit is the JSON form of one edit.
type Edit struct {
	Key  Key    `json:"key"`
	Base uint64 `json:"base"`
	Item *Item  `json:"item,omitempty"`
}

// VersionedItem is the JSON form of an item with its version.
type VersionedItem struct {
	Key     Key    `json:"key"`
	Version uint64 `json:"version"`
	Item    Item   `json:"item"`
}

// ChangeResult is the JSON form of the result of a change.
type ChangeResult struct {
	ID       string    `json:"id"`
	Author   string    `json:"author"`
	Offset   uint64    `json:"offset"`
	At       time.Time `json:"at"`
	Accepted bool      `json:"accepted"`
	Conflict *Key      `json:"conflict,omitempty"`
	Winner   uint64    `json:"winner,omitempty"`
}

// Snapshot is the JSON form of a complete configuration.
type Snapshot struct {
	Upto   uint64          `json:"upto"`
	Items  []VersionedItem `json:"items"`
	Recent []ChangeResult  `json:"recent,omitempty"`
}

type claimKey struct {
	Account string `json:"account"`
	Service string `json:"service"`
	Key     Hash   `json:"key"`
}

type claim struct {
	Key         claimKey  `json:"key"`
	Nonce       Nonce     `json:"nonce"`
	Body        Hash      `json:"body"`
	VM          string    `json:"vm"`
	Incarnation uint64    `json:"incarnation"`
	At          time.Time `json:"at"`
	Deadline    time.Time `json:"deadline"`
}

type claimOutcome struct {
	Key                claimKey `json:"key"`
	Nonce              Nonce    `json:"nonce"`
	Abandoned          bool     `json:"void,omitempty"`
	Unknown            bool     `json:"unknown,omitempty"`
	ResolvedByOperator bool     `json:"settled,omitempty"`
	Status             int      `json:"status,omitempty"`
	Type               string   `json:"type,omitempty"`
	Body               []byte   `json:"body,omitempty"`
}

type claimCheckpoint struct {
	Claim   claim         `json:"claim"`
	Outcome *claimOutcome `json:"end,omitempty"`
}

// Encode returns the JSON form of a log record.
func Encode(r dragonflypass.LogRecord) ([]byte, error) {
	var w record
	switch {
	case r.Change != nil:
		change := FromChange(*r.Change)
		w.Change = &change
	case r.Snapshot != nil:
		snapshot := FromSnapshot(*r.Snapshot)
		w.Snapshot = &snapshot
	case r.Claim != nil:
		c := fromClaim(*r.Claim)
		w.Claim = &c
	case r.ClaimOutcome != nil:
		w.ClaimOutcome = fromClaimOutcome(r.ClaimOutcome)
	case r.ClaimCheckpoint != nil:
		w.ClaimCheckpoint = &claimCheckpoint{Claim: fromClaim(r.ClaimCheckpoint.Claim), Outcome: fromClaimOutcome(r.ClaimCheckpoint.Outcome)}
	case r.Assignment != nil:
		w.Assignment = &assignment{Server: string(r.Assignment.Server), VM: string(r.Assignment.VM), Incarnation: r.Assignment.Incarnation}
	}
	data, err := json.Marshal(w)
	if err != nil {
		return nil, eris.Wrap(ErrFormat, err.Error())
	}
	return data, nil
}

// Decode returns the log record that data encodes. It returns ErrFormat for data that is not JSON or contains an invalid
// item; a record of an unknown kind is returned as an empty record.
func Decode(data []byte) (dragonflypass.LogRecord, error) {
	var w record
	if err := decode(data, &w); err != nil {
		return dragonflypass.LogRecord{}, err
	}
	var r dragonflypass.LogRecord
	switch {
	case w.Change != nil:
		change, err := w.Change.Change()
		if err != nil {
			return r, err
		}
		r.Change = &change
	case w.Snapshot != nil:
		snapshot, err := w.Snapshot.snapshot()
		if err != nil {
			return r, err
		}
		r.Snapshot = &snapshot
	case w.Claim != nil:
		c := w.Claim.claim()
		r.Claim = &c
	case w.ClaimOutcome != nil:
		r.ClaimOutcome = w.ClaimOutcome.claimOutcome()
	case w.ClaimCheckpoint != nil:
		r.ClaimCheckpoint = &dragonflypass.ClaimCheckpoint{Claim: w.ClaimCheckpoint.Claim.claim(), Outcome: w.ClaimCheckpoint.Outcome.claimOutcome()}
	case w.Assignment != nil:
		r.Assignment = &dragonflypass.Assignment{
			Server: dragonflypass.ServerID(w.Assignment.Server), VM: dragonflypass.VMID(w.Assignment.VM), Incarnation: w.Assignment.Incarnation,
		}
	}
	return r, nil
}

func fromKey(key dragonflypass.ItemKey) Key {
	return Key{Section: string(key.Section), Name: key.Name}
}

// Key converts the JSON form to an item key.
func (k Key) Key() dragonflypass.ItemKey {
	return dragonflypass.ItemKey{Section: dragonflypass.Section(k.Section), Name: k.Name}
}

// FromChange returns the JSON form of a change.
func FromChange(c dragonflypass.Change) Change {
	w := Change{ID: c.ID, Author: c.Author, At: c.At, Edits: make([]Edit, 0, len(c.Edits))}
	for _, e := range c.Edits {
		edit := Edit{Key: fromKey(e.Key), Base: uint64(e.BaseVersion)}
		if e.Item != nil {
			item := FromItem(*e.Item)
			edit.Item = &item
		}
		w.Edits = append(w.Edits, edit)
	}
	return w
}

// Change converts the JSON form to a change; it returns ErrFormat if an item is invalid.
func (c Change) Change() (dragonflypass.Change, error) {
	change := dragonflypass.Change{ID: c.ID, Author: c.Author, At: c.At}
	for _, e := range c.Edits {
		edit := dragonflypass.Edit{Key: e.Key.Key(), BaseVersion: dragonflypass.Offset(e.Base)}
		if e.Item != nil {
			item, err := e.Item.Item()
			if err != nil {
				return change, err
			}
			edit.Item = &item
		}
		change.Edits = append(change.Edits, edit)
	}
	return change, nil
}

// FromVersionedItems returns the JSON form of versioned items.
func FromVersionedItems(items []dragonflypass.VersionedItem) []VersionedItem {
	result := make([]VersionedItem, 0, len(items))
	for _, v := range items {
		result = append(result, VersionedItem{Key: fromKey(v.Key), Version: uint64(v.Version), Item: FromItem(v.Item)})
	}
	return result
}

// ToVersionedItems converts the JSON forms to versioned items; it returns ErrFormat if an item is invalid.
func ToVersionedItems(wire []VersionedItem) ([]dragonflypass.VersionedItem, error) {
	result := make([]dragonflypass.VersionedItem, 0, len(wire))
	for _, w := range wire {
		item, err := w.Item.Item()
		if err != nil {
			return nil, err
		}
		result = append(result, dragonflypass.VersionedItem{Key: w.Key.Key(), Version: dragonflypass.Offset(w.Version), Item: item})
	}
	return result, nil
}

// FromChangeResult returns the JSON form of the result of a change.
func FromChangeResult(r dragonflypass.ChangeResult) ChangeResult {
	w := ChangeResult{ID: r.ID, Author: r.Author, Offset: uint64(r.Offset), At: r.At, Accepted: r.Accepted, Winner: uint64(r.WinningOffset)}
	if !r.Accepted {
		key := fromKey(r.Conflict)
		w.Conflict = &key
	}
	return w
}

// ChangeResult converts the JSON form to the result of a change.
func (w ChangeResult) ChangeResult() dragonflypass.ChangeResult {
	r := dragonflypass.ChangeResult{
		ID: w.ID, Author: w.Author, Offset: dragonflypass.Offset(w.Offset), At: w.At,
		Accepted: w.Accepted, WinningOffset: dragonflypass.Offset(w.Winner),
	}
	if w.Conflict != nil {
		r.Conflict = w.Conflict.Key()
	}
	return r
}

// FromSnapshot returns the JSON form of a snapshot.
func FromSnapshot(s dragonflypass.Snapshot) Snapshot {
	w := Snapshot{Upto: uint64(s.Offset), Items: FromVersionedItems(s.Items)}
	for _, r := range s.RecentResults {
		w.Recent = append(w.Recent, FromChangeResult(r))
	}
	return w
}

func (w Snapshot) snapshot() (dragonflypass.Snapshot, error) {
	items, err := ToVersionedItems(w.Items)
	s := dragonflypass.Snapshot{Offset: dragonflypass.Offset(w.Upto), Items: items}
	for _, r := range w.Recent {
		s.RecentResults = append(s.RecentResults, r.ChangeResult())
	}
	return s, err
}

func fromClaimKey(key dragonflypass.ClaimKey) claimKey {
	return claimKey{Account: string(key.Account), Service: string(key.Service), Key: Hash(key.Key)}
}

func (w claimKey) key() dragonflypass.ClaimKey {
	return dragonflypass.ClaimKey{
		Account: dragonflypass.AccountID(w.Account), Service: dragonflypass.ServiceID(w.Service), Key: dragonflypass.Digest(w.Key),
	}
}

func fromClaim(c dragonflypass.Claim) claim {
	return claim{
		Key: fromClaimKey(c.Key), Nonce: Nonce(c.Nonce), Body: Hash(c.Body),
		VM: string(c.VM), Incarnation: c.Incarnation, At: c.At, Deadline: c.Deadline,
	}
}

func (w claim) claim() dragonflypass.Claim {
	return dragonflypass.Claim{
		Key: w.Key.key(), Nonce: dragonflypass.Nonce(w.Nonce), Body: dragonflypass.Digest(w.Body),
		VM: dragonflypass.VMID(w.VM), Incarnation: w.Incarnation, At: w.At, Deadline: w.Deadline,
	}
}

func fromClaimOutcome(o *dragonflypass.ClaimOutcome) *claimOutcome {
	if o == nil {
		return nil
	}
	return &claimOutcome{
		Key: fromClaimKey(o.Key), Nonce: Nonce(o.Nonce), Abandoned: o.Abandoned, Unknown: o.Unknown, ResolvedByOperator: o.ResolvedByOperator,
		Status: o.Response.Status, Type: o.Response.ContentType, Body: o.Response.Body,
	}
}

func (w *claimOutcome) claimOutcome() *dragonflypass.ClaimOutcome {
	if w == nil {
		return nil
	}
	return &dragonflypass.ClaimOutcome{
		Key: w.Key.key(), Nonce: dragonflypass.Nonce(w.Nonce), Abandoned: w.Abandoned, Unknown: w.Unknown, ResolvedByOperator: w.ResolvedByOperator,
		Response: dragonflypass.ServiceResponse{Status: w.Status, ContentType: w.Type, Body: w.Body},
	}
}
