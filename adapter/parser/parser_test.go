package parser_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass/adapter/parser"
)

const header = "kind,name,zone,start,end,value\n"

func TestParse(t *testing.T) {
	c := qt.New(t)
	sheet, faults := parser.Parse(strings.NewReader("\ufeff"+header+
		"window,vm-1,a,2026-12-04T08:00:00+01:00,2026-12-04T09:00:00+01:00,\n"+
		"capacity,server-1,,2026-12-04T08:00:00+01:00,2026-12-04T09:00:00+01:00,4\n"+
		"priority,demo,,2026-12-04T00:30:00+01:00,2026-12-05T00:00:00+01:00,2.5\n"), "")
	c.Assert(faults, qt.HasLen, 0)
	c.Check(sheet.Day, qt.Equals, "2026-12-04")
	c.Check(sheet.Windows[0].Name, qt.Equals, "vm-1")
	c.Check(sheet.CapacityOverrides[0].Slots, qt.Equals, 4)
	c.Check(sheet.WeightOverrides[0].Weight, qt.Equals, 2.5)
}

func TestAllFaultsAreReported(t *testing.T) {
	c := qt.New(t)
	_, faults := parser.Parse(strings.NewReader(header+
		"windw,vm-1,a,2026-12-04T08:00:00Z,2026-12-04T09:00:00Z,\n"+
		"window,,a,2026-12-04T08:00:00Z,2026-12-04T09:00:00Z,\n"+
		"window,vm-1,,8 o'clock,2026-12-04T09:00:00Z,3\n"+
		"window,vm-1,a,2026-12-04T10:00:00Z,2026-12-04T09:00:00Z,\n"+
		"capacity,server-1,,2026-12-04T08:00:00Z,2026-12-04T09:00:00Z,1.5\n"+
		"priority,demo,,2026-12-04T08:00:00Z,2026-12-04T09:00:00Z,-1\n"+
		"window,vm-1\n"+
		"window,\"vm\"-1,a\n"), "")
	var lines []string
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	c.Check(lines, qt.DeepEquals, []string{
		`line 2, column 1: the kind "windw" is not window, capacity or priority`,
		`line 3, column 8: the name is missing`,
		`line 4, column 14: "8 o'clock" is not a time such as 2026-12-04T08:00:00+01:00`,
		`line 4, column 13: a window needs its zone`,
		`line 4, column 45: a window has no value`,
		`line 5, column 36: the end must be after the start`,
		`line 6, column 62: "1.5" is not a whole number of slots, 0 or above`,
		`line 7, column 58: "-1" is not a weight above 0`,
		`line 8, column 1: the row has 2 fields, not 6`,
		`line 9, column 11: extraneous or missing " in quoted-field`,
	})
}

func TestEmptyOrInvalidFile(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"", header, "a,b\n"} {
		_, faults := parser.Parse(strings.NewReader(text), "")
		c.Check(len(faults) > 0, qt.IsTrue, qt.Commentf("%q", text))
	}
}

// FuzzParse checks that for any input the parser returns either a sheet with a day or a fault.
func FuzzParse(f *testing.F) {
	f.Add(header + "window,vm-1,a,2026-12-04T08:00:00Z,2026-12-04T09:00:00Z,\n")
	f.Add("\xff\x00,\"")
	f.Fuzz(func(t *testing.T, text string) {
		sheet, faults := parser.Parse(strings.NewReader(text), "")
		if len(faults) == 0 && sheet.Day == "" {
			t.Error("a sheet without a day has no fault")
		}
	})
}
