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

// fault is something that happens to a site, and how it ends.
type fault struct {
	name string
	// cause is called while requests run, mend some seconds later.
	cause func(s *fake.Site)
	mend  func(s *fake.Site)
	// kills is set when the first node dies, whose callers then get no answer.
	kills bool
}

func none(*fake.Site) {}

// singleFaults are the faults that share the tables of permits, servers and members.
func singleFaults() []fault {
	return []fault{
		{name: "entry VM dies", cause: func(s *fake.Site) { s.Kill(0) }, mend: none, kills: true},
		{
			name:  "VM frozen, then wakes",
			cause: func(s *fake.Site) { s.Network.Freeze("vm-2", true) },
			mend:  func(s *fake.Site) { s.Network.Freeze("vm-2", false) },
		},
		{name: "server dies", cause: func(s *fake.Site) { s.Servers[1].Die() }, mend: func(s *fake.Site) { s.Servers[1].Revive() }},
		{name: "server freezes", cause: func(s *fake.Site) { s.Servers[2].Freeze(true) }, mend: func(s *fake.Site) { s.Servers[2].Freeze(false) }},
		{
			name:  "cancellations lost",
			cause: func(s *fake.Site) { s.Engines.SetLoseCancels(true) },
			mend:  func(s *fake.Site) { s.Engines.SetLoseCancels(false) },
		},
		{
			name:  "connections cut",
			cause: func(s *fake.Site) { s.Engines.SetCutAfter(15) },
			mend:  func(s *fake.Site) { s.Engines.SetCutAfter(0) },
		},
		{
			name: "links cut",
			cause: func(s *fake.Site) {
				s.Network.Cut("vm-3", "vm-4", true)
				s.Network.Cut("vm-3", "vm-5", true)
			},
			mend: func(s *fake.Site) {
				s.Network.Cut("vm-3", "vm-4", false)
				s.Network.Cut("vm-3", "vm-5", false)
			},
		},
		{name: "log down", cause: func(s *fake.Site) { s.Log.SetDown(true) }, mend: func(s *fake.Site) { s.Log.SetDown(false) }},
		{
			name: "reports lag",
			cause: func(s *fake.Site) {
				for _, server := range s.Servers {
					server.SetLag(1500 * time.Millisecond)
				}
			},
			mend: none,
		},
	}
}

// TestTwoFaultsTogether causes each pair of faults: whatever ends well is whole, all end in time, and the memory comes back.
func TestTwoFaultsTogether(t *testing.T) {
	if testing.Short() {
		t.Skip("36 pairs take a while under the race detector; make test runs them without")
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
	within := dragonflypass.DefaultRanks()[dragonflypass.RankUrgent].Timeout
	begun := time.Now()
	time.AfterFunc(6*time.Second, func() {
		first.mend(s)
		second.mend(s)
	})
	results := answers(s, count, output, dragonflypass.RankUrgent, func() {
		first.cause(s)
		time.Sleep(200 * time.Millisecond)
		second.cause(s)
	})
	for i, a := range results {
		if i%len(s.Nodes) == 0 && (first.kills || second.kills) {
			continue
		}
		c.Check(a.Ended.Sub(begun) <= within+deadlineSlack, qt.IsTrue, qt.Commentf("request %d took %s", i, a.Ended.Sub(begun)))
		checkRan(c, a)
		if a.Err == nil {
			checkWhole(c, a, prompt(fmt.Sprintf("p%d", i), 500), output)
		}
	}
	time.Sleep(max(0, 7*time.Second-time.Since(begun)))
	o := composer.Defaults(s.VM(0), 0)
	time.Sleep(o.Lease + o.ReportLag + 2*o.HeartbeatInterval)
	c.Check(held(s), qt.Equals, 0)
	after := s.Complete(s.Context, 1, prompt("after", 200), 10, dragonflypass.RankUrgent)
	checkWhole(c, after, prompt("after", 200), 10)
}
