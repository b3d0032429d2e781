package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/standin/generator"
)

func newServerCommand() *cobra.Command {
	var address, id string
	var models []string
	e := generator.New("")
	command := &cobra.Command{
		Use:     "server",
		Short:   "Run a simulated model engine that streams placeholder text",
		Example: "  standin server --listen 127.0.0.1:9100 --id server-1 --models small",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			e.ID, e.Fetch, e.Copy = dragonflypass.ServerID(id), generator.FetchHTTP, generator.CopyHTTP
			for _, model := range models {
				e.Models = append(e.Models, dragonflypass.ModelID(model))
			}
			go e.Run(command.Context())
			return serve(command.Context(), address, e.Handler())
		},
	}
	flags := command.Flags()
	flags.StringVar(&address, "listen", "127.0.0.1:0", "address to listen on")
	flags.StringVar(&id, "id", "server", "identifier of the server")
	flags.StringSliceVar(&models, "models", []string{"small"}, "models that the server runs")
	flags.IntVar(&e.KVCapacity, "memory", 400_000, "KV memory in tokens")
	flags.IntVar(&e.Slots, "slots", 32, "maximum number of requests in one batch")
	flags.Float64Var(&e.PrefillRate, "prefill", 50_000, "prefill rate in tokens per second")
	flags.Float64Var(&e.DecodeRate, "decode", 100, "decode rate of one stream in tokens per second")
	flags.DurationVar(&e.ReportLag, "lag", 500*time.Millisecond, "age of the load reports that the server returns")
	flags.BoolVar(&e.Fenced, "fenced", false, "refuse orders with an outdated fencing number")
	return command
}
