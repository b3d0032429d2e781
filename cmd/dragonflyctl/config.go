package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"reflect"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/administrator"
	"github.com/dragonflypass/dragonflypass/adapter/encoder"
)

func newConfigCommand(c *client) *cobra.Command {
	command := &cobra.Command{Use: "config", Short: "Show and change the configuration"}
	command.AddCommand(newConfigShowCommand(c), newConfigApplyCommand(c), newConfigHistoryCommand(c))
	return command
}

func newConfigShowCommand(c *client) *cobra.Command {
	return &cobra.Command{
		Use:     "show",
		Short:   "Print the configuration in effect, with the version of each item",
		Example: "  dragonflyctl config show --admin 127.0.0.1:8082",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var config administrator.Config
			if err := c.get(command.Context(), "/config", &config); err != nil {
				return err
			}
			return printJSON(command, config)
		},
	}
}

func newConfigHistoryCommand(c *client) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "Print the latest changes and whether each was accepted",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var results []encoder.ChangeResult
			if err := c.get(command.Context(), "/config/history", &results); err != nil {
				return err
			}
			for _, result := range results {
				fmt.Fprintln(command.OutOrStdout(), describeResult(result))
			}
			return nil
		},
	}
}

func describeResult(result encoder.ChangeResult) string {
	line := fmt.Sprintf("%d\t%s\t%s\t%s\t", result.Offset, result.At.Format(time.RFC3339), result.Author, result.ID)
	if result.Accepted {
		return line + "accepted"
	}
	return line + fmt.Sprintf("rejected: %s/%s had been changed by %d", result.Conflict.Section, result.Conflict.Name, result.Winner)
}

func newConfigApplyCommand(c *client) *cobra.Command {
	var author string
	var prune, dry bool
	command := &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply the configuration in a file and wait until it is in effect",
		Long: "Apply the configuration in a file and wait until it is in effect.\n\n" +
			"Items that are not in the file stay unless --prune is given. Sheets are never changed.",
		Example: "  dragonflyctl config apply configuration.json --admin 127.0.0.1:8082",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			wanted, err := encoder.ParsePlan(data)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			current, err := c.items(command.Context())
			if err != nil {
				return err
			}
			return c.submit(command, author, difference(current, wanted, prune), dry)
		},
	}
	addAuthorFlag(command, &author)
	command.Flags().BoolVar(&prune, "prune", false, "remove items that are not in the file")
	command.Flags().BoolVar(&dry, "dry", false, "print the edits without sending them")
	return command
}

func addAuthorFlag(command *cobra.Command, author *string) {
	command.Flags().StringVar(author, "author", os.Getenv("USER"), "author of the change, shown in the history")
}

// items returns the items of the configuration in effect.
func (c *client) items(ctx context.Context) ([]dragonflypass.VersionedItem, error) {
	var config administrator.Config
	if err := c.get(ctx, "/config", &config); err != nil {
		return nil, err
	}
	return encoder.ToVersionedItems(config.Items)
}

// difference returns the edits that add or change the wanted items. With prune it also removes the current items,
// except sheets, that are not wanted.
func difference(current, wanted []dragonflypass.VersionedItem, prune bool) []dragonflypass.Edit {
	remaining := make(map[dragonflypass.ItemKey]dragonflypass.VersionedItem, len(current))
	for _, v := range current {
		remaining[v.Key] = v
	}
	var edits []dragonflypass.Edit
	for _, v := range wanted {
		old, ok := remaining[v.Key]
		delete(remaining, v.Key)
		if ok && sameItem(old.Item, v.Item) {
			continue
		}
		item := v.Item
		edits = append(edits, dragonflypass.Edit{Key: v.Key, BaseVersion: old.Version, Item: &item})
	}
	if !prune {
		return edits
	}
	for _, v := range current {
		if _, remains := remaining[v.Key]; remains && v.Key.Section != dragonflypass.SectionSheet {
			edits = append(edits, dragonflypass.Edit{Key: v.Key, BaseVersion: v.Version})
		}
	}
	return edits
}

func sameItem(a, b dragonflypass.Item) bool {
	return reflect.DeepEqual(jsonForm(a), jsonForm(b))
}

func jsonForm(item dragonflypass.Item) string {
	data, err := json.Marshal(encoder.FromItem(item))
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// submit prints the edits and, unless dry is set, sends them as one change and reports its result. It returns an
// error if the change is rejected, if no response arrives or if not all VMs have confirmed the change.
func (c *client) submit(command *cobra.Command, author string, edits []dragonflypass.Edit, dry bool) error {
	out := command.OutOrStdout()
	if len(edits) == 0 {
		fmt.Fprintln(out, "nothing to change")
		return nil
	}
	for _, e := range edits {
		fmt.Fprintln(out, describeEdit(e))
	}
	if dry {
		return nil
	}
	change := dragonflypass.Change{ID: uuid.NewString(), Author: author, At: time.Now().UTC(), Edits: edits}
	var outcome administrator.Outcome
	err := c.call(command.Context(), http.MethodPost, "/config/changes", encoder.FromChange(change), &outcome)
	if result, conflict := conflictResult(err); conflict {
		return fmt.Errorf("the change lost: %s", describeResult(result))
	}
	if _, responded := errors.AsType[*statusError](err); err != nil && !responded {
		return fmt.Errorf("no response; look for change %s in the history: %w", change.ID, err)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "change %d in force on %d of %d entry VMs after %.1f s\n",
		outcome.Verdict.Offset, outcome.AppliedVMs, outcome.TotalVMs, outcome.Seconds)
	if outcome.AppliedVMs < outcome.TotalVMs {
		return fmt.Errorf("%d entry VMs have not confirmed the change yet", outcome.TotalVMs-outcome.AppliedVMs)
	}
	return nil
}

func describeEdit(e dragonflypass.Edit) string {
	switch {
	case e.Item == nil:
		return fmt.Sprintf("- %s/%s", e.Key.Section, e.Key.Name)
	case e.BaseVersion == 0:
		return fmt.Sprintf("+ %s/%s", e.Key.Section, e.Key.Name)
	}
	return fmt.Sprintf("~ %s/%s (based on %d)", e.Key.Section, e.Key.Name, e.BaseVersion)
}

// conflictResult returns the result of a change that was rejected because of a conflict, and whether
// err is such a rejection.
func conflictResult(err error) (encoder.ChangeResult, bool) {
	statusErr, ok := errors.AsType[*statusError](err)
	if !ok || statusErr.status != http.StatusConflict {
		return encoder.ChangeResult{}, false
	}
	var outcome administrator.Outcome
	if json.Unmarshal(statusErr.body, &outcome) != nil || outcome.Verdict.Conflict == nil {
		return encoder.ChangeResult{}, false
	}
	return outcome.Verdict, true
}

func printJSON(command *cobra.Command, value any) error {
	e := json.NewEncoder(command.OutOrStdout())
	e.SetIndent("", "  ")
	return e.Encode(value)
}
