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
		Short: "Tell the story of a request from the logs of the entry VMs",
		Long: "Tell the story of a request from the logs of the entry VMs.\n\n" +
			"All lines that name the request are shown in the order of time, with what the VMs and backend servers\n" +
			"that had a part in it noted meanwhile. Lines that were dropped or gathered are named.",
		Example: "  dragonflyctl explain 1fae728ac990e792 vm-1.log vm-2.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			var e explainer.Explainer
			for _, name := range args[1:] {
				if err := read(&e, name); err != nil {
					return err
				}
			}
			return e.Explain(command.OutOrStdout(), args[0])
		},
	}
}

// read takes in one log file.
func read(e *explainer.Explainer, name string) error {
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
