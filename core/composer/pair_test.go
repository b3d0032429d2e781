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

// fault injects a failure into a site and repairs it.
type fault struct {
	name string
	// inject is called while requests run, repair some seconds later.
	inject func(s *fake.Site)
	repair func(s *fake.Site)
	// killsFirstNode means that the first node is killed, so that its callers get no answer.
	killsFirstNode bool
}

func noRepair(*fake.Site) {}

// singleFaults returns the faults that affect the shared tables of permits, servers and members.
func singleFaults() []fault {
	return []fault{
		{name: "entry VM crashes", inject: func(s *fake.Site) { s.Kill(0) }, repair: noRepair, killsFirstNode: true},
		{
			name:   "VM freezes and resumes",
			inject: func(s *fake.Site) { s.Network.SetFrozen("vm-2", true) },
			repair: func(s *fake.Site) { s.Network.SetFrozen("vm-2", false) },
		},
		{name: "server crashes", inject: func(s *fake.Site) { s.Servers[1].Crash() }, repair: func(s *fake.Site) { s.Servers[1].Restart() }},
		{name: "server freezes", inject: func(s *fake.Site) { s.Servers[2].Freeze(true) }, repair: func(s *fake.Site) { s.Servers[2].Freeze(false) }},
		{
			name:   "cancellations lost",
			inject: func(s *fake.Site) { s.Engines.SetFailCancels(true) },
			repair: func(s *fake.Site) { s.Engines.SetFailCancels(false) },
		},
		{
			name:   "connections cut",
			inject: func(s *fake.Site) { s.Engines.SetBreakAfter(15) },
			repair: func(s *fake.Site) { s.Engines.SetBreakAfter(0) },
		},
		{
			name: "links cut",
			inject: func(s *fake.Site) {
				s.Network.SetDisconnected("vm-3", "vm-4", true)
				s.Network.SetDisconnected("vm-3", "vm-5", true)
			},
			repair: func(s *fake.Site) {
				s.Network.SetDisconnected("vm-3", "vm-4", false)
				s.Network.SetDisconnected("vm-3", "vm-5", false)
			},
		},
		{name: "log down", inject: func(s *fake.Site) { s.Log.SetDown(true) }, repair: func(s *fake.Site) { s.Log.SetDown(false) }},
		{
			name: "reports lag",
			inject: func(s *fake.Site) {
				for _, server := range s.Servers {
					server.SetReportLag(1500 * time.Millisecond)
				}
			},
			repair: noRepair,
		},
	}
}

// TestTwoFaultsTogether injects each pair of faults. Answers without an error must be complete, all requests must end in
// time, and the memory must be freed.
func TestTwoFaultsTogether(t *testing.T) {
	if testing.Short() {
		t.Skip("36 pairs are slow under the race detector; make test runs them without it")
	}
	faults := singleFaults()
	for i, first := range faults {
		for _, second := range faults[i+1:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				withSite(t, 6, 6, func(c *qt.C, s *fake.Site) { checkPair(c, s, first, second) })
			})
		}
	}
}

func checkPair(c *qt.C, s *fake.Site, first, second fault) {
	const count, output = 36, 80
	timeout := dragonflypass.DefaultRanks()[dragonflypass.RankUrgent].Timeout
	start := time.Now()
	time.AfterFunc(6*time.Second, func() {
		first.repair(s)
		second.repair(s)
	})
	results := completeAll(s, count, output, dragonflypass.RankUrgent, func() {
		first.inject(s)
		time.Sleep(200 * time.Millisecond)
		second.inject(s)
	})
	for i, a := range results {
		if i%len(s.Nodes) == 0 && (first.killsFirstNode || second.killsFirstNode) {
			continue
		}
		c.Check(a.EndedAt.Sub(start) <= timeout+deadlineTolerance, qt.IsTrue, qt.Commentf("request %d took %s", i, a.EndedAt.Sub(start)))
		checkExecutionStatus(c, a)
		if a.Err == nil {
			checkCompleteAnswer(c, a, prompt(fmt.Sprintf("p%d", i), 500), output)
		}
	}
	time.Sleep(max(0, 7*time.Second-time.Since(start)))
	options := composer.Defaults(s.VM(0), 0)
	time.Sleep(options.Lease + options.ReportLag + 2*options.HeartbeatInterval)
	c.Check(usedMemory(s), qt.Equals, 0)
	after := s.Complete(s.Context, 1, prompt("after", 200), 10, dragonflypass.RankUrgent)
	checkCompleteAnswer(c, after, prompt("after", 200), 10)
}
