package assigner

import (
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

	mutex  locker.Mutex
	owners map[dragonflypass.ServerID]dragonflypass.VMID
}

// New returns an assigner that knows no owner.
func New() *Assigner {
	return &Assigner{mutex: locker.Mutex{Order: locker.Servers}, owners: make(map[dragonflypass.ServerID]dragonflypass.VMID)}
}

// Assign works the owners out anew.
func (a *Assigner) Assign() {
	live := a.Live()
	current := a.Current()
	owners := make(map[dragonflypass.ServerID]dragonflypass.VMID, len(current.Servers))
	var own []dragonflypass.BackendServer
	for id, server := range current.Servers {
		owner, ok := detector.Owner(server, live)
		if !ok {
			continue
		}
		owners[id] = owner.ID
		if owner.ID == a.Self {
			own = append(own, *server)
		}
	}
	a.mutex.Lock()
	a.owners = owners
	a.mutex.Unlock()
	a.Own(own)
}

// Owner returns the VM that owns the backend server, empty when none is known.
func (a *Assigner) Owner(server dragonflypass.ServerID) dragonflypass.VMID {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.owners[server]
}
