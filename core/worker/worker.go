package worker

import (
	"context"
	"sync"

	"github.com/dragonflypass/dragonflypass"
)

// Pool runs jobs on a fixed number of workers. Each kind of job has a bounded queue; the workers serve the queues in turn.
type Pool struct {
	// Workers is the number of workers; jobs of one kind occupy at most half of them.
	Workers int
	// QueueLimit is the maximum number of queued jobs of one kind.
	QueueLimit int
	Meter      dragonflypass.Meter

	mutex sync.Mutex
	// jobAvailable is signaled when a job can be started and broadcast when the pool closes.
	jobAvailable *sync.Cond
	queues       []*queue
	// nextQueue is the index of the queue to be served next.
	nextQueue int
	closed    bool
}

type queue struct {
	kind    dragonflypass.JobKind
	jobs    []func(context.Context)
	running int
}

var _ dragonflypass.Pool = (*Pool)(nil)

// Submit queues the job; it returns false if the queue of that kind is full or the pool has stopped.
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
	p.jobAvailable.Signal()
	return true
}

// Run starts the workers and returns after ctx has ended and all of them have stopped.
// Jobs that are still queued by then do not run.
func (p *Pool) Run(ctx context.Context) {
	p.mutex.Lock()
	p.init()
	p.mutex.Unlock()
	stop := context.AfterFunc(ctx, p.close)
	defer stop()
	var wg sync.WaitGroup
	for range p.Workers {
		wg.Go(func() { p.runWorker(ctx) })
	}
	wg.Wait()
}

// init creates the condition variable; the mutex must be held.
func (p *Pool) init() {
	if p.jobAvailable == nil {
		p.jobAvailable = sync.NewCond(&p.mutex)
	}
}

// queue returns the queue of the kind, which it creates if needed; the mutex must be held.
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
	p.jobAvailable.Broadcast()
}

func (p *Pool) runWorker(ctx context.Context) {
	for {
		q, job := p.nextJob()
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
		p.jobAvailable.Signal()
	}
}

// nextJob waits for a job; it returns nil once the pool is closed.
func (p *Pool) nextJob() (*queue, func(context.Context)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for !p.closed {
		if q := p.eligibleQueue(); q != nil {
			job := q.jobs[0]
			q.jobs[0] = nil
			q.jobs = q.jobs[1:]
			q.running++
			return q, job
		}
		p.jobAvailable.Wait()
	}
	return nil, nil
}

// eligibleQueue returns the next queue in turn that has a job and has not reached its limit of workers;
// the mutex must be held.
func (p *Pool) eligibleQueue() *queue {
	limit := max(1, p.Workers/2)
	for i := range p.queues {
		q := p.queues[(p.nextQueue+i)%len(p.queues)]
		if len(q.jobs) > 0 && q.running < limit {
			p.nextQueue = (p.nextQueue + i + 1) % len(p.queues)
			return q
		}
	}
	return nil
}
