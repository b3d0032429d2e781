package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/administrator"
	"github.com/dragonflypass/dragonflypass/adapter/parser"
	"github.com/dragonflypass/dragonflypass/core/planner"
)

func newSheetCommand(c *client) *cobra.Command {
	command := &cobra.Command{Use: "sheet", Short: "Check and apply the sheet of a day"}
	command.AddCommand(newSheetCheckCommand(c), newSheetDiffCommand(c), newSheetApplyCommand(c), newSheetStatusCommand(c))
	return command
}

func newSheetCheckCommand(c *client) *cobra.Command {
	var day string
	command := &cobra.Command{
		Use:     "check FILE",
		Short:   "Report every fault of a sheet and the outages it would cause",
		Example: "  dragonflyctl sheet check sheet.csv --admin 127.0.0.1:8082",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			sheet, err := readSheet(command, args[0], day)
			if err != nil {
				return err
			}
			if len(c.addresses) == 0 {
				fmt.Fprintf(command.OutOrStdout(), "the sheet of %s is well formed; use --admin to check its names too\n", sheet.Day)
				return nil
			}
			return c.checkSheet(command, sheet)
		},
	}
	addDayFlag(command, &day)
	return command
}

func addDayFlag(command *cobra.Command, day *string) {
	command.Flags().StringVar(day, "day", "", "day of the sheet (default: the date of its first row)")
}

func readSheet(command *cobra.Command, file, day string) (*dragonflypass.Sheet, error) {
	input, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = input.Close() }()
	sheet, faults := parser.Parse(input, day)
	for _, fault := range faults {
		fmt.Fprintln(command.OutOrStdout(), fault)
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("the sheet has %d faults; nothing was sent", len(faults))
	}
	return &sheet, nil
}

// checkSheet checks the names of the sheet against the fleet and prints warnings.
func (c *client) checkSheet(command *cobra.Command, sheet *dragonflypass.Sheet) error {
	fleet, err := c.fleet(command.Context())
	if err != nil {
		return err
	}
	unknown := planner.UnknownNames(sheet, fleet)
	for _, line := range unknown {
		fmt.Fprintln(command.OutOrStdout(), line)
	}
	for _, line := range planner.Warnings(sheet, fleet) {
		fmt.Fprintln(command.OutOrStdout(), "warning:", line)
	}
	if len(unknown) > 0 {
		return fmt.Errorf("the sheet has %d unknown names; nothing was sent", len(unknown))
	}
	fmt.Fprintf(command.OutOrStdout(), "the sheet of %s is valid\n", sheet.Day)
	return nil
}

// fleet returns the configuration in effect, the first VM that responds and the VMs in its member list.
func (c *client) fleet(ctx context.Context) (planner.Fleet, error) {
	items, err := c.items(ctx)
	if err != nil {
		return planner.Fleet{}, err
	}
	var state administrator.State
	if err := c.get(ctx, "/debug/state", &state); err != nil {
		return planner.Fleet{}, err
	}
	fleet := planner.Fleet{Current: dragonflypass.NewConfiguration(0, items)}
	fleet.VMs = append(fleet.VMs, dragonflypass.VM{ID: dragonflypass.VMID(state.VM), Zone: dragonflypass.AvailabilityZone(state.Zone)})
	for _, m := range state.Members {
		peer, _ := netip.ParseAddrPort(m.Address)
		fleet.VMs = append(fleet.VMs, dragonflypass.VM{ID: dragonflypass.VMID(m.VM), Zone: dragonflypass.AvailabilityZone(m.Zone), Peer: peer})
	}
	return fleet, nil
}

// sheetEdits returns the edits that put the sheet into effect.
func (c *client) sheetEdits(ctx context.Context, sheet *dragonflypass.Sheet) ([]dragonflypass.Edit, error) {
	current, err := c.items(ctx)
	if err != nil {
		return nil, err
	}
	key := dragonflypass.ItemKey{Section: dragonflypass.SectionSheet, Name: sheet.Day}
	wanted := []dragonflypass.VersionedItem{{Key: key, Item: dragonflypass.Item{Sheet: sheet}}}
	return difference(current, wanted, false), nil
}

func newSheetDiffCommand(c *client) *cobra.Command {
	var day string
	command := &cobra.Command{
		Use:   "diff FILE",
		Short: "Print the rows that a sheet would add or remove",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			sheet, err := readSheet(command, args[0], day)
			if err != nil {
				return err
			}
			return c.printDifference(command, sheet)
		},
	}
	addDayFlag(command, &day)
	return command
}

