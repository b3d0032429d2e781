package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass/adapter/lister"
	"github.com/dragonflypass/dragonflypass/standin/keeper"
)

func newPlatformCommand() *cobra.Command {
	var address, vms string
	var retention, lag time.Duration
	command := &cobra.Command{
		Use:     "platform",
		Short:   "Run the append-only log, the list of VMs and the weight store",
		Example: "  standin platform --listen 127.0.0.1:9000 --vms vms.json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			k := keeper.New(retention)
			k.ListDelay = lag
			if vms != "" {
				list, err := readVMList(vms)
				if err != nil {
					return err
				}
				k.SetVMs(list)
			}
			return serve(command.Context(), address, k.Handler())
		},
	}
	command.Flags().StringVar(&address, "listen", "127.0.0.1:0", "address to listen on")
	command.Flags().StringVar(&vms, "vms", "", "JSON file with the list of VMs")
	command.Flags().DurationVar(&retention, "retention", 24*time.Hour, "retention time of log records")
	command.Flags().DurationVar(&lag, "lag", 0, "delay before changes appear in the list of VMs")
	return command
}

func readVMList(file string) (lister.List, error) {
	var list lister.List
	data, err := os.ReadFile(file)
	if err != nil {
		return list, err
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return list, fmt.Errorf("%s: %w", file, err)
	}
	return list, nil
}
