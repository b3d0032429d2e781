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

// wireFolders may hold the names that the platform's messages use.
var wireFolders = []string{"platform", "standin", "deploy", "journal"}

// TestWireNamesStayInOneFolder looks for the names of the platform's messages in all other source files.
func TestWireNamesStayInOneFolder(t *testing.T) {
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

// common are names that other protocols share with the platform's.
var common = []string{"Retry-After", "Last-Event-Id", "Model", "/v1/report"}

// wireNames returns the header fields and paths that the adapter declares.
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
		if strings.ContainsAny(name, "-/.") && !strings.Contains(name, "github.com") && !slices.Contains(common, name) || name == "Tenant" || name == "Helpers" {
			names = append(names, name)
		}
		return true
	})
	return names
}
