package worker

import (
	"context"
	"sync"

	"github.com/dragonflypass/dragonflypass"
)

// Pool is a fixed number of workers, which serve a bounded queue for each kind of job in turn.
type Pool struct {
	// Workers is the number of workers; one kind of job uses at most half of them.
	Workers int
	// QueueLimit is the largest number of queued jobs of one kind.
	QueueLimit int
	Meter      dragonflypass.Meter

	mutex  sync.Mutex
	ready  *sync.Cond
	queues []*queue
	// turn is the index of the queue that is served next.
	turn   int
	closed bool
}

type queue struct {
	kind    dragonflypass.JobKind
	jobs    []func(context.Context)
	running int
}

var _ dragonflypass.Pool = (*Pool)(nil)

// Submit queues the job and reports whether there was room for its kind.
func (p *Pool) Submit(kind dragonflypass.JobKind, job func(context.Context)) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.init()
	q := p.queue(kind)
	if p.closed || len(q.jobs) >= p.QueueLimit {
		p.Meter.Add(dragonflypass.CountJobShed, 1)
		return false
	}
	q.jobs = append(q.jobs, job)
	p.ready.Signal()
	return true
}

// Run works until ctx ends and returns when every worker has stopped.
func (p *Pool) Run(ctx context.Context) {
	p.mutex.Lock()
	p.init()
	p.mutex.Unlock()
	stop := context.AfterFunc(ctx, p.close)
	defer stop()
	var workers sync.WaitGroup
	for range p.Workers {
		workers.Go(func() { p.work(ctx) })
	}
	workers.Wait()
}

// init is called with the mutex held.
func (p *Pool) init() {
	if p.ready == nil {
		p.ready = sync.NewCond(&p.mutex)
	}
}

// queue is called with the mutex held.
func (p *Pool) queue(kind dragonflypass.JobKind) *queue {
	for _, q := range p.queues {
		if q.kind == kind {
			return q
		}
	}
	q := &queue{kind: kind}
	p.queues = append(p.queues, q)
	return q
}

func (p *Pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	p.ready.Broadcast()
}

func (p *Pool) work(ctx context.Context) {
	for {
		q, job := p.next()
		if job == nil {
			return
		}
		job(ctx)
		p.finish(q)
	}
}

func (p *Pool) finish(q *queue) {
	p.Meter.Add(dragonflypass.CountJobRun, 1)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	q.running--
	if len(q.jobs) > 0 {
		p.ready.Signal()
	}
}

// next waits for a job; it returns no job once the pool is closed.
func (p *Pool) next() (*queue, func(context.Context)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for !p.closed {
		if q := p.eligible(); q != nil {
			job := q.jobs[0]
			q.jobs[0] = nil
			q.jobs = q.jobs[1:]
			q.running++
			return q, job
		}
		p.ready.Wait()
	}
	return nil, nil
}

// eligible returns the next queue in turn that has a job and may use a further worker.
func (p *Pool) eligible() *queue {
	limit := max(1, p.Workers/2)
	for i := range p.queues {
		q := p.queues[(p.turn+i)%len(p.queues)]
		if len(q.jobs) > 0 && q.running < limit {
			p.turn = (p.turn + i + 1) % len(p.queues)
			return q
		}
	}
	return nil
}
