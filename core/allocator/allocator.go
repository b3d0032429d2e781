package allocator

import (
	"context"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/assessor"
	"github.com/dragonflypass/dragonflypass/core/locker"
	"github.com/dragonflypass/dragonflypass/core/predictor"
)

const (
	// transit is the time from a grant to the arrival of the request at its server, and from an event at the
	// server to the news of it here: two links between zones and the work of two VMs.
	transit = 2 * time.Millisecond
	// leaseTime is how long a permit outlives the last word of the entry VM that holds it.
	leaseTime = 4 * time.Second
	// overdueTime is how long after the predicted end a prompt may be processed without being overdue, and
	// overduePart what an overdue one is expected to take still, as a part of the time taken so far.
	overdueTime = 100 * time.Millisecond
	overduePart = 0.25
	// mispredicted is the difference between the predicted and the true time of a first token that is worth a line.
	mispredicted = 200 * time.Millisecond
	// quietTime is the time without requests after which a VM counts as a new owner, and calmTime is how long a new
	// owner grants no long prompts, until the other VMs have told of their streams.
	quietTime = 2 * time.Second
	calmTime  = 250 * time.Millisecond
	// settleTime is how long after its grant a permit may be missing from its VM's heartbeats.
	settleTime = time.Second
	// forgetTime is how long a VM that is not heard is remembered.
	forgetTime = time.Minute
	// sweepEvery is the time between two looks at waiting requests and permits.
	sweepEvery = 100 * time.Millisecond
	// soonRetry is the time after which a refused caller is told to come back.
	soonRetry = 200 * time.Millisecond
)

// Allocator grants permits for model servers.
type Allocator struct {
	Self     dragonflypass.VMID
	Timer    dragonflypass.Timer
	Meter    dragonflypass.Meter
	Logger   dragonflypass.Logger
	Assessor *assessor.Assessor
	// ServerUnreachable takes a server that could not be reached.
	ServerUnreachable func(server dragonflypass.ServerID)
	// CostModel returns the law of the service's engines, nil when it is not known.
	CostModel func(service dragonflypass.ServiceID) *dragonflypass.EngineCostModel
	// Servers returns the servers of the service that may be given work.
	Servers func(service dragonflypass.ServiceID) []dragonflypass.ServerEntry

	mutex   locker.Mutex
	cells   map[dragonflypass.ServiceID]*cell
	permits map[dragonflypass.StreamID]*permit
	// heard holds the instant of the last word of each entry VM.
	heard map[dragonflypass.VMID]time.Time
}

var _ dragonflypass.Owner = (*Allocator)(nil)

// permit is a granted permit.
type permit struct {
	request dragonflypass.PermitRequest
	cell    *cell
	server  *server
	helpers []*server
	parts   int
	// tokens is the memory that the request needs, and reserved what of it each helper sets aside, if any does.
	tokens   int
	reserved []int
	granted  time.Time
	// first is the predicted instant of the first token, and promised what it was when the permit was granted.
	first    time.Time
	promised time.Time
	// short is set when the prompt is processed among short ones.
	short bool
	// prefilled is set once the prompt is known to be processed.
	prefilled bool
	heard     time.Time
}

// waiting is a request without a permit.
type waiting struct {
	request dragonflypass.PermitRequest
	since   time.Time
	told    func(dragonflypass.Permit, error)
	// reading is the time for the whole prompt on one server.
	reading time.Duration
}

// New returns an allocator that has granted nothing.
func New() *Allocator {
	return &Allocator{
		mutex:   locker.Mutex{Order: locker.Servers},
		cells:   make(map[dragonflypass.ServiceID]*cell),
		permits: make(map[dragonflypass.StreamID]*permit),
		heard:   make(map[dragonflypass.VMID]time.Time),
	}
}

// Run looks after waiting requests and permits until ctx ends.
func (a *Allocator) Run(ctx context.Context) {
	stop := a.Timer.Every(dragonflypass.JobSweep, sweepEvery, a.Sweep)
	defer stop()
	<-ctx.Done()
}

// answer is an answer to a request for a permit.
type answer struct {
	waiting *waiting
	permit  dragonflypass.Permit
	err     error
}

