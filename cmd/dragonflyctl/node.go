package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass/adapter/administrator"
	"github.com/dragonflypass/dragonflypass/adapter/encoder"
)

func newDumpCommand(c *client) *cobra.Command {
	var vm string
	command := &cobra.Command{
		Use:     "dump",
		Short:   "Print the state of the entry VMs given with --admin as JSON",
		Example: "  dragonflyctl dump --admin 127.0.0.1:8082,127.0.0.1:8085",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			states := []json.RawMessage{}
			for _, address := range c.addresses {
				var state json.RawMessage
				if err := c.callOne(command.Context(), address, http.MethodGet, "/debug/state", nil, &state); err != nil {
					return fmt.Errorf("%s: %w", address, err)
				}
				var identity struct {
					VM string `json:"vm"`
				}
				if err := json.Unmarshal(state, &identity); err != nil {
					return err
				}
				if vm == "" || identity.VM == vm {
					states = append(states, state)
				}
			}
			return printJSON(command, states)
		},
	}
	command.Flags().StringVar(&vm, "vm", "", "only the entry VM with this name")
	return command
}

func newDrainCommand(c *client) *cobra.Command {
	return &cobra.Command{
		Use:     "drain VM",
		Short:   "Stop an entry VM from accepting requests and let it finish those in progress",
		Example: "  dragonflyctl drain cph-a-1 --admin 127.0.0.1:8082,127.0.0.1:8085",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			for _, address := range c.addresses {
				var state administrator.State
				if c.callOne(command.Context(), address, http.MethodGet, "/debug/state", nil, &state) != nil || state.VM != args[0] {
					continue
				}
				if err := c.callOne(command.Context(), address, http.MethodPost, "/drain", nil, nil); err != nil {
					return err
				}
				fmt.Fprintf(command.OutOrStdout(), "%s is draining, %d requests in progress\n", state.VM, state.Busy)
				return nil
			}
			return fmt.Errorf("%w: %s", errVMNotFound, args[0])
		},
	}
}

func newClaimsCommand(c *client) *cobra.Command {
	command := &cobra.Command{
		Use:   "claims",
		Short: "List at-most-once calls whose outcome is unknown",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var claims []administrator.Claim
			if err := c.get(command.Context(), "/claims", &claims); err != nil {
				return err
			}
			for _, claim := range claims {
				id, _ := claim.Nonce.MarshalText()
				fmt.Fprintf(command.OutOrStdout(), "%s\t%s\t%s\t%s\t%s\t%s\n",
					id, claim.State, claim.At.Format(time.RFC3339), claim.Account, claim.Service, claim.VM)
			}
			return nil
		},
	}
	command.AddCommand(newSettleCommand(c))
	return command
}

func newSettleCommand(c *client) *cobra.Command {
	var executed, notExecuted, vmRemoved bool
	command := &cobra.Command{
		Use:     "settle ID",
		Short:   "Record whether a call with an unknown outcome ran",
		Example: "  dragonflyctl claims settle 0123456789abcdef0123456789abcdef --ran --admin 127.0.0.1:8082",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			var nonce encoder.Nonce
			if err := nonce.UnmarshalText([]byte(args[0])); err != nil {
				return err
			}
			body := administrator.Settlement{Nonce: nonce, Executed: executed, VMRemoved: vmRemoved}
			return c.call(command.Context(), http.MethodPost, "/claims/settle", body, nil)
		},
	}
	command.Flags().BoolVar(&executed, "ran", false, "the call ran; its idempotency key stays in use")
	command.Flags().BoolVar(&notExecuted, "not-run", false, "the call did not run; its idempotency key can be used again")
	command.Flags().BoolVar(&vmRemoved, "gone", false, "the claim's VM has been removed permanently and can no longer send the call")
	command.MarkFlagsMutuallyExclusive("ran", "not-run")
	command.MarkFlagsOneRequired("ran", "not-run")
	return command
}
