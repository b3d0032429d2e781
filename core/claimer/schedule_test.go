package claimer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
)

// TestRandomSchedules makes calls with repeated keys while nodes and the log fail. No key may run twice, and no
// outcome that a caller received may be lost.
func TestRandomSchedules(t *testing.T) {
	const groups = 50
	schedules := 10_000
	if testing.Short() {
		// The race detector is slow; make test runs all schedules without it.
		schedules = 1_000
	}
	for group := range groups {
		t.Run(fmt.Sprint(group), func(t *testing.T) {
			t.Parallel()
			for i := range schedules / groups {
				seed := uint64(group*schedules + i)
				synctest.Test(t, func(t *testing.T) { runSchedule(qt.New(t), t.Context(), seed) })
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
		})
	}
}

// runSchedule runs one random schedule.
func runSchedule(c *qt.C, ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	s := newSite(ctx, 3)
	responses := &keyCounter{counts: make(map[string]int)}
	var calls sync.WaitGroup
	for range scheduleSteps {
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		n := s.nodes[len(s.nodes)-1-random.IntN(3)]
		key := fmt.Sprint("k", random.IntN(scheduleKeys))
		switch random.IntN(10) {
		case 0:
			s.log.SetDown(true)
		case 1:
			s.log.SetDown(false)
		case 2:
			s.log.LoseResponses(1 + random.IntN(2))
		case 3:
			s.log.DelayNextAppend(time.Duration(random.IntN(8000)) * time.Millisecond)
		case 4:
			n.kill()
			n.reach.SetDisconnected(true)
			s.addNode()
		case 5:
			n.reach.SetDisconnected(random.IntN(2) == 0)
		default:
			send := randomSend(s, random, key, n)
			calls.Go(func() {
				if _, err := s.call(n, key, "b", send); err == nil {
					responses.add(key)
				}
			})
		}
	}
	calls.Wait()
	s.log.SetDown(false)
	newNode := s.addNode()
	time.Sleep(20 * time.Second)
	for i := range scheduleKeys {
		key := fmt.Sprint("k", i)
		before := s.runs.count(key)
		c.Check(before <= 1, qt.IsTrue, qt.Commentf("seed %d: %s ran %d times", seed, key, before))
		if responses.count(key) == 0 {
			continue
		}
		_, err := s.call(newNode, key, "b", s.succeed(key))
		c.Check(s.runs.count(key), qt.Equals, 1, qt.Commentf("seed %d: %s did not run exactly once although a caller received its response", seed, key))
		if err != nil {
			_, executed := refusalReason(c, err)
			c.Check(executed, qt.Equals, dragonflypass.ExecutedMaybe, qt.Commentf("seed %d: the outcome of %s was lost", seed, key))
		}
	}
}

// randomSend returns a send function that runs the call after a delay or refuses it; it may lose the response or kill the node.
func randomSend(s *site, random *rand.Rand, key string, n *node) func(context.Context) error {
	delay := time.Duration(random.IntN(4000)) * time.Millisecond
	if random.IntN(8) == 0 {
		delay += 3 * callTimeout
	}
	fault := random.IntN(8)
	return func(context.Context) error {
		time.Sleep(delay)
		switch fault {
		case 0:
			return dragonflypass.ErrRefused
		case 1:
			s.runs.add(key)
			return dragonflypass.ErrUncertain
		case 2:
			s.runs.add(key)
			n.kill()
			n.reach.SetDisconnected(true)
			return nil
		}
		s.runs.add(key)
		return nil
	}
}
