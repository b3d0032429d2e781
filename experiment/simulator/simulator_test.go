package simulator

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The least parts of the worth that a day must earn: each kind of request earns 0.8 of its worth on quiet days, and no
// day less than half.
const (
	quietWorth = 0.8
	leastWorth = 0.5
)

// short is the length of the days that the tests play.
const short = 12 * time.Second

func TestQuietDays(t *testing.T) {
	for _, site := range []Site{Copenhagen(), BinhMinh()} {
		t.Run(site.Name, func(t *testing.T) {
			c := qt.New(t)
			site.Length, site.Scale = short, 0.8
			outcome := Play(site, 1, nil)
			for _, kind := range outcome.Kinds {
				c.Check(kind.Worth >= quietWorth, qt.IsTrue, qt.Commentf("%+v", kind))
				c.Check(kind.Asked > 0, qt.IsTrue)
			}
		})
	}
}

func TestDaysOfChange(t *testing.T) {
	for name, bursts := range map[string][]Burst{"turning": Turning(), "peaks": Peaks()} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			site := Copenhagen()
			site.Length, site.Bursts = short, bursts
			outcome := Play(site, 2, nil)
			c.Check(outcome.Mean >= leastWorth, qt.IsTrue, qt.Commentf("%+v", outcome))
		})
	}
}

// TestSameSeedSameDay plays a day twice.
func TestSameSeedSameDay(t *testing.T) {
	c := qt.New(t)
	site := BinhMinh()
	site.Length = short / 2
	var traces [2]bytes.Buffer
	var outcomes [2]string
	for i := range outcomes {
		outcomes[i] = fmt.Sprintf("%+v", Play(site, 3, &traces[i]))
	}
	c.Check(outcomes[0], qt.Equals, outcomes[1])
	c.Check(traces[0].String(), qt.Equals, traces[1].String())
}
