package dragonflypass

import (
	"net/netip"
	"time"
)

// Offset is a position in a stream of the platform's log; offsets start at 1.
type Offset uint64

// Section is a part of the configuration; its items are versioned individually.
type Section string

// The sections of the configuration.
const (
	SectionRank    Section = "rank"
	SectionAccount Section = "account"
	SectionModel   Section = "model"
	SectionService Section = "service"
	SectionServer  Section = "server"
	SectionSheet   Section = "sheet"
)

// ItemKey identifies a configuration item.
type ItemKey struct {
	Section Section
	Name    string
}

// Item is the content of a configuration item; exactly one field is set.
type Item struct {
	Rank    *RankPolicy
	Account *ClientAccount
	Model   *Model
	Service *Service
	Server  *BackendServer
	Sheet   *Sheet
}

// Edit replaces or removes a configuration item.
type Edit struct {
	Key ItemKey
	// BaseVersion is the offset of the change that produced the version this edit is based on, zero for a new item.
	BaseVersion Offset
	// Item is nil if the edit removes the item.
	Item *Item
}

// Change is a set of edits that is applied atomically.
type Change struct {
	// ID is chosen by the author and identifies retries of the same change.
	ID     string
	Author string
	At     time.Time
	Edits  []Edit
}

// VersionedItem is an item with the offset of the change that produced it.
type VersionedItem struct {
	Key     ItemKey
	Version Offset
	Item    Item
}

// Snapshot is the complete configuration at an offset.
type Snapshot struct {
	Offset Offset
	Items  []VersionedItem
	// RecentResults holds the results of the latest changes, so that retries of them are recognized.
	RecentResults []ChangeResult
}

// ChangeResult is whether a change was accepted or rejected, as decided by the order of the log.
type ChangeResult struct {
	ID       string
	Author   string
	Offset   Offset
	At       time.Time
	Accepted bool
	// Conflict is the first item whose version had changed in the meantime, if the change was rejected.
	Conflict ItemKey
	// WinningOffset is the offset of the change that conflicted with the rejected one.
	WinningOffset Offset
}

// Sheet is the plan for one day: maintenance windows, capacity overrides and weight overrides.
type Sheet struct {
	Day               string
	Windows           []MaintenanceWindow
	CapacityOverrides []CapacityOverride
	WeightOverrides   []WeightOverride
}

// MaintenanceWindow is a period in which a VM or a backend server is down for maintenance.
type MaintenanceWindow struct {
	// Name is the identifier of an entry VM or of a backend server.
	Name  string
	Zone  AvailabilityZone
	Start time.Time
	End   time.Time
}

// CapacityOverride limits the batch slots of a backend server for a period.
type CapacityOverride struct {
	Server ServerID
	Slots  int
	Start  time.Time
	End    time.Time
}

// WeightOverride changes the weight of a client account for a period.
type WeightOverride struct {
	Account AccountID
	Weight  float64
	Start   time.Time
	End     time.Time
}

// LogRecord is the content of a log entry; exactly one field is set.
type LogRecord struct {
	Change          *Change
	Snapshot        *Snapshot
	Claim           *Claim
	ClaimOutcome    *ClaimOutcome
	ClaimCheckpoint *ClaimCheckpoint
	// Assignment authorizes its VM to send orders to a server.
	Assignment *Assignment
}

// LogEntry is a record with its offset in the log.
type LogEntry struct {
	Offset Offset
	At     time.Time
	Record LogRecord
}

// LogPage is a batch of consecutive entries read from a log stream.
type LogPage struct {
	// FirstOffset is the lowest offset that the log still retains.
	FirstOffset Offset
	// NextOffset is the offset of the next append to the stream.
	NextOffset Offset
	Entries    []LogEntry
}

// LogStream is the name of a stream of the platform's log.
type LogStream string

// LogStreamConfig is the stream of configuration changes and snapshots.
const LogStreamConfig LogStream = "config"

// LogStreamOrders is the stream of assignments; their offsets are the fencing numbers of orders.
const LogStreamOrders LogStream = "orders"

// LogStreamClaims is the name prefix of the claim streams, one per shard.
const LogStreamClaims LogStream = "claims"

// PlatformVM is an entry of the platform's list of VMs.
type PlatformVM struct {
	ID      VMID
	Zone    AvailabilityZone
	Peer    netip.AddrPort
	Leaving bool
	// Processors is the processor time that the VM may use, in cores, zero if it is not known.
	Processors float64
}

