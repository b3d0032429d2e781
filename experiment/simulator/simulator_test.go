package simulator

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The minimum shares of the worth that must be earned: 0.8 for each kind of request on a quiet day, and half for a whole day
// with bursts.
const (
	minQuietShare = 0.8
	minDayShare   = 0.5
)

// dayLength is the length of the simulated days.
const dayLength = 12 * time.Second

func TestQuietDays(t *testing.T) {
	for _, site := range []Site{Copenhagen(), BinhMinh()} {
		t.Run(site.Name, func(t *testing.T) {
			c := qt.New(t)
			site.Length, site.Scale = dayLength, 0.8
			outcome := Simulate(site, 1, nil)
			for _, kind := range outcome.Kinds {
				c.Check(kind.Worth >= minQuietShare, qt.IsTrue, qt.Commentf("%+v", kind))
				c.Check(kind.Requests > 0, qt.IsTrue)
			}
		})
	}
}

func TestDaysWithBursts(t *testing.T) {
	for name, bursts := range map[string][]Burst{"turning": MixShiftBursts(), "peaks": PeakBursts()} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			site := Copenhagen()
			site.Length, site.Bursts = dayLength, bursts
			outcome := Simulate(site, 2, nil)
			c.Check(outcome.MeanShare >= minDayShare, qt.IsTrue, qt.Commentf("%+v", outcome))
		})
	}
}

// TestSameSeedGivesSameRun simulates a day twice with one seed and compares the outcomes and the traces.
func TestSameSeedGivesSameRun(t *testing.T) {
	c := qt.New(t)
	site := BinhMinh()
	site.Length = dayLength / 2
	var traces [2]bytes.Buffer
	var outcomes [2]string
	for i := range outcomes {
		outcomes[i] = fmt.Sprintf("%+v", Simulate(site, 3, &traces[i]))
	}
	c.Check(outcomes[0], qt.Equals, outcomes[1])
	c.Check(traces[0].String(), qt.Equals, traces[1].String())
}
