package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// closedWait is the predicted wait of long prompts at a server that takes none.
const closedWait = time.Hour

// Loads returns the digests of the owned servers that are up.
func (s *Scheduler) Loads() []dragonflypass.ServerLoad {
	now := s.Timer.Now()
	if s.Leaving() {
		return nil
	}
	s.serversLock.Lock()
	defer s.serversLock.Unlock()
	s.queuesLock.Lock()
	defer s.queuesLock.Unlock()
	loads := make([]dragonflypass.ServerLoad, 0, len(s.servers))
	for _, srv := range s.servers {
		if srv.reachable && srv.reported {
			loads = append(loads, s.load(srv, now))
		}
	}
	slices.SortFunc(loads, func(a, b dragonflypass.ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	return loads
}

// load is called with the servers and queues locked.
func (s *Scheduler) load(srv *server, now time.Time) dragonflypass.ServerLoad {
	load := dragonflypass.ServerLoad{Server: srv.declared.ID, Free: max(0, srv.free()), Streams: srv.streams, NextMaintenance: srv.closing}
	backlog := time.Duration(0)
	for _, model := range srv.declared.Models {
		if rate := s.rateOf(model, now); rate > 0 {
			tokens := s.Queue.Backlog(model, dragonflypass.RankNormal)
			backlog = max(backlog, time.Duration(float64(tokens)/rate*float64(time.Second)))
		}
	}
	if len(srv.models) > 0 && !sameModels(srv.models, srv.declared.Models) {
		load.Models = slices.Clone(srv.models)
	}
	for class := range dragonflypass.LengthClass(dragonflypass.ClassCount) {
		load.Wait[class] = backlog
		switch {
		case class < dragonflypass.ClassLong:
			load.Wait[class] += max(0, srv.levels[levelAt(dragonflypass.RankNormal, class)].Sub(now))
		case srv.closed:
			load.Wait[class] += closedWait
		case srv.hasLong:
			load.Wait[class] += max(0, srv.longFree.Sub(now))
		}
	}
	return load
}

// sameModels reports whether two lists hold the same models.
func sameModels(a, b []dragonflypass.ModelID) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m dragonflypass.ModelID) bool { return !slices.Contains(b, m) })
}

// ServerState is one owned server in a dump.
type ServerState struct {
	Server    dragonflypass.ServerID
	Reachable bool
	Epoch     uint64
	// Memory, Reserved and Free are in tokens.
	Memory   int
	Reserved int
	Free     int
	Streams  int
	Slots    int
	Closing  time.Time
}

// PermitState is one permit in a dump.
type PermitState struct {
	Stream  dragonflypass.StreamID
	Server  dragonflypass.ServerID
	Account dragonflypass.AccountID
	Rank    string
	// Tokens is the reserved memory in tokens.
	Tokens  int
	Granted time.Time
	Heard   time.Time
	Orphan  bool
}

// State is the scheduler's part of a dump.
type State struct {
	Waiting int
	Servers []ServerState
	Permits []PermitState
}

// State returns the tables for a dump.
func (s *Scheduler) State() State {
	s.serversLock.Lock()
	defer s.serversLock.Unlock()
	s.queuesLock.Lock()
	defer s.queuesLock.Unlock()
	s.permitsLock.Lock()
	defer s.permitsLock.Unlock()
	state := State{Waiting: s.Queue.Len()}
	for _, srv := range s.servers {
		state.Servers = append(state.Servers, ServerState{
			Server: srv.declared.ID, Reachable: srv.reachable, Epoch: srv.epoch, Memory: srv.declared.KVCapacity,
			Reserved: srv.reserved, Free: srv.free(), Streams: srv.streams, Slots: srv.slots, Closing: srv.closing,
		})
	}
	for _, p := range s.permits {
		state.Permits = append(state.Permits, PermitState{
			Stream: p.held.Stream, Server: p.held.Server, Account: p.held.Account, Rank: p.held.Rank.String(),
			Tokens: p.held.Tokens, Granted: p.granted, Heard: p.heard, Orphan: p.orphan,
		})
	}
	slices.SortFunc(state.Servers, func(a, b ServerState) int { return cmp.Compare(a.Server, b.Server) })
	slices.SortFunc(state.Permits, func(a, b PermitState) int { return a.Granted.Compare(b.Granted) })
	return state
}