// Configuration is the complete configuration in effect at an offset; it is immutable.
type Configuration struct {
	Offset   Offset
	Items    []VersionedItem
	Ranks    [RankCount]RankPolicy
	Accounts map[AccountID]*ClientAccount
	Models   map[ModelID]*Model
	Services map[ServiceID]*Service
	Servers  map[ServerID]*BackendServer
	Sheets   []*Sheet
	// AccountsByKey maps the hash of a bearer key to its client account.
	AccountsByKey map[Digest]AccountID

	serversByModel    map[ModelID][]*BackendServer
	windows           map[string][]MaintenanceWindow
	capacityOverrides map[ServerID][]CapacityOverride
	weightOverrides   map[AccountID][]WeightOverride
}

// DefaultRanks returns the policies of the ranks that the configuration does not set.
func DefaultRanks() [RankCount]RankPolicy {
	return [RankCount]RankPolicy{
		RankUrgent: {FirstTokenTarget: 450 * time.Millisecond, Timeout: 30 * time.Second, MinShare: 0.5},
		RankNormal: {FirstTokenTarget: 2 * time.Second, Timeout: 2 * time.Minute, MinShare: 0.2},
		RankBulk:   {FirstTokenTarget: time.Minute, Timeout: 12 * time.Hour, MinShare: 0.1},
	}
}

// NewConfiguration builds a configuration from the items, which are sorted by key.
func NewConfiguration(offset Offset, items []VersionedItem) *Configuration {
	c := &Configuration{
		Offset:        offset,
		Items:         items,
		Ranks:         DefaultRanks(),
		Accounts:      make(map[AccountID]*ClientAccount),
		Models:        make(map[ModelID]*Model),
		Services:      make(map[ServiceID]*Service),
		Servers:       make(map[ServerID]*BackendServer),
		AccountsByKey: make(map[Digest]AccountID),

		serversByModel:    make(map[ModelID][]*BackendServer),
		windows:           make(map[string][]MaintenanceWindow),
		capacityOverrides: make(map[ServerID][]CapacityOverride),
		weightOverrides:   make(map[AccountID][]WeightOverride),
	}
	for i := range items {
		c.add(&items[i])
	}
	return c
}

func (c *Configuration) add(v *VersionedItem) {
	switch {
	case v.Item.Rank != nil:
		if rank, ok := ParseRank(v.Key.Name); ok {
			c.Ranks[rank] = *v.Item.Rank
		}
	case v.Item.Account != nil:
		c.Accounts[v.Item.Account.ID] = v.Item.Account
		for _, key := range v.Item.Account.Keys {
			c.AccountsByKey[key] = v.Item.Account.ID
		}
	case v.Item.Model != nil:
		c.Models[v.Item.Model.ID] = v.Item.Model
	case v.Item.Service != nil:
		c.Services[v.Item.Service.ID] = v.Item.Service
	case v.Item.Server != nil:
		c.Servers[v.Item.Server.ID] = v.Item.Server
		for _, model := range v.Item.Server.Models {
			c.serversByModel[model] = append(c.serversByModel[model], v.Item.Server)
		}
	case v.Item.Sheet != nil:
		c.Sheets = append(c.Sheets, v.Item.Sheet)
		c.index(v.Item.Sheet)
	}
}

// index adds the rows of a sheet to the maps by VM, server and account.
func (c *Configuration) index(sheet *Sheet) {
	for _, row := range sheet.Windows {
		c.windows[row.Name] = append(c.windows[row.Name], row)
	}
	for _, row := range sheet.CapacityOverrides {
		c.capacityOverrides[row.Server] = append(c.capacityOverrides[row.Server], row)
	}
	for _, row := range sheet.WeightOverrides {
		c.weightOverrides[row.Account] = append(c.weightOverrides[row.Account], row)
	}
}

// ServersOf returns the backend servers that are configured to run the model.
func (c *Configuration) ServersOf(model ModelID) []*BackendServer { return c.serversByModel[model] }

// NextMaintenance returns the start of the earliest maintenance window of the VM or server that has not ended, zero if there is none.
func (c *Configuration) NextMaintenance(name string, now time.Time) time.Time {
	var first time.Time
	for _, w := range c.windows[name] {
		if w.End.After(now) && (first.IsZero() || w.Start.Before(first)) {
			first = w.Start
		}
	}
	return first
}

// Slots returns the batch slots of the server at the given time, with capacity overrides applied.
func (c *Configuration) Slots(server *BackendServer, now time.Time) int {
	slots := server.Slots
	for _, row := range c.capacityOverrides[server.ID] {
		if !row.Start.After(now) && row.End.After(now) {
			slots = min(slots, row.Slots)
		}
	}
	return slots
}

// Weight returns the account's weight within its rank at the given time, with weight overrides applied.
func (c *Configuration) Weight(account *ClientAccount, now time.Time) float64 {
	weight := account.Weight
	for _, row := range c.weightOverrides[account.ID] {
		if !row.Start.After(now) && row.End.After(now) {
			weight = row.Weight
		}
	}
	if weight <= 0 {
		return 1
	}
	return weight
}
