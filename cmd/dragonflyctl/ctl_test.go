package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass/standin/starter"
)

var site *starter.Site

func TestMain(m *testing.M) { os.Exit(runWithSite(m)) }

func runWithSite(m *testing.M) int {
	site = &starter.Site{Nodes: 3, Servers: 3, KVCapacity: 100_000, PrefillRate: 200_000, DecodeRate: 200, Slots: 8, Output: io.Discard}
	if err := site.Start(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer site.Stop(context.Background())
	return m.Run()
}

// ctl runs dragonflyctl with the admin addresses and the secret of the site and returns its output.
func ctl(c *qt.C, args ...string) (string, error) {
	c.Helper()
	secret := filepath.Join(c.TempDir(), "secret")
	c.Assert(os.WriteFile(secret, []byte(site.AdminSecret()+"\n"), 0o600), qt.IsNil)
	var addresses []string
	for i := range site.VMs {
		addresses = append(addresses, site.AdminAddress(i).String())
	}
	var out bytes.Buffer
	root := newRootCommand()
	root.SetOut(&out)
	root.SetErr(io.Discard)
	root.SetArgs(append(args, "--admin", strings.Join(addresses, ","), "--secret", secret))
	err := root.ExecuteContext(context.Background())
	return out.String(), err
}

func writeFile(c *qt.C, text string) string {
	name := filepath.Join(c.TempDir(), "file")
	c.Assert(os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
	return name
}

func TestConfigApply(t *testing.T) {
	c := qt.New(t)
	plan := writeFile(c, `{"ranks": {"bulk": {"first": "1m", "within": "10h", "floor": 0.25}}}`)
	out, err := ctl(c, "config", "apply", plan, "--author", "anna")
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Matches, `(?s)\+ rank/bulk\nchange \d+ in force on 3 of 3 entry VMs after .* s\n`)
	out, err = ctl(c, "config", "apply", plan)
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Equals, "nothing to change\n")
	out, err = ctl(c, "config", "history")
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Matches, `(?s).*\tanna\t.*\taccepted\n`)
	out, err = ctl(c, "config", "show")
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Contains, `"within": "10h0m0s"`)
}

func TestInvalidPlan(t *testing.T) {
	c := qt.New(t)
	_, err := ctl(c, "config", "apply", writeFile(c, `{"ranks": {"urgent": {"first": "1s", "within": "10s", "floor": 0.9}, "bulk": {"first": "-1s", "within": "1h", "floor": 0.9}}}`))
	c.Check(err, qt.ErrorMatches, `(?s)the change is faulty; nothing was sent\n.*rank: the floors add up to .*rank/bulk/first: must be above 0.*`)
	_, err = ctl(c, "config", "apply", writeFile(c, `{"colour": 1}`))
	c.Check(err, qt.ErrorMatches, `.*unknown field "colour".*`)
}

// TestConflict checks that an operator's change is rejected if another operator has changed the item
// after it was read.
func TestConflict(t *testing.T) {
	c := qt.New(t)
	adminClient := &client{addresses: []string{site.AdminAddress(0).String()}}
	c.Setenv(secretVariable, site.AdminSecret())
	outdatedItems, err := adminClient.items(context.Background())
	c.Assert(err, qt.IsNil)
	_, err = ctl(c, "config", "apply", writeFile(c, `{"models": [{"id": "small", "version": "2", "limit": 1000000}]}`))
	c.Assert(err, qt.IsNil)
	for i := range outdatedItems {
		if outdatedItems[i].Key.Name != starter.Model {
			continue
		}
		changed := *outdatedItems[i].Item.Model
		changed.Version = "3"
		wanted := outdatedItems[i]
		wanted.Item.Model = &changed
		command := newRootCommand()
		command.SetOut(io.Discard)
		command.SetContext(context.Background())
		err = adminClient.submit(command, "late", difference(outdatedItems, outdatedItems[:0:0], false), false)
		c.Check(err, qt.IsNil)
		edits := difference(outdatedItems, append(outdatedItems[:0:0], wanted), false)
		err = adminClient.submit(command, "late", edits, false)
		c.Check(err, qt.ErrorMatches, `the change lost: .*rejected: model/small had been changed by \d+`)
	}
}

func TestSheet(t *testing.T) {
	c := qt.New(t)
	start := time.Now().Add(time.Hour).UTC()
	row := func(kind, name, zone, value string) string {
		return fmt.Sprintf("%s,%s,%s,%s,%s,%s\n", kind, name, zone, start.Format(time.RFC3339), start.Add(time.Hour).Format(time.RFC3339), value)
	}
	header := "kind,name,zone,start,end,value\n"
	out, err := ctl(c, "sheet", "check", writeFile(c, header+"window,vm-1,a,now,later,\n"+row("windo", "vm-1", "a", "")))
	c.Check(err, qt.ErrorMatches, "the sheet has 3 faults; nothing was sent")
	c.Check(out, qt.Matches, `(?s)line 2, column 15: "now" is not a time.*line 2, column 19: .*line 3, column 1: the kind "windo" is not.*`)

	out, err = ctl(c, "sheet", "check", writeFile(c, header+row("window", "vm-9", "a", "")))
	c.Check(err, qt.ErrorMatches, "the sheet has 1 unknown names; nothing was sent")
	c.Check(out, qt.Contains, `"vm-9" is neither an entry VM nor a backend server`)

	sheet := writeFile(c, header+row("window", "vm-1", "a", "")+row("window", "server-2", "b", "")+row("priority", "bulk", "", "2"))
	out, err = ctl(c, "sheet", "diff", sheet)
	c.Assert(err, qt.IsNil)
	c.Check(strings.Count(out, "+ "), qt.Equals, 3)
	out, err = ctl(c, "sheet", "apply", sheet)
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Matches, `(?s)warning: .* leaves zone a without an entry VM\nthe sheet of .* is valid\n.*in force on 3 of 3 entry VMs.*`)
	out, err = ctl(c, "sheet", "status")
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Matches, `(?s)planned +vm-1 .*planned +server-2 .*`)
}

func TestDump(t *testing.T) {
	c := qt.New(t)
	out, err := ctl(c, "dump")
	c.Assert(err, qt.IsNil)
	c.Check(strings.Count(out, `"incarnation"`) >= 3, qt.IsTrue)
	out, err = ctl(c, "dump", "--vm", "vm-2")
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Contains, `"vm": "vm-2"`)
}

func TestWrongCredential(t *testing.T) {
	c := qt.New(t)
	root := newRootCommand()
	root.SetArgs([]string{"config", "show", "--admin", site.AdminAddress(0).String(), "--secret", writeFile(c, starter.Keys[0])})
	c.Check(root.Execute(), qt.ErrorMatches, "the operators' credential is missing or wrong")
}

// TestDrain is the last test because its VM accepts no new requests afterwards.
func TestDrain(t *testing.T) {
	c := qt.New(t)
	_, err := ctl(c, "drain", "vm-9")
	c.Check(err, qt.ErrorMatches, "no entry VM given with --admin has this name: vm-9")
	out, err := ctl(c, "drain", "vm-3")
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Equals, "vm-3 is draining, 0 requests in progress\n")
	response, err := http.Get("http://" + site.CallerAddress(2).String() + "/readyz")
	c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}
