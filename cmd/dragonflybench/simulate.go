package main

import (
	"fmt"
	"io"
	"os"
	"sync"

	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass/experiment/simulator"
)

func newSimulateCommand() *cobra.Command {
	var seeds int
	var trace string
	command := &cobra.Command{
		Use:   "simulate",
		Short: "Play days of prompts against the model of the engine and show what they earn",
		Long: "Play days of prompts against the model of the engine and show what they earn.\n\n" +
			"The total is the mean of the whole days' worth and that of their two worst windows.",
		Example: "  dragonflybench simulate --seeds 8",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			out := io.Discard
			if trace != "" {
				file, err := os.Create(trace)
				if err != nil {
					return err
				}
				defer func() { _ = file.Close() }()
				out = file
			}
			simulate(command.OutOrStdout(), out, seeds)
			return nil
		},
	}
	command.Flags().IntVar(&seeds, "seeds", 8, "number of seeds of each day")
	command.Flags().StringVar(&trace, "trace", "", "file for the late requests of each day's first seed, none by default")
	return command
}

// simulate plays the days and writes a line for each.
func simulate(w, trace io.Writer, seeds int) {
	total := 0.0
	days := simulator.Days()
	for _, site := range days {
		outcomes := make([]simulator.Outcome, seeds)
		var all sync.WaitGroup
		for seed := range seeds {
			all.Go(func() {
				late := io.Discard
				if seed == 0 {
					late = trace
				}
				outcomes[seed] = simulator.Play(site, uint64(seed), late)
			})
		}
		all.Wait()
		sum := simulator.Mean(outcomes)
		total += (sum.Mean + sum.Worst) / 2 / float64(len(days))
		fmt.Fprintf(w, "%-20s mean %.3f worst %.3f", site.Name, sum.Mean, sum.Worst)
		for _, k := range sum.Kinds {
			fmt.Fprintf(w, " | %s %.3f, on time %d of %d, late %d by the first event %d by a pause %d", k.Kind, k.Worth, k.OnTime, k.Asked, k.Late, k.Firsts, k.Pauses)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "total %.4f\n", total)
}
