package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass/adapter/assembler"
	"github.com/dragonflypass/dragonflypass/adapter/loader"
)

// version is the release number shown by the version command.
const version = "0.1.0"

func main() {
	if err := newRootCommand().Execute(); err != nil {
		printError(err)
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "dragonflypass",
		Short:         "Forwards language-model prompts from callers to backend servers",
		Version:       version + " " + assembler.Build(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServeCommand(), newRelayCommand(), newCheckCommand(), newVersionCommand())
	return root
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			fmt.Fprintln(command.OutOrStdout(), version, assembler.Build())
		},
	}
}

// printError prints err to standard error, with one line for each fault of the settings.
func printError(err error) {
	if faults, ok := errors.AsType[loader.Faults](err); ok {
		fmt.Fprintf(os.Stderr, "the settings have %d faults:\n%v\n", len(faults), faults)
		return
	}
	fmt.Fprintln(os.Stderr, "dragonflypass:", err)
}