// tell gives the answers, outside all locks.
func (a *Allocator) tell(answers []answer) {
	for _, t := range answers {
		if t.err != nil {
			a.Meter.Add(dragonflypass.CountPermitRefused, 1)
			r := t.waiting.request
			a.Logger.Info("permit refused", "id", r.ID, "service", r.Service, "waited", a.Timer.Now().Sub(t.waiting.since),
				"left", r.Deadline.Sub(a.Timer.Now()), "prompt", r.PromptTokens, "excluded", r.ExcludedServers, "error", t.err)
		}
		t.waiting.told(t.permit, t.err)
	}
}

// RequestPermit queues a request for a permit; told is called once unless withdraw is called before.
func (a *Allocator) RequestPermit(request dragonflypass.PermitRequest, told func(dragonflypass.Permit, error)) (withdraw func()) {
	now := a.Timer.Now()
	w := &waiting{request: request, since: now, told: told}
	a.mutex.Lock()
	c := a.cell(request.Service)
	if c == nil {
		a.mutex.Unlock()
		refusal := dragonflypass.Refuse(dragonflypass.ReasonNoServer, soonRetry, "service %s has no known engine", request.Service)
		a.tell([]answer{{waiting: w, err: refusal}})
		return func() {}
	}
	if now.Sub(c.asked) > quietTime {
		// This VM has not been the owner lately, so that it does not know of all streams yet.
		c.calm = now.Add(calmTime)
	}
	c.asked = now
	w.reading = c.law.PrefillTime(request.PromptTokens)
	c.waiting = append(c.waiting, w)
	if c.short(w) {
		c.shortLoad.add(w.reading, now)
	} else {
		c.longLoad.add(w.reading, now)
	}
	answers := a.dispatch(c, now)
	a.mutex.Unlock()
	a.tell(answers)
	return func() { a.withdraw(c, w) }
}

func (a *Allocator) withdraw(c *cell, w *waiting) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	c.remove(w)
}

// Prefilled notes that the permit's prompt has been processed.
func (a *Allocator) Prefilled(stream dragonflypass.StreamID) {
	now := a.Timer.Now()
	a.mutex.Lock()
	p, ok := a.permits[stream]
	if !ok || p.prefilled {
		a.mutex.Unlock()
		return
	}
	p.prefilled = true
	if off := now.Sub(p.promised); off.Abs() > mispredicted {
		a.Logger.Info("prompt processed off its time", "id", p.request.ID, "server", p.server.entry.ID, "helpers", len(p.helpers), "off", off,
			"tokens", p.request.PromptTokens)
	}
	at := now.Add(-transit)
	for _, s := range p.servers() {
		s.engine.Advance(at)
		s.engine.FinishPrefill(stream)
		s.settle(p)
	}
	p.server.engine.AlignPass(at)
	p.server.engine.AddDecode(p.writer(at), now)
	answers := a.dispatch(p.cell, now)
	a.mutex.Unlock()
	a.tell(answers)
}

// Release takes a permit back; a second release of the same stream changes nothing.
func (a *Allocator) Release(release dragonflypass.PermitRelease) {
	now := a.Timer.Now()
	a.mutex.Lock()
	p, ok := a.permits[release.Stream]
	if !ok {
		a.mutex.Unlock()
		return
	}
	a.drop(p, now)
	if release.Outcome == dragonflypass.OutcomeDone {
		p.server.engine.AlignPass(now.Add(-transit))
	}
	answers := a.dispatch(p.cell, now)
	a.mutex.Unlock()
	a.judge(release)
	a.tell(answers)
}

// judge notes what the end of a permit tells of its servers.
func (a *Allocator) judge(release dragonflypass.PermitRelease) {
	switch {
	case release.FaultyHelper != "":
		a.ServerUnreachable(release.FaultyHelper)
	case release.Outcome == dragonflypass.OutcomeUnsent:
		a.ServerUnreachable(release.Server)
	case release.Outcome == dragonflypass.OutcomeLost:
		a.Assessor.RecordOutcome(release.Server, assessor.Failed)
	case release.Outcome == dragonflypass.OutcomeDone:
		a.Assessor.RecordOutcome(release.Server, assessor.Answered)
	}
}

