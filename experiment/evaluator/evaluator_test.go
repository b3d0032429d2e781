package evaluator

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass/experiment/modeler"
)

// TestNoAdmittedRequestIsLate adds a flood of urgent requests to the steady load and checks that every admitted request
// still ends within the timeout of its rank.
func TestNoAdmittedRequestIsLate(t *testing.T) {
	if testing.Short() {
		t.Skip("slow under the race detector; make test runs it without")
	}
	for _, site := range []modeler.Site{Copenhagen(), BinhMinh()} {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%s/%d", site.Name, seed), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				for _, scenario := range Scenarios() {
					if scenario.Name != "flood of urgent" {
						continue
					}
					outcome := Run(site, Policies(seed)[0], scenario, seed)
					counts := count(outcome.Results, func(*modeler.Result) bool { return true })
					c.Check(counts.MissedDeadline, qt.Equals, 0)
					c.Check(counts.Done > 5000, qt.IsTrue, qt.Commentf("%d done", counts.Done))
				}
			})
		}
	}
}
