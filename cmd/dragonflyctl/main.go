package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// version is the release number shown by the version command.
const version = "0.1.0"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := newRootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "dragonflyctl:", err)
		stop()
		status := 1
		if exit, ok := errors.AsType[*exitError](err); ok {
			status = exit.status
		}
		os.Exit(status)
	}
}

func newRootCommand() *cobra.Command {
	c := &client{}
	root := &cobra.Command{
		Use:           "dragonflyctl",
		Short:         "Operates the entry VMs of dragonflypass",
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&c.addresses, "admin", nil, "admin addresses of entry VMs; most commands use the first that responds")
	flags.StringVar(&c.secretFile, "secret", "", "file with the operators' credential (default: environment variable DRAGONFLYPASS_SECRET)")
	root.AddCommand(
		newConfigCommand(c), newCheckCommand(c), newSheetCommand(c), newClaimsCommand(c),
		newDumpCommand(c), newFleetCommand(c), newDrainCommand(c), newExplainCommand(), newVersionCommand(),
	)
	return root
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(command *cobra.Command, _ []string) { fmt.Fprintln(command.OutOrStdout(), version) },
	}
}
