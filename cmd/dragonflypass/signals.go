package main

import (
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// waitForStop answers signals by their handlers until the first one to stop, and has the second one end the process.
func waitForStop(handlers map[os.Signal]func()) {
	// There is room for one of each kind, so that none is missed while another is answered.
	other := make(chan os.Signal, len(handlers))
	signal.Notify(other, slices.Collect(maps.Keys(handlers))...)
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	for {
		select {
		case received := <-other:
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
