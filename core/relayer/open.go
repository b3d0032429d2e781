package relayer

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// firstPatience is added to the predicted time to the first event before a stream counts as stalled.
	firstPatience = 1500 * time.Millisecond
	// latePatience is the time after the latency objective from which a stream without an event may count as stalled.
	latePatience = 500 * time.Millisecond
	// pausePatience is the least time without an event after which a stream counts as stalled: a caller leaves
	// after two seconds, and another server needs some hundred ms.
	pausePatience = 1600 * time.Millisecond
	// probeAhead is the time before a stream counts as stalled from which its server is probed.
	probeAhead = time.Second
	// overduePart is the time that an overdue first event is expected to take, as a part of that taken so far.
	overduePart = 0.25
	// pauseFactor multiplies the longest pause on time.
	pauseFactor = 4
)

// openStream is a stream at a backend server.
type openStream struct {
	held dragonflypass.OpenStream
	// id is the caller's identifier.
	id    string
	owner dragonflypass.VMID
	// began is the instant at which the stream began, and first the predicted instant of the first event.
	began time.Time
	first time.Time
	// last is set when no other server may be tried after this one.
	last bool
	// prefilled is set once the first event has come.
	prefilled atomic.Bool
	cancel    context.CancelCauseFunc
	// stalls is the instant, in nanoseconds since 1970, at which the stream counts as stalled without a further event.
	stalls atomic.Int64
}

// left is the predicted time to the first event; for one that is overdue it grows with the time it has taken.
func (s *openStream) left(now time.Time) time.Duration {
	return max(s.first.Sub(now), time.Duration(overduePart*float64(now.Sub(s.began))))
}

// hold notes an open stream.
func (r *Relayer) hold(j *job, request dragonflypass.PermitRequest, permit dragonflypass.Permit, cancel context.CancelCauseFunc) *openStream {
	open := &openStream{
		cancel: cancel, id: j.exchange.ID, last: j.attempts+1 >= j.route.MaxAttempts || !j.route.Repeatable(), owner: permit.Owner, began: r.Timer.Now(), first: r.Timer.Now().Add(permit.TimeToFirstToken),
		held: dragonflypass.OpenStream{
			Stream: permit.Stream, Server: permit.Server, Tokens: request.Tokens(), Fingerprint: request.Fingerprint,
			Account: request.Account, Deadline: request.Deadline, Service: request.Service, MaxEventGap: request.MaxEventGap, PromptTokens: request.PromptTokens,
		},
	}
	for _, h := range permit.Helpers {
		open.held.Helpers = append(open.held.Helpers, h.Server)
	}
	// The owner may put more urgent prompts before this one as long as it stays on time.
	stalls := r.Timer.Now().Add(permit.TimeToFirstToken + max(firstPatience, j.route.LatencyObjective/2))
	if latest := j.exchange.Arrived.Add(j.route.LatencyObjective + latePatience); latest.After(stalls) {
		stalls = latest
	}
	open.stalls.Store(stalls.UnixNano())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.open[permit.Stream] = open
	return open
}

// OpenStreams returns the open streams that the VM granted, by their sequence numbers, and those that
// another one granted at servers that the VM owns now.
func (r *Relayer) OpenStreams(owner dragonflypass.VMID) (kept []uint64, held []dragonflypass.OpenStream) {
	now := r.Timer.Now()
	r.mutex.Lock()
	all := make([]*openStream, 0, len(r.open))
	for _, open := range r.open {
		all = append(all, open)
	}
	r.mutex.Unlock()
	for _, open := range all {
		switch {
		case open.owner == owner:
			kept = append(kept, open.held.Stream.Sequence)
		case r.Owner(open.held.Service) == owner:
			stream := open.held
			stream.Prefilled = open.prefilled.Load()
			stream.TimeToFirstToken = open.left(now)
			held = append(held, stream)
		}
	}
	return kept, held
}

func (r *Relayer) unhold(stream dragonflypass.StreamID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.open, stream)
}

// RenewLocalLeases tells the owner's side on this VM of the open streams at its servers.
func (r *Relayer) RenewLocalLeases() {
	kept, held := r.OpenStreams(r.Self.ID)
	r.HandleHeartbeat(dragonflypass.Heartbeat{From: r.Self, Incarnation: r.Incarnation, GrantedStreams: kept, InheritedStreams: held})
}

// Sweep claims this VM's own streams, and ends those on which nothing came in time.
func (r *Relayer) Sweep(context.Context) {
	r.RenewLocalLeases()
	now := r.Timer.Now()
	var silent []*openStream
	r.mutex.Lock()
	for _, open := range r.open {
		if now.UnixNano() > open.stalls.Load()-int64(probeAhead) {
			silent = append(silent, open)
		}
	}
	r.mutex.Unlock()
	for _, open := range silent {
		server := open.held.Server
		stalled := now.UnixNano() > open.stalls.Load() && r.replaceable(open)
		if stalled || r.Assessor.Unreachable(server) {
			open.cancel(errStalled)
			continue
		}
		r.Prober.ProbeServer(server)
	}
}

// replaceable reports whether another server may be tried; else a stream on which nothing comes waits to its deadline, for
// its server may only be slow.
func (r *Relayer) replaceable(open *openStream) bool {
	return !open.last && r.Budgets.Balance(open.held.Service) >= 1
}

// StreamState is an open stream in a dump.
type StreamState struct {
	Stream  dragonflypass.StreamID
	ID      string
	Service dragonflypass.ServiceID
	Server  dragonflypass.ServerID
	Helpers []dragonflypass.ServerID
	Owner   dragonflypass.VMID
	Began   time.Time
	// First is the predicted instant of the first event, and Prefilled is set once that has come.
	First     time.Time
	Prefilled bool
	Deadline  time.Time
}

// State returns the open streams, the oldest first.
func (r *Relayer) State() []StreamState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	rows := make([]StreamState, 0, len(r.open))
	for _, open := range r.open {
		h := open.held
		rows = append(rows, StreamState{
			Stream: h.Stream, ID: open.id, Service: h.Service, Server: h.Server, Helpers: h.Helpers, Owner: open.owner,
			Began: open.began, First: open.first, Prefilled: open.prefilled.Load(), Deadline: h.Deadline,
		})
	}
	slices.SortFunc(rows, func(x, y StreamState) int { return cmp.Or(x.Began.Compare(y.Began), cmp.Compare(x.ID, y.ID)) })
	return rows
}
