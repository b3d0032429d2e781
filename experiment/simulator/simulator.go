package simulator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/allocator"
	"github.com/dragonflypass/dragonflypass/core/assessor"
	"github.com/dragonflypass/dragonflypass/core/predictor"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

const (
	// linkDelay is the one-way delay between an entry VM, the owner and a server.
	linkDelay = time.Millisecond
	// callerLinkDelay is the one-way delay between a caller and an entry VM.
	callerLinkDelay = 3 * time.Millisecond
	// windowLength is the length of the time windows. Outcome.WorstShare is the mean share of the two worst windows.
	windowLength = 2 * time.Second
	// service is the only service of a site.
	service = dragonflypass.ServiceID("models")
)

// Result summarizes the requests of one kind.
type Result struct {
	Kind     string
	Requests int
	// OnTime counts the requests that earned their full worth, Late those that earned only LateWorth.
	OnTime int
	Late   int
	// Worth is the earned share of the requests' worth, which grows with their size.
	Worth float64
	// LateFirstEvents and LongGaps count the requests with a late first event and with too long an event gap.
	LateFirstEvents, LongGaps int
}

// Outcome is the result of a simulated day.
type Outcome struct {
	Kinds []Result
	// MeanShare is the earned share of the worth of all requests, WorstShare the mean share of the two worst time windows.
	MeanShare, WorstShare float64
}

// simulation is the state of one simulated day.
type simulation struct {
	site      Site
	random    *rand.Rand
	clock     *fake.Clock
	start     time.Time
	allocator *allocator.Allocator
	engines   map[dragonflypass.ServerID]*predictor.Engine
	streams   map[dragonflypass.ServerID]int
	requests  map[dragonflypass.StreamID]*request
	arrivals  []*request
	trace     io.Writer
}

// request is a request of a simulated day.
type request struct {
	id           dragonflypass.StreamID
	kind         *Kind
	arrived      time.Time
	promptTokens int
	eventCount   int
	grantedAt    time.Time
	permit       dragonflypass.Permit
	pendingParts int
	firstEventAt time.Time
	lastEventAt  time.Time
	longestGap   time.Duration
	sentEvents   int
	finished     bool
}

// Simulate runs one simulated day of the site. The same seed gives the same day. If trace is not nil,
// Simulate writes a line to it for each request that did not earn its full worth.
func Simulate(site Site, seed uint64, trace io.Writer) Outcome {
	s := &simulation{
		site: site, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1_000_000, 0), trace: trace,
		engines: make(map[dragonflypass.ServerID]*predictor.Engine), streams: make(map[dragonflypass.ServerID]int),
		requests: make(map[dragonflypass.StreamID]*request),
	}
	s.clock = fake.NewClock(s.start)
	var entries []dragonflypass.ServerEntry
	for i := range site.Servers {
		entry := dragonflypass.ServerEntry{
			ID: dragonflypass.ServerID(fmt.Sprintf("server-%02d", i)), Service: service, Slots: site.CostModel.Slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8080),
		}
		entries = append(entries, entry)
		s.engines[entry.ID] = predictor.New(&s.site.CostModel)
	}
	meter, logger := fake.NewMeter(), fake.Logger{}
	healthAssessor := assessor.New()
	healthAssessor.Timer, healthAssessor.Meter, healthAssessor.Logger = s.clock, meter, logger
	a := allocator.New()
	a.Timer, a.Meter, a.Logger, a.Assessor = s.clock, meter, logger, healthAssessor
	a.ServerUnreachable = func(dragonflypass.ServerID) {}
	a.CostModel = func(dragonflypass.ServiceID) *dragonflypass.EngineCostModel { return &s.site.CostModel }
	a.Servers = func(dragonflypass.Shard) []dragonflypass.ServerEntry { return entries }
	s.allocator = a
	s.clock.Every(dragonflypass.JobSweep, 100*time.Millisecond, s.sweep)
	for i := range site.Kinds {
		s.scheduleArrival(&s.site.Kinds[i], i)
	}
	s.clock.Run(s.start.Add(site.Length + 20*time.Second))
	return s.outcome()
}

// sweep renews the permits of unfinished requests, as heartbeats do, and runs the allocator's sweep.
func (s *simulation) sweep(ctx context.Context) {
	heartbeat := dragonflypass.Heartbeat{From: dragonflypass.VM{ID: "vm"}}
	for id, r := range s.requests {
		if !r.finished {
			heartbeat.GrantedStreams = append(heartbeat.GrantedStreams, id.Sequence)
		}
	}
	s.allocator.HandleHeartbeat(heartbeat)
	s.allocator.Sweep(ctx)
}

// scheduleArrival schedules the next arrival of the kind. It draws arrivals at the highest rate of the day and
// drops some at random, so that the rest have the rate of the bursts.
func (s *simulation) scheduleArrival(kind *Kind, index int) {
	rate := kind.RequestsPerSecond * s.site.Scale
	maxRate := rate
	for _, b := range s.site.Bursts {
		if b.Kind == index {
			maxRate = max(maxRate, rate*b.Factor)
		}
	}
	wait := time.Duration(s.random.ExpFloat64() / maxRate * float64(time.Second))
	at := s.clock.Now().Add(wait).Sub(s.start)
	if at > s.site.Length {
		return
	}
	factor := 1.0
	for _, b := range s.site.Bursts {
		if b.Kind == index && at >= b.From && at < b.To {
			factor = b.Factor
		}
	}
	accepted := s.random.Float64() < factor*rate/maxRate
	s.clock.After(wait, func() {
		if accepted {
			s.arrive(kind)
		}
		s.scheduleArrival(kind, index)
	})
}