// printDifference prints the rows that the sheet adds to or removes from the current sheet of the same day.
func (c *client) printDifference(command *cobra.Command, sheet *dragonflypass.Sheet) error {
	current, err := c.items(command.Context())
	if err != nil {
		return err
	}
	var currentSheet dragonflypass.Sheet
	for _, v := range current {
		if v.Key.Section == dragonflypass.SectionSheet && v.Key.Name == sheet.Day {
			currentSheet = *v.Item.Sheet
		}
	}
	old, wanted := formatRows(&currentSheet), formatRows(sheet)
	for _, row := range old {
		if !contains(wanted, row) {
			fmt.Fprintln(command.OutOrStdout(), "-", row)
		}
	}
	for _, row := range wanted {
		if !contains(old, row) {
			fmt.Fprintln(command.OutOrStdout(), "+", row)
		}
	}
	return nil
}

func contains(rows []string, row string) bool {
	for _, r := range rows {
		if r == row {
			return true
		}
	}
	return false
}

func formatRows(sheet *dragonflypass.Sheet) []string {
	var rows []string
	add := func(kind, name, zone string, start, end time.Time, value string) {
		rows = append(rows, fmt.Sprintf("%s,%s,%s,%s,%s,%s", kind, name, zone, start.UTC().Format(time.RFC3339), end.UTC().Format(time.RFC3339), value))
	}
	for _, w := range sheet.Windows {
		add(parser.KindWindow, w.Name, string(w.Zone), w.Start, w.End, "")
	}
	for _, r := range sheet.CapacityOverrides {
		add(parser.KindCapacity, string(r.Server), "", r.Start, r.End, fmt.Sprint(r.Slots))
	}
	for _, r := range sheet.WeightOverrides {
		add(parser.KindPriority, string(r.Account), "", r.Start, r.End, fmt.Sprint(r.Weight))
	}
	return rows
}

func newSheetApplyCommand(c *client) *cobra.Command {
	var day, author string
	command := &cobra.Command{
		Use:     "apply FILE",
		Short:   "Apply a sheet and wait until it is in effect on every entry VM",
		Example: "  dragonflyctl sheet apply sheet.csv --admin 127.0.0.1:8082",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			sheet, err := readSheet(command, args[0], day)
			if err != nil {
				return err
			}
			if err := c.checkSheet(command, sheet); err != nil {
				return err
			}
			if err := c.printDifference(command, sheet); err != nil {
				return err
			}
			edits, err := c.sheetEdits(command.Context(), sheet)
			if err != nil {
				return err
			}
			return c.submit(command, author, edits, false)
		},
	}
	addDayFlag(command, &day)
	addAuthorFlag(command, &author)
	return command
}

func newSheetStatusCommand(c *client) *cobra.Command {
	var day string
	command := &cobra.Command{
		Use:   "status",
		Short: "Print the progress of each maintenance window",
		Long: "Print the progress of each maintenance window: planned, draining, drained, late or done.\n\n" +
			"Running requests are summed over the entry VMs given with --admin; give all of them.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return c.printStatus(command, day) },
	}
	command.Flags().StringVar(&day, "day", "", "only the sheet of this day")
	return command
}

func (c *client) printStatus(command *cobra.Command, day string) error {
	items, err := c.items(command.Context())
	if err != nil {
		return err
	}
	loads, unreachable := c.sumLoads(command.Context())
	now := time.Now()
	for _, v := range items {
		if v.Item.Sheet == nil || (day != "" && v.Item.Sheet.Day != day) {
			continue
		}
		for _, w := range v.Item.Sheet.Windows {
			load := loads[w.Name]
			fmt.Fprintf(command.OutOrStdout(), "%-9s %s  %s–%s  %d running\n", planner.Status(w, load, now), w.Name,
				w.Start.Format(time.RFC3339), w.End.Format(time.RFC3339), load.Running)
		}
	}
	if len(unreachable) > 0 {
		return fmt.Errorf("no response from %v; the requests running there are not counted", unreachable)
	}
	return nil
}

// sumLoads returns the number of requests running on each entry VM and backend server, summed over the VMs given with
// --admin, and the addresses that did not respond.
func (c *client) sumLoads(ctx context.Context) (loads map[string]planner.Load, unreachable []string) {
	loads = make(map[string]planner.Load)
	for _, address := range c.addresses {
		var state administrator.State
		if err := c.callOne(ctx, address, "GET", "/debug/state", nil, &state); err != nil {
			unreachable = append(unreachable, address)
			continue
		}
		loads[state.VM] = planner.Load{Running: state.Busy, Leaving: state.Leaving}
		for _, server := range state.Servers {
			load := loads[server.ID]
			load.Running += server.Streams
			loads[server.ID] = load
		}
	}
	return loads, unreachable
}

var errVMNotFound = errors.New("no entry VM given with --admin has this name")
