package detector

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypass/dragonflypass"
)

// HighestScore returns the VM that wins rendezvous hashing for the key.
func HighestScore(key string, live []dragonflypass.VM) (dragonflypass.VM, bool) {
	return winner(key, live, func(dragonflypass.VM) bool { return true })
}

// AmongFirst reports whether the VM is among the first few that rendezvous hashing gives the key.
func AmongFirst(key string, id dragonflypass.VMID, live []dragonflypass.VM, few int) bool {
	own := Score(key, id)
	before := 0
	for _, vm := range live {
		if vm.ID != id && Score(key, vm.ID) > own {
			before++
		}
	}
	return before < few
}

// Owner returns the VM that owns the backend server: the winner of rendezvous
// hashing among the live VMs of its zone, or of all zones where its own has none.
func Owner(server *dragonflypass.BackendServer, live []dragonflypass.VM) (dragonflypass.VM, bool) {
	owner, ok := winner(string(server.ID), live, func(vm dragonflypass.VM) bool { return vm.Zone == server.Zone })
	if ok {
		return owner, true
	}
	return HighestScore(string(server.ID), live)
}

func winner(key string, live []dragonflypass.VM, eligible func(dragonflypass.VM) bool) (best dragonflypass.VM, found bool) {
	var highest uint64
	for _, vm := range live {
		if !eligible(vm) {
			continue
		}
		s := Score(key, vm.ID)
		if !found || s > highest || (s == highest && vm.ID < best.ID) {
			best, highest, found = vm, s, true
		}
	}
	return best, found
}

// Score is the weight of the VM for the key in rendezvous hashing.
func Score(key string, vm dragonflypass.VMID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(vm))
	return digest.Sum64()
}
