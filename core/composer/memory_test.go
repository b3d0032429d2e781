package composer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/composer"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// usedMemory returns the KV memory in use at all servers, in tokens.
func usedMemory(s *fake.Site) int {
	total := 0
	for _, server := range s.Servers {
		total += server.Used()
	}
	return total
}

// reservedMemory returns the KV memory that the live owners have reserved, in tokens. It skips the node with
// the index excluded; -1 skips none.
func reservedMemory(s *fake.Site, excluded int) int {
	total := 0
	for i, node := range s.Nodes {
		if i == excluded || node.Killed() {
			continue
		}
		for _, server := range node.Scheduler.State().Servers {
			total += server.Reserved
		}
	}
	return total
}

func TestMemoryIsFreed(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *fake.Site)
		// killedNode is the index of the killed node that sent the requests, -1 for none.
		killedNode int
	}{
		{name: "entry VM and all owners but one killed together", killedNode: 0, fault: func(s *fake.Site) {
			for i := range 5 {
				s.Kill(i)
			}
		}},
		{name: "entry VM killed", killedNode: 0, fault: func(s *fake.Site) { s.Kill(0) }},
		{name: "entry VM killed and cancellations lost for a while", killedNode: 0, fault: func(s *fake.Site) {
			s.Engines.SetFailCancels(true)
			s.Kill(0)
			time.AfterFunc(8*time.Second, func() { s.Engines.SetFailCancels(false) })
		}},
		{name: "entry VM killed while the reports lag", killedNode: 0, fault: func(s *fake.Site) {
			for _, server := range s.Servers {
				server.SetReportLag(1500 * time.Millisecond)
			}
			s.Kill(0)
		}},
		{name: "entry VM killed while the owner changes", killedNode: 0, fault: func(s *fake.Site) {
			s.Kill(0)
			s.Network.SetFrozen("vm-2", true)
			time.AfterFunc(6*time.Second, func() { s.Network.SetFrozen("vm-2", false) })
		}},
		{name: "callers disconnect and cancellations are lost for a while", killedNode: -1, fault: func(s *fake.Site) {
			s.Engines.SetFailCancels(true)
			time.AfterFunc(4*time.Second, func() { s.Engines.SetFailCancels(false) })
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withSite(t, 6, 6, func(c *qt.C, s *fake.Site) {
				ctx, cancel := contextWithCancel(s)
				for i := range 24 {
					go s.CompleteInto(ctx, &fake.Answer{}, 0, prompt(fmt.Sprintf("p%d", i), 2000), 4000, dragonflypass.RankBulk)
				}
				time.Sleep(1200 * time.Millisecond)
				c.Assert(usedMemory(s) > 0, qt.IsTrue)
				for _, server := range s.Servers {
					server.Freeze(true)
				}
				test.fault(s)
				cancel()
				options := composer.Defaults(s.VM(0), 0)
				time.Sleep(options.Lease + options.ReportLag + 2*options.HeartbeatInterval)
				if s.Nodes[1].Killed() {
					// The lease at the new owner starts when the owner first receives a report of the streams.
					time.Sleep(5 * options.HeartbeatInterval)
				}
				c.Check(usedMemory(s), qt.Equals, 0)
				time.Sleep(options.ReportLag + 2*options.HeartbeatInterval)
				c.Check(reservedMemory(s, test.killedNode), qt.Equals, 0)
			})
		})
	}
}

// TestStreamsSurviveOwnerCrash kills the owner that granted the permit of a stream. The stream must continue without
// a new attempt.
func TestStreamsSurviveOwnerCrash(t *testing.T) {
	withSite(t, 6, 3, func(c *qt.C, s *fake.Site) {
		owner := -1
		for i, node := range s.Nodes {
			if len(node.Scheduler.Owned()) > 0 {
				owner = i
			}
		}
		entry := (owner + 1) % len(s.Nodes)
		text := prompt("<long>", 1000)
		answer := &fake.Answer{}
		done := make(chan struct{})
		go func() {
			s.CompleteInto(s.Context, answer, entry, text, 2000, dragonflypass.RankBulk)
			close(done)
		}()
		time.Sleep(time.Second)
		streamsBefore := s.Engines.StreamCalls()
		s.Kill(owner)
		<-done
		checkCompleteAnswer(c, answer, text, 2000)
		c.Check(s.Engines.StreamCalls(), qt.Equals, streamsBefore)
	})
}
