package claimer_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/timer"
	"github.com/dragonflypass/dragonflypass/core/claimer"
	"github.com/dragonflypass/dragonflypass/core/locker"
	"github.com/dragonflypass/dragonflypass/core/worker"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

func TestMain(m *testing.M) {
	locker.Check()
	os.Exit(m.Run())
}

const (
	retention = 10 * time.Minute
	remember  = time.Hour
	within    = 10 * time.Second
)

// ledger counts the runs of each key.
type ledger struct {
	mutex sync.Mutex
	runs  map[string]int
}

func (l *ledger) run(key string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[key]++
}

func (l *ledger) count(key string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.runs[key]
}

// node is one VM's claimer, which can be killed.
type node struct {
	*claimer.Claimer
	reach *fake.Reach
	kill  context.CancelFunc
	life  context.Context
}

type site struct {
	ctx    context.Context
	log    *fake.Log
	ledger *ledger
	nodes  []*node
	meter  *fake.Meter
}

func newSite(ctx context.Context, nodes int) *site {
	s := &site{ctx: ctx, log: fake.NewLog(), ledger: &ledger{runs: make(map[string]int)}, meter: fake.NewMeter()}
	s.log.Retention, s.log.Latency = retention, 3*time.Millisecond
	for range nodes {
		s.add()
	}
	return s
}

// add starts a further node, as a replacement of a killed one would.
func (s *site) add() *node {
	n := &node{reach: &fake.Reach{Log: s.log}}
	n.life, n.kill = context.WithCancel(s.ctx)
	pool := &worker.Pool{Workers: 4, QueueLimit: 1000, Meter: s.meter}
	clock := timer.New(pool)
	n.Claimer = claimer.New(1, retention, remember)
	n.Self, n.Incarnation = dragonflypass.VMID(fmt.Sprintf("vm-%d", len(s.nodes))), uint64(len(s.nodes))
	n.Timer, n.Pool, n.Log, n.Meter, n.Logger, n.Poll = clock, pool, n.reach, s.meter, fake.Logger{}, time.Second
	for _, run := range []func(context.Context){pool.Run, clock.Run, n.Run} {
		go run(n.life)
	}
	s.nodes = append(s.nodes, n)
	return n
}

// call sends a call with the key and body through the node; send is what the service does.
func (s *site) call(n *node, key, body string, send func(ctx context.Context) error) (dragonflypass.ServiceResponse, error) {
	now := time.Now()
	call := dragonflypass.ServiceCall{Service: "booking", Account: "demo", IdempotencyKey: key, Arrived: now, Deadline: now.Add(within)}
	ctx, cancel := context.WithDeadline(n.life, call.Deadline)
	defer cancel()
	claimKey := dragonflypass.ClaimKey{Account: "demo", Service: "booking", Key: sha256.Sum256([]byte(key))}
	return n.Once(ctx, call, sha256.Sum256([]byte(body)), claimKey, func(ctx context.Context) (dragonflypass.ServiceResponse, error) {
		if err := send(ctx); err != nil {
			return dragonflypass.ServiceResponse{}, err
		}
		return dragonflypass.ServiceResponse{Status: 200, Body: []byte("done " + key)}, nil
	})
}

// works runs the call and answers.
func (s *site) works(key string) func(context.Context) error {
	return func(context.Context) error {
		s.ledger.run(key)
		return nil
	}
}

// run runs the test in virtual time.
func run(t *testing.T, nodes int, test func(c *qt.C, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t.Context(), nodes)
		time.Sleep(2 * time.Second)
		test(qt.New(t), s)
	})
}

func reason(c *qt.C, err error) (dragonflypass.Reason, dragonflypass.Executed) {
	c.Helper()
	refusal, ok := dragonflypass.AsRefusal(err)
	c.Assert(ok, qt.IsTrue, qt.Commentf("error %v", err))
	return refusal.Reason, refusal.Executed
}

