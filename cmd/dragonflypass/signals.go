package main

import (
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// waitForStop calls the handler of each signal that arrives and returns after the first SIGTERM or SIGINT.
// A second SIGTERM or SIGINT ends the process at once.
func waitForStop(handlers map[os.Signal]func()) {
	// The channel buffers one signal of each kind, so that none is lost while a handler runs.
	signals := make(chan os.Signal, len(handlers))
	signal.Notify(signals, slices.Collect(maps.Keys(handlers))...)
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	for {
		select {
		case received := <-signals:
			handlers[received]()
		case <-stop:
			go func() {
				<-stop
				os.Exit(1)
			}()
			return
		}
	}
}
