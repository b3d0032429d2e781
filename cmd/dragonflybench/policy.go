package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass/experiment/evaluator"
)

func newPolicyCommand() *cobra.Command {
	var seed uint64
	var baselines bool
	command := &cobra.Command{
		Use:     "policy",
		Short:   "Measure the policies in virtual time and hold them against the targets",
		Example: "  dragonflybench policy --seed 1",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			short := 0
			for _, check := range evaluator.Evaluate(command.OutOrStdout(), seed, baselines) {
				if !check.Holds {
					short++
				}
			}
			if short > 0 {
				return fmt.Errorf("%d targets fall short", short)
			}
			return nil
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the traces")
	command.Flags().BoolVar(&baselines, "baselines", true, "run the baselines too")
	return command
}
