package composer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/composer"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// sendWaitingPrompts sends two prompts through the first VM. The first one waits for the only server, which sends no head for a
// long time, and the second one for its permit.
func sendWaitingPrompts(s *fake.RelaySite) []chan *fake.ResponseRecorder {
	s.ModelServers[0].TimeToHead = 20 * time.Second
	answers := make([]chan *fake.ResponseRecorder, 2)
	for i, tokens := range []int{500, 150_000} {
		answers[i] = make(chan *fake.ResponseRecorder, 1)
		e := fake.NewExchange(fmt.Sprintf("stream-%d", i), "/single/x", tokens)
		go func() { answers[i] <- s.Send(0, e) }()
		time.Sleep(500 * time.Millisecond)
	}
	return answers
}

// TestRequestWaitingAtEndOfShutdownIsRefused ends a shutdown while one prompt waits for a permit and another for its server.
func TestRequestWaitingAtEndOfShutdownIsRefused(t *testing.T) {
	withRelaySite(t, 1, 1, 1, func(c *qt.C, s *fake.RelaySite) {
		answers := sendWaitingPrompts(s)
		s.Nodes[0].Leave(s.Context)
		time.Sleep(time.Second)
		start := time.Now()
		s.Nodes[0].Relayer.EndOpen()
		for i, executed := range []dragonflypass.Executed{dragonflypass.ExecutedMaybe, dragonflypass.ExecutedNo} {
			refusal, ok := dragonflypass.AsRefusal((<-answers[i]).Err)
			c.Assert(ok, qt.IsTrue)
			c.Check(refusal.Executed, qt.Equals, executed)
			c.Check(refusal.Reason, qt.Equals, dragonflypass.ReasonLeaving)
		}
		c.Check(time.Since(start) < 100*time.Millisecond, qt.IsTrue)
		checkNothingReserved(c, s)
	})
}

// shutdownTime is the time from the start of a shutdown until its end in the tests below.
const shutdownTime = 7300 * time.Millisecond

// setShutdownTime limits the shutdowns of the site's VMs, which must not have been started.
func setShutdownTime(s *fake.RelaySite) {
	s.Options = func(options *composer.RelayOptions) { options.ShutdownTime = shutdownTime }
}

// TestRequestReadLateInShutdownIsNotPassedOn starts a shutdown while the bodies of requests are being received.
func TestRequestReadLateInShutdownIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := fake.NewRelaySite(t.Context(), 2, 2, 2)
		setShutdownTime(s)
		s.Start()
		late := []*dragonflypass.Exchange{fake.NewExchange("write", "/write/x", 0), fake.NewExchange("stream", "/stream/x", 500), fake.NewExchange("single", "/single/x", 500)}
		ends := fake.NewExchange("ends", "/write/x", 0)
		time.Sleep(time.Second)
		s.Nodes[0].Leave(s.Context)
		time.Sleep(4 * time.Second)
		for _, e := range late {
			got := s.Send(0, e)
			c.Check(refusalReason(got.Err), qt.Equals, dragonflypass.ReasonLeaving, qt.Commentf("%s", e.ID))
			c.Check(executionCount(append(s.PlainServers, s.ModelServers...), e.ID), qt.Equals, 0, qt.Commentf("%s", e.ID))
		}
		ends.Deadline = time.Now().Add(time.Second)
		c.Check(s.Send(0, ends).Err, qt.IsNil)
		checkNothingReserved(c, s)
	})
}

// TestPromptWaitingInShutdownIsRefusedEarly lets a prompt wait for a permit when a VM starts to shut down.
func TestPromptWaitingInShutdownIsRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := fake.NewRelaySite(t.Context(), 1, 1, 1)
		setShutdownTime(s)
		s.Start()
		answers := sendWaitingPrompts(s)
		start := time.Now()
		s.Nodes[0].Leave(s.Context)
		refusal, ok := dragonflypass.AsRefusal((<-answers[1]).Err)
		c.Assert(ok, qt.IsTrue)
		c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo)
		c.Check(refusal.Reason, qt.Equals, dragonflypass.ReasonLeaving)
		c.Check(time.Since(start) < shutdownTime/2, qt.IsTrue, qt.Commentf("after %s", time.Since(start)))
		s.Nodes[0].Relayer.EndOpen()
		<-answers[0]
		checkNothingReserved(c, s)
	})
}
