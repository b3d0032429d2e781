package composer_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// hugeTokens is more than twice the memory of one server.
const hugeTokens = 210_000

func TestPromptLargerThanOneServer(t *testing.T) {
	withSite(t, 3, 12, func(c *qt.C, s *fake.Site) {
		text := prompt("huge æøå", hugeTokens)
		checkWhole(c, s.Complete(s.Context, 0, text, 40, dragonflypass.RankBulk), text, 40)
		time.Sleep(5 * time.Second)
		c.Check(held(s), qt.Equals, 0)
		c.Check(reserved(s, -1), qt.Equals, 0)
	})
}

// TestGroupsThatCouldDeadlock has two prompts at once that each need most servers of a zone.
func TestGroupsThatCouldDeadlock(t *testing.T) {
	withSite(t, 3, 12, func(c *qt.C, s *fake.Site) {
		var all sync.WaitGroup
		results := make([]*fake.Answer, 6)
		for i := range results {
			results[i] = &fake.Answer{}
			all.Go(func() {
				s.CompleteInto(s.Context, results[i], i%3, prompt(fmt.Sprintf("huge%d", i), hugeTokens), 40, dragonflypass.RankBulk)
			})
		}
		all.Wait()
		whole := 0
		for i, a := range results {
			if a.Err == nil {
				whole++
				checkWhole(c, a, prompt(fmt.Sprintf("huge%d", i), hugeTokens), 40)
				continue
			}
			checkRan(c, a)
		}
		c.Check(whole >= 3, qt.IsTrue, qt.Commentf("%d whole answers", whole))
		time.Sleep(5 * time.Second)
		c.Check(held(s), qt.Equals, 0)
		c.Check(reserved(s, -1), qt.Equals, 0)
	})
}

func TestGroupMemberDies(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, 8 * time.Second, 20 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			withSite(t, 3, 12, func(c *qt.C, s *fake.Site) {
				text := prompt("huge", hugeTokens)
				answer := &fake.Answer{}
				done := make(chan struct{})
				go func() {
					s.CompleteInto(s.Context, answer, 0, text, 40, dragonflypass.RankBulk)
					close(done)
				}()
				time.Sleep(delay)
				for _, server := range s.Servers {
					if server.Used() > 0 {
						server.Die()
						break
					}
				}
				<-done
				checkWhole(c, answer, text, 40)
				time.Sleep(5 * time.Second)
				c.Check(held(s), qt.Equals, 0)
				c.Check(reserved(s, -1), qt.Equals, 0)
			})
		})
	}
}

// TestEntryVMDiesWithAGroup leaves a half-built group behind; its memory comes back.
func TestEntryVMDiesWithAGroup(t *testing.T) {
	withSite(t, 3, 12, func(c *qt.C, s *fake.Site) {
		go s.CompleteInto(s.Context, &fake.Answer{}, 0, prompt("huge", hugeTokens), 40, dragonflypass.RankBulk)
		time.Sleep(14 * time.Second)
		c.Assert(held(s) > 0, qt.IsTrue)
		s.Kill(0)
		o := s.Nodes[1].Options
		time.Sleep(o.Lease + o.ReportLag + 2*o.HeartbeatInterval)
		c.Check(held(s), qt.Equals, 0)
	})
}

// TestGroupLeavesServersToShortWork keeps a server for short prompts where a group would take them all.
func TestGroupLeavesServersToShortWork(t *testing.T) {
	prepare := func(s *fake.Site) { s.Zones = []dragonflypass.AvailabilityZone{"a"} }
	synctestSite(t, 1, 3, prepare, func(c *qt.C, s *fake.Site) {
		refused := s.Complete(s.Context, 0, prompt("huge", hugeTokens), 40, dragonflypass.RankBulk)
		refusal, ok := dragonflypass.AsRefusal(refused.Err)
		c.Assert(ok, qt.IsTrue)
		c.Check(refusal.Reason, qt.Equals, dragonflypass.ReasonNoServer)
		c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo)
	})
}

// TestGroupsOfOneAccountDoNotHoldEachOtherUp has nine prompts of one account that each need three of four servers.
func TestGroupsOfOneAccountDoNotHoldEachOtherUp(t *testing.T) {
	prepare := func(s *fake.Site) {
		for _, server := range s.Servers {
			server.Memory, server.Prefill, server.Decode = 120_000, 400_000, 100
		}
	}
	synctestSite(t, 6, 12, prepare, func(c *qt.C, s *fake.Site) {
		var all sync.WaitGroup
		for i := range 9 {
			all.Go(func() {
				text := prompt(fmt.Sprintf("huge%d", i), 270_000)
				checkWhole(c, s.Complete(s.Context, i%6, text, 24, dragonflypass.Rank(i%3)), text, 24)
			})
		}
		all.Wait()
	})
}
