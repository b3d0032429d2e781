package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass/adapter/loader"
)

func newCheckCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:     "check",
		Short:   "Check settings without starting anything",
		Example: "  dragonflypass check --settings settings.json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if _, err := loader.Load(file); err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), "the settings are valid")
			return nil
		},
	}
	addSettingsFlag(command, &file)
	return command
}

func addSettingsFlag(command *cobra.Command, file *string) {
	command.Flags().StringVar(file, "settings", "", "file with the settings in JSON")
	_ = command.MarkFlagRequired("settings")
	_ = command.MarkFlagFilename("settings", "json")
}
