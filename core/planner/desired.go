package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/elector"
)

// preloadLead is how early a model is loaded on another server if maintenance will leave it without one.
const preloadLead = 10 * time.Minute

// Desired returns the models that each server should run: those that are configured for it, and those for
// which it is the substitute. A model has a substitute while all its servers are in or close to a maintenance window.
// The result is the same on every VM with the same configuration.
func Desired(current *dragonflypass.Configuration, now time.Time) map[dragonflypass.ServerID][]dragonflypass.ModelID {
	desired := make(map[dragonflypass.ServerID][]dragonflypass.ModelID, len(current.Servers))
	for id, server := range current.Servers {
		desired[id] = slices.Clone(server.Models)
	}
	for _, model := range slices.Sorted(maps.Keys(current.Models)) {
		servers := current.ServersOf(model)
		if len(servers) == 0 || slices.ContainsFunc(servers, func(s *dragonflypass.BackendServer) bool { return remainsInService(current, s, now) }) {
			continue
		}
		if substitute, ok := pickSubstitute(current, model, now); ok {
			desired[substitute] = append(desired[substitute], model)
		}
	}
	return desired
}

// remainsInService reports whether the server is neither in a maintenance window nor close to one.
func remainsInService(current *dragonflypass.Configuration, server *dragonflypass.BackendServer, now time.Time) bool {
	nextWindow := current.NextMaintenance(string(server.ID), now)
	return nextWindow.IsZero() || nextWindow.Sub(now) > preloadLead
}

// pickSubstitute returns the server that should run the model as a substitute. It is chosen by rendezvous hashing
// among the servers that remain in service.
func pickSubstitute(current *dragonflypass.Configuration, model dragonflypass.ModelID, now time.Time) (dragonflypass.ServerID, bool) {
	var candidates []dragonflypass.ServerID
	for id, server := range current.Servers {
		if remainsInService(current, server, now) {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	score := func(id dragonflypass.ServerID) uint64 { return elector.Score(string(model), dragonflypass.VMID(id)) }
	return slices.MaxFunc(candidates, func(a, b dragonflypass.ServerID) int {
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a, b))
	}), true
}
