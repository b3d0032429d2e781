package main

import (
	"context"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/dragonflypass/dragonflypass/adapter/assembler"
	"github.com/dragonflypass/dragonflypass/adapter/loader"
)

const (
	// memoryShare is the fraction of the memory in the settings that becomes the Go runtime's soft memory limit.
	memoryShare = 0.5
	mebibyte    = 1 << 20
)

func newRelayCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "relay",
		Short: "Relay callers' requests on the platform until a stop signal",
		Long: "Relay callers' requests on the platform until a stop signal.\n\n" +
			"SIGTERM or SIGINT starts a graceful shutdown; a second one ends the process at once.\n" +
			"SIGHUP reloads the settings, SIGUSR1 writes the state of the process to standard error.",
		Example: "  dragonflypass relay --settings relay.json",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return relay(file) },
	}
	addSettingsFlag(command, &file)
	return command
}

func relay(file string) error {
	settings, err := loader.LoadRelay(file)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Limits.MemoryMiB) * mebibyte))
	var node *assembler.RelayNode
	app := fx.New(
		assembler.RelayModule(settings, os.Stdout),
		fx.Populate(&node),
		fx.StopTimeout(time.Duration(settings.Times.ShutdownTimeout)),
	)
	if err := app.Start(context.Background()); err != nil {
		return err
	}
	waitForStop(map[os.Signal]func(){
		syscall.SIGHUP: func() { reload(node, file) },
		// A failed write to standard error cannot be reported anywhere else.
		syscall.SIGUSR1: func() { _ = node.Exposer.WriteState(os.Stderr) },
	})
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return app.Stop(ctx)
}

// reload loads the settings again. If they are invalid, the previous ones stay in effect.
func reload(node *assembler.RelayNode, file string) {
	settings, err := loader.LoadRelay(file)
	if err != nil {
		node.LogRejectedSettings(err)
		return
	}
	node.Reload(settings)
}
