package layers

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// encodings are the packages that the root package and the packages below core must not depend on.
var encodings = []string{
	"net/http", "encoding/json", "encoding/csv",
	"github.com/fxamacker/cbor/v2", "github.com/coder/websocket", "github.com/gorilla/mux",
}

func TestCoreDependsOnNoEncoding(t *testing.T) {
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

// wireFolders are the folders that may use the names of the platform's messages.
var wireFolders = []string{"platform", "standin", "deploy", "journal"}

// TestWireNamesOnlyInWireFolders checks that no source file outside wireFolders uses a name of the platform's messages.
func TestWireNamesOnlyInWireFolders(t *testing.T) {
	c := qt.New(t)
	names := wireNames(c)
	c.Assert(len(names) > 20, qt.IsTrue)
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() && (slices.Contains(wireFolders, relative) || strings.HasPrefix(relative, ".git")) {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, name := range names {
			c.Check(bytes.Contains(source, []byte(strconv.Quote(name))), qt.IsFalse, qt.Commentf("%s names %s", relative, name))
		}
		return nil
	})
	c.Assert(err, qt.IsNil)
}

// sharedNames are names of the platform's messages that other protocols use too.
var sharedNames = []string{"Retry-After", "Last-Event-Id", "Model", "/v1/report"}

// wireNames returns the header fields and paths that package platform declares.
func wireNames(c *qt.C) (names []string) {
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join("..", "..", "platform", "names.go"), nil, 0)
	c.Assert(err, qt.IsNil)
	ast.Inspect(file, func(n ast.Node) bool {
		literal, ok := n.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		name, err := strconv.Unquote(literal.Value)
		c.Assert(err, qt.IsNil)
		if strings.ContainsAny(name, "-/.") && !strings.Contains(name, "github.com") && !slices.Contains(sharedNames, name) || name == "Tenant" || name == "Helpers" {
			names = append(names, name)
		}
		return true
	})
	return names
}
