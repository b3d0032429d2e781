package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/exposer"
	"github.com/dragonflypass/dragonflypass/core/inspector"
	"github.com/dragonflypass/dragonflypass/platform"
)

// exitUnreadable is the exit status if something cannot be read, so that nothing is known about the file.
const exitUnreadable = 2

// exitError is an error with an exit status of its own.
type exitError struct {
	status int
	err    error
}

// Error returns the text of the error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the error without the status.
func (e *exitError) Unwrap() error { return e.err }

// unreadable returns the error with exitUnreadable.
func unreadable(err error) error { return &exitError{status: exitUnreadable, err: err} }

// checkReport is the JSON form of the result of a check.
type checkReport struct {
	File     string         `json:"file"`
	Version  uint64         `json:"version"`
	Against  *uint64        `json:"against,omitempty"`
	Errors   int            `json:"errors"`
	Warnings int            `json:"warnings"`
	Findings []checkFinding `json:"findings"`
	Changes  []checkChange  `json:"changes"`
}

// checkFinding is one finding in the file.
type checkFinding struct {
	Severity string `json:"severity"`
	Line     int    `json:"line"`
	Field    string `json:"field"`
	Message  string `json:"message"`
}

// checkChange is one difference from the version in force; Kind is added, removed or changed.
type checkChange struct {
	Kind    string `json:"kind"`
	Subject string `json:"subject"`
	Detail  string `json:"detail,omitempty"`
}

// checkOptions are the flags of the check command.
type checkOptions struct {
	against, againstFile string
	json                 bool
}

func newCheckCommand(c *client) *cobra.Command {
	var options checkOptions
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a route table of the platform before it is sent",
		Long: "Check a route table of the platform before it is sent, and compare it with the version in force.\n\n" +
			"With --against or --admin, the addresses are those of the metrics ports of entry VMs, and the servers of each service\n" +
			"are checked too. The exit status is 0 without errors, 1 with errors, and 2 if something cannot be read.",
		Example: "  dragonflyctl check routes.json --against 10.1.0.40:9190",
		Args: func(command *cobra.Command, args []string) error {
			if err := cobra.ExactArgs(1)(command, args); err != nil {
				return unreadable(err)
			}
			return nil
		},
		RunE: func(command *cobra.Command, args []string) error {
			return c.check(command, args[0], options)
		},
	}
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return unreadable(err) })
	flags := command.Flags()
	flags.StringVar(&options.against, "against", "", "address of the metrics port of an entry VM whose route table is the one in force")
	flags.StringVar(&options.againstFile, "against-file", "", "file with the route table in force")
	flags.BoolVar(&options.json, "json", false, "print the result as JSON")
	return command
}

// check checks the file and prints the result.
func (c *client) check(command *cobra.Command, file string, options checkOptions) error {
	if options.against != "" && options.againstFile != "" {
		return unreadable(errors.New("--against and --against-file exclude each other"))
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return unreadable(err)
	}
	current, err := inForce(command.Context(), options)
	if err != nil {
		return unreadable(err)
	}
	servers, err := c.registeredServers(command.Context(), options.against)
	if err != nil {
		return unreadable(err)
	}
	report := inspectSource(platform.ParseSource(data), current, servers)
	report.File = file
	if options.json {
		err = printJSON(command, report)
	} else {
		err = printReport(command, report)
	}
	if err != nil {
		return unreadable(err)
	}
	if report.Errors > 0 {
		return fmt.Errorf("errors in %s: %d", file, report.Errors)
	}
	return nil
}

// inForce returns the configuration to compare with, nil for none.
func inForce(ctx context.Context, options checkOptions) (*inspector.Configuration, error) {
	switch {
	case options.against != "":
		var table exposer.RouteTable
		remote := &client{addresses: []string{options.against}}
		if err := remote.get(ctx, "/debug/routes", &table); err != nil {
			return nil, fmt.Errorf("%s: %w", options.against, err)
		}
		return table.Configuration()
	case options.againstFile != "":
		data, err := os.ReadFile(options.againstFile)
		if err != nil {
			return nil, err
		}
		source := platform.ParseSource(data)
		if source.HasSyntaxError() {
			return nil, fmt.Errorf("%s:%d: %s", options.againstFile, source.Problems[0].Line, source.Problems[0].Message)
		}
		return source.Configuration, nil
	}
	return nil, nil
}

