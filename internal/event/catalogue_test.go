package event_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/event"
)

var update = flag.Bool("update", false, "rewrite docs/log-events.md")

func TestReference(t *testing.T) {
	const file = "../../docs/log-events.md"
	if *update {
		if err := os.WriteFile(file, []byte(event.Reference()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(event.Reference(), string(page)); diff != "" {
		t.Errorf("docs/log-events.md differs from the code, run \"make docs\" (-want +got):\n%s", diff)
	}
}

// Every declared event is in the catalogue, and all numbers are distinct.
func TestCatalogueIsComplete(t *testing.T) {
	parsed, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	declared := 0
	ast.Inspect(parsed, func(n ast.Node) bool {
		if literal, ok := n.(*ast.CompositeLit); ok {
			if name, ok := literal.Type.(*ast.Ident); ok && name.Name == "Event" {
				declared++
			}
		}
		return true
	})
	numbers := map[int]bool{}
	for _, e := range event.Catalogue() {
		numbers[e.Number()] = true
	}
	if diff := cmp.Diff(declared, len(numbers)); diff != "" {
		t.Errorf("declared events and distinct numbers in the catalogue (-want +got):\n%s", diff)
	}
}

func TestRecordFields(t *testing.T) {
	var out bytes.Buffer
	log, err := event.NewLogger(&out, "json", "info", "entry-1")
	if err != nil {
		t.Fatal(err)
	}
	log.Emit(event.TicketsApplied, event.Fields{"upTo": 7})
	log.Emit(event.ParentChanged, event.Fields{})
	var record struct {
		Event    int    `json:"event"`
		Instance string `json:"instance"`
		UpTo     int    `json:"upTo"`
	}
	if err := json.Unmarshal(out.Bytes(), &record); err != nil {
		t.Fatalf("want one record, since level debug is disabled: %v", err)
	}
	if diff := cmp.Diff([]any{2001, "entry-1", 7}, []any{record.Event, record.Instance, record.UpTo}); diff != "" {
		t.Errorf("record (-want +got):\n%s", diff)
	}
}
