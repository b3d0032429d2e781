package composer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// TestSlowPlainServerGetsLittle guards against a server that answers late but gets as many requests as the others, and checks
// that a VM knows from the others what requests cost that it has not relayed.
func TestSlowPlainServerGetsLittle(t *testing.T) {
	withRelaySite(t, 3, 3, 0, func(c *qt.C, s *fake.RelaySite) {
		slow := s.PlainServers[1]
		send := func(name string, count int) {
			for i := range count {
				s.Send(i%2, fake.NewExchange(fmt.Sprintf("%s-%d", name, i), "/write/x", 0))
			}
		}
		send("before", 120)
		slow.TimeToFirstChunk *= 10
		send("learning", 120)
		before := len(slow.Runs())
		send("after", 120)
		c.Check(len(slow.Runs())-before < 20, qt.IsTrue, qt.Commentf("%d of 120", len(slow.Runs())-before))
		c.Check(s.Nodes[1].State().SlowServers, qt.HasLen, 1)

		time.Sleep(5 * time.Second)
		key := dragonflypass.CostKey{Level: dragonflypass.CostOfPart, Service: fake.RelayPlainService, Route: "/write/", Account: "bank"}
		estimate, ok := s.Nodes[2].Appraiser.Time(key)
		c.Assert(ok, qt.IsTrue)
		c.Check(estimate.Mean > 8*time.Millisecond && estimate.Mean < 20*time.Millisecond, qt.IsTrue, qt.Commentf("%v", estimate))
	})
}

// TestOutputIsLearned guards against expected outputs that stay those of the cost model.
func TestOutputIsLearned(t *testing.T) {
	withRelaySite(t, 1, 0, 3, func(c *qt.C, s *fake.RelaySite) {
		for i := range 10 {
			e := fake.NewExchange(fmt.Sprint(i), "/stream/x", 500)
			e.Prompt.OutputTokens = 2000
			s.Send(0, e)
		}
		key := dragonflypass.CostKey{Level: dragonflypass.CostOfPart, Service: fake.RelayModelService, Route: "/stream/", Account: "bank"}
		estimate, ok := s.Nodes[0].Appraiser.Output(key, 0, 2000)
		c.Assert(ok, qt.IsTrue)
		c.Check(estimate.Mean, qt.Equals, 20*fake.RelayCostModel().StepsPerPass)
	})
}
