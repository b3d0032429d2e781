package layers

import (
	"os/exec"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// encodings are the packages that nothing under core, nor the root package, may depend on.
var encodings = []string{
	"net/http", "encoding/json", "encoding/csv",
	"github.com/fxamacker/cbor/v2", "github.com/coder/websocket", "github.com/gorilla/mux",
}

func TestCoreKnowsNoEncoding(t *testing.T) {
	c := qt.New(t)
	for _, pattern := range []string{"github.com/dragonflypass/dragonflypass", "github.com/dragonflypass/dragonflypass/core/..."} {
		output, err := exec.Command("go", "list", "-deps", pattern).Output()
		c.Assert(err, qt.IsNil)
		packages := strings.Fields(string(output))
		c.Assert(len(packages) > 0, qt.IsTrue)
		for _, encoding := range encodings {
			c.Check(slices.Contains(packages, encoding), qt.IsFalse, qt.Commentf("%s depends on %s", pattern, encoding))
		}
		for _, name := range packages {
			c.Check(strings.HasPrefix(name, "github.com/dragonflypass/dragonflypass/adapter"), qt.IsFalse, qt.Commentf("%s depends on %s", pattern, name))
		}
	}
}
