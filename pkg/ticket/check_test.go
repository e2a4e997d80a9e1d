package ticket_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/pkg/ticket"
)

func ExampleParse() {
	_, err := ticket.Parse("leave.json", []byte(`{
  "operator": "aya",
  "zones": [
    {"name": "kumamoto", "inService": false},
    {"name": "kagoshima"}
  ],
  "colour": "red"
}`))
	fmt.Println(err)
	// Output:
	// leave.json:5: zones[1].inService: required key is missing
	// leave.json:7: colour: unknown key
}

// One pass must report all problems, not only the first.
func TestParseReportsEveryFinding(t *testing.T) {
	text := `{
  "number": 4,
  "operator": "aya",
  "operator": "ben",
  "pools": [
    {"name": "drafting", "kind": "model", "model": "draft", "version": "", "manifest": "abc", "replicas": 0, "maxSwapping": 1},
    {"name": "drafting", "kind": "service"}
  ],
  "workspaces": [{"name": "aso-care", "priority": 9, "maxShare": 0}]
}`
	_, err := ticket.Parse("t.json", []byte(text))
	got := strings.Split(fmt.Sprint(err), "\n")
	want := []string{
		`t.json:4: operator: duplicate key, first given on line 3`,
		`t.json:6: pools[0].version: must not be empty`,
		`t.json:6: pools[0].manifest: must be the SHA-256 digest of a manifest, 64 hexadecimal digits`,
		`t.json:6: pools[0].replicas: must be at least 1`,
		`t.json:7: pools[1].name: "drafting" is already changed by pools[0].name`,
		`t.json:9: workspaces[0].priority: must be between 0 and 2`,
		`t.json:9: workspaces[0].maxShare: must be between 1 and 100 percent`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("findings (-want +got):\n%s", diff)
	}
}
