package composer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// leaveTime is the time after which a leaving VM gets no new work.
const leaveTime = 5 * time.Second

// load sends a prompt through each of the nodes every 200 ms until stop is called.
func load(s *fake.Site, nodes ...int) (stop func()) {
	quit := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-quit:
				return
			case <-time.After(200 * time.Millisecond):
			}
			for _, node := range nodes {
				go s.CompleteInto(s.Context, &fake.Answer{}, node, prompt(fmt.Sprintf("l%d-%d", node, i), 100), 10, dragonflypass.RankUrgent)
			}
		}
	}()
	return func() {
		close(quit)
		<-stopped
	}
}

func TestLeavingVMGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *fake.Site)
	}{
		{name: "list lags by 60 s", fault: func(s *fake.Site) {}},
		{name: "leaves while cut off from another VM", fault: func(s *fake.Site) { s.Network.Cut("vm-1", "vm-2", true) }},
		{name: "leaves while cut off from all", fault: func(s *fake.Site) {
			for i := 1; i < len(s.Nodes); i++ {
				s.Network.Cut("vm-1", s.VM(i).ID, true)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withSite(t, 4, 4, func(c *qt.C, s *fake.Site) {
				s.Directory.SetLag(time.Minute)
				stop := load(s, 1, 2, 3)
				time.Sleep(3 * time.Second)
				test.fault(s)
				s.Nodes[0].Drainer.Start(s.Context)
				time.Sleep(leaveTime)
				before := s.Nodes[0].Meter.Count(dragonflypass.CountPermitGranted)
				time.Sleep(10 * time.Second)
				c.Check(s.Nodes[0].Meter.Count(dragonflypass.CountPermitGranted), qt.Equals, before)
				for i := 1; i < len(s.Nodes); i++ {
					for _, m := range s.Nodes[i].Detector.Others() {
						if m.VM.ID == "vm-1" {
							c.Check(m.State, qt.Not(qt.Equals), dragonflypass.MemberLive)
						}
					}
				}
				refused := s.Complete(s.Context, 0, prompt("late", 100), 10, dragonflypass.RankUrgent)
				refusal, ok := dragonflypass.AsRefusal(refused.Err)
				c.Assert(ok, qt.IsTrue)
				c.Check(refusal.Reason, qt.Equals, dragonflypass.ReasonLeaving)
				c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo)
				stop()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestVMReturns has a VM come back, while the list still calls it leaving, and get work again.
func TestVMReturns(t *testing.T) {
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
		checkWhole(c, s.Complete(s.Context, 0, text, 10, dragonflypass.RankUrgent), text, 10)
	})
}

// TestOldIncarnationIsDropped has a heartbeat from before a VM's restart arrive late.
func TestOldIncarnationIsDropped(t *testing.T) {
	withSite(t, 2, 1, func(c *qt.C, s *fake.Site) {
		late := dragonflypass.Heartbeat{From: s.VM(1), Incarnation: 1}
		late.From.Leaving = true
		s.Nodes[0].Detector.Exchange(late)
		c.Check(s.Nodes[0].Detector.Others()[0].State, qt.Equals, dragonflypass.MemberLive)
	})
}
