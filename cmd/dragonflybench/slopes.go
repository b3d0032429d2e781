package main

import (
	"flag"
	"testing"

	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass/experiment/gauger"
)

func newSlopesCommand() *cobra.Command {
	var benchTime string
	command := &cobra.Command{
		Use:     "slopes",
		Short:   "Measure the cost of decisions and messages at two or more sizes",
		Example: "  dragonflybench slopes",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			testing.Init()
			if err := flag.Set("test.benchtime", benchTime); err != nil {
				return err
			}
			gauger.Print(command.OutOrStdout(), gauger.Measure())
			return nil
		},
	}
	command.Flags().StringVar(&benchTime, "time", "500ms", "duration of each measurement")
	return command
}
