package evacuator

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

// Servers lists the backend servers.
type Servers interface {
	// Server returns the server with the ID and whether it is listed.
	Server(id dragonflypass.ServerID) (dragonflypass.ServerEntry, bool)
	// Servers returns the servers of the service.
	Servers(service dragonflypass.ServiceID) []dragonflypass.ServerEntry
}

// Evacuator keeps the set of evacuated zones. A set stays in force until a later state of the store replaces it, also while
// the store is unavailable.
type Evacuator struct {
	Timer   dragonflypass.Timer
	Servers Servers
	Logger  dragonflypass.Logger
	// Changed is called after each change of the set, with no lock held.
	Changed func()
	// StoreRecoveredAt returns the uptime at which the store last became available again, or was restored, zero if it has been
	// neither.
	StoreRecoveredAt func() time.Duration

	// mutex serializes the changes of the set.
	mutex   locker.Mutex
	current atomic.Pointer[set]
	// missing holds the keys of evacuations whose records are missing from a store that has just been restored.
	missing map[string]bool
}

// recoveryGrace is how long an evacuation lasts without its record after the store has been restored from an old copy: the
// operators write their records again.
const recoveryGrace = 2200 * time.Millisecond

// set is the set of evacuated zones. It is immutable, so that it is read without a lock for each server that is considered.
type set struct {
	// zones holds the zones by the key of their records: a removal names only the key.
	zones map[string]Zone
	names map[dragonflypass.AvailabilityZone]bool
}

// Zone is an evacuated zone.
type Zone struct {
	Zone dragonflypass.AvailabilityZone
	// Since is the time at which this VM learnt of the evacuation.
	Since time.Time
}

// New returns an evacuator without evacuated zones.
func New() *Evacuator {
	e := &Evacuator{Changed: func() {}, StoreRecoveredAt: func() time.Duration { return 0 }, missing: make(map[string]bool), mutex: locker.Mutex{Order: locker.Configuration}}
	e.current.Store(&set{})
	return e
}

// ApplyUpdates applies changes of the operators' topic to the set.
func (e *Evacuator) ApplyUpdates(updates []dragonflypass.Update) {
	now, graceLeft := e.Timer.Now(), e.graceLeft()
	changed := false
	for _, update := range updates {
		changed = e.apply(update, now, graceLeft) || changed
	}
	if changed {
		e.Changed()
	}
}

// apply applies one change and reports whether the set has changed. For the rest of the grace period, a removal only marks the
// record as missing.
func (e *Evacuator) apply(update dragonflypass.Update, now time.Time, graceLeft time.Duration) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	current := e.current.Load()
	old, ok := current.zones[update.Key]
	if update.EvacuatedZone != "" {
		delete(e.missing, update.Key)
	}
	switch {
	case !ok && update.EvacuatedZone != "":
		e.replace(current, func(zones map[string]Zone) { zones[update.Key] = Zone{Zone: update.EvacuatedZone, Since: now} })
		e.Logger.Info("zone evacuated", "zone", update.EvacuatedZone, "offset", uint64(update.Offset))
		return true
	case ok && update.EvacuatedZone == "" && graceLeft > 0:
		e.missing[update.Key] = true
		e.Timer.At(dragonflypass.JobRouting, now.Add(graceLeft), func(context.Context) { e.removeMissing(update) })
	case ok && update.EvacuatedZone == "":
		e.replace(current, func(zones map[string]Zone) { delete(zones, update.Key) })
		delete(e.missing, update.Key)
		e.Logger.Info("zone in service again", "zone", old.Zone, "offset", uint64(update.Offset), "span", now.Sub(old.Since))
		return true
	}
	return false
}

// graceLeft returns how long records may still be missing because the store has been restored.
func (e *Evacuator) graceLeft() time.Duration {
	recoveredAt := e.StoreRecoveredAt()
	if recoveredAt == 0 {
		return 0
	}
	return recoveryGrace - (e.Timer.Uptime() - recoveredAt)
}

// removeMissing ends an evacuation whose record is still missing after the grace period.
func (e *Evacuator) removeMissing(update dragonflypass.Update) {
	e.mutex.Lock()
	missing := e.missing[update.Key]
	e.mutex.Unlock()
	if missing {
		e.ApplyUpdates([]dragonflypass.Update{update})
	}
}

// replace puts a changed copy of the set into effect. It is called with the mutex held.
func (e *Evacuator) replace(current *set, change func(zones map[string]Zone)) {
	next := &set{zones: make(map[string]Zone, len(current.zones)+1), names: make(map[dragonflypass.AvailabilityZone]bool, len(current.zones)+1)}
	maps.Copy(next.zones, current.zones)
	change(next.zones)
	for _, z := range next.zones {
		next.names[z.Zone] = true
	}
	e.current.Store(next)
}

// Evacuated reports whether the zone is evacuated.
func (e *Evacuator) Evacuated(zone dragonflypass.AvailabilityZone) bool {
	return e.current.Load().names[zone]
}

// ServerEvacuated reports whether the server at the address may be in an evacuated zone. That is the case for a server that
// this VM does not know, while any zone is evacuated: the VM that chose it may not have learnt of the evacuation.
func (e *Evacuator) ServerEvacuated(id dragonflypass.ServerID, address netip.AddrPort) bool {
	names := e.current.Load().names
	if len(names) == 0 {
		return false
	}
	entry, ok := e.Servers.Server(id)
	return !ok || entry.Address != address || names[entry.Zone]
}

// EvacuatedServers returns the servers of the service that are in evacuated zones.
func (e *Evacuator) EvacuatedServers(service dragonflypass.ServiceID) []dragonflypass.ServerID {
	names := e.current.Load().names
	if len(names) == 0 {
		return nil
	}
	var ids []dragonflypass.ServerID
	for _, entry := range e.Servers.Servers(service) {
		if names[entry.Zone] {
			ids = append(ids, entry.ID)
		}
	}
	return ids
}

// Zones returns the evacuated zones, sorted by name.
func (e *Evacuator) Zones() []Zone {
	return slices.SortedFunc(maps.Values(e.current.Load().zones), func(x, y Zone) int { return cmp.Compare(x.Zone, y.Zone) })
}
