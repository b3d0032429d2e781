package scheduler

import (
	"slices"

	"github.com/dragonflypass/dragonflypass"
)

// SetOwned sets the backend servers that this VM owns and refuses what waits for none of them.
func (s *Scheduler) SetOwned(servers []dragonflypass.BackendServer) {
	now := s.Timer.Now()
	current := s.Current()
	s.serversLock.Lock()
	s.queuesLock.Lock()
	s.permitsLock.Lock()
	kept := make(map[dragonflypass.ServerID]*server, len(servers))
	for _, declared := range servers {
		srv, ok := s.servers[declared.ID]
		if !ok || srv.declared.Address != declared.Address {
			srv = &server{}
		}
		srv.declared = declared
		srv.closing = current.NextMaintenance(string(declared.ID), now)
		srv.slots = current.Slots(&declared, now)
		srv.closed = closedToLong(current, &declared)
		kept[declared.ID] = srv
	}
	for _, p := range s.permits {
		if kept[p.held.Server] == nil {
			s.discard(p)
		}
	}
	s.servers = kept
	s.permitsLock.Unlock()
	s.queuesLock.Unlock()
	s.serversLock.Unlock()
	s.RejectUnservable()
	s.dispatch()
}

// closedPart is the part of a zone's servers of one kind that take no long prompts.
const closedPart = 0.2

// closedToLong reports whether the server is among those of its zone that are kept for short prompts: the
// last by identifier of those that run its first model, of which at least one stays open.
func closedToLong(current *dragonflypass.Configuration, server *dragonflypass.BackendServer) bool {
	if len(server.Models) == 0 {
		return false
	}
	zone, before := 0, 0
	for _, other := range current.ServersOf(server.Models[0]) {
		if other.Zone != server.Zone {
			continue
		}
		zone++
		if other.ID < server.ID {
			before++
		}
	}
	closed := int(closedPart * float64(zone))
	return before >= zone-closed && zone > 1
}

// Owned returns the backend servers that this VM owns.
func (s *Scheduler) Owned() []dragonflypass.BackendServer {
	s.serversLock.Lock()
	defer s.serversLock.Unlock()
	owned := make([]dragonflypass.BackendServer, 0, len(s.servers))
	for _, srv := range s.servers {
		owned = append(owned, srv.declared)
	}
	return owned
}

// Loaded returns the models that the owned servers report as loaded; servers that do not say are left out.
func (s *Scheduler) Loaded() map[dragonflypass.ServerID][]dragonflypass.ModelID {
	s.serversLock.Lock()
	defer s.serversLock.Unlock()
	loaded := make(map[dragonflypass.ServerID][]dragonflypass.ModelID)
	for id, srv := range s.servers {
		if srv.reachable && srv.reported && len(srv.models) > 0 {
			loaded[id] = slices.Clone(srv.models)
		}
	}
	return loaded
}
