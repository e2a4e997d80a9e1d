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

// moduleRoot is the path of the module's directory relative to this package.
const moduleRoot = "../.."

// goStatements returns the positions of the go statements in a Go source file.
func goStatements(t *testing.T, name string, source any) []string {
	t.Helper()
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, name, source, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	var positions []string
	ast.Inspect(file, func(n ast.Node) bool {
		if statement, ok := n.(*ast.GoStmt); ok {
			positions = append(positions, fileSet.Position(statement.Pos()).String())
		}
		return true
	})
	return positions
}

func TestGoStatements(t *testing.T) {
	source := "package p\n\nfunc f() {\n\tgo f()\n}\n"
	if diff := cmp.Diff([]string{"p.go:4:2"}, goStatements(t, "p.go", source)); diff != "" {
		t.Errorf("go statements (-want +got):\n%s", diff)
	}
}

func TestNoGoStatements(t *testing.T) {
	var positions []string
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && strings.HasSuffix(path, ".go") {
			positions = append(positions, goStatements(t, path, nil)...)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string(nil), positions); diff != "" {
		t.Errorf("go statements outside of a concurrency.Group (-want +got):\n%s", diff)
	}
}
