package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass/cmd/dragonflyctl/explainer"
)

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Show the history of a request from the logs of the entry VMs",
		Long: "Show the history of a request from the logs of the entry VMs.\n\n" +
			"The lines with the ID of the request, marked *, are printed in order of time, together with other lines that its\n" +
			"VMs logged in that period. A final note counts the lines that report dropped or aggregated log lines.",
		Example: "  dragonflyctl explain 1fae728ac990e792 vm-1.log vm-2.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			var e explainer.Explainer
			for _, name := range args[1:] {
				if err := readLog(&e, name); err != nil {
					return err
				}
			}
			return e.Explain(command.OutOrStdout(), args[0])
		},
	}
}

// readLog adds the lines of one log file to the explainer.
func readLog(e *explainer.Explainer, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := e.Read(file); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
