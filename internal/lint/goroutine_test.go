// Package lint contains tests that check the source code.
package lint

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// root is the module's directory as seen from this package.
const root = "../.."

// bareGoroutines returns the positions of go statements in a Go source.
func bareGoroutines(t *testing.T, name string, source any) []string {
	t.Helper()
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, name, source, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	ast.Inspect(parsed, func(n ast.Node) bool {
		if statement, ok := n.(*ast.GoStmt); ok {
			found = append(found, files.Position(statement.Pos()).String())
		}
		return true
	})
	return found
}

func TestBareGoroutineIsFound(t *testing.T) {
	source := "package p\n\nfunc f() {\n\tgo f()\n}\n"
	if diff := cmp.Diff([]string{"p.go:4:2"}, bareGoroutines(t, "p.go", source)); diff != "" {
		t.Errorf("go statements (-want +got):\n%s", diff)
	}
}

func TestGoroutinesStartThroughAGroup(t *testing.T) {
	var found []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && strings.HasSuffix(path, ".go") {
			found = append(found, bareGoroutines(t, path, nil)...)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string(nil), found); diff != "" {
		t.Errorf("bare go statements (-want +got):\n%s", diff)
	}
}
