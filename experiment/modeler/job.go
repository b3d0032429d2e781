package modeler

import (
	"context"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/dispatcher"
	"github.com/dragonflypass/dragonflypass/experiment/tracer"
)

// job is a request in progress.
type job struct {
	*Result

	entry           *node
	arrived         time.Time
	deadline        time.Time
	generated       int
	failures        int
	excludedServers []dragonflypass.ServerID
	queued          *dragonflypass.QueuedRequest
	owner           *node
	engine          *engine
	stream          *stream
	ended           bool
}

func (m *Model) arrive(request tracer.Request) {
	result := &Result{Request: request}
	m.Results = append(m.Results, result)
	for m.nodes[m.nextEntry%len(m.nodes)].down {
		m.nextEntry++
	}
	entry := m.nodes[m.nextEntry%len(m.nodes)]
	m.nextEntry++
	now := m.Clock.Now()
	j := &job{Result: result, entry: entry, arrived: now, deadline: now.Add(m.Site.Ranks[request.Rank].Timeout)}
	m.Clock.At(dragonflypass.JobSweep, j.deadline, func(context.Context) { m.expire(j) })
	m.requestPermit(j)
}

func (m *Model) permitRequest(j *job) dragonflypass.PermitRequest {
	m.sequence++
	prompt, output := j.PromptTokens+j.generated, j.OutputTokens-j.generated
	request := &dragonflypass.Request{PromptTokens: j.PromptTokens, Arrived: j.arrived}
	return dragonflypass.PermitRequest{
		Stream:  dragonflypass.StreamID{VM: j.entry.vm.ID, Incarnation: 1, Sequence: m.sequence},
		Account: j.Account, Weight: 1, Model: model, Rank: j.Rank, PromptTokens: prompt, OutputTokens: output, ExpectedTokens: output,
		Fingerprint: dragonflypass.Fingerprint{Account: j.Account, Model: model, Body: j.Body},
		Deadline:    j.deadline, LatestStart: dispatcher.LatestStart(j.deadline, prompt, output, m.Site.PrefillRate, m.Site.DecodeRate), FirstTokenDeadline: dispatcher.FirstTokenDeadline(request, m.Site.Ranks[j.Rank]),
		StreamFailures: j.failures, ExcludedServers: j.excludedServers,
	}
}

// requestPermit queues the request at the owners, in the order of the policy, until one grants a permit.
func (m *Model) requestPermit(j *job) {
	request := m.permitRequest(j)
	owners := m.rankOwners(j, &request)
	m.requestFromNext(j, request, owners, 0)
}

func (m *Model) rankOwners(j *job, request *dragonflypass.PermitRequest) []*node {
	byID := make(map[dragonflypass.VMID]*node, len(m.nodes))
	for _, n := range m.nodes {
		byID[n.vm.ID] = n
	}
	var order []*node
	if m.policy.NewOwnerPlacement == nil {
		for _, vm := range j.entry.Dispatcher.RankOwners(request) {
			order = append(order, byID[vm.ID])
		}
		if m.policy.RankZones {
			m.sortByZone(order)
		}
		return order
	}
	var candidates []dragonflypass.Candidate
	for _, n := range m.nodes {
		if c, ok := candidate(n); ok && !n.down {
			candidates = append(candidates, c)
		}
	}
	j.entry.placement.Sort(candidates)
	for _, c := range candidates {
		order = append(order, byID[dragonflypass.VMID(c.Name)])
	}
	return order
}

// candidate returns the data by which the baseline policies choose among owners. It returns false if the owner has no load summaries.
func candidate(n *node) (dragonflypass.Candidate, bool) {
	c := dragonflypass.Candidate{Name: string(n.vm.ID)}
	loads := n.Scheduler.Loads()
	for _, load := range loads {
		c.InFlight += load.Streams
	}
	return c, len(loads) > 0
}

