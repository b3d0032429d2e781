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
	// link is the one-way time between an entry VM, the owner and a server.
	link = time.Millisecond
	// callerLink is the one-way time between a caller and an entry VM.
	callerLink = 3 * time.Millisecond
	// window is the width of the windows of which the worst ones count.
	window = 2 * time.Second
	// service names the one service of a site.
	service = dragonflypass.ServiceID("models")
)

// Result is how a kind of prompts was served.
type Result struct {
	Kind   string
	Asked  int
	OnTime int
	Late   int
	// Worth is the part of the worth that was earned, by size.
	Worth float64
	// Firsts and Pauses count the requests that were late by their first event and by a pause.
	Firsts, Pauses int
}

// Outcome is the result of a played day.
type Outcome struct {
	Kinds []Result
	// Mean is the part of all worth that was earned, Worst that of the two worst windows.
	Mean, Worst float64
}

// player plays one day.
type player struct {
	site      Site
	random    *rand.Rand
	clock     *fake.Clock
	start     time.Time
	allocator *allocator.Allocator
	engines   map[dragonflypass.ServerID]*predictor.Engine
	streams   map[dragonflypass.ServerID]int
	requests  map[dragonflypass.StreamID]*request
	all       []*request
	trace     io.Writer
}

// request is one prompt.
type request struct {
	id       dragonflypass.StreamID
	kind     *Kind
	arrived  time.Time
	tokens   int
	events   int
	granted  time.Time
	permit   dragonflypass.Permit
	parts    int
	first    time.Time
	last     time.Time
	longest  time.Duration
	given    int
	finished bool
}

// Play plays a day of the site with the seed; lines about late requests go to the trace, which may be nil.
func Play(site Site, seed uint64, trace io.Writer) Outcome {
	p := &player{
		site: site, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1_000_000, 0), trace: trace,
		engines: make(map[dragonflypass.ServerID]*predictor.Engine), streams: make(map[dragonflypass.ServerID]int),
		requests: make(map[dragonflypass.StreamID]*request),
	}
	p.clock = fake.NewClock(p.start)
	var entries []dragonflypass.ServerEntry
	for i := range site.Servers {
		entry := dragonflypass.ServerEntry{
			ID: dragonflypass.ServerID(fmt.Sprintf("server-%02d", i)), Service: service, Slots: site.Law.Slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8080),
		}
		entries = append(entries, entry)
		p.engines[entry.ID] = predictor.New(&p.site.Law)
	}
	meter, logger := fake.NewMeter(), fake.Logger{}
	judge := assessor.New()
	judge.Timer, judge.Meter, judge.Logger = p.clock, meter, logger
	a := allocator.New()
	a.Timer, a.Meter, a.Logger, a.Assessor = p.clock, meter, logger, judge
	a.ServerUnreachable = func(dragonflypass.ServerID) {}
	a.CostModel = func(dragonflypass.ServiceID) *dragonflypass.EngineCostModel { return &p.site.Law }
	a.Servers = func(dragonflypass.ServiceID) []dragonflypass.ServerEntry { return entries }
	p.allocator = a
	p.clock.Every(dragonflypass.JobSweep, 100*time.Millisecond, p.sweep)
	for i := range site.Kinds {
		p.next(&p.site.Kinds[i], i)
	}
	p.clock.Run(p.start.Add(site.Length + 20*time.Second))
	return p.outcome()
}

// sweep keeps the permits alive, as heartbeats do.
func (p *player) sweep(ctx context.Context) {
	beat := dragonflypass.Heartbeat{From: dragonflypass.VM{ID: "vm"}}
	for id, r := range p.requests {
		if !r.finished {
			beat.GrantedStreams = append(beat.GrantedStreams, id.Sequence)
		}
	}
	p.allocator.HandleHeartbeat(beat)
	p.allocator.Sweep(ctx)
}

// next schedules the kind's next arrival, at the rate of its bursts.
func (p *player) next(kind *Kind, index int) {
	rate := kind.PerSecond * p.site.Scale
	highest := rate
	for _, b := range p.site.Bursts {
		if b.Kind == index {
			highest = max(highest, rate*b.Factor)
		}
	}
	wait := time.Duration(p.random.ExpFloat64() / highest * float64(time.Second))
	at := p.clock.Now().Add(wait).Sub(p.start)
	if at > p.site.Length {
		return
	}
	factor := 1.0
	for _, b := range p.site.Bursts {
		if b.Kind == index && at >= b.From && at < b.To {
			factor = b.Factor
		}
	}
	keep := p.random.Float64() < factor*rate/highest
	p.clock.After(wait, func() {
		if keep {
			p.arrive(kind)
		}
		p.next(kind, index)
	})
}

