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
	// firstEventGrace is the minimum time after the predicted first event before a stream counts as stalled.
	firstEventGrace = 1500 * time.Millisecond
	// objectiveGrace is the time after the latency objective before a stream without an event may count as stalled.
	objectiveGrace = 500 * time.Millisecond
	// minStallTimeout is the minimum time since the last event before a stream counts as stalled: a caller disconnects
	// after two seconds, and a retry at another server takes a few hundred ms.
	minStallTimeout = 1600 * time.Millisecond
	// probeLead is how long before a stream counts as stalled its server is probed.
	probeLead = time.Second
	// overdueFraction is the expected remaining time to an overdue first event, as a fraction of the time already
	// waited.
	overdueFraction = 0.25
	// reservedCheckInterval is the time without an event after which the server of a stream with reserved memory is probed,
	// and the time until the next probe: if the server is gone, its helpers must be free within four seconds.
	reservedCheckInterval = time.Second
	// unreachableLimit is how long a server must have been unreachable, without an event, before a stream that keeps memory
	// reserved at other servers is ended; it allows three probes.
	unreachableLimit = time.Second
	// gapFactor is the multiple of the route's maximum event gap that must pass since the last event before a stream
	// counts as stalled.
	gapFactor = 4
)

// openStream is an open stream at a backend server.
type openStream struct {
	stream dragonflypass.OpenStream
	// id is the caller's identifier of the request.
	id    string
	owner dragonflypass.VMID
	// startedAt is the start time of the stream, and firstEventAt is the predicted time of the first event.
	startedAt    time.Time
	firstEventAt time.Time
	// lastAttempt is set if no other server may be tried after this one.
	lastAttempt bool
	// prefilled is set once the first event has arrived.
	prefilled atomic.Bool
	// head is one of the states of the head below.
	head atomic.Uint32
	// lastEventID is the identifier of the last event that the caller has received, nil if no other server can go on from it.
	lastEventID atomic.Pointer[string]
	// succession prepares a successor at another server; it is nil until the attempt may have one.
	succession atomic.Pointer[succession]
	cancel     context.CancelCauseFunc
	// stallsAt is the time, in nanoseconds since 1970, at which the stream counts as stalled if no further event
	// arrives.
	stallsAt atomic.Int64
	// hasReservations is set if memory is reserved at helpers. checkAt is the time, in nanoseconds since 1970, at which the
	// server is then probed next.
	hasReservations bool
	checkAt         atomic.Int64
}

// The states of the head of a response.
const (
	headPending uint32 = iota
	// headForwarded means that a head has been forwarded to the caller, which can no longer be told of a failure.
	headForwarded
	// headAbandoned means that the attempt has been cancelled and forwards no head.
	headAbandoned
)

// abandon cancels the attempt unless a head has been forwarded. It reports whether the attempt was cancelled.
func (s *openStream) abandon(cause error) bool {
	if !s.head.CompareAndSwap(headPending, headAbandoned) {
		return false
	}
	s.cancel(cause)
	return true
}

// recordProgress records that the server is known to work on the stream, or was just probed.
func (s *openStream) recordProgress(now time.Time) {
	s.checkAt.Store(now.Add(reservedCheckInterval).UnixNano())
}

// timeToFirstToken returns the predicted time to the first event; if the event is overdue, the prediction grows
// with the time already waited.
func (s *openStream) timeToFirstToken(now time.Time) time.Duration {
	return max(s.firstEventAt.Sub(now), time.Duration(overdueFraction*float64(now.Sub(s.startedAt))))
}

// register records the stream as open.
func (r *Relayer) register(j *job, request dragonflypass.PermitRequest, permit dragonflypass.Permit, cancel context.CancelCauseFunc) *openStream {
	open := &openStream{
		cancel: cancel, id: j.exchange.ID, lastAttempt: j.attemptCount+1 >= j.route.MaxAttempts || !j.route.Retryable(), owner: permit.Owner, startedAt: r.Timer.Now(), firstEventAt: r.Timer.Now().Add(permit.TimeToFirstToken),
		stream: dragonflypass.OpenStream{
			Stream: permit.Stream, Server: permit.Server, Tokens: request.Tokens(), Fingerprint: request.Fingerprint,
			Account: request.Account, Deadline: request.Deadline, Service: request.Service, Part: permit.Shard.Part, MaxEventGap: request.MaxEventGap, PromptTokens: request.PromptTokens,
		},
	}
	for _, h := range permit.Helpers {
		open.stream.Helpers = append(open.stream.Helpers, h.Server)
		open.hasReservations = open.hasReservations || h.Reservation != ""
	}
	open.recordProgress(open.startedAt)
	if j.headWritten {
		open.head.Store(headForwarded)
	}
	open.lastEventID.Store(j.resumeFrom())
	// The owner may schedule more urgent prompts first, as long as this stream meets its objective.
	// A prompt that has been processed for seconds is not given up as soon as a short one: its work would be lost.
	stallsAt := r.Timer.Now().Add(permit.TimeToFirstToken + max(firstEventGrace, j.route.LatencyObjective/2, permit.TimeToFirstToken))
	if objectiveLimit := j.exchange.Arrived.Add(j.route.LatencyObjective + objectiveGrace); objectiveLimit.After(stallsAt) {
		stallsAt = objectiveLimit
	}
	open.stallsAt.Store(stallsAt.UnixNano())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.streams[permit.Stream] = open
	return open
}