func (m *Model) requestFromNext(j *job, request dragonflypass.PermitRequest, owners []*node, attempt int) {
	if attempt >= min(maxOwnerAttempts, len(owners)) {
		m.endUnserved(j)
		return
	}
	owner := owners[attempt]
	j.owner = owner
	j.queued = &dragonflypass.QueuedRequest{Request: request, QueuedAt: m.Clock.Now(), Done: func(p dragonflypass.Permit, err error) {
		j.queued = nil
		if err != nil {
			m.sequence++
			request.Stream.Sequence = m.sequence
			m.requestFromNext(j, request, owners, attempt+1)
			return
		}
		m.handleGrant(j, owner, p, request)
	}}
	queued := j.queued
	owner.Scheduler.Enqueue(queued)
	if m.policy.NewOwnerPlacement != nil || attempt+1 >= min(maxOwnerAttempts, len(owners)) || dragonflypass.ClassOf(request.PromptTokens) >= dragonflypass.ClassLong {
		return
	}
	m.Clock.At(dragonflypass.JobSweep, m.Clock.Now().Add(dispatcher.OwnerTimeout), func(context.Context) {
		if j.queued == queued && owner.Scheduler.Withdraw(queued) {
			m.sequence++
			request.Stream.Sequence = m.sequence
			m.requestFromNext(j, request, owners, attempt+1)
		}
	})
}

// endUnserved ends a request for which no owner granted a permit, or whose streams broke too often.
func (m *Model) endUnserved(j *job) {
	j.ended = true
	j.Failed = j.Granted
	j.TotalTime = m.Clock.Now().Sub(j.arrived)
}

func (m *Model) handleGrant(j *job, owner *node, permit dragonflypass.Permit, request dragonflypass.PermitRequest) {
	e := m.engines[permit.Server]
	release := dragonflypass.PermitRelease{Stream: request.Stream, Server: permit.Server, Outcome: dragonflypass.OutcomeUnsent}
	if j.ended || e.down {
		owner.Scheduler.Release(release)
		if !j.ended {
			j.excludedServers = append(j.excludedServers, permit.Server)
			m.requestPermit(j)
		}
		return
	}
	j.Granted, j.engine = true, e
	j.stream = &stream{
		id: request.Stream, rank: j.Rank, priority: permit.Priority, promptTokens: request.PromptTokens, outputTokens: request.OutputTokens, reservedTokens: request.Tokens(),
		onFirstToken: func() {
			if j.TimeToFirstToken == 0 {
				j.TimeToFirstToken = m.Clock.Now().Sub(j.arrived)
			}
		},
		onEnd:    func() { m.handleFinish(j, owner, permit) },
		onBroken: func() { m.handleInterruption(j, owner, permit) },
	}
	if j.CrashesServer {
		m.Clock.After(50*time.Millisecond, func() { m.crashServer(e, crashDowntime) })
	}
	e.start(j.stream)
}

func (m *Model) handleFinish(j *job, owner *node, permit dragonflypass.Permit) {
	j.ended, j.Done = true, true
	j.TotalTime = m.Clock.Now().Sub(j.arrived)
	owner.Scheduler.Release(dragonflypass.PermitRelease{Stream: permit.Stream, Server: permit.Server, OutputTokens: j.stream.generated, Outcome: dragonflypass.OutcomeDone})
}

func (m *Model) handleInterruption(j *job, owner *node, permit dragonflypass.Permit) {
	j.generated += j.stream.generated
	j.failures++
	j.excludedServers = append(j.excludedServers, permit.Server)
	owner.Scheduler.Release(dragonflypass.PermitRelease{Stream: permit.Stream, Server: permit.Server, Outcome: dragonflypass.OutcomeLost})
	if j.failures >= maxStreamFailures {
		m.endUnserved(j)
		return
	}
	m.Clock.After(time.Millisecond, func() { m.requestPermit(j) })
}

// expire ends a request that is still in progress at its deadline.
func (m *Model) expire(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	j.MissedDeadline = j.Granted
	j.TotalTime = m.Clock.Now().Sub(j.arrived)
	if j.queued != nil {
		j.owner.Scheduler.Withdraw(j.queued)
		return
	}
	if j.engine != nil {
		j.engine.cancel(j.stream)
		j.owner.Scheduler.Release(dragonflypass.PermitRelease{Stream: j.stream.id, Server: j.engine.server.ID, Outcome: dragonflypass.OutcomeCancelled})
	}
}
