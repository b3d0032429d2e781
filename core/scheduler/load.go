package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// shortOnlyWait is the predicted wait of long prompts at a server that accepts only short ones.
const shortOnlyWait = time.Hour

// Loads returns the load summaries of the owned servers that are reachable and have reported, sorted by server.
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
		if srv.reachable && srv.hasReport {
			loads = append(loads, s.loadSummary(srv, now))
		}
	}
	slices.SortFunc(loads, func(a, b dragonflypass.ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	return loads
}

// loadSummary returns the load summary of the server; the servers and queues locks must be held.
func (s *Scheduler) loadSummary(srv *server, now time.Time) dragonflypass.ServerLoad {
	load := dragonflypass.ServerLoad{Server: srv.config.ID, Free: max(0, srv.freeTokens()), Streams: srv.streams, NextMaintenance: srv.nextMaintenance}
	backlog := time.Duration(0)
	for _, model := range srv.config.Models {
		if rate := s.serviceRate(model, now); rate > 0 {
			tokens := s.Queue.Backlog(model, dragonflypass.RankNormal)
			backlog = max(backlog, time.Duration(float64(tokens)/rate*float64(time.Second)))
		}
	}
	if len(srv.models) > 0 && !sameModels(srv.models, srv.config.Models) {
		load.Models = slices.Clone(srv.models)
	}
	for class := range dragonflypass.LengthClass(dragonflypass.ClassCount) {
		load.Wait[class] = backlog
		switch {
		case class < dragonflypass.ClassLong:
			load.Wait[class] += max(0, srv.prefillEnd[shortLevel(dragonflypass.RankNormal, class)].Sub(now))
		case srv.shortOnly:
			load.Wait[class] += shortOnlyWait
		case srv.hasLong:
			load.Wait[class] += max(0, srv.longPrefillEnd.Sub(now))
		}
	}
	return load
}

// sameModels reports whether two lists contain the same models in any order.
func sameModels(a, b []dragonflypass.ModelID) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m dragonflypass.ModelID) bool { return !slices.Contains(b, m) })
}

// ServerState describes one owned server in a state dump.
type ServerState struct {
	Server    dragonflypass.ServerID
	Reachable bool
	Epoch     uint64
	// KVCapacity, Reserved and Free are in tokens.
	KVCapacity      int
	Reserved        int
	Free            int
	Streams         int
	Slots           int
	NextMaintenance time.Time
}

// PermitState describes one permit in a state dump.
type PermitState struct {
	Stream  dragonflypass.StreamID
	Server  dragonflypass.ServerID
	Account dragonflypass.AccountID
	Rank    string
	// Tokens is the reserved memory in tokens.
	Tokens    int
	GrantedAt time.Time
	RenewedAt time.Time
	Orphan    bool
}

// State is the scheduler's part of a state dump.
type State struct {
	QueuedRequests int
	Servers        []ServerState
	Permits        []PermitState
}

// State returns the scheduler's tables for a state dump.
func (s *Scheduler) State() State {
	s.serversLock.Lock()
	defer s.serversLock.Unlock()
	s.queuesLock.Lock()
	defer s.queuesLock.Unlock()
	s.permitsLock.Lock()
	defer s.permitsLock.Unlock()
	state := State{QueuedRequests: s.Queue.Len()}
	for _, srv := range s.servers {
		state.Servers = append(state.Servers, ServerState{
			Server: srv.config.ID, Reachable: srv.reachable, Epoch: srv.epoch, KVCapacity: srv.config.KVCapacity,
			Reserved: srv.reservedTokens, Free: srv.freeTokens(), Streams: srv.streams, Slots: srv.slots, NextMaintenance: srv.nextMaintenance,
		})
	}
	for _, p := range s.permits {
		state.Permits = append(state.Permits, PermitState{
			Stream: p.stream.Stream, Server: p.stream.Server, Account: p.stream.Account, Rank: p.stream.Rank.String(),
			Tokens: p.stream.Tokens, GrantedAt: p.grantedAt, RenewedAt: p.renewedAt, Orphan: p.orphan,
		})
	}
	slices.SortFunc(state.Servers, func(a, b ServerState) int { return cmp.Compare(a.Server, b.Server) })
	slices.SortFunc(state.Permits, func(a, b PermitState) int { return a.GrantedAt.Compare(b.GrantedAt) })
	return state
}
