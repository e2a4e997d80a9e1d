package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/mimosaward/mimosaward/internal/settings"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

// The example files of both sites must be valid.
func TestExamples(t *testing.T) {
	for _, site := range []string{"tegaki", "cairnloch"} {
		directory := filepath.Join("../../examples", site)
		if _, err := settings.LoadEntry(filepath.Join(directory, "entry.json")); err != nil {
			t.Error(err)
		}
		for _, file := range []string{"agent-model.json", "agent-service.json"} {
			if _, err := settings.LoadAgent(filepath.Join(directory, file)); err != nil {
				t.Error(err)
			}
		}
		if _, err := settings.LoadOperator(filepath.Join(directory, "operator.json")); err != nil {
			t.Error(err)
		}
		text, err := os.ReadFile(filepath.Join(directory, "first-ticket.json"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ticket.Parse("first-ticket.json", text); err != nil {
			t.Error(err)
		}
	}
}