func (p *player) arrive(kind *Kind) {
	r := &request{
		id: dragonflypass.StreamID{VM: "vm", Sequence: uint64(len(p.all) + 1)}, kind: kind, arrived: p.clock.Now(),
		tokens: int(kind.Prompt.draw(p.random)) + 40, events: int(kind.Events.draw(p.random)),
	}
	p.all = append(p.all, r)
	p.requests[r.id] = r
	p.clock.After(callerLink+link, func() {
		p.allocator.RequestPermit(dragonflypass.PermitRequest{
			Stream: r.id, Service: service, Priority: kind.Priority, PromptTokens: r.tokens, OutputTokens: 3264, MaxEventGap: kind.Pause,
			FirstTokenDeadline: r.arrived.Add(kind.Goal), Deadline: r.arrived.Add(kind.Deadline),
		}, func(permit dragonflypass.Permit, err error) {
			if err == nil {
				p.clock.After(2*link, func() { p.send(r, permit) })
			}
		})
	})
}

// send gives the prompt to its servers.
func (p *player) send(r *request, permit dragonflypass.Permit) {
	now := p.clock.Now()
	if p.streams[permit.Server] >= p.site.Law.Slots {
		r.finished = true
		p.release(r, permit, dragonflypass.OutcomeUnsent)
		return
	}
	p.streams[permit.Server]++
	r.permit, r.granted, r.parts = permit, now, 1+len(permit.Helpers)
	p.add(permit.Server, predictor.PrefillTask{Stream: r.id, Tokens: r.tokens, Parts: r.parts}, now)
	for _, h := range permit.Helpers {
		p.add(h.Server, predictor.PrefillTask{Stream: r.id, Tokens: r.tokens, Parts: r.parts}, now)
	}
}

func (p *player) add(id dragonflypass.ServerID, read predictor.PrefillTask, now time.Time) {
	e := p.engines[id]
	if ends := e.PassEnd(); !ends.IsZero() && !ends.After(now) {
		// The pass that ends at this instant has its events first.
		p.passed(id, ends)
	}
	before := e.PassEnd()
	e.AddPrefill(read, now)
	p.schedule(id, before)
}

// schedule has the engine's pass end in its time, unless that was scheduled before.
func (p *player) schedule(id dragonflypass.ServerID, before time.Time) {
	ends := p.engines[id].PassEnd()
	if ends.IsZero() || ends.Equal(before) {
		return
	}
	p.clock.At(dragonflypass.JobSweep, ends, func(context.Context) { p.passed(id, ends) })
}

// passed ends a pass of the engine.
func (p *player) passed(id dragonflypass.ServerID, ends time.Time) {
	e := p.engines[id]
	if !e.PassEnd().Equal(ends) {
		return
	}
	generated, processed := e.FinishPass()
	now := p.clock.Now()
	for _, stream := range generated {
		p.event(p.requests[stream], now)
	}
	for _, stream := range processed {
		r := p.requests[stream]
		if r.parts--; r.parts == 0 {
			p.firstEvent(r, now)
		}
	}
	p.schedule(id, time.Time{})
}

func (p *player) firstEvent(r *request, now time.Time) {
	r.first, r.last = now, now
	r.given = 1
	p.clock.After(2*link, func() { p.allocator.Prefilled(r.id) })
	if r.given >= r.events {
		p.finish(r)
		return
	}
	e := p.engines[r.permit.Server]
	before := e.PassEnd()
	e.AddDecode(predictor.DecodeTask{Stream: r.id, Context: r.tokens, From: now}, now)
	p.schedule(r.permit.Server, before)
}

func (p *player) event(r *request, now time.Time) {
	if r.finished {
		return
	}
	r.longest = max(r.longest, now.Sub(r.last))
	r.last = now
	if r.given++; r.given >= r.events {
		p.finish(r)
	}
}

func (p *player) finish(r *request) {
	r.finished = true
	p.engines[r.permit.Server].RemoveDecode(r.id)
	p.streams[r.permit.Server]--
	p.release(r, r.permit, dragonflypass.OutcomeDone)
}

func (p *player) release(r *request, permit dragonflypass.Permit, outcome dragonflypass.StreamOutcome) {
	p.clock.After(2*link, func() {
		p.allocator.Release(dragonflypass.PermitRelease{Stream: r.id, Server: permit.Server, Outcome: outcome})
	})
}

// Mean returns the mean worth of several days of one site, with the numbers of their requests added up.
func Mean(outcomes []Outcome) Outcome {
	var sum Outcome
	parts := float64(len(outcomes))
	for _, o := range outcomes {
		sum.Mean += o.Mean / parts
		sum.Worst += o.Worst / parts
		if sum.Kinds == nil {
			sum.Kinds = make([]Result, len(o.Kinds))
		}
		for i, k := range o.Kinds {
			s := &sum.Kinds[i]
			s.Kind = k.Kind
			s.Asked += k.Asked
			s.OnTime += k.OnTime
			s.Late += k.Late
			s.Firsts += k.Firsts
			s.Pauses += k.Pauses
			s.Worth += k.Worth / parts
		}
	}
	return sum
}
