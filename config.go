package dragonflypass

import (
	"net/netip"
	"time"
)

// Offset is a position in a stream of the platform's log; the first record has offset 1.
type Offset uint64

// Section is a part of the configuration whose items are versioned one by one.
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

// ItemKey names one item of the configuration.
type ItemKey struct {
	Section Section
	Name    string
}

// Item is the content of one configuration item; exactly one field is set.
type Item struct {
	Rank    *RankPolicy
	Account *ClientAccount
	Model   *Model
	Service *Service
	Server  *BackendServer
	Sheet   *Sheet
}

// Edit replaces or removes one item of the configuration.
type Edit struct {
	Key ItemKey
	// BaseVersion is the offset of the change that made the version this edit was based on, zero for none.
	BaseVersion Offset
	// Item is nil when the edit removes the item.
	Item *Item
}

// Change is a set of edits that takes effect as a whole or not at all.
type Change struct {
	// ID is chosen by the author and tells a change from its repetitions.
	ID     string
	Author string
	At     time.Time
	Edits  []Edit
}

// VersionedItem is an item with the offset of the change that made it.
type VersionedItem struct {
	Key     ItemKey
	Version Offset
	Item    Item
}

// Snapshot is the whole configuration as of one offset.
type Snapshot struct {
	Offset Offset
	Items  []VersionedItem
	// RecentResults lists the identifiers of the latest changes, so that repetitions are still known.
	RecentResults []ChangeResult
}

// ChangeResult is how the log's order decided on a change.
type ChangeResult struct {
	ID       string
	Author   string
	Offset   Offset
	At       time.Time
	Accepted bool
	// Conflict names the first item whose version had moved on, when the change was rejected.
	Conflict ItemKey
	// WinningOffset is the offset of the change that the rejected one lost to.
	WinningOffset Offset
}

// Sheet is one day's plan: maintenance windows, capacity and priorities.
type Sheet struct {
	Day               string
	Windows           []MaintenanceWindow
	CapacityOverrides []CapacityOverride
	WeightOverrides   []WeightOverride
}

// MaintenanceWindow is a time in which a VM or a backend server is taken down.
type MaintenanceWindow struct {
	// Name is the identifier of an entry VM or of a backend server.
	Name  string
	Zone  AvailabilityZone
	Start time.Time
	End   time.Time
}

// CapacityOverride limits the batch slots of a backend server for a time.
type CapacityOverride struct {
	Server ServerID
	Slots  int
	Start  time.Time
	End    time.Time
}

// WeightOverride changes the weight of a client account for a time.
type WeightOverride struct {
	Account AccountID
	Weight  float64
	Start   time.Time
	End     time.Time
}

// LogRecord is one entry of a log stream; exactly one field is set.
type LogRecord struct {
	Change          *Change
	Snapshot        *Snapshot
	Claim           *Claim
	ClaimOutcome    *ClaimOutcome
	ClaimCheckpoint *ClaimCheckpoint
	// Assignment gives its VM the right to give a server orders.
	Assignment *Assignment
}

// LogEntry is a record at its place in the log.
type LogEntry struct {
	Offset Offset
	At     time.Time
	Record LogRecord
}

// LogPage is a run of entries read from a log stream.
type LogPage struct {
	// FirstOffset is the lowest offset that the log still keeps.
	FirstOffset Offset
	// NextOffset is the offset that the next append to the stream will get.
	NextOffset Offset
	Entries    []LogEntry
}

// LogStream names a stream of the platform's log.
type LogStream string

// LogStreamConfig is the stream of configuration changes and snapshots.
const LogStreamConfig LogStream = "config"

// LogStreamOrders is the stream of assignments, whose offsets are the fencing numbers of orders.
const LogStreamOrders LogStream = "orders"

// LogStreamClaims is the prefix of the streams of claims, one for each shard.
const LogStreamClaims LogStream = "claims"

// PlatformVM is a line of the platform's list of VMs.
type PlatformVM struct {
	ID      VMID
	Zone    AvailabilityZone
	Peer    netip.AddrPort
	Leaving bool
}

// Configuration is the whole configuration in force as of one offset; it is never changed once made.
type Configuration struct {
	Offset   Offset
	Items    []VersionedItem
	Ranks    [RankCount]RankPolicy
	Accounts map[AccountID]*ClientAccount
	Models   map[ModelID]*Model
	Services map[ServiceID]*Service
	Servers  map[ServerID]*BackendServer
	Sheets   []*Sheet
	// AccountsByKey finds the client account of a bearer key's sum.
	AccountsByKey map[Digest]AccountID

	servers    map[ModelID][]*BackendServer
	windows    map[string][]MaintenanceWindow
	capacities map[ServerID][]CapacityOverride
	priorities map[AccountID][]WeightOverride
}

// DefaultRanks returns the targets of ranks that the configuration does not name.
func DefaultRanks() [RankCount]RankPolicy {
	return [RankCount]RankPolicy{
		RankUrgent: {FirstTokenTarget: 450 * time.Millisecond, Timeout: 30 * time.Second, MinShare: 0.5},
		RankNormal: {FirstTokenTarget: 2 * time.Second, Timeout: 2 * time.Minute, MinShare: 0.2},
		RankBulk:   {FirstTokenTarget: time.Minute, Timeout: 12 * time.Hour, MinShare: 0.1},
	}
}

// NewConfiguration builds the configuration made of the items, which are kept in the order of their keys.
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

		servers:    make(map[ModelID][]*BackendServer),
		windows:    make(map[string][]MaintenanceWindow),
		capacities: make(map[ServerID][]CapacityOverride),
		priorities: make(map[AccountID][]WeightOverride),
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
			c.servers[model] = append(c.servers[model], v.Item.Server)
		}
	case v.Item.Sheet != nil:
		c.Sheets = append(c.Sheets, v.Item.Sheet)
		c.index(v.Item.Sheet)
	}
}

// index files a sheet's rows under the names they concern.
func (c *Configuration) index(sheet *Sheet) {
	for _, row := range sheet.Windows {
		c.windows[row.Name] = append(c.windows[row.Name], row)
	}
	for _, row := range sheet.CapacityOverrides {
		c.capacities[row.Server] = append(c.capacities[row.Server], row)
	}
	for _, row := range sheet.WeightOverrides {
		c.priorities[row.Account] = append(c.priorities[row.Account], row)
	}
}

// ServersOf returns the backend servers that are declared to run the model.
func (c *Configuration) ServersOf(model ModelID) []*BackendServer { return c.servers[model] }

// NextMaintenance returns the start of the first window of the VM or server that has not ended, zero when there is none.
func (c *Configuration) NextMaintenance(name string, now time.Time) time.Time {
	var first time.Time
	for _, w := range c.windows[name] {
		if w.End.After(now) && (first.IsZero() || w.Start.Before(first)) {
			first = w.Start
		}
	}
	return first
}

// Slots returns the batch slots of the server at the instant, after the sheet's capacity rows.
func (c *Configuration) Slots(server *BackendServer, now time.Time) int {
	slots := server.Slots
	for _, row := range c.capacities[server.ID] {
		if !row.Start.After(now) && row.End.After(now) {
			slots = min(slots, row.Slots)
		}
	}
	return slots
}

// Weight returns the account's share within its rank at the instant, after the sheet's priority rows.
func (c *Configuration) Weight(account *ClientAccount, now time.Time) float64 {
	weight := account.Weight
	for _, row := range c.priorities[account.ID] {
		if !row.Start.After(now) && row.End.After(now) {
			weight = row.Weight
		}
	}
	if weight <= 0 {
		return 1
	}
	return weight
}
