package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// version is the release number shown by the version command.
const version = "0.1.0"

func main() {
	root := &cobra.Command{
		Use:           "dragonflybench",
		Short:         "Runs experiments with the scheduling policies and measures the cost of decisions",
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newPolicyCommand(), newContrastCommand(), newSlopesCommand(), newRelayCommand(), newSimulateCommand(), newVersionCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "dragonflybench:", err)
		os.Exit(1)
	}
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(command *cobra.Command, _ []string) { fmt.Fprintln(command.OutOrStdout(), version) },
	}
}
