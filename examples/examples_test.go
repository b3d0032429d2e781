package examples

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/encoder"
	"github.com/dragonflypass/dragonflypass/adapter/loader"
	"github.com/dragonflypass/dragonflypass/adapter/parser"
	"github.com/dragonflypass/dragonflypass/core/checker"
	"github.com/dragonflypass/dragonflypass/core/planner"
)

func TestSites(t *testing.T) {
	for site, servers := range map[string]int{"copenhagen": 14, "binhminh": 18} {
		t.Run(site, func(t *testing.T) {
			c := qt.New(t)
			data, err := os.ReadFile(filepath.Join(site, "settings.json"))
			c.Assert(err, qt.IsNil)
			settings, err := loader.Parse(data)
			c.Assert(err, qt.IsNil)

			data, err = os.ReadFile(filepath.Join(site, "configuration.json"))
			c.Assert(err, qt.IsNil)
			items, err := encoder.ParsePlan(data)
			c.Assert(err, qt.IsNil)
			c.Check(checker.Check(items), qt.HasLen, 0)
			current := dragonflypass.NewConfiguration(1, items)
			c.Check(current.Servers, qt.HasLen, servers)
			c.Check(current.Accounts, qt.HasLen, 10)

			input, err := os.Open(filepath.Join(site, "sheet.csv"))
			c.Assert(err, qt.IsNil)
			defer input.Close()
			sheet, faults := parser.Parse(input, "")
			c.Assert(faults, qt.HasLen, 0)
			fleet := planner.Fleet{Current: current, VMs: append(settings.SeedVMs(), settings.VM())}
			c.Check(planner.UnknownNames(&sheet, fleet), qt.HasLen, 0)
			c.Check(planner.Warnings(&sheet, fleet), qt.HasLen, 0)
		})
	}
}

func TestInvalidPlan(t *testing.T) {
	c := qt.New(t)
	for text, message := range map[string]string{
		"{\n\"models\": [\n{\"id\": \"m\", \"colour\": 1}]}": `line 3: .*unknown field "colour".*`,
		"{\n\n]":          "line 3: .*",
		`{"ranks": {}} x`: ".*goes on after.*",
		`{"accounts": [{"id": "a", "rank": "best"}]}`: `account/a: rank "best" is not urgent, normal or bulk.*`,
	} {
		_, err := encoder.ParsePlan([]byte(text))
		c.Check(err, qt.ErrorMatches, message)
	}
}

func TestWarnings(t *testing.T) {
	c := qt.New(t)
	var vms []dragonflypass.VM
	for i := range 2 {
		vms = append(vms, dragonflypass.VM{ID: dragonflypass.VMID(fmt.Sprint("vm-", i)), Zone: "b", Peer: netip.AddrPort{}})
	}
	sheet, faults := parser.Parse(openSheet(c, "kind,name,zone,start,end,value\n"+
		"window,vm-0,b,2026-12-04T08:00:00Z,2026-12-04T09:30:00Z,\n"+
		"window,vm-1,b,2026-12-04T09:00:00Z,2026-12-04T10:00:00Z,\n"+
		"window,vm-9,b,2026-12-04T09:00:00Z,2026-12-04T10:00:00Z,\n"), "")
	c.Assert(faults, qt.HasLen, 0)
	fleet := planner.Fleet{Current: dragonflypass.NewConfiguration(0, nil), VMs: vms}
	c.Check(planner.Warnings(&sheet, fleet), qt.DeepEquals, []string{"2026-12-04 09:00:00–2026-12-04 09:30:00 leaves zone b without an entry VM"})
	c.Check(planner.UnknownNames(&sheet, fleet), qt.DeepEquals, []string{`window: "vm-9" is neither an entry VM nor a backend server`})
}

func openSheet(c *qt.C, text string) *os.File {
	name := filepath.Join(c.TempDir(), "sheet.csv")
	c.Assert(os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
	file, err := os.Open(name)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = file.Close() })
	return file
}
