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

// Assigner keeps the table of owners.
type Assigner struct {
	Self    dragonflypass.VMID
	Live    func() []dragonflypass.VM
	Current func() *dragonflypass.Configuration
	// Own takes the backend servers that this VM owns.
	Own func([]dragonflypass.BackendServer)

	// turn is no table's lock: it is taken before all of them.
	turn sync.Mutex

	mutex  locker.Mutex
	owners map[dragonflypass.ServerID]dragonflypass.VMID
	// live and servers are what the owners were worked out for.
	live    []dragonflypass.VM
	servers map[dragonflypass.ServerID]*dragonflypass.BackendServer
}

// New returns an assigner that knows no owner.
func New() *Assigner {
	return &Assigner{mutex: locker.Mutex{Order: locker.Servers}, owners: make(map[dragonflypass.ServerID]dragonflypass.VMID)}
}

// Assign works the owners out anew where the members or the servers have changed, and passes on what this VM owns.
func (a *Assigner) Assign() {
	// One at a time, each with the newest members and configuration, so that an older one never comes last.
	a.turn.Lock()
	defer a.turn.Unlock()
	live := a.Live()
	slices.SortFunc(live, func(x, y dragonflypass.VM) int { return cmp.Compare(x.ID, y.ID) })
	current := a.Current()
	if !a.same(live, current.Servers) {
		a.renew(live, current.Servers)
	}
	var own []dragonflypass.BackendServer
	a.mutex.Lock()
	for id, owner := range a.owners {
		if owner == a.Self {
			own = append(own, *current.Servers[id])
		}
	}
	a.mutex.Unlock()
	a.Own(own)
}

// same reports whether the owners were worked out for these members and servers.
func (a *Assigner) same(live []dragonflypass.VM, servers map[dragonflypass.ServerID]*dragonflypass.BackendServer) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.servers != nil && slices.Equal(live, a.live) && maps.Equal(servers, a.servers)
}

func (a *Assigner) renew(live []dragonflypass.VM, servers map[dragonflypass.ServerID]*dragonflypass.BackendServer) {
	owners := make(map[dragonflypass.ServerID]dragonflypass.VMID, len(servers))
	for id, server := range servers {
		if owner, ok := detector.Owner(server, live); ok {
			owners[id] = owner.ID
		}
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.owners, a.live, a.servers = owners, live, servers
}

// Owner returns the VM that owns the backend server, empty when none is known.
func (a *Assigner) Owner(server dragonflypass.ServerID) dragonflypass.VMID {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.owners[server]
}
