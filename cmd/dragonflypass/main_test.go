package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// run executes the root command with the arguments and returns its output.
func run(args ...string) (string, error) {
	var out bytes.Buffer
	root := newRootCommand()
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	err := root.Execute()
	return out.String(), err
}

func TestCheck(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(c.TempDir(), "settings.json")
	c.Assert(os.WriteFile(file, []byte(`{"name": "vm-1", "colour": "red"}`), 0o600), qt.IsNil)
	_, err := run("check", "--settings", file)
	c.Check(err, qt.ErrorMatches, `(?s)/: .*colour.*/: .*zone.*listen.*`)
	_, err = run("check")
	c.Check(err, qt.ErrorMatches, `required flag.*settings.*`)
	_, err = run("serve", "--settings", filepath.Join(c.TempDir(), "none.json"))
	c.Check(err, qt.ErrorMatches, `.*no such file.*`)
}

func TestVersionAndHelp(t *testing.T) {
	c := qt.New(t)
	for _, args := range [][]string{{"version"}, {"--version"}} {
		out, err := run(args...)
		c.Assert(err, qt.IsNil)
		c.Check(out, qt.Contains, version)
	}
	out, err := run("serve", "--help")
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Contains, "SIGUSR1")
	out, err = run("completion", "bash")
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Contains, "dragonflypass")
}
