package scheduler

import (
	"slices"

	"github.com/dragonflypass/dragonflypass"
)

// SetOwned sets the backend servers that this VM owns and rejects queued requests that none of them can serve.
func (s *Scheduler) SetOwned(servers []dragonflypass.BackendServer) {
	now := s.Timer.Now()
	current := s.Current()
	s.serversLock.Lock()
	s.queuesLock.Lock()
	s.permitsLock.Lock()
	owned := make(map[dragonflypass.ServerID]*server, len(servers))
	for _, config := range servers {
		srv, ok := s.servers[config.ID]
		if !ok || srv.config.Address != config.Address {
			srv = &server{}
		}
		srv.config = config
		srv.nextMaintenance = current.NextMaintenance(string(config.ID), now)
		srv.slots = current.Slots(&config, now)
		srv.shortOnly = isShortOnly(current, &config)
		owned[config.ID] = srv
	}
	for _, p := range s.permits {
		if owned[p.stream.Server] == nil {
			s.removePermit(p)
		}
	}
	s.servers = owned
	s.permitsLock.Unlock()
	s.queuesLock.Unlock()
	s.serversLock.Unlock()
	s.RejectUnservable()
	s.dispatch()
}

// shortOnlyShare is the share of a zone's servers of one model that accept only short prompts.
const shortOnlyShare = 0.2

// isShortOnly reports whether the server accepts only short prompts. Of the servers in its zone that serve its first
// model, sorted by identifier, the last ones accept only short prompts; at least one server accepts long prompts.
func isShortOnly(current *dragonflypass.Configuration, server *dragonflypass.BackendServer) bool {
	if len(server.Models) == 0 {
		return false
	}
	zoneServers, preceding := 0, 0
	for _, other := range current.ServersOf(server.Models[0]) {
		if other.Zone != server.Zone {
			continue
		}
		zoneServers++
		if other.ID < server.ID {
			preceding++
		}
	}
	shortOnlyServers := int(shortOnlyShare * float64(zoneServers))
	return preceding >= zoneServers-shortOnlyServers && zoneServers > 1
}

// Owned returns the backend servers that this VM owns.
func (s *Scheduler) Owned() []dragonflypass.BackendServer {
	s.serversLock.Lock()
	defer s.serversLock.Unlock()
	owned := make([]dragonflypass.BackendServer, 0, len(s.servers))
	for _, srv := range s.servers {
		owned = append(owned, srv.config)
	}
	return owned
}

// Loaded returns the models that the owned servers report as loaded. Servers that are unreachable or do not report
// their models are omitted.
func (s *Scheduler) Loaded() map[dragonflypass.ServerID][]dragonflypass.ModelID {
	s.serversLock.Lock()
	defer s.serversLock.Unlock()
	loaded := make(map[dragonflypass.ServerID][]dragonflypass.ModelID)
	for id, srv := range s.servers {
		if srv.reachable && srv.hasReport && len(srv.models) > 0 {
			loaded[id] = slices.Clone(srv.models)
		}
	}
	return loaded
}
