package cli

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/platform"
)

// settingsPollInterval is how often the settings file is looked at: it may change without a
// signal.
const settingsPollInterval = 2 * time.Second

// settingsWatcher reads the settings file again when it changes. A broken file changes
// nothing.
type settingsWatcher struct {
	file    string
	log     *event.Logger
	changed chan deployment.Deployment

	last        deployment.Deployment
	lastContent string
}

// run looks at the file at each SIGHUP and from time to time, until ctx ends.
func (w *settingsWatcher) run(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	w.reload("start")
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			w.reload("signal")
		case <-ticker.C:
			w.reload("interval")
		}
	}
}

// reload reads the file if its text changed since the last time.
func (w *settingsWatcher) reload(cause string) {
	content, err := os.ReadFile(w.file)
	if err != nil {
		w.log.Emit(event.SettingsIgnored, event.Fields{"cause": cause, "error": err.Error()})
		return
	}
	if string(content) == w.lastContent {
		return
	}
	initial := w.lastContent == ""
	w.lastContent = string(content)
	next, err := platform.LoadSettings(w.file)
	if err != nil {
		w.log.Emit(event.SettingsIgnored, event.Fields{"cause": cause, "error": err.Error()})
		return
	}
	if initial || reflect.DeepEqual(next, w.last) {
		w.last = next
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
