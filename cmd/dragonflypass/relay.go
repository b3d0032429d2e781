package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/dragonflypass/dragonflypass/adapter/assembler"
	"github.com/dragonflypass/dragonflypass/adapter/loader"
)

const (
	// relayMemoryShare is the part of the VM's memory at which the collector works harder.
	relayMemoryShare = 0.5
	megabyte         = 1 << 20
)

func newRelayCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "relay",
		Short: "Relay callers' requests on the platform until told to stop",
		Long: "Relay callers' requests on the platform until told to stop.\n\n" +
			"SIGTERM or SIGINT starts a graceful shutdown, a second one ends the process at once.\n" +
			"SIGHUP reads the settings anew, SIGUSR1 writes the state of the process to standard error.",
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
	debug.SetMemoryLimit(int64(relayMemoryShare * float64(settings.Limits.Memory) * megabyte))
	var node *assembler.RelayNode
	app := fx.New(
		assembler.RelayModule(settings, os.Stdout),
		fx.Populate(&node),
		fx.StopTimeout(time.Duration(settings.Times.Grace)),
	)
	if err := app.Start(context.Background()); err != nil {
		return err
	}
	waitForSignal(node, file)
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return app.Stop(ctx)
}

// waitForSignal returns at the first signal to stop and has the second one end the process.
func waitForSignal(node *assembler.RelayNode, file string) {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	dump := make(chan os.Signal, 1)
	signal.Notify(dump, syscall.SIGUSR1)
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	for {
		select {
		case <-reload:
			settings, err := loader.LoadRelay(file)
			if err != nil {
				node.Rejected(err)
				continue
			}
			node.Reload(settings)
		case <-dump:
			// Standard error takes it or is gone.
			_ = node.Pages.WriteState(os.Stderr)
		case <-stop:
			go func() {
				<-stop
				os.Exit(1)
			}()
			return
		}
	}
}
