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
	// returnTime is how long after the store's return an entry that lapsed in its absence may still come back:
	// the two seconds that the platform names, and the time of a read.
	returnTime = 2200 * time.Millisecond
	// checkEvery is the time between two looks at lapsed entries.
	checkEvery = 200 * time.Millisecond
)

// Registrar keeps the table of backend servers.
type Registrar struct {
	Timer  dragonflypass.Timer
	Logger dragonflypass.Logger
	// StoreRecoveredAt is the uptime at which the store came back last, zero when it never was away.
	StoreRecoveredAt func() time.Duration
	// Changed is called, outside all locks, after the table has changed.
	Changed func()

	mutex   locker.Mutex
	servers map[dragonflypass.ServerID]*server
	table   atomic.Pointer[table]
}

type server struct {
	entry dragonflypass.ServerEntry
	// lapsed is set while the entry is missing after an absence of the store.
	lapsed bool
}

// table is the servers that may be given work, by service; it is never changed once made.
type table struct {
	services map[dragonflypass.ServiceID][]dragonflypass.ServerEntry
	servers  map[dragonflypass.ServerID]dragonflypass.ServerEntry
}

// New returns a registrar without servers.
func New() *Registrar {
	r := &Registrar{mutex: locker.Mutex{Order: locker.Members}, servers: make(map[dragonflypass.ServerID]*server)}
	r.table.Store(&table{})
	return r
}

// Run looks after lapsed entries until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	stop := r.Timer.Every(dragonflypass.JobSweep, checkEvery, r.Check)
	defer stop()
	<-ctx.Done()
}

// ApplyUpdates applies what has changed in the registry.
func (r *Registrar) ApplyUpdates(updates []dragonflypass.Update) {
	away := r.away()
	r.mutex.Lock()
	for _, update := range updates {
		id := dragonflypass.ServerID(update.Key)
		known := r.servers[id]
		switch {
		case update.Server != nil:
			r.note(known, update.Server)
			r.servers[id] = &server{entry: *update.Server}
		case known == nil:
		case away && update.Err == nil && known.entry.State == dragonflypass.ServerReady:
			known.lapsed = true
			r.Logger.Info("backend server lapsed", "server", id)
		default:
			delete(r.servers, id)
			r.Logger.Info("backend server gone", "server", id, "service", known.entry.Service)
		}
	}
	r.publish()
	r.mutex.Unlock()
	r.Changed()
}

// note logs a server that is new or whose state has changed; it is called with the mutex held.
func (r *Registrar) note(known *server, entry *dragonflypass.ServerEntry) {
	if known != nil && known.entry.State == entry.State && known.entry.StartedAt == entry.StartedAt && !known.lapsed {
		return
	}
	r.Logger.Info("backend server", "server", entry.ID, "service", entry.Service, "zone", entry.Zone,
		"address", entry.Address, "state", entry.State, "born", entry.StartedAt)
}

// away reports whether entries may be missing because the store was away.
func (r *Registrar) away() bool {
	returned := r.StoreRecoveredAt()
	return returned > 0 && r.Timer.Uptime()-returned < returnTime
}

// Check gives up the entries that have not come back in time.
func (r *Registrar) Check(context.Context) {
	if r.away() {
		return
	}
	changed := false
	r.mutex.Lock()
	for id, s := range r.servers {
		if s.lapsed {
			delete(r.servers, id)
			changed = true
			r.Logger.Info("backend server gone", "server", id, "service", s.entry.Service, "reason", "lapsed")
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

// publish is called with the mutex held.
func (r *Registrar) publish() {
	t := &table{
		services: make(map[dragonflypass.ServiceID][]dragonflypass.ServerEntry),
		servers:  make(map[dragonflypass.ServerID]dragonflypass.ServerEntry, len(r.servers)),
	}
	for id, s := range r.servers {
		if s.entry.State != dragonflypass.ServerReady {
			continue
		}
		t.servers[id] = s.entry
		t.services[s.entry.Service] = append(t.services[s.entry.Service], s.entry)
	}
	for _, list := range t.services {
		slices.SortFunc(list, func(a, b dragonflypass.ServerEntry) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.table.Store(t)
}

// Servers returns the servers of the service that may be given work, in the order of their identifiers;
// the caller must not change the slice.
func (r *Registrar) Servers(service dragonflypass.ServiceID) []dragonflypass.ServerEntry {
	return r.table.Load().services[service]
}

// Server returns a server that may be given work.
func (r *Registrar) Server(id dragonflypass.ServerID) (entry dragonflypass.ServerEntry, ok bool) {
	entry, ok = r.table.Load().servers[id]
	return entry, ok
}

// All returns the servers that may be given work.
func (r *Registrar) All() []dragonflypass.ServerEntry {
	t := r.table.Load()
	all := make([]dragonflypass.ServerEntry, 0, len(t.servers))
	for _, entry := range t.servers {
		all = append(all, entry)
	}
	return all
}

// Len returns the number of servers that may be given work.
func (r *Registrar) Len() int { return len(r.table.Load().servers) }
