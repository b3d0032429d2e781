package main

import (
	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass/experiment/evaluator"
)

func newContrastCommand() *cobra.Command {
	var seed uint64
	command := &cobra.Command{
		Use:     "contrast",
		Short:   "Compare the default policy with two ideas of MAHEVE, a reserve in each zone and a ranking of zones, while servers crash",
		Example: "  dragonflybench contrast --seed 1",
		Args:    cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			evaluator.Contrast(command.OutOrStdout(), seed)
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the traces")
	return command
}