func TestTwoNodesGetOneKey(t *testing.T) {
	run(t, 2, func(c *qt.C, s *site) {
		var both sync.WaitGroup
		for _, n := range s.nodes {
			both.Go(func() {
				answer, err := s.call(n, "k", "b", s.works("k"))
				c.Check(err, qt.IsNil)
				c.Check(string(answer.Body), qt.Equals, "done k")
			})
		}
		both.Wait()
		c.Check(s.ledger.count("k"), qt.Equals, 1)
	})
}

func TestRepeatOnAnotherNode(t *testing.T) {
	run(t, 2, func(c *qt.C, s *site) {
		_, err := s.call(s.nodes[0], "k", "b", s.works("k"))
		c.Assert(err, qt.IsNil)
		answer, err := s.call(s.nodes[1], "k", "b", s.works("k"))
		c.Assert(err, qt.IsNil)
		c.Check(answer.Replayed, qt.IsTrue)
		_, err = s.call(s.nodes[1], "k", "other body", s.works("k"))
		why, ran := reason(c, err)
		c.Check(why, qt.Equals, dragonflypass.ReasonKeyReused)
		c.Check(ran, qt.Equals, dragonflypass.ExecutedNo)
		c.Check(s.ledger.count("k"), qt.Equals, 1)
	})
}

func TestLogDownOrZoneCutOff(t *testing.T) {
	run(t, 2, func(c *qt.C, s *site) {
		s.nodes[0].reach.SetCut(true)
		begun := time.Now()
		_, err := s.call(s.nodes[0], "k", "b", s.works("k"))
		why, ran := reason(c, err)
		c.Check(why, qt.Equals, dragonflypass.ReasonNoLog)
		c.Check(ran, qt.Equals, dragonflypass.ExecutedNo)
		c.Check(time.Since(begun) < time.Second, qt.IsTrue)
		_, err = s.call(s.nodes[1], "k", "b", s.works("k"))
		c.Check(err, qt.IsNil)
		c.Check(s.ledger.count("k"), qt.Equals, 1)
	})
}

func TestAppendAppliedButAnswerLost(t *testing.T) {
	run(t, 2, func(c *qt.C, s *site) {
		s.log.Lose(1)
		_, err := s.call(s.nodes[0], "k", "b", s.works("k"))
		c.Check(err, qt.IsNil)
		c.Check(s.ledger.count("k"), qt.Equals, 1)
	})
}

// TestAppendAppliedLate has a claim surface after its call was refused; its key must not stay taken.
func TestAppendAppliedLate(t *testing.T) {
	run(t, 2, func(c *qt.C, s *site) {
		s.log.Late(30 * time.Second)
		_, err := s.call(s.nodes[0], "k", "b", s.works("k"))
		_, ran := reason(c, err)
		c.Check(ran, qt.Equals, dragonflypass.ExecutedNo)
		time.Sleep(time.Minute)
		_, err = s.call(s.nodes[1], "k", "b", s.works("k"))
		c.Check(err, qt.IsNil)
		c.Check(s.ledger.count("k"), qt.Equals, 1)
	})
}

// TestLateClaimBehindAVoidOne has a claim that lost surface after the winner was given up.
func TestLateClaimBehindAVoidOne(t *testing.T) {
	run(t, 3, func(c *qt.C, s *site) {
		release := make(chan struct{})
		go func() {
			_, _ = s.call(s.nodes[0], "k", "b", func(context.Context) error {
				<-release
				return dragonflypass.ErrRefused
			})
		}()
		time.Sleep(time.Second)
		s.log.Late(5 * time.Second)
		go func() { _, _ = s.call(s.nodes[1], "k", "b", s.works("k")) }()
		time.Sleep(time.Second)
		close(release)
		time.Sleep(30 * time.Second)
		_, err := s.call(s.nodes[2], "k", "b", s.works("k"))
		c.Check(err, qt.IsNil)
		c.Check(s.ledger.count("k"), qt.Equals, 1)
	})
}

