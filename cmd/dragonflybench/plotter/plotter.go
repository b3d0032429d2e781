package plotter

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/experiment/evaluator"
)

const (
	width  = 11 * vg.Inch
	height = 4.5 * vg.Inch
	// barWidth is the width of one bar in points.
	barWidth = vg.Length(7)
	// labelAngle is the rotation of the scenario names in radians.
	labelAngle = math.Pi / 12
	// folderMode is the mode of a newly created output folder.
	folderMode = 0o755
)

// Write draws the plots of each site into the folder, which it creates if necessary: one for the time to first
// token of the shortest prompts, and one for each rank's share of the service. It returns an error if the folder
// or a file cannot be written.
func Write(folder string, figures []evaluator.Figure) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return eris.Wrap(err, "plotter")
	}
	for _, site := range distinct(figures, func(f evaluator.Figure) string { return f.Site }) {
		siteFigures := slices.DeleteFunc(slices.Clone(figures), func(f evaluator.Figure) bool { return f.Site != site })
		title := site + ": time to first token of prompts up to 2k, p95 as the base-10 logarithm of ms"
		if err := draw(filepath.Join(folder, site+"-first.svg"), title, siteFigures, logFirstToken); err != nil {
			return err
		}
		for rank := range dragonflypass.Rank(dragonflypass.RankCount) {
			title := fmt.Sprintf("%s: share of the service for rank %s", site, rank)
			rankShare := func(f evaluator.Figure) float64 { return f.ServedShares[rank] }
			if err := draw(filepath.Join(folder, fmt.Sprintf("%s-%s.svg", site, rank)), title, siteFigures, rankShare); err != nil {
				return err
			}
		}
	}
	return nil
}

// logFirstToken returns the base-10 logarithm of the p95 time to first token of the shortest prompts in
// milliseconds. The times span four decades, and bar charts have no logarithmic axis.
func logFirstToken(f evaluator.Figure) float64 {
	return math.Log10(math.Max(1, float64(f.FirstToken[dragonflypass.ClassShort].P95.Milliseconds())))
}

// distinct returns the distinct keys of the figures in order of first occurrence.
func distinct(figures []evaluator.Figure, key func(evaluator.Figure) string) []string {
	var keys []string
	for _, f := range figures {
		if !slices.Contains(keys, key(f)) {
			keys = append(keys, key(f))
		}
	}
	return keys
}

// draw writes a bar chart to the file, with a group of bars for each scenario and one bar per policy in each group.
func draw(file, title string, figures []evaluator.Figure, value func(evaluator.Figure) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.Legend.Top = true
	scenarios := distinct(figures, func(f evaluator.Figure) string { return f.Scenario })
	policies := distinct(figures, func(f evaluator.Figure) string { return f.Policy })
	for i, policy := range policies {
		values := make(plotter.Values, len(scenarios))
		for _, f := range figures {
			if f.Policy == policy {
				values[slices.Index(scenarios, f.Scenario)] = value(f)
			}
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return eris.Wrap(err, "plotter")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(scenarios...)
	p.X.Tick.Label.Rotation = labelAngle
	p.X.Tick.Label.XAlign = -0.9
	return eris.Wrap(p.Save(width, height, file), "plotter")
}
