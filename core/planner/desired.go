package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/detector"
)

// loadLead is the time before a window takes a model's last server at which the model is loaded elsewhere.
const loadLead = 10 * time.Minute

// Desired returns the models that each server is to run: the declared ones and, for
// each model whose servers are all about to be taken down, that model on one more.
// It is the same on every VM with the same configuration.
func Desired(current *dragonflypass.Configuration, now time.Time) map[dragonflypass.ServerID][]dragonflypass.ModelID {
	desired := make(map[dragonflypass.ServerID][]dragonflypass.ModelID, len(current.Servers))
	for id, server := range current.Servers {
		desired[id] = slices.Clone(server.Models)
	}
	for _, model := range slices.Sorted(maps.Keys(current.Models)) {
		servers := current.ServersOf(model)
		if len(servers) == 0 || slices.ContainsFunc(servers, func(s *dragonflypass.BackendServer) bool { return stays(current, s, now) }) {
			continue
		}
		if substitute, ok := substitute(current, model, now); ok {
			desired[substitute] = append(desired[substitute], model)
		}
	}
	return desired
}

// stays reports whether the server is not about to be taken down.
func stays(current *dragonflypass.Configuration, server *dragonflypass.BackendServer, now time.Time) bool {
	closing := current.NextMaintenance(string(server.ID), now)
	return closing.IsZero() || closing.Sub(now) > loadLead
}

// substitute returns the staying server that takes the model on, by rendezvous hashing.
func substitute(current *dragonflypass.Configuration, model dragonflypass.ModelID, now time.Time) (dragonflypass.ServerID, bool) {
	var staying []dragonflypass.ServerID
	for id, server := range current.Servers {
		if stays(current, server, now) {
			staying = append(staying, id)
		}
	}
	if len(staying) == 0 {
		return "", false
	}
	score := func(id dragonflypass.ServerID) uint64 { return detector.Score(string(model), dragonflypass.VMID(id)) }
	return slices.MaxFunc(staying, func(a, b dragonflypass.ServerID) int {
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a, b))
	}), true
}