func TestClaimerKilled(t *testing.T) {
	tests := []struct {
		name string
		// send is what happens at the service before or after the node dies.
		send func(s *site, kill func()) error
		runs int
	}{
		{name: "before the send", runs: 0, send: func(_ *site, kill func()) error { kill(); return dragonflypass.ErrUncertain }},
		{name: "during the send", runs: 1, send: func(s *site, kill func()) error { s.ledger.run("k"); kill(); return dragonflypass.ErrUncertain }},
		{name: "after the send", runs: 1, send: func(s *site, kill func()) error { s.ledger.run("k"); kill(); return nil }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, 2, func(c *qt.C, s *site) {
				dying := s.nodes[0]
				_, _ = s.call(dying, "k", "b", func(context.Context) error {
					return test.send(s, func() { dying.kill(); dying.reach.SetCut(true) })
				})
				time.Sleep(within + 10*time.Second)
				_, err := s.call(s.nodes[1], "k", "b", s.works("k"))
				why, ran := reason(c, err)
				c.Check(why, qt.Equals, dragonflypass.ReasonUnknown)
				c.Check(ran, qt.Equals, dragonflypass.ExecutedMaybe)
				c.Check(s.ledger.count("k"), qt.Equals, test.runs)
				open := s.nodes[1].Open()
				c.Assert(open, qt.HasLen, 1)

				err = s.nodes[1].Resolve(s.ctx, open[0].Claim.Nonce, test.runs == 1, false)
				c.Check(err, qt.Equals, claimer.ErrOpen)
				err = s.nodes[1].Resolve(s.ctx, open[0].Claim.Nonce, test.runs == 1, true)
				c.Check(err, qt.IsNil)
				c.Check(s.nodes[1].Open(), qt.HasLen, 0)
				_, err = s.call(s.nodes[1], "k", "b", s.works("k"))
				c.Check(err, qt.IsNil)
				c.Check(s.ledger.count("k"), qt.Equals, 1)
			})
		})
	}
}

// TestClaimerPaused has the winner wake after every timeout and send then; nobody else may have.
func TestClaimerPaused(t *testing.T) {
	run(t, 2, func(c *qt.C, s *site) {
		paused := make(chan struct{})
		go func() {
			_, _ = s.call(s.nodes[0], "k", "b", func(context.Context) error {
				<-paused
				s.ledger.run("k")
				return nil
			})
		}()
		time.Sleep(5 * time.Minute)
		for range 3 {
			_, err := s.call(s.nodes[1], "k", "b", s.works("k"))
			_, ran := reason(c, err)
			c.Check(ran, qt.Equals, dragonflypass.ExecutedMaybe)
			time.Sleep(time.Minute)
		}
		close(paused)
		time.Sleep(10 * time.Second)
		answer, err := s.call(s.nodes[1], "k", "b", s.works("k"))
		c.Check(err, qt.IsNil)
		c.Check(answer.Replayed, qt.IsTrue)
		c.Check(s.ledger.count("k"), qt.Equals, 1)
	})
}

// TestOutcomesOutliveRetention lets the log drop all first records, with all nodes replaced on the way.
func TestOutcomesOutliveRetention(t *testing.T) {
	run(t, 2, func(c *qt.C, s *site) {
		_, err := s.call(s.nodes[0], "k", "b", s.works("k"))
		c.Assert(err, qt.IsNil)
		for i := range 4 {
			time.Sleep(retention * 3 / 4)
			s.add()
			s.nodes[i].kill()
		}
		fresh := s.add()
		time.Sleep(2 * time.Second)
		answer, err := s.call(fresh, "k", "b", s.works("k"))
		c.Assert(err, qt.IsNil)
		c.Check(answer.Replayed, qt.IsTrue)
		c.Check(s.ledger.count("k"), qt.Equals, 1)
	})
}

const (
	scheduleSteps = 14
	scheduleKeys  = 3
)
