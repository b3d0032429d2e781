package main

import (
	"flag"
	"testing"

	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass/experiment/gauger"
)

func newSlopesCommand() *cobra.Command {
	var span string
	command := &cobra.Command{
		Use:     "slopes",
		Short:   "Measure what the decisions and messages cost at two or more sizes",
		Example: "  dragonflybench slopes",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			testing.Init()
			if err := flag.Set("test.benchtime", span); err != nil {
				return err
			}
			gauger.Print(command.OutOrStdout(), gauger.Measure())
			return nil
		},
	}
	command.Flags().StringVar(&span, "time", "500ms", "time for each measurement")
	return command
}