// drop takes the permit out of all tables; it is called with the mutex held.
func (a *Allocator) drop(p *permit, now time.Time) {
	delete(a.permits, p.request.Stream)
	for _, s := range p.servers() {
		s.engine.Advance(now)
		s.engine.Drop(p.request.Stream)
		s.settle(p)
	}
	a.charge(p, -1)
	p.server.streams--
	if p.short {
		p.cell.shorts--
	}
}

// MovedRefusal sends a request on to the VM that has taken over.
func MovedRefusal() *dragonflypass.Refusal {
	return dragonflypass.Refuse(dragonflypass.ReasonMoved, soonRetry, "the owner is leaving")
}

// Leave sends the waiting requests on to the VM that takes over from this one.
func (a *Allocator) Leave() {
	a.mutex.Lock()
	var answers []answer
	for _, c := range a.cells {
		for _, w := range c.waiting {
			answers = append(answers, answer{waiting: w, err: MovedRefusal()})
		}
		c.waiting = nil
	}
	a.mutex.Unlock()
	a.tell(answers)
}

// RejectUnservable refuses the waiting requests whose service has no server left.
func (a *Allocator) RejectUnservable() {
	now := a.Timer.Now()
	a.mutex.Lock()
	var answers []answer
	for _, c := range a.cells {
		a.refresh(c)
		answers = append(answers, a.dispatch(c, now)...)
	}
	a.mutex.Unlock()
	a.tell(answers)
}

// Sweep takes back permits that lapsed and grants what can no longer wait.
func (a *Allocator) Sweep(context.Context) {
	now := a.Timer.Now()
	a.mutex.Lock()
	for _, p := range a.permits {
		if now.Sub(p.heard) > leaseTime || now.After(p.request.Deadline.Add(leaseTime)) {
			a.drop(p, now)
			a.Meter.Add(dragonflypass.CountPermitExpired, 1)
		}
	}
	for _, p := range a.permits {
		a.overdue(p, now)
	}
	answers := a.giveUp(now)
	for _, c := range a.cells {
		if len(c.waiting) > 0 {
			answers = append(answers, a.dispatch(c, now)...)
		}
	}
	a.mutex.Unlock()
	a.tell(answers)
}

// giveUp takes out the waiting requests whose time has passed, or whose VM has not been heard for so long that it may
// be gone without having withdrawn them; it is called with the mutex held.
func (a *Allocator) giveUp(now time.Time) (answers []answer) {
	for _, c := range a.cells {
		c.waiting = slices.DeleteFunc(c.waiting, func(w *waiting) bool {
			heard := a.heard[w.request.Stream.VM]
			if heard.Before(w.since) {
				heard = w.since
			}
			switch {
			case now.After(w.request.Deadline):
				answers = append(answers, answer{waiting: w, err: dragonflypass.Refuse(dragonflypass.ReasonTimeout, 0, "the request waited beyond its deadline")})
			case now.Sub(heard) > leaseTime:
				answers = append(answers, answer{waiting: w, err: dragonflypass.Refuse(dragonflypass.ReasonCancelled, 0, "the VM is not heard")})
			default:
				return false
			}
			return true
		})
	}
	for id, at := range a.heard {
		if now.Sub(at) > forgetTime {
			delete(a.heard, id)
		}
	}
	return answers
}

// overdue has a prompt that is not known to be processed when predicted count as being processed still; it is
// called with the mutex held.
func (a *Allocator) overdue(p *permit, now time.Time) {
	if p.prefilled || now.Sub(p.first) < overdueTime {
		return
	}
	left := max(overdueTime, time.Duration(overduePart*float64(now.Sub(p.granted))))
	p.first = now.Add(left)
	for _, s := range p.servers() {
		s.engine.Advance(now)
		if !s.engine.Prefilling(p.request.Stream) {
			s.engine.AddPrefill(predictor.PrefillTask{Stream: p.request.Stream, Tokens: p.request.PromptTokens, Parts: p.parts}, now)
			s.engine.Trim(p.request.Stream, left)
		}
	}
	p.server.engine.AddDecode(p.writer(p.first), now)
}

