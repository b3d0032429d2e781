package registrar

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// recoveryGrace is how long the registrar waits after a store outage for missing entries to be registered again: the
	// 2 s that the platform specifies, plus the time of a read.
	recoveryGrace = 2200 * time.Millisecond
	// checkInterval is the time between two checks for missing entries.
	checkInterval = 200 * time.Millisecond
)

// Registrar keeps the table of backend servers.
type Registrar struct {
	Timer  dragonflypass.Timer
	Logger dragonflypass.Logger
	// StoreRecoveredAt returns the uptime at which the store last became available again, zero if it has had no outage.
	StoreRecoveredAt func() time.Duration
	// Changed is called after each change of the table, with no lock held.
	Changed func()

	mutex   locker.Mutex
	servers map[dragonflypass.ServerID]*server
	table   atomic.Pointer[table]
}

type server struct {
	entry dragonflypass.ServerEntry
	// missing is set while the entry is missing from the registry after an outage or a restore of the store.
	missing bool
	// restored is the older entry that a restored store contains, which replaces the newer one after the grace period, nil for none.
	restored *dragonflypass.ServerEntry
}

// table contains the ready servers. It is immutable.
type table struct {
	services map[dragonflypass.ServiceID][]dragonflypass.ServerEntry
	servers  map[dragonflypass.ServerID]dragonflypass.ServerEntry
}

// New returns a registrar with an empty table.
func New() *Registrar {
	r := &Registrar{mutex: locker.Mutex{Order: locker.Members}, servers: make(map[dragonflypass.ServerID]*server)}
	r.table.Store(&table{})
	return r
}

// Run periodically removes missing entries until ctx is cancelled.
func (r *Registrar) Run(ctx context.Context) {
	stop := r.Timer.Every(dragonflypass.JobSweep, checkInterval, r.RemoveMissing)
	defer stop()
	<-ctx.Done()
}

// ApplyUpdates applies changes of the registry to the table. A ready server whose entry is missing after an outage or a restore
// of the store stays in the table for the grace period, since it may still be running, and an older entry waits for as long.
func (r *Registrar) ApplyUpdates(updates []dragonflypass.Update) {
	inGrace := r.inRecoveryGrace()
	r.mutex.Lock()
	for _, update := range updates {
		id := dragonflypass.ServerID(update.Key)
		current := r.servers[id]
		switch {
		case inGrace && current != nil && update.Server != nil && isOlder(update.Server, &current.entry):
			current.restored, current.missing = update.Server, false
			r.Logger.Info("older entry of backend server", "server", id, "born", update.Server.StartedAt, "state", update.Server.State)
		case update.Server != nil:
			r.logChange(current, update.Server)
			r.servers[id] = &server{entry: *update.Server}
		case current == nil:
		case inGrace && update.Err == nil && current.entry.State == dragonflypass.ServerReady:
			current.restored, current.missing = nil, true
			r.Logger.Info("backend server missing from the registry", "server", id)
		default:
			delete(r.servers, id)
			r.Logger.Info("backend server removed", "server", id, "service", current.entry.Service)
		}
	}
	r.publish()
	r.mutex.Unlock()
	r.Changed()
}

// isOlder reports whether the entry is from before another one of the same server: from an earlier run of its process, or
// from before its shutdown began.
func isOlder(entry, other *dragonflypass.ServerEntry) bool {
	if entry.StartedAt != other.StartedAt {
		return entry.StartedAt < other.StartedAt
	}
	return entry.State == dragonflypass.ServerReady && other.State == dragonflypass.ServerDraining
}

// logChange logs a server that is new, has restarted or has changed its state. It is called with the mutex held.
func (r *Registrar) logChange(old *server, entry *dragonflypass.ServerEntry) {
	if old != nil && old.entry.State == entry.State && old.entry.StartedAt == entry.StartedAt && !old.missing {
		return
	}
	r.Logger.Info("backend server updated", "server", entry.ID, "service", entry.Service, "zone", entry.Zone,
		"address", entry.Address, "state", entry.State, "born", entry.StartedAt)
}

// inRecoveryGrace reports whether entries may be missing because of a store outage.
func (r *Registrar) inRecoveryGrace() bool {
	recoveredAt := r.StoreRecoveredAt()
	return recoveredAt > 0 && r.Timer.Uptime()-recoveredAt < recoveryGrace
}

// RemoveMissing removes the entries that are still missing after the grace period, and replaces those of which the registry still
// has older ones.
func (r *Registrar) RemoveMissing(context.Context) {
	if r.inRecoveryGrace() {
		return
	}
	changed := false
	r.mutex.Lock()
	for id, s := range r.servers {
		if s.missing {
			delete(r.servers, id)
			changed = true
			r.Logger.Info("backend server removed", "server", id, "service", s.entry.Service, "reason", "lapsed")
		} else if s.restored != nil {
			r.logChange(s, s.restored)
			r.servers[id] = &server{entry: *s.restored}
			changed = true
		}
	}
	if changed {
		r.publish()
	}
	r.mutex.Unlock()
	if changed {
		r.Changed()
	}
}

// publish replaces the table with a new one, which contains the servers that are ready now. It is called with the
// mutex held.
func (r *Registrar) publish() {
	updated := &table{
		services: make(map[dragonflypass.ServiceID][]dragonflypass.ServerEntry),
		servers:  make(map[dragonflypass.ServerID]dragonflypass.ServerEntry, len(r.servers)),
	}
	for id, s := range r.servers {
		if s.entry.State != dragonflypass.ServerReady {
			continue
		}
		updated.servers[id] = s.entry
		updated.services[s.entry.Service] = append(updated.services[s.entry.Service], s.entry)
	}
	for _, list := range updated.services {
		slices.SortFunc(list, func(a, b dragonflypass.ServerEntry) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.table.Store(updated)
}

// Servers returns the ready servers of the service, sorted by identifier. The caller must not change the slice.
func (r *Registrar) Servers(service dragonflypass.ServiceID) []dragonflypass.ServerEntry {
	return r.table.Load().services[service]
}

// Server returns the server if it is ready; ok is false otherwise.
func (r *Registrar) Server(id dragonflypass.ServerID) (entry dragonflypass.ServerEntry, ok bool) {
	entry, ok = r.table.Load().servers[id]
	return entry, ok
}

// All returns the ready servers in no particular order.
func (r *Registrar) All() []dragonflypass.ServerEntry {
	t := r.table.Load()
	all := make([]dragonflypass.ServerEntry, 0, len(t.servers))
	for _, entry := range t.servers {
		all = append(all, entry)
	}
	return all
}

// Len returns the number of ready servers.
func (r *Registrar) Len() int { return len(r.table.Load().servers) }
