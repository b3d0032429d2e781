package modeler

import (
	"context"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/dispatcher"
	"github.com/dragonflypass/dragonflypass/experiment/tracer"
)

// job is one request on its way.
type job struct {
	*Result

	entry    *node
	arrived  time.Time
	deadline time.Time
	made     int
	breaks   int
	exclude  []dragonflypass.ServerID
	waiting  *dragonflypass.QueuedRequest
	queuedAt *node
	engine   *engine
	stream   *stream
	ended    bool
}

func (m *Model) arrive(request tracer.Request) {
	result := &Result{Request: request}
	m.Results = append(m.Results, result)
	for m.nodes[m.turn%len(m.nodes)].down {
		m.turn++
	}
	entry := m.nodes[m.turn%len(m.nodes)]
	m.turn++
	now := m.Clock.Now()
	j := &job{Result: result, entry: entry, arrived: now, deadline: now.Add(m.Site.Ranks[request.Rank].Timeout)}
	m.Clock.At(dragonflypass.JobSweep, j.deadline, func(context.Context) { m.expire(j) })
	m.ask(j)
}

func (m *Model) permitRequest(j *job) dragonflypass.PermitRequest {
	m.sequence++
	prompt, output := j.Prompt+j.made, j.Output-j.made
	request := &dragonflypass.Request{PromptTokens: j.Prompt, Arrived: j.arrived}
	return dragonflypass.PermitRequest{
		Stream:  dragonflypass.StreamID{VM: j.entry.vm.ID, Incarnation: 1, Sequence: m.sequence},
		Account: j.Account, Weight: 1, Model: model, Rank: j.Rank, PromptTokens: prompt, OutputTokens: output, ExpectedTokens: output,
		Fingerprint: dragonflypass.Fingerprint{Account: j.Account, Model: model, Body: j.Body},
		Deadline:    j.deadline, LatestStart: dispatcher.LatestStart(j.deadline, prompt, output, m.Site.Prefill, m.Site.Decode), FirstTokenDeadline: dispatcher.FirstTokenDeadline(request, m.Site.Ranks[j.Rank]),
		StreamFailures: j.breaks, ExcludedServers: j.exclude,
	}
}

// ask queues the request at the owners in the policy's order until one takes it.
func (m *Model) ask(j *job) {
	request := m.permitRequest(j)
	owners := m.order(j, &request)
	m.askNext(j, request, owners, 0)
}

func (m *Model) order(j *job, request *dragonflypass.PermitRequest) []*node {
	byID := make(map[dragonflypass.VMID]*node, len(m.nodes))
	for _, n := range m.nodes {
		byID[n.vm.ID] = n
	}
	var order []*node
	if m.policy.Owner == nil {
		for _, vm := range j.entry.Dispatcher.RankOwners(request) {
			order = append(order, byID[vm.ID])
		}
		if m.policy.Zones {
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

// candidate describes an owner to a baseline.
func candidate(n *node) (dragonflypass.Candidate, bool) {
	c := dragonflypass.Candidate{Name: string(n.vm.ID)}
	loads := n.Scheduler.Loads()
	for _, load := range loads {
		c.InFlight += load.Streams
	}
	return c, len(loads) > 0
}

func (m *Model) askNext(j *job, request dragonflypass.PermitRequest, owners []*node, try int) {
	if try >= min(ownerTries, len(owners)) {
		m.refuse(j)
		return
	}
	owner := owners[try]
	j.queuedAt = owner
	j.waiting = &dragonflypass.QueuedRequest{Request: request, QueuedAt: m.Clock.Now(), Done: func(p dragonflypass.Permit, err error) {
		j.waiting = nil
		if err != nil {
			m.sequence++
			request.Stream.Sequence = m.sequence
			m.askNext(j, request, owners, try+1)
			return
		}
		m.granted(j, owner, p, request)
	}}
	waiting := j.waiting
	owner.Scheduler.Enqueue(waiting)
	if m.policy.Owner != nil || try+1 >= min(ownerTries, len(owners)) || dragonflypass.ClassOf(request.PromptTokens) >= dragonflypass.ClassLong {
		return
	}
	m.Clock.At(dragonflypass.JobSweep, m.Clock.Now().Add(dispatcher.OwnerTimeout), func(context.Context) {
		if j.waiting == waiting && owner.Scheduler.Withdraw(waiting) {
			m.sequence++
			request.Stream.Sequence = m.sequence
			m.askNext(j, request, owners, try+1)
		}
	})
}

// refuse ends a request that no owner took.
func (m *Model) refuse(j *job) {
	j.ended = true
	j.Failed = j.Granted
	j.Whole = m.Clock.Now().Sub(j.arrived)
}

func (m *Model) granted(j *job, owner *node, p dragonflypass.Permit, request dragonflypass.PermitRequest) {
	e := m.engines[p.Server]
	release := dragonflypass.PermitRelease{Stream: request.Stream, Server: p.Server, Outcome: dragonflypass.OutcomeUnsent}
	if j.ended || e.down {
		owner.Scheduler.Release(release)
		if !j.ended {
			j.exclude = append(j.exclude, p.Server)
			m.ask(j)
		}
		return
	}
	j.Granted, j.engine = true, e
	j.stream = &stream{
		id: request.Stream, rank: j.Rank, priority: p.Priority, prompt: request.PromptTokens, output: request.OutputTokens, reserved: request.Tokens(),
		first: func() {
			if j.First == 0 {
				j.First = m.Clock.Now().Sub(j.arrived)
			}
		},
		end:    func() { m.finished(j, owner, p) },
		broken: func() { m.broke(j, owner, p) },
	}
	if j.Crashes {
		m.Clock.After(50*time.Millisecond, func() { m.kill(e, downTime) })
	}
	e.start(j.stream)
}

func (m *Model) finished(j *job, owner *node, p dragonflypass.Permit) {
	j.ended, j.Done = true, true
	j.Whole = m.Clock.Now().Sub(j.arrived)
	owner.Scheduler.Release(dragonflypass.PermitRelease{Stream: p.Stream, Server: p.Server, OutputTokens: j.stream.made, Outcome: dragonflypass.OutcomeDone})
}

func (m *Model) broke(j *job, owner *node, p dragonflypass.Permit) {
	j.made += j.stream.made
	j.breaks++
	j.exclude = append(j.exclude, p.Server)
	owner.Scheduler.Release(dragonflypass.PermitRelease{Stream: p.Stream, Server: p.Server, Outcome: dragonflypass.OutcomeLost})
	if j.breaks >= breakLimit {
		m.refuse(j)
		return
	}
	m.Clock.After(time.Millisecond, func() { m.ask(j) })
}

// expire ends a request at its deadline.
func (m *Model) expire(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	j.Missed = j.Granted
	j.Whole = m.Clock.Now().Sub(j.arrived)
	if j.waiting != nil {
		j.queuedAt.Scheduler.Withdraw(j.waiting)
		return
	}
	if j.engine != nil {
		j.engine.cancel(j.stream)
		j.queuedAt.Scheduler.Release(dragonflypass.PermitRelease{Stream: j.stream.id, Server: j.engine.declared.ID, Outcome: dragonflypass.OutcomeCancelled})
	}
}