// HandleHeartbeat notes the streams that an entry VM has open, takes over those that another owner granted and gives
// up the permits of those that it no longer has.
func (a *Allocator) HandleHeartbeat(beat dragonflypass.Heartbeat) {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.heard[beat.From.ID] = now
	for _, sequence := range beat.GrantedStreams {
		id := dragonflypass.StreamID{VM: beat.From.ID, Incarnation: beat.Incarnation, Sequence: sequence}
		if p, ok := a.permits[id]; ok {
			p.heard = now
		}
	}
	for _, held := range beat.InheritedStreams {
		a.adopt(held, now)
	}
	for id, p := range a.permits {
		if id.VM != beat.From.ID || p.heard.Equal(now) {
			continue
		}
		if id.Incarnation != beat.Incarnation || now.Sub(p.granted) > settleTime {
			a.drop(p, now)
			a.Meter.Add(dragonflypass.CountPermitExpired, 1)
		}
	}
}

// adopt takes over a stream that another owner granted; it is called with the mutex held.
func (a *Allocator) adopt(held dragonflypass.OpenStream, now time.Time) {
	if p, ok := a.permits[held.Stream]; ok {
		p.heard = now
		return
	}
	c := a.cell(held.Service)
	if c == nil || c.servers[held.Server] == nil {
		return
	}
	p := &permit{
		cell: c, server: c.servers[held.Server], parts: 1 + len(held.Helpers), tokens: held.PromptTokens + c.law.MeanOutputTokens,
		granted: now, first: now.Add(held.TimeToFirstToken), promised: now.Add(held.TimeToFirstToken), prefilled: held.Prefilled, heard: now,
		request: dragonflypass.PermitRequest{
			Stream: held.Stream, Service: held.Service, PromptTokens: held.PromptTokens, MaxEventGap: held.MaxEventGap, Deadline: held.Deadline,
			Account: held.Account, Fingerprint: held.Fingerprint,
		},
	}
	for _, id := range held.Helpers {
		if s := c.servers[id]; s != nil {
			p.helpers = append(p.helpers, s)
		}
	}
	a.permits[held.Stream] = p
	p.short = held.PromptTokens > 0 && c.law.PrefillTime(held.PromptTokens) <= time.Duration(min(c.kept, partsLimit))*shortPart
	if p.short {
		c.shorts++
	}
	a.place(p, now)
	for _, s := range p.servers() {
		s.engine.Trim(held.Stream, held.TimeToFirstToken)
	}
}

// place counts the permit at its servers; it is called with the mutex held.
func (a *Allocator) place(p *permit, arrival time.Time) {
	a.charge(p, 1)
	p.server.streams++
	if !p.prefilled {
		for _, s := range p.servers() {
			s.engine.AddPrefill(predictor.PrefillTask{Stream: p.request.Stream, Tokens: p.request.PromptTokens, Parts: p.parts}, arrival)
			s.pending = append(s.pending, p)
		}
		for _, s := range p.servers() {
			s.postpone(p)
		}
	}
	p.server.engine.AddDecode(p.writer(p.first), arrival)
}

// charge counts the permit's memory at its servers, or gives it back with the sign -1.
func (a *Allocator) charge(p *permit, sign int) {
	rest := p.tokens
	for i, s := range p.helpers {
		s.reserved += sign * p.reserves(i)
		rest -= p.reserves(i)
	}
	p.server.reserved += sign * rest
}

// reserves returns the memory that the helper with the index sets aside.
func (p *permit) reserves(i int) int {
	if p.reserved == nil {
		return 0
	}
	return p.reserved[i]
}

// servers returns the permit's server and its helpers.
func (p *permit) servers() []*server { return append([]*server{p.server}, p.helpers...) }

// writer is the permit's stream once it generates.
func (p *permit) writer(from time.Time) predictor.DecodeTask {
	return predictor.DecodeTask{Stream: p.request.Stream, Context: p.tokens, MaxEventGap: p.request.MaxEventGap, Priority: p.request.Priority, From: from}
}
