package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/dragonflypass/dragonflypass/adapter/assembler"
	"github.com/dragonflypass/dragonflypass/adapter/loader"
)

// stopMargin is the time allowed for the rest of the shutdown after open streams have drained.
const stopMargin = 10 * time.Second

func newServeCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "serve",
		Short: "Serve callers until a stop signal",
		Long: "Serve callers until a stop signal.\n\n" +
			"SIGTERM or SIGINT starts a graceful shutdown; a second one ends the process at once.\n" +
			"SIGUSR1 writes the state of the process to standard error.",
		Example: "  dragonflypass serve --settings settings.json",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return serve(file) },
	}
	addSettingsFlag(command, &file)
	return command
}

func serve(file string) error {
	settings, err := loader.Load(file)
	if err != nil {
		return err
	}
	if settings.Limits.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.Limits.MemoryMiB) * mebibyte))
	}
	var node *assembler.Node
	app := fx.New(
		assembler.Module(settings, os.Stderr),
		fx.Populate(&node),
		fx.StopTimeout(time.Duration(settings.Times.DrainTimeout)+stopMargin),
	)
	if err := app.Start(context.Background()); err != nil {
		return err
	}
	fmt.Printf("serving callers on %s, peers on %s, operators on %s\n",
		node.Listeners.CallerAddress(), node.Listeners.PeerAddress(), node.Listeners.AdminAddress())
	waitForStop(map[os.Signal]func(){syscall.SIGUSR1: func() { writeState(node) }})
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return app.Stop(ctx)
}

func writeState(node *assembler.Node) {
	encoder := json.NewEncoder(os.Stderr)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(node.Admin.State())
}