// registeredServers returns the numbers of registered servers by service, nil if no entry VM is given.
func (c *client) registeredServers(ctx context.Context, against string) (map[dragonflypass.ServiceID]int, error) {
	from := *c
	if against != "" {
		from.addresses = []string{against}
	}
	if len(from.addresses) == 0 {
		return nil, nil
	}
	var dump exposer.Dump
	if err := from.call(ctx, http.MethodGet, "/debug/state", nil, &dump); err != nil {
		return nil, err
	}
	if !slices.ContainsFunc(dump.Topics, func(t exposer.Topic) bool { return t.Topic == dragonflypass.TopicServers && t.Loaded }) {
		return nil, errors.New("the entry VM has not read the registry")
	}
	servers := make(map[dragonflypass.ServiceID]int)
	for _, entry := range dump.Registry {
		servers[entry.Service]++
	}
	return servers, nil
}

// inspectSource returns the problems of the text, the findings on its content and the differences from the current configuration.
func inspectSource(source *platform.Source, current *inspector.Configuration, servers map[dragonflypass.ServiceID]int) *checkReport {
	report := &checkReport{Version: source.Configuration.Version, Findings: []checkFinding{}, Changes: []checkChange{}}
	faulty := make(map[string]bool)
	for _, p := range source.Problems {
		severity := inspector.Warning
		if p.IsError {
			severity, faulty[p.Path] = inspector.Error, true
		}
		report.add(severity, p.Line, p.Path, p.Message)
	}
	if !source.HasSyntaxError() {
		findings := inspector.Inspect(source.Configuration, servers)
		if current != nil {
			changes, versionFindings := inspector.Compare(current, source.Configuration)
			findings = append(findings, versionFindings...)
			report.Against = &current.Version
			for _, change := range changes {
				kind := map[byte]string{'+': "added", '-': "removed", '~': "changed"}[change.Sign]
				report.Changes = append(report.Changes, checkChange{Kind: kind, Subject: change.Subject, Detail: change.Detail})
			}
		}
		for _, finding := range findings {
			path, line := source.Locate(finding.Location)
			// A value that cannot be read was reported, and what follows from its absence says nothing more.
			if !faulty[path] {
				report.add(finding.Severity, line, path, finding.Message)
			}
		}
	}
	slices.SortStableFunc(report.Findings, func(x, y checkFinding) int { return x.Line - y.Line })
	return report
}

func (r *checkReport) add(severity inspector.Severity, line int, field, message string) {
	if severity == inspector.Error {
		r.Errors++
	} else {
		r.Warnings++
	}
	r.Findings = append(r.Findings, checkFinding{Severity: severity.String(), Line: line, Field: field, Message: message})
}

// printReport prints the findings as lines that editors recognize, and then the changes.
func printReport(command *cobra.Command, r *checkReport) error {
	var text strings.Builder
	for _, f := range r.Findings {
		field := f.Field
		if field != "" {
			field += ": "
		}
		fmt.Fprintf(&text, "%s:%d: %s: %s%s\n", r.File, f.Line, f.Severity, field, f.Message)
	}
	if r.Against != nil {
		fmt.Fprintf(&text, "version %d, in force %d, %d changes\n", r.Version, *r.Against, len(r.Changes))
	}
	for _, change := range r.Changes {
		sign := map[string]string{"added": "+", "removed": "-", "changed": "~"}[change.Kind]
		fmt.Fprintln(&text, strings.TrimSuffix(sign+" "+change.Subject+": "+change.Detail, ": "))
	}
	fmt.Fprintf(&text, "errors: %d, warnings: %d\n", r.Errors, r.Warnings)
	_, err := fmt.Fprint(command.OutOrStdout(), text.String())
	return err
}
