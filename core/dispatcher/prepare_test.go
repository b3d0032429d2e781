package dispatcher

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLatestStart checks that a request that starts at the latest possible time
// ends by its deadline, even if it shares the server with other requests.
func TestLatestStart(t *testing.T) {
	c := qt.New(t)
	deadline := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		name           string
		prompt, output int
		// run is the run time of the request while the server also runs others.
		run time.Duration
	}{
		{name: "short", prompt: 1000, output: 100, run: 100*time.Millisecond + 2*time.Second},
		{name: "long", prompt: 200_000, output: 100, run: 3*20*time.Second + 2*time.Second},
	} {
		c.Run(test.name, func(c *qt.C) {
			latest := LatestStart(deadline, test.prompt, test.output, 10_000, 50)
			c.Check(latest.Add(test.run).After(deadline), qt.IsFalse)
			c.Check(latest.Add(2*test.run+startMargin).After(deadline), qt.IsTrue)
		})
	}
}
