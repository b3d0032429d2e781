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
	// barWidth is the width of one bar.
	barWidth = vg.Length(7)
	// labelAngle turns the names of scenarios, in radians.
	labelAngle = math.Pi / 12
	// folderMode is the mode of the folder made for the files.
	folderMode = 0o755
)

// Write draws two plots for each site into the folder: the time to the first token of the shortest
// prompts, and each rank's part of the service.
func Write(folder string, figures []evaluator.Figure) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return eris.Wrap(err, "plotter")
	}
	for _, site := range distinct(figures, func(f evaluator.Figure) string { return f.Site }) {
		mine := slices.DeleteFunc(slices.Clone(figures), func(f evaluator.Figure) bool { return f.Site != site })
		title := site + ": first token of prompts up to 2k, p95 as the logarithm to base 10 of ms"
		if err := draw(filepath.Join(folder, site+"-first.svg"), title, mine, decades); err != nil {
			return err
		}
		for rank := range dragonflypass.Rank(dragonflypass.RankCount) {
			title := fmt.Sprintf("%s: part of the service given to rank %s", site, rank)
			part := func(f evaluator.Figure) float64 { return f.Parts[rank] }
			if err := draw(filepath.Join(folder, fmt.Sprintf("%s-%s.svg", site, rank)), title, mine, part); err != nil {
				return err
			}
		}
	}
	return nil
}

// decades is the logarithm of the shortest prompts' time to the first token in milliseconds: it spans
// four decades, and bars have no logarithmic axis.
func decades(f evaluator.Figure) float64 {
	return math.Log10(math.Max(1, float64(f.First[dragonflypass.ClassShort].P95.Milliseconds())))
}

// distinct returns the keys of the figures in the order of their first coming.
func distinct(figures []evaluator.Figure, key func(evaluator.Figure) string) []string {
	var keys []string
	for _, f := range figures {
		if !slices.Contains(keys, key(f)) {
			keys = append(keys, key(f))
		}
	}
	return keys
}

// draw writes a plot with one group of bars for each scenario and one bar in it for each policy.
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
