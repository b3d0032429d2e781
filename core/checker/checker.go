package checker

import (
	"fmt"
	"slices"

	"github.com/dragonflypass/dragonflypass"
)

// Fault is a validation error; Path locates it within the checked items.
type Fault struct {
	Path    string
	Message string
}

// String returns the fault as "path: message".
func (f Fault) String() string { return f.Path + ": " + f.Message }

// faultList collects validation errors.
type faultList struct {
	faults []Fault
}

func (f *faultList) addIf(invalid bool, path, format string, args ...any) {
	if invalid {
		f.faults = append(f.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
}

// Check validates the items as one configuration and returns all faults found.
func Check(items []dragonflypass.VersionedItem) []Fault {
	f := &faultList{}
	config := dragonflypass.NewConfiguration(0, items)
	minShareSum := 0.0
	for _, policy := range config.Ranks {
		minShareSum += policy.MinShare
	}
	f.addIf(minShareSum > 1, "rank", "the floors add up to %g, which must be at most 1", minShareSum)
	for i := range items {
		f.checkItem(&items[i], config)
	}
	f.checkSharedKeys(items)
	return f.faults
}

func (f *faultList) checkItem(v *dragonflypass.VersionedItem, config *dragonflypass.Configuration) {
	path := string(v.Key.Section) + "/" + v.Key.Name
	f.addIf(v.Key.Name == "", path, "the name must not be empty")
	switch {
	case v.Item.Rank != nil:
		f.checkRank(path, v)
	case v.Item.Account != nil:
		f.checkAccount(path, v, config)
	case v.Item.Model != nil:
		f.addIf(v.Key.Name != string(v.Item.Model.ID), path, "the identifier must equal the name")
		f.addIf(v.Item.Model.Limit <= 0, path+"/limit", "must be above 0 tokens")
	case v.Item.Service != nil:
		f.checkService(path, v)
	case v.Item.Server != nil:
		f.checkServer(path, v, config)
	case v.Item.Sheet != nil:
		f.checkSheet(path, v.Item.Sheet)
	default:
		f.addIf(true, path, "the item is empty")
	}
}

func (f *faultList) checkRank(path string, v *dragonflypass.VersionedItem) {
	_, known := dragonflypass.ParseRank(v.Key.Name)
	f.addIf(!known, path, "must be urgent, normal or bulk")
	f.addIf(v.Item.Rank.FirstTokenTarget <= 0, path+"/first", "must be above 0")
	f.addIf(v.Item.Rank.Timeout < v.Item.Rank.FirstTokenTarget, path+"/within", "must be at least the value of first")
	f.addIf(v.Item.Rank.MinShare < 0 || v.Item.Rank.MinShare > 1, path+"/floor", "must be from 0 to 1")
}

func (f *faultList) checkAccount(path string, v *dragonflypass.VersionedItem, config *dragonflypass.Configuration) {
	a := v.Item.Account
	f.addIf(v.Key.Name != string(a.ID), path, "the identifier must equal the name")
	f.addIf(len(a.Keys) == 0, path+"/keys", "must contain at least one SHA-256 hash")
	f.addIf(a.Weight <= 0, path+"/weight", "must be above 0")
	f.addIf(a.Rate < 0, path+"/rate", "must be 0 (no limit) or above, in tokens per second")
	f.addIf(a.Streams < 0, path+"/streams", "must be 0 (no limit) or above")
	for _, model := range a.Models {
		f.addIf(config.Models[model] == nil, path+"/models", "unknown model %q", model)
	}
	for _, service := range a.Services {
		f.addIf(config.Services[service] == nil, path+"/services", "unknown service %q", service)
	}
}

func (f *faultList) checkService(path string, v *dragonflypass.VersionedItem) {
	s := v.Item.Service
	f.addIf(v.Key.Name != string(s.ID), path, "the identifier must equal the name")
	f.addIf(len(s.Endpoints) == 0, path+"/endpoints", "must contain at least one endpoint")
	for i, e := range s.Endpoints {
		f.addIf(!e.Address.IsValid(), fmt.Sprintf("%s/endpoints/%d/address", path, i), "must be an IP address with a port")
	}
	for i, r := range s.Once {
		f.addIf(r.Method == "" || r.Prefix == "", fmt.Sprintf("%s/once/%d", path, i), "must have a method and a path prefix")
	}
	f.addIf(s.OutcomeRetention < 0, path+"/remember", "must be 0 or above")
}

func (f *faultList) checkServer(path string, v *dragonflypass.VersionedItem, config *dragonflypass.Configuration) {
	s := v.Item.Server
	f.addIf(v.Key.Name != string(s.ID), path, "the identifier must equal the name")
	f.addIf(!s.Address.IsValid(), path+"/address", "must be an IP address with a port")
	f.addIf(s.Zone == "", path+"/zone", "must not be empty")
	f.addIf(s.KVCapacity <= 0, path+"/memory", "must be above 0 tokens")
	f.addIf(s.Slots <= 0, path+"/slots", "must be above 0")
	f.addIf(s.PrefillRate <= 0, path+"/prefill", "must be above 0 tokens per second")
	f.addIf(s.DecodeRate <= 0, path+"/decode", "must be above 0 tokens per second")
	for _, model := range s.Models {
		f.addIf(config.Models[model] == nil, path+"/models", "unknown model %q", model)
	}
}

func (f *faultList) checkSheet(path string, s *dragonflypass.Sheet) {
	for i, w := range s.Windows {
		entryPath := fmt.Sprintf("%s/windows/%d", path, i)
		f.addIf(w.Name == "", entryPath+"/name", "must not be empty")
		f.addIf(!w.End.After(w.Start), entryPath+"/end", "must be after start")
	}
	for i, c := range s.CapacityOverrides {
		entryPath := fmt.Sprintf("%s/capacities/%d", path, i)
		f.addIf(c.Slots < 0, entryPath+"/slots", "must be 0 or above")
		f.addIf(!c.End.After(c.Start), entryPath+"/end", "must be after start")
	}
	for i, p := range s.WeightOverrides {
		entryPath := fmt.Sprintf("%s/priorities/%d", path, i)
		f.addIf(p.Weight <= 0, entryPath+"/weight", "must be above 0")
		f.addIf(!p.End.After(p.Start), entryPath+"/end", "must be after start")
	}
}

// checkSharedKeys reports bearer keys that belong to more than one account.
func (f *faultList) checkSharedKeys(items []dragonflypass.VersionedItem) {
	accounts := make(map[dragonflypass.Digest]dragonflypass.AccountID)
	for _, v := range items {
		if v.Item.Account == nil {
			continue
		}
		for _, key := range v.Item.Account.Keys {
			account, found := accounts[key]
			f.addIf(found && account != v.Item.Account.ID, "account/"+v.Key.Name+"/keys", "the key is also used by account %q", account)
			accounts[key] = v.Item.Account.ID
		}
	}
}

// Apply returns a copy of the items with the edits applied.
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
