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
		Short: "Simulate days of prompts with the engine cost model and print the share of worth earned",
		Long: "Simulate days of prompts with the engine cost model and print the share of worth earned.\n\n" +
			"A day's score is the average of the whole day's share and the share of its two worst windows. The total is the mean score of all days.",
		Example: "  dragonflybench simulate --seeds 8",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			traceOutput := io.Discard
			if trace != "" {
				file, err := os.Create(trace)
				if err != nil {
					return err
				}
				defer func() { _ = file.Close() }()
				traceOutput = file
			}
			simulate(command.OutOrStdout(), traceOutput, seeds)
			return nil
		},
	}
	command.Flags().IntVar(&seeds, "seeds", 8, "number of seeds for each day")
	command.Flags().StringVar(&trace, "trace", "", "file for the late requests of the first seed of each day; empty for none")
	return command
}

// simulate runs each day with all seeds. It writes one line of results for each day and then the total to w, and the
// late requests of the first seed of each day to trace.
func simulate(w, trace io.Writer, seeds int) {
	total := 0.0
	days := simulator.Days()
	for _, day := range days {
		outcomes := make([]simulator.Outcome, seeds)
		var wg sync.WaitGroup
		for seed := range seeds {
			wg.Go(func() {
				lateRequests := io.Discard
				if seed == 0 {
					lateRequests = trace
				}
				outcomes[seed] = simulator.Simulate(day, uint64(seed), lateRequests)
			})
		}
		wg.Wait()
		summary := simulator.MeanOutcome(outcomes)
		total += (summary.MeanShare + summary.WorstShare) / 2 / float64(len(days))
		fmt.Fprintf(w, "%-20s mean %.3f worst %.3f", day.Name, summary.MeanShare, summary.WorstShare)
		for _, k := range summary.Kinds {
			fmt.Fprintf(w, " | %s %.3f, on time %d of %d, late %d by the first event %d by a pause %d", k.Kind, k.Worth, k.OnTime, k.Requests, k.Late, k.LateFirstEvents, k.LongGaps)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "total %.4f\n", total)
}
