package explainer

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const logText = `  3.5 vm-2 {"time":"2026-07-30T08:31:10.100Z","level":"INFO","msg":"permit granted","vm":"vm-2","id":"a","server":"s-1","helpers":["s-2"]}
{"time":"2026-07-30T08:31:12.000Z","level":"INFO","msg":"request ended","vm":"vm-1","id":"a","outcome":"answered","whole_ms":2000,"attempts":["s-1 broken 1s","s-3 ended 1s"],"error":null}
{"time":"2026-07-30T08:31:11.000Z","level":"INFO","msg":"backend server unreached","vm":"vm-1","server":"s-1"}
{"time":"2026-07-30T08:31:11.000Z","level":"INFO","msg":"backend server unreached","vm":"vm-1","server":"s-9"}
{"time":"2026-07-30T08:31:11.500Z","level":"WARN","msg":"store lost","vm":"vm-1","topic":"routing"}
{"time":"2026-07-30T08:31:11.500Z","level":"WARN","msg":"store lost","vm":"vm-7","topic":"routing"}
{"time":"2026-07-30T08:31:20.000Z","level":"WARN","msg":"store lost","vm":"vm-1","topic":"routing"}
{"time":"2026-07-30T08:31:11.600Z","level":"INFO","msg":"request ended","vm":"vm-1","id":"b","outcome":"broken","whole_ms":5}
{"time":"2026-07-30T08:31:11.700Z","level":"WARN","msg":"lines dropped","vm":"vm-1","kind":"permit granted","count":3}
not a line of ours
{"half":
`

func explain(c *qt.C, id string) (string, error) {
	var e Explainer
	c.Assert(e.Read(strings.NewReader(logText)), qt.IsNil)
	var out bytes.Buffer
	err := e.Explain(&out, id)
	return out.String(), err
}

func TestExplain(t *testing.T) {
	c := qt.New(t)
	text, err := explain(c, "a")
	c.Assert(err, qt.IsNil)
	c.Check(text, qt.Equals, `request a arrived about 2026-07-30 08:31:10.000
*     +100.0 ms  vm-2                 permit granted server=s-1 helpers=["s-2"]
     +1000.0 ms  vm-1                 backend server unreached server=s-1
     +1500.0 ms  vm-1                 store lost topic=routing
     +1700.0 ms  vm-1                 lines dropped kind=permit granted count=3
*    +2000.0 ms  vm-1                 request ended outcome=answered whole_ms=2000 attempts=["s-1 broken 1s","s-3 ended 1s"]
1 lines report dropped or aggregated log lines, so parts of the history may be missing
`)
}

func TestUnknownRequest(t *testing.T) {
	c := qt.New(t)
	_, err := explain(c, "z")
	c.Check(err, qt.ErrorIs, ErrRequestNotFound)
	c.Check(err, qt.ErrorMatches, `.*z \(9 lines read, 2 not from an entry VM\)`)
}

func TestRequestWithoutEnd(t *testing.T) {
	c := qt.New(t)
	var e Explainer
	c.Assert(e.Read(strings.NewReader(strings.SplitAfter(logText, "\n")[0])), qt.IsNil)
	var out bytes.Buffer
	c.Assert(e.Explain(&out, "a"), qt.IsNil)
	c.Check(out.String(), qt.Contains, "no line records the request's end")
}