// OpenStreams returns the sequence numbers of the open streams that the owner granted, and the open streams that
// another VM granted at servers that the owner owns now.
func (r *Relayer) OpenStreams(owner dragonflypass.VMID) (granted []uint64, inherited []dragonflypass.OpenStream) {
	now := r.Timer.Now()
	r.mutex.Lock()
	all := make([]*openStream, 0, len(r.streams))
	for _, open := range r.streams {
		all = append(all, open)
	}
	r.mutex.Unlock()
	for _, open := range all {
		switch {
		case open.owner == owner:
			granted = append(granted, open.stream.Stream.Sequence)
		case r.Owner(open.stream.Shard()) == owner:
			stream := open.stream
			stream.Prefilled = open.prefilled.Load()
			stream.TimeToFirstToken = open.timeToFirstToken(now)
			inherited = append(inherited, stream)
		}
	}
	return granted, inherited
}

// OpenOwners returns the other VMs that granted the permits of the open streams.
func (r *Relayer) OpenOwners() []dragonflypass.VMID {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var owners []dragonflypass.VMID
	for _, open := range r.streams {
		if open.owner != r.Self.ID && !slices.Contains(owners, open.owner) {
			owners = append(owners, open.owner)
		}
	}
	return owners
}

func (r *Relayer) unregister(stream dragonflypass.StreamID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.streams, stream)
}

// RenewLocalLeases reports the open streams at servers that this VM owns to the local owner, which renews their
// leases.
func (r *Relayer) RenewLocalLeases() {
	granted, inherited := r.OpenStreams(r.Self.ID)
	r.HandleHeartbeat(dragonflypass.Heartbeat{From: r.Self, Incarnation: r.Incarnation, GrantedStreams: granted, InheritedStreams: inherited})
}

// Sweep renews the leases of the open streams at servers that this VM owns, and ends the acceptance of requests during a
// shutdown. It replaces the attempts of streams that have stalled or whose servers are unreachable, and probes the servers of
// streams that are about to stall or that keep memory reserved.
func (r *Relayer) Sweep(context.Context) {
	r.RenewLocalLeases()
	now := r.Timer.Now()
	if leavingSince := r.LeavingSince(); !leavingSince.IsZero() && now.Sub(leavingSince) > shutdownAcceptTime {
		r.endAccepting()
	}
	var stalling []*openStream
	r.mutex.Lock()
	for _, open := range r.streams {
		if now.UnixNano() > open.stallsAt.Load()-int64(probeLead) || open.hasReservations && now.UnixNano() > open.checkAt.Load() {
			stalling = append(stalling, open)
		}
	}
	r.mutex.Unlock()
	for _, open := range stalling {
		if r.replace(open, now) {
			continue
		}
		open.recordProgress(now)
		r.Prober.ProbeServer(open.stream.Server)
	}
}

// replace ends the attempt, or starts the preparation of its successor, if the stream has stalled or its server is
// unreachable. It reports whether the attempt was ended.
func (r *Relayer) replace(open *openStream, now time.Time) (ended bool) {
	stalled := now.UnixNano() > open.stallsAt.Load()
	unreachableTime := r.Assessor.UnreachableTime(open.stream.Server)
	switch s := open.succession.Load(); {
	case open.head.Load() != headForwarded:
		// The caller can still be told that no other server takes over, and may send the request again.
		if stalled && r.replaceable(open) {
			return open.abandon(errStalled)
		}
		if unreachableTime > 0 {
			return open.abandon(errServerUnreachable)
		}
	case open.hasReservations && unreachableTime >= unreachableLimit:
		open.cancel(errServerUnreachable)
		return true
	case s != nil && (stalled || unreachableTime > 0) && r.replaceable(open):
		s.start()
	}
	// A server that accepts no connections, or makes no progress for a while, may still generate.
	return false
}

// replaceable reports whether another server may be tried. Otherwise a stalled stream waits until its deadline,
// because its server may only be slow.
func (r *Relayer) replaceable(open *openStream) bool {
	return !open.lastAttempt && r.Budgets.Balance(open.stream.Service) >= 1
}

// replaceUnbegun ends the attempt, whose server has not begun it, or starts the preparation of its successor, if another
// server may be tried. Otherwise the attempt waits without reserved memory, and its server refuses it if it begins it after all.
func (r *Relayer) replaceUnbegun(open *openStream) {
	s := open.succession.Load()
	switch {
	case !r.replaceable(open):
	case open.head.Load() != headForwarded:
		open.abandon(errStalled)
	case s != nil:
		s.start()
	}
}

// StreamState is an open stream in a state dump.
type StreamState struct {
	Stream    dragonflypass.StreamID
	ID        string
	Service   dragonflypass.ServiceID
	Server    dragonflypass.ServerID
	Helpers   []dragonflypass.ServerID
	Owner     dragonflypass.VMID
	StartedAt time.Time
	// FirstEventAt is the predicted time of the first event, and Prefilled is set once it has arrived.
	FirstEventAt time.Time
	Prefilled    bool
	Deadline     time.Time
}

// State returns the open streams, oldest first.
func (r *Relayer) State() []StreamState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	states := make([]StreamState, 0, len(r.streams))
	for _, open := range r.streams {
		stream := open.stream
		states = append(states, StreamState{
			Stream: stream.Stream, ID: open.id, Service: stream.Service, Server: stream.Server, Helpers: stream.Helpers, Owner: open.owner,
			StartedAt: open.startedAt, FirstEventAt: open.firstEventAt, Prefilled: open.prefilled.Load(), Deadline: stream.Deadline,
		})
	}
	slices.SortFunc(states, func(x, y StreamState) int { return cmp.Or(x.StartedAt.Compare(y.StartedAt), cmp.Compare(x.ID, y.ID)) })
	return states
}
