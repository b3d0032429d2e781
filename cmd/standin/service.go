package main

import (
	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass/standin/recorder"
)

func newServiceCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:     "service",
		Short:   "Run a plain service that counts its calls by idempotency key",
		Example: "  standin service --listen 127.0.0.1:9200",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command.Context(), address, recorder.New().Handler())
		},
	}
	command.Flags().StringVar(&address, "listen", "127.0.0.1:0", "address to listen on")
	return command
}
