package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass/adapter/loader"
)

func newCheckCommand() *cobra.Command {
	var file string
	var relay bool
	command := &cobra.Command{
		Use:     "check",
		Short:   "Check a settings file without starting the process",
		Example: "  dragonflypass check --settings settings.json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := check(file, relay); err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), "the settings are valid")
			return nil
		},
	}
	addSettingsFlag(command, &file)
	command.Flags().BoolVar(&relay, "relay", false, "check the file as settings of dragonflypass relay")
	return command
}

// check loads the settings and returns an error that lists all their faults.
func check(file string, relay bool) error {
	if relay {
		_, err := loader.LoadRelay(file)
		return err
	}
	_, err := loader.Load(file)
	return err
}

func addSettingsFlag(command *cobra.Command, file *string) {
	command.Flags().StringVar(file, "settings", "", "settings file in JSON")
	_ = command.MarkFlagRequired("settings")
	_ = command.MarkFlagFilename("settings", "json")
}
