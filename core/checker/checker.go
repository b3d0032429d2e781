package checker

import (
	"fmt"
	"slices"

	"github.com/dragonflypass/dragonflypass"
)

// Fault is one thing wrong, at a path within what was checked.
type Fault struct {
	Path    string
	Message string
}

// String returns the fault in one line.
func (f Fault) String() string { return f.Path + ": " + f.Message }

// faults collects what is wrong.
type faults struct {
	found []Fault
}

func (f *faults) add(wrong bool, path, format string, args ...any) {
	if wrong {
		f.found = append(f.found, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
}

// Check returns the faults of a configuration made of the items.
func Check(items []dragonflypass.VersionedItem) []Fault {
	f := &faults{}
	current := dragonflypass.NewConfiguration(0, items)
	floors := 0.0
	for _, policy := range current.Ranks {
		floors += policy.MinShare
	}
	f.add(floors > 1, "rank", "the floors add up to %g, which must be at most 1", floors)
	for i := range items {
		f.item(&items[i], current)
	}
	f.keys(items)
	return f.found
}

func (f *faults) item(v *dragonflypass.VersionedItem, current *dragonflypass.Configuration) {
	path := string(v.Key.Section) + "/" + v.Key.Name
	f.add(v.Key.Name == "", path, "the name must not be empty")
	switch {
	case v.Item.Rank != nil:
		f.rank(path, v)
	case v.Item.Account != nil:
		f.account(path, v, current)
	case v.Item.Model != nil:
		f.add(v.Key.Name != string(v.Item.Model.ID), path, "the identifier must equal the name")
		f.add(v.Item.Model.Limit <= 0, path+"/limit", "must be above 0 tokens")
	case v.Item.Service != nil:
		f.service(path, v)
	case v.Item.Server != nil:
		f.server(path, v, current)
	case v.Item.Sheet != nil:
		f.sheet(path, v.Item.Sheet)
	default:
		f.add(true, path, "the item is empty")
	}
}

func (f *faults) rank(path string, v *dragonflypass.VersionedItem) {
	_, known := dragonflypass.ParseRank(v.Key.Name)
	f.add(!known, path, "must be urgent, normal or bulk")
	f.add(v.Item.Rank.FirstTokenTarget <= 0, path+"/first", "must be above 0")
	f.add(v.Item.Rank.Timeout < v.Item.Rank.FirstTokenTarget, path+"/within", "must be at least first")
	f.add(v.Item.Rank.MinShare < 0 || v.Item.Rank.MinShare > 1, path+"/floor", "must be from 0 to 1")
}

func (f *faults) account(path string, v *dragonflypass.VersionedItem, current *dragonflypass.Configuration) {
	a := v.Item.Account
	f.add(v.Key.Name != string(a.ID), path, "the identifier must equal the name")
	f.add(len(a.Keys) == 0, path+"/keys", "must hold at least one SHA-256 sum")
	f.add(a.Weight <= 0, path+"/weight", "must be above 0")
	f.add(a.Rate < 0, path+"/rate", "must be 0 (no limit) or above, in tokens a second")
	f.add(a.Streams < 0, path+"/streams", "must be 0 (no limit) or above")
	for _, model := range a.Models {
		f.add(current.Models[model] == nil, path+"/models", "unknown model %q", model)
	}
	for _, service := range a.Services {
		f.add(current.Services[service] == nil, path+"/services", "unknown service %q", service)
	}
}

func (f *faults) service(path string, v *dragonflypass.VersionedItem) {
	s := v.Item.Service
	f.add(v.Key.Name != string(s.ID), path, "the identifier must equal the name")
	f.add(len(s.Endpoints) == 0, path+"/endpoints", "must hold at least one endpoint")
	for i, e := range s.Endpoints {
		f.add(!e.Address.IsValid(), fmt.Sprintf("%s/endpoints/%d/address", path, i), "must be an IP address with a port")
	}
	for i, r := range s.Once {
		f.add(r.Method == "" || r.Prefix == "", fmt.Sprintf("%s/once/%d", path, i), "needs a method and a path prefix")
	}
	f.add(s.OutcomeRetention < 0, path+"/remember", "must be 0 or above")
}

func (f *faults) server(path string, v *dragonflypass.VersionedItem, current *dragonflypass.Configuration) {
	s := v.Item.Server
	f.add(v.Key.Name != string(s.ID), path, "the identifier must equal the name")
	f.add(!s.Address.IsValid(), path+"/address", "must be an IP address with a port")
	f.add(s.Zone == "", path+"/zone", "must not be empty")
	f.add(s.KVCapacity <= 0, path+"/memory", "must be above 0 tokens")
	f.add(s.Slots <= 0, path+"/slots", "must be above 0")
	f.add(s.PrefillRate <= 0, path+"/prefill", "must be above 0 tokens a second")
	f.add(s.DecodeRate <= 0, path+"/decode", "must be above 0 tokens a second")
	for _, model := range s.Models {
		f.add(current.Models[model] == nil, path+"/models", "unknown model %q", model)
	}
}

func (f *faults) sheet(path string, s *dragonflypass.Sheet) {
	for i, w := range s.Windows {
		at := fmt.Sprintf("%s/windows/%d", path, i)
		f.add(w.Name == "", at+"/name", "must not be empty")
		f.add(!w.End.After(w.Start), at+"/end", "must be after start")
	}
	for i, c := range s.CapacityOverrides {
		at := fmt.Sprintf("%s/capacities/%d", path, i)
		f.add(c.Slots < 0, at+"/slots", "must be 0 or above")
		f.add(!c.End.After(c.Start), at+"/end", "must be after start")
	}
	for i, p := range s.WeightOverrides {
		at := fmt.Sprintf("%s/priorities/%d", path, i)
		f.add(p.Weight <= 0, at+"/weight", "must be above 0")
		f.add(!p.End.After(p.Start), at+"/end", "must be after start")
	}
}

// keys finds bearer keys that two accounts share.
func (f *faults) keys(items []dragonflypass.VersionedItem) {
	owners := make(map[dragonflypass.Digest]dragonflypass.AccountID)
	for _, v := range items {
		if v.Item.Account == nil {
			continue
		}
		for _, key := range v.Item.Account.Keys {
			owner, taken := owners[key]
			f.add(taken && owner != v.Item.Account.ID, "account/"+v.Key.Name+"/keys", "a key of account %q stands here too", owner)
			owners[key] = v.Item.Account.ID
		}
	}
}

// Apply returns the items as they stand after the edits.
func Apply(items []dragonflypass.VersionedItem, edits []dragonflypass.Edit) []dragonflypass.VersionedItem {
	result := slices.Clone(items)
	for _, edit := range edits {
		result = slices.DeleteFunc(result, func(v dragonflypass.VersionedItem) bool { return v.Key == edit.Key })
		if edit.Item != nil {
			result = append(result, dragonflypass.VersionedItem{Key: edit.Key, Item: *edit.Item})
		}
	}
	return result
}
