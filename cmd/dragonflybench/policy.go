package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass/cmd/dragonflybench/plotter"
	"github.com/dragonflypass/dragonflypass/experiment/evaluator"
)

func newPolicyCommand() *cobra.Command {
	var seed uint64
	var baselines bool
	var plots string
	command := &cobra.Command{
		Use:     "policy",
		Short:   "Measure the policies in virtual time and compare them with the targets",
		Example: "  dragonflybench policy --seed 1",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			checks, figures := evaluator.Evaluate(command.OutOrStdout(), seed, baselines)
			if plots != "" {
				if err := plotter.Write(plots, figures); err != nil {
					return err
				}
			}
			missedTargets := 0
			for _, check := range checks {
				if !check.Met {
					missedTargets++
				}
			}
			if missedTargets > 0 {
				return fmt.Errorf("%d targets missed", missedTargets)
			}
			return nil
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the traces")
	command.Flags().StringVar(&plots, "plots", "", "folder for SVG plots of the figures; empty for no plots")
	command.Flags().BoolVar(&baselines, "baselines", true, "also run the baseline policies")
	return command
}