func (s *simulation) arrive(kind *Kind) {
	r := &request{
		id: dragonflypass.StreamID{VM: "vm", Sequence: uint64(len(s.arrivals) + 1)}, kind: kind, arrived: s.clock.Now(),
		promptTokens: int(kind.PromptTokens.draw(s.random)) + 40, eventCount: int(kind.EventCount.draw(s.random)),
	}
	s.arrivals = append(s.arrivals, r)
	s.requests[r.id] = r
	s.clock.After(callerLinkDelay+linkDelay, func() {
		s.allocator.RequestPermit(dragonflypass.PermitRequest{
			Stream: r.id, Service: service, Priority: kind.Priority, PromptTokens: r.promptTokens, OutputTokens: 3264, MaxEventGap: kind.MaxEventGap,
			FirstTokenDeadline: r.arrived.Add(kind.FirstEventTarget), Deadline: r.arrived.Add(kind.Deadline),
		}, func(permit dragonflypass.Permit, err error) {
			if err == nil {
				s.clock.After(2*linkDelay, func() { s.send(r, permit) })
			}
		})
	})
}

// send starts the prefill of the prompt on the permitted server and its helpers.
func (s *simulation) send(r *request, permit dragonflypass.Permit) {
	now := s.clock.Now()
	if s.streams[permit.Server] >= s.site.CostModel.Slots {
		r.finished = true
		s.release(r, permit, dragonflypass.OutcomeUnsent)
		return
	}
	s.streams[permit.Server]++
	r.permit, r.grantedAt, r.pendingParts = permit, now, 1+len(permit.Helpers)
	s.addPrefill(permit.Server, predictor.PrefillTask{Stream: r.id, Tokens: r.promptTokens, Parts: r.pendingParts}, now)
	for _, h := range permit.Helpers {
		s.addPrefill(h.Server, predictor.PrefillTask{Stream: r.id, Tokens: r.promptTokens, Parts: r.pendingParts}, now)
	}
}

func (s *simulation) addPrefill(id dragonflypass.ServerID, task predictor.PrefillTask, now time.Time) {
	e := s.engines[id]
	if passEnd := e.PassEnd(); !passEnd.IsZero() && !passEnd.After(now) {
		// The pass that ends at this instant sends its events first.
		s.finishPass(id, passEnd)
	}
	previousEnd := e.PassEnd()
	e.AddPrefill(task, now)
	s.schedulePassEnd(id, previousEnd)
}

// schedulePassEnd schedules the end of the engine's current pass, unless it is at previousEnd, which is scheduled already.
func (s *simulation) schedulePassEnd(id dragonflypass.ServerID, previousEnd time.Time) {
	passEnd := s.engines[id].PassEnd()
	if passEnd.IsZero() || passEnd.Equal(previousEnd) {
		return
	}
	s.clock.At(dragonflypass.JobSweep, passEnd, func(context.Context) { s.finishPass(id, passEnd) })
}

// finishPass ends the engine's pass and handles its events. It ignores a pass whose end was moved.
func (s *simulation) finishPass(id dragonflypass.ServerID, passEnd time.Time) {
	e := s.engines[id]
	if !e.PassEnd().Equal(passEnd) {
		return
	}
	generated, processed := e.FinishPass()
	now := s.clock.Now()
	for _, stream := range generated {
		s.handleEvent(s.requests[stream], now)
	}
	for _, stream := range processed {
		r := s.requests[stream]
		if r.pendingParts--; r.pendingParts == 0 {
			s.handleFirstEvent(r, now)
		}
	}
	s.schedulePassEnd(id, time.Time{})
}

func (s *simulation) handleFirstEvent(r *request, now time.Time) {
	r.firstEventAt, r.lastEventAt = now, now
	r.sentEvents = 1
	s.clock.After(2*linkDelay, func() { s.allocator.Prefilled(r.id) })
	if r.sentEvents >= r.eventCount {
		s.finish(r)
		return
	}
	e := s.engines[r.permit.Server]
	previousEnd := e.PassEnd()
	e.AddDecode(predictor.DecodeTask{Stream: r.id, Context: r.promptTokens, From: now}, now)
	s.schedulePassEnd(r.permit.Server, previousEnd)
}

func (s *simulation) handleEvent(r *request, now time.Time) {
	if r.finished {
		return
	}
	r.longestGap = max(r.longestGap, now.Sub(r.lastEventAt))
	r.lastEventAt = now
	if r.sentEvents++; r.sentEvents >= r.eventCount {
		s.finish(r)
	}
}

func (s *simulation) finish(r *request) {
	r.finished = true
	s.engines[r.permit.Server].RemoveDecode(r.id)
	s.streams[r.permit.Server]--
	s.release(r, r.permit, dragonflypass.OutcomeDone)
}

func (s *simulation) release(r *request, permit dragonflypass.Permit, outcome dragonflypass.StreamOutcome) {
	s.clock.After(2*linkDelay, func() {
		s.allocator.Release(dragonflypass.PermitRelease{Stream: r.id, Server: permit.Server, Outcome: outcome})
	})
}

// MeanOutcome returns the mean of the outcomes of several days of one site; the counts of requests are added up.
func MeanOutcome(outcomes []Outcome) Outcome {
	var sum Outcome
	count := float64(len(outcomes))
	for _, o := range outcomes {
		sum.MeanShare += o.MeanShare / count
		sum.WorstShare += o.WorstShare / count
		if sum.Kinds == nil {
			sum.Kinds = make([]Result, len(o.Kinds))
		}
		for i, k := range o.Kinds {
			total := &sum.Kinds[i]
			total.Kind = k.Kind
			total.Requests += k.Requests
			total.OnTime += k.OnTime
			total.Late += k.Late
			total.LateFirstEvents += k.LateFirstEvents
			total.LongGaps += k.LongGaps
			total.Worth += k.Worth / count
		}
	}
	return sum
}
