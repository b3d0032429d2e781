package detector

import (
	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/elector"
)

// HighestScore returns the VM with the highest rendezvous hashing score for the key, and reports whether there is one.
func HighestScore(key string, live []dragonflypass.VM) (dragonflypass.VM, bool) {
	return highestEligible(key, live, func(dragonflypass.VM) bool { return true })
}

// Owner returns the VM that owns the backend server: the one with the highest score among the live VMs of the server's
// zone, or among all live VMs if its zone has none.
func Owner(server *dragonflypass.BackendServer, live []dragonflypass.VM) (dragonflypass.VM, bool) {
	owner, ok := highestEligible(string(server.ID), live, func(vm dragonflypass.VM) bool { return vm.Zone == server.Zone })
	if ok {
		return owner, true
	}
	return HighestScore(string(server.ID), live)
}

// highestEligible returns the eligible VM with the highest score. Of equal scores, the lower identifier wins.
func highestEligible(key string, live []dragonflypass.VM, eligible func(dragonflypass.VM) bool) (best dragonflypass.VM, found bool) {
	var highest uint64
	for _, vm := range live {
		if !eligible(vm) {
			continue
		}
		s := elector.Score(key, vm.ID)
		if !found || s > highest || (s == highest && vm.ID < best.ID) {
			best, highest, found = vm, s, true
		}
	}
	return best, found
}
