package assigner

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/detector"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

// Assigner maintains the table that maps each backend server to its owner.
type Assigner struct {
	Self dragonflypass.VMID
	// Live returns the live entry VMs.
	Live func() []dragonflypass.VM
	// Current returns the configuration in effect.
	Current func() *dragonflypass.Configuration
	// SetOwned is called with the backend servers that this VM owns.
	SetOwned func([]dragonflypass.BackendServer)

	// assignMutex serializes Assign. It is not part of the lock order, since it is locked before the mutex of any table.
	assignMutex sync.Mutex

	mutex  locker.Mutex
	owners map[dragonflypass.ServerID]dragonflypass.VMID
	// lastLive and lastServers are the members and servers from which the owners were determined.
	lastLive    []dragonflypass.VM
	lastServers map[dragonflypass.ServerID]*dragonflypass.BackendServer
}

// New returns an assigner with an empty table of owners.
func New() *Assigner {
	return &Assigner{mutex: locker.Mutex{Order: locker.Servers}, owners: make(map[dragonflypass.ServerID]dragonflypass.VMID)}
}

// Assign determines the owners again if the members or the servers have changed,
// and passes the servers that this VM owns to Own.
func (a *Assigner) Assign() {
	// Calls run one at a time, each with the newest members and configuration, so that stale data never overwrites newer results.
	a.assignMutex.Lock()
	defer a.assignMutex.Unlock()
	live := a.Live()
	slices.SortFunc(live, func(x, y dragonflypass.VM) int { return cmp.Compare(x.ID, y.ID) })
	current := a.Current()
	if !a.upToDate(live, current.Servers) {
		a.recompute(live, current.Servers)
	}
	var owned []dragonflypass.BackendServer
	a.mutex.Lock()
	for id, owner := range a.owners {
		if owner == a.Self {
			owned = append(owned, *current.Servers[id])
		}
	}
	a.mutex.Unlock()
	a.SetOwned(owned)
}

// upToDate reports whether the owners were determined from these members and servers.
func (a *Assigner) upToDate(live []dragonflypass.VM, servers map[dragonflypass.ServerID]*dragonflypass.BackendServer) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.lastServers != nil && slices.Equal(live, a.lastLive) && maps.Equal(servers, a.lastServers)
}

func (a *Assigner) recompute(live []dragonflypass.VM, servers map[dragonflypass.ServerID]*dragonflypass.BackendServer) {
	owners := make(map[dragonflypass.ServerID]dragonflypass.VMID, len(servers))
	for id, server := range servers {
		if owner, ok := detector.Owner(server, live); ok {
			owners[id] = owner.ID
		}
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.owners, a.lastLive, a.lastServers = owners, live, servers
}

// Owner returns the VM that owns the backend server, or an empty ID if the owner is not known.
func (a *Assigner) Owner(server dragonflypass.ServerID) dragonflypass.VMID {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.owners[server]
}
