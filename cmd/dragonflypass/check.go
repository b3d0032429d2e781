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
		Short:   "Check settings without starting anything",
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
	command.Flags().BoolVar(&relay, "relay", false, "the settings are those of dragonflypass relay")
	return command
}

// check reads the settings; the error names all faults.
func check(file string, relay bool) error {
	if relay {
		_, err := loader.LoadRelay(file)
		return err
	}
	_, err := loader.Load(file)
	return err
}

func addSettingsFlag(command *cobra.Command, file *string) {
	command.Flags().StringVar(file, "settings", "", "file with the settings in JSON")
	_ = command.MarkFlagRequired("settings")
	_ = command.MarkFlagFilename("settings", "json")
}
