package settings_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/settings"
	"github.com/mimosaward/mimosaward/platform"
)

var update = flag.Bool("update", false, "rewrite docs/settings.md")

// The settings reference in docs must match the code.
func TestReference(t *testing.T) {
	const file = "../../docs/settings.md"
	want := settings.Reference() + platform.SettingsReference()
	if *update {
		if err := os.WriteFile(file, []byte(want), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, string(page)); diff != "" {
		t.Errorf("docs/settings.md differs from the code, run \"make docs\" (-want +got):\n%s", diff)
	}
}

// loadFindings loads text as an agent's settings file and returns the findings, one a
// string, without the directory in their file names.
func loadFindings(t *testing.T, text string) []string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "agent.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := settings.LoadAgent(file)
	if err == nil {
		return nil
	}
	return strings.Split(strings.ReplaceAll(fmt.Sprint(err), filepath.Dir(file)+"/", ""), "\n")
}

const validAgent = `{
  "instance": {"name": "a", "availabilityZone": "z", "region": "r"},
  "platform": {"objectApi": "http://10.0.0.1:1", "instanceList": "http://10.0.0.1:2"},
  "workAddress": "10.0.0.2:80",
  "controlAddress": "10.0.0.2:81",
  "adminAddress": "10.0.0.2:82",
  "endpoint": {"url": "http://10.0.0.2:90", "pool": "drafting", "kind": "service"},
  "drainTimeout": "5s"
}`

func TestLoadAgentValid(t *testing.T) {
	if diff := cmp.Diff([]string(nil), loadFindings(t, validAgent)); diff != "" {
		t.Errorf("findings (-want +got):\n%s", diff)
	}
}

// One pass must report all problems, not only the first.
func TestLoadAgentReportsEveryFinding(t *testing.T) {
	text := strings.NewReplacer(
		`"region": "r"`, `"region": "r", "rack": 4`,
		`"10.0.0.2:81"`, `"10.0.0.2:80"`,
		`"10.0.0.2:82"`, `"nowhere"`,
		`"kind": "service"`, `"kind": "model", "coldLimit": 99`,
		`"5s"`, `5`,
	).Replace(validAgent)
	want := []string{
		`agent.json:1: weights.originUrl: is required for a model endpoint`,
		`agent.json:1: weights.homeRegion: is required for a model endpoint`,
		`agent.json:2: instance.rack: unknown key`,
		`agent.json:5: controlAddress: conflicts with workAddress, which has the same address 10.0.0.2:80`,
		`agent.json:6: adminAddress: "nowhere" is not an IP address with a port, such as "10.0.0.5:8100"`,
		`agent.json:7: endpoint.coldLimit: 99 is above endpoint.warmLimit 16`,
		`agent.json:8: drainTimeout: expected a duration with a unit, such as "250ms"`,
	}
	if diff := cmp.Diff(want, loadFindings(t, text)); diff != "" {
		t.Errorf("findings (-want +got):\n%s", diff)
	}
}

func TestLoadAgentSyntaxErrorHasLine(t *testing.T) {
	got := loadFindings(t, "{\n  \"instance\": }")
	if len(got) != 1 || !strings.HasPrefix(got[0], "agent.json:2: not valid JSON") {
		t.Errorf("findings: %q", got)
	}
}
