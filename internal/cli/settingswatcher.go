package cli

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/platform"
)

// settingsPollInterval is the interval between reads of the settings file, which may
// change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// settingsWatcher reloads the settings file when its content changes. It logs and ignores
// a file that cannot be read or is invalid.
type settingsWatcher struct {
	file    string
	log     *event.Logger
	hangups <-chan os.Signal
	changed chan deployment.Deployment

	// last is the deployment in effect: at first the one that the process has loaded.
	last        deployment.Deployment
	lastContent string
}

// run checks the file at each SIGHUP and every settingsPollInterval, until ctx is
// canceled.
func (w *settingsWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	w.reload("start")
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hangups:
			w.reload("signal")
		case <-ticker.C:
			w.reload("interval")
		}
	}
}

// reload reads the file and, if the settings differ from the last valid ones, sends the
// new deployment on w.changed. It replaces an unread deployment there.
func (w *settingsWatcher) reload(cause string) {
	content, err := os.ReadFile(w.file)
	if err != nil {
		w.log.Emit(event.SettingsIgnored, event.Fields{"cause": cause, "error": err.Error()})
		return
	}
	if string(content) == w.lastContent {
		return
	}
	w.lastContent = string(content)
	next, err := platform.LoadSettings(w.file)
	if err != nil {
		w.log.Emit(event.SettingsIgnored, event.Fields{"cause": cause, "error": err.Error()})
		return
	}
	if reflect.DeepEqual(next, w.last) {
		return
	}
	w.last = next
	w.log.Emit(event.SettingsReloaded, event.Fields{"cause": cause})
	select {
	case <-w.changed:
	default:
	}
	w.changed <- next
}
