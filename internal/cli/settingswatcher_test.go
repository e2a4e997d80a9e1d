package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/platform"
)

// Guards against the loss of a change that is made after the process has read its settings
// and before the watcher reads them for the first time.
func TestSettingsChangedBeforeFirstCheckAreReloaded(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("testdata", "instance.toml"))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "instance.toml")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(string(content))
	loaded, err := platform.LoadSettings(file)
	if err != nil {
		t.Fatal(err)
	}
	watcher := &settingsWatcher{file: file, log: event.Discard(), changed: make(chan deployment.Deployment, 1), last: loaded}
	watcher.reload("start")
	if len(watcher.changed) != 0 {
		t.Error("unchanged settings were reloaded")
	}
	watcher = &settingsWatcher{file: file, log: event.Discard(), changed: make(chan deployment.Deployment, 1), last: loaded}
	write(strings.Replace(string(content), "grace_s = 8", "grace_s = 9", 1))
	watcher.reload("start")
	select {
	case changed := <-watcher.changed:
		if changed.Bounds.GracePeriod != 9*time.Second {
			t.Errorf("grace period %s after the reload, want 9s", changed.Bounds.GracePeriod)
		}
	default:
		t.Error("changed settings were not reloaded")
	}
}
