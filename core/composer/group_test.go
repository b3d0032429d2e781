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

// hugeTokens is a prompt length of more than twice the KV memory of one server, in tokens.
const hugeTokens = 210_000

func TestPromptLargerThanOneServer(t *testing.T) {
	withSite(t, 3, 12, func(c *qt.C, s *fake.Site) {
		text := prompt("huge æøå", hugeTokens)
		checkCompleteAnswer(c, s.Complete(s.Context, 0, text, 40, dragonflypass.RankBulk), text, 40)
		time.Sleep(5 * time.Second)
		c.Check(usedMemory(s), qt.Equals, 0)
		c.Check(reservedMemory(s, -1), qt.Equals, 0)
	})
}

// TestConcurrentGroupsDoNotDeadlock sends prompts that each need most servers of a zone, two through each VM at once.
func TestConcurrentGroupsDoNotDeadlock(t *testing.T) {
	withSite(t, 3, 12, func(c *qt.C, s *fake.Site) {
		var wg sync.WaitGroup
		results := make([]*fake.Answer, 6)
		for i := range results {
			results[i] = &fake.Answer{}
			wg.Go(func() {
				s.CompleteInto(s.Context, results[i], i%3, prompt(fmt.Sprintf("huge%d", i), hugeTokens), 40, dragonflypass.RankBulk)
			})
		}
		wg.Wait()
		completed := 0
		for i, a := range results {
			if a.Err == nil {
				completed++
				checkCompleteAnswer(c, a, prompt(fmt.Sprintf("huge%d", i), hugeTokens), 40)
				continue
			}
			checkExecutionStatus(c, a)
		}
		c.Check(completed >= 3, qt.IsTrue, qt.Commentf("%d complete answers", completed))
		time.Sleep(5 * time.Second)
		c.Check(usedMemory(s), qt.Equals, 0)
		c.Check(reservedMemory(s, -1), qt.Equals, 0)
	})
}

func TestGroupMemberCrashes(t *testing.T) {
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
						server.Crash()
						break
					}
				}
				<-done
				checkCompleteAnswer(c, answer, text, 40)
				time.Sleep(5 * time.Second)
				c.Check(usedMemory(s), qt.Equals, 0)
				c.Check(reservedMemory(s, -1), qt.Equals, 0)
			})
		})
	}
}

// TestEntryVMCrashesDuringGroupPrefill kills the entry VM while it sets up a group. The memory of the group must be freed.
func TestEntryVMCrashesDuringGroupPrefill(t *testing.T) {
	withSite(t, 3, 12, func(c *qt.C, s *fake.Site) {
		go s.CompleteInto(s.Context, &fake.Answer{}, 0, prompt("huge", hugeTokens), 40, dragonflypass.RankBulk)
		time.Sleep(14 * time.Second)
		c.Assert(usedMemory(s) > 0, qt.IsTrue)
		s.Kill(0)
		options := s.Nodes[1].Options
		time.Sleep(options.Lease + options.ReportLag + 2*options.HeartbeatInterval)
		c.Check(usedMemory(s), qt.Equals, 0)
	})
}

// TestGroupLeavesServersForShortPrompts checks that a group never takes all servers: one must stay free for short prompts.
func TestGroupLeavesServersForShortPrompts(t *testing.T) {
	prepare := func(s *fake.Site) { s.Zones = []dragonflypass.AvailabilityZone{"a"} }
	withPreparedSite(t, 1, 3, prepare, func(c *qt.C, s *fake.Site) {
		answer := s.Complete(s.Context, 0, prompt("huge", hugeTokens), 40, dragonflypass.RankBulk)
		refusal, ok := dragonflypass.AsRefusal(answer.Err)
		c.Assert(ok, qt.IsTrue)
		c.Check(refusal.Reason, qt.Equals, dragonflypass.ReasonNoServer)
		c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo)
	})
}

// TestGroupsOfOneAccountDoNotBlockEachOther sends nine prompts of one account that each need three of four servers.
func TestGroupsOfOneAccountDoNotBlockEachOther(t *testing.T) {
	prepare := func(s *fake.Site) {
		for _, server := range s.Servers {
			server.KVCapacity, server.PrefillRate, server.DecodeRate = 120_000, 400_000, 100
		}
	}
	withPreparedSite(t, 6, 12, prepare, func(c *qt.C, s *fake.Site) {
		var wg sync.WaitGroup
		for i := range 9 {
			wg.Go(func() {
				text := prompt(fmt.Sprintf("huge%d", i), 270_000)
				checkCompleteAnswer(c, s.Complete(s.Context, i%6, text, 24, dragonflypass.Rank(i%3)), text, 24)
			})
		}
		wg.Wait()
	})
}
