package simulator

import (
	"fmt"
	"io"
	"os"
	"sync"
	"testing"
)

func TestTry(t *testing.T) {
	const seeds = 8
	total := 0.0
	days := []struct {
		name   string
		site   Site
		bursts []Burst
		scale  float64
	}{
		{"cop calm", Copenhagen(), nil, 1},
		{"cop turning", Copenhagen(), Turning(), 0.8},
		{"cop peaks", Copenhagen(), Peaks(), 1.1},
		{"bm turning", BinhMinh(), Turning(), 0.8},
		{"bm peaks", BinhMinh(), Peaks(), 1.1},
	}
	for _, day := range days {
		day.site.Bursts, day.site.Scale = day.bursts, day.scale
		outcomes := make([]Outcome, seeds)
		var wg sync.WaitGroup
		for seed := range seeds {
			wg.Go(func() {
				var trace io.Writer
				if os.Getenv("TRACE") == fmt.Sprintf("%s %d", day.name, seed) {
					trace = os.Stdout
				}
				outcomes[seed] = Play(day.site, uint64(seed), trace)
			})
		}
		wg.Wait()
		mean, worst := 0.0, 0.0
		var kinds [3]Result
		worth := [3]float64{}
		for _, o := range outcomes {
			mean += o.Mean / seeds
			worst += o.Worst / seeds
			for i, k := range o.Kinds {
				kinds[i].Kind = k.Kind
				kinds[i].Asked += k.Asked
				kinds[i].OnTime += k.OnTime
				kinds[i].Late += k.Late
				kinds[i].Firsts += k.Firsts
				kinds[i].Pauses += k.Pauses
				worth[i] += k.Worth / seeds
			}
		}
		total += (mean + worst) / 2 / float64(len(days))
		fmt.Printf("%-12s mean %.3f worst %.3f", day.name, mean, worst)
		for i, k := range kinds {
			fmt.Printf(" | %s %.3f on %d/%d late %d first %d pause %d", k.Kind[:4], worth[i], k.OnTime, k.Asked, k.Late, k.Firsts, k.Pauses)
		}
		fmt.Println()
	}
	fmt.Printf("total %.4f\n", total)
}
