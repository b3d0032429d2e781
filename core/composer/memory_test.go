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

// held sums the memory in use at all servers in tokens.
func held(s *fake.Site) int {
	total := 0
	for _, server := range s.Servers {
		total += server.Used()
	}
	return total
}

// reserved sums the memory that the live owners have reserved in tokens.
func reserved(s *fake.Site, except int) int {
	total := 0
	for i, node := range s.Nodes {
		if i == except || node.Dead() {
			continue
		}
		for _, row := range node.Scheduler.State().Servers {
			total += row.Reserved
		}
	}
	return total
}

func TestMemoryReturned(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *fake.Site)
		// dead is the index of the node that was killed, -1 for none.
		dead int
	}{
		{name: "entry VM and all owners but one killed together", dead: 0, fault: func(s *fake.Site) {
			for i := range 5 {
				s.Kill(i)
			}
		}},
		{name: "entry VM killed", dead: 0, fault: func(s *fake.Site) { s.Kill(0) }},
		{name: "entry VM killed and cancellations lost for a while", dead: 0, fault: func(s *fake.Site) {
			s.Engines.SetLoseCancels(true)
			s.Kill(0)
			time.AfterFunc(8*time.Second, func() { s.Engines.SetLoseCancels(false) })
		}},
		{name: "entry VM killed while the reports lag", dead: 0, fault: func(s *fake.Site) {
			for _, server := range s.Servers {
				server.SetLag(1500 * time.Millisecond)
			}
			s.Kill(0)
		}},
		{name: "entry VM killed while the owner changes", dead: 0, fault: func(s *fake.Site) {
			s.Kill(0)
			s.Network.Freeze("vm-2", true)
			time.AfterFunc(6*time.Second, func() { s.Network.Freeze("vm-2", false) })
		}},
		{name: "callers go away and cancellations are lost for a while", dead: -1, fault: func(s *fake.Site) {
			s.Engines.SetLoseCancels(true)
			time.AfterFunc(4*time.Second, func() { s.Engines.SetLoseCancels(false) })
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withSite(t, 6, 6, func(c *qt.C, s *fake.Site) {
				ctx, leave := contextWithCancel(s)
				for i := range 24 {
					go s.CompleteInto(ctx, &fake.Answer{}, 0, prompt(fmt.Sprintf("p%d", i), 2000), 4000, dragonflypass.RankBulk)
				}
				time.Sleep(1200 * time.Millisecond)
				c.Assert(held(s) > 0, qt.IsTrue)
				for _, server := range s.Servers {
					server.Freeze(true)
				}
				test.fault(s)
				leave()
				o := composer.Defaults(s.VM(0), 0)
				time.Sleep(o.Lease + o.ReportLag + 2*o.HeartbeatInterval)
				if s.Nodes[1].Dead() {
					// The new owner starts its lease when it first hears of the streams.
					time.Sleep(5 * o.HeartbeatInterval)
				}
				c.Check(held(s), qt.Equals, 0)
				time.Sleep(o.ReportLag + 2*o.HeartbeatInterval)
				c.Check(reserved(s, test.dead), qt.Equals, 0)
			})
		})
	}
}

// TestOwnerChangeCutsNothing has streams outlive the death of the owner that granted them.
func TestOwnerChangeCutsNothing(t *testing.T) {
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
		started := s.Engines.Streams()
		s.Kill(owner)
		<-done
		checkWhole(c, answer, text, 2000)
		c.Check(s.Engines.Streams(), qt.Equals, started)
	})
}
