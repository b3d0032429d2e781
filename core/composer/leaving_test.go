package composer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// leaveLimit is the time after which a leaving VM must get no new requests.
const leaveLimit = 5 * time.Second

// startLoad sends a prompt through each of the nodes every 200 ms until the returned function is called.
func startLoad(s *fake.Site, nodes ...int) (stop func()) {
	stopping := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-stopping:
				return
			case <-time.After(200 * time.Millisecond):
			}
			for _, node := range nodes {
				go s.CompleteInto(s.Context, &fake.Answer{}, node, prompt(fmt.Sprintf("l%d-%d", node, i), 100), 10, dragonflypass.RankUrgent)
			}
		}
	}()
	return func() {
		close(stopping)
		<-stopped
	}
}

func TestLeavingVMGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *fake.Site)
	}{
		{name: "list of VMs lags by 60 s", fault: func(s *fake.Site) {}},
		{name: "leaves while disconnected from another VM", fault: func(s *fake.Site) { s.Network.SetDisconnected("vm-1", "vm-2", true) }},
		{name: "leaves while disconnected from all VMs", fault: func(s *fake.Site) {
			for i := 1; i < len(s.Nodes); i++ {
				s.Network.SetDisconnected("vm-1", s.VM(i).ID, true)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withSite(t, 4, 4, func(c *qt.C, s *fake.Site) {
				s.Directory.SetLag(time.Minute)
				stop := startLoad(s, 1, 2, 3)
				time.Sleep(3 * time.Second)
				test.fault(s)
				s.Nodes[0].Drainer.Start(s.Context)
				time.Sleep(leaveLimit)
				permitsBefore := s.Nodes[0].Meter.Count(dragonflypass.CountPermitGranted)
				time.Sleep(10 * time.Second)
				c.Check(s.Nodes[0].Meter.Count(dragonflypass.CountPermitGranted), qt.Equals, permitsBefore)
				for i := 1; i < len(s.Nodes); i++ {
					for _, m := range s.Nodes[i].Detector.Others() {
						if m.VM.ID == "vm-1" {
							c.Check(m.State, qt.Not(qt.Equals), dragonflypass.MemberLive)
						}
					}
				}
				answer := s.Complete(s.Context, 0, prompt("late", 100), 10, dragonflypass.RankUrgent)
				refusal, ok := dragonflypass.AsRefusal(answer.Err)
				c.Assert(ok, qt.IsTrue)
				c.Check(refusal.Reason, qt.Equals, dragonflypass.ReasonLeaving)
				c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo)
				stop()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestRestartedVMGetsWorkWhileListedAsLeaving restarts a VM while the platform's list still shows it as leaving. The VM
// must get requests again.
func TestRestartedVMGetsWorkWhileListedAsLeaving(t *testing.T) {
	withSite(t, 3, 3, func(c *qt.C, s *fake.Site) {
		s.Directory.SetLag(time.Minute)
		s.Nodes[0].Drainer.Start(s.Context)
		time.Sleep(2 * time.Second)
		s.Kill(0)
		time.Sleep(2 * time.Second)
		s.StartNode(0)
		time.Sleep(5 * time.Second)
		for _, m := range s.Nodes[1].Detector.Others() {
			if m.VM.ID == "vm-1" {
				c.Check(m.State, qt.Equals, dragonflypass.MemberLive)
			}
		}
		text := prompt("again", 100)
		checkCompleteAnswer(c, s.Complete(s.Context, 0, text, 10, dragonflypass.RankUrgent), text, 10)
	})
}

// TestHeartbeatOfOldIncarnationIsIgnored delivers a delayed heartbeat that a VM sent before its restart.
func TestHeartbeatOfOldIncarnationIsIgnored(t *testing.T) {
	withSite(t, 2, 1, func(c *qt.C, s *fake.Site) {
		stale := dragonflypass.Heartbeat{From: s.VM(1), Incarnation: 1}
		stale.From.Leaving = true
		s.Nodes[0].Detector.ExchangeHeartbeat(stale)
		c.Check(s.Nodes[0].Detector.Others()[0].State, qt.Equals, dragonflypass.MemberLive)
	})
}
