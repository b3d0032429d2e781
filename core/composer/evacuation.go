package composer

import (
	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/evacuator"
)

// composeEvacuator builds the evacuator. It applies the changes of the routing topic before the router does, so that no
// request is served by a table without the evacuations that were read with it.
func (n *Relay) composeEvacuator() {
	e := evacuator.New()
	e.Timer, e.Servers, e.Logger, e.StoreRecoveredAt = n.Ports.Timer, n.Registrar, n.Ports.Logger, n.Routing.StoreRecoveredAt
	n.Routing.Subscribe(e.ApplyUpdates)
	n.Evacuator = e
}

// connectEvacuator connects the evacuator to the components that choose servers.
func (n *Relay) connectEvacuator() {
	e := n.Evacuator
	n.Balancer.Evacuated, n.Sharder.Evacuated, n.Allocator.Evacuated = e.Evacuated, e.Evacuated, e.Evacuated
	n.Relayer.Evacuator, n.Relayer.Reserver.Evacuated = e, e.ServerEvacuated
	e.Changed = n.Allocator.RejectUnservable
}

// equalOperatorRecords reports whether two records of a key in the routing topic have the same meaning.
func equalOperatorRecords(older, newer dragonflypass.Update) bool {
	if older.EvacuatedZone != "" {
		return older.EvacuatedZone == newer.EvacuatedZone
	}
	return older.Table != nil && newer.Table != nil && older.Table.Version == newer.Table.Version
}
