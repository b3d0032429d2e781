package plotter

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/experiment/evaluator"
)

func TestWrite(t *testing.T) {
	c := qt.New(t)
	var figures []evaluator.Figure
	for _, site := range []string{"north", "south"} {
		for _, scenario := range []string{"steady", "flood"} {
			for _, policy := range []string{"own", "baseline"} {
				f := evaluator.Figure{Site: site, Scenario: scenario, Policy: policy, ServedShares: [dragonflypass.RankCount]float64{0.5, 0.3, 0.2}}
				f.FirstToken[dragonflypass.ClassShort].P95 = 300 * time.Millisecond
				figures = append(figures, f)
			}
		}
	}
	folder := filepath.Join(t.TempDir(), "plots")
	c.Assert(Write(folder, figures), qt.IsNil)
	for _, name := range []string{"north-first.svg", "north-urgent.svg", "south-normal.svg", "south-bulk.svg"} {
		data, err := os.ReadFile(filepath.Join(folder, name))
		c.Assert(err, qt.IsNil)
		c.Check(string(data), qt.Contains, "</svg>")
	}
}
