package simulator

import (
	"fmt"
	"io"
	"os"
	"testing"
)

func TestTry(t *testing.T) {
	for _, day := range []struct {
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
	} {
		day.site.Bursts, day.site.Scale = day.bursts, day.scale
		for seed := range uint64(3) {
			var trace io.Writer
			if os.Getenv("TRACE") == fmt.Sprintf("%s %d", day.name, seed) {
				trace = os.Stdout
			}
			o := Play(day.site, seed, trace)
			fmt.Printf("%-12s %d mean %.3f worst %.3f", day.name, seed, o.Mean, o.Worst)
			for _, k := range o.Kinds {
				fmt.Printf(" | %s %d on %d late %d worth %.2f first %d pause %d", k.Kind[:4], k.Asked, k.OnTime, k.Late, k.Worth, k.Firsts, k.Pauses)
			}
			fmt.Println()
		}
	}
}
