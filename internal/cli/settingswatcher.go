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

// stopCheckTimeout bounds the time for which a stop waits until the settings were read.
const stopCheckTimeout = 100 * time.Millisecond

// settingsWatcher reloads the settings file when its content changes. It logs and ignores
// a file that cannot be read or is invalid.
type settingsWatcher struct {
	file    string
	log     *event.Logger
	hangups <-chan os.Signal
	// stop is done when the process is asked to stop. stopChecked is closed once the file was
	// read after that.
	stop        context.Context
	stopChecked chan struct{}
	changed     chan deployment.Deployment

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
	stop := w.stop.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-stop:
			w.reload("stop")
			close(w.stopChecked)
			stop = nil
		case <-w.hangups:
			w.reload("signal")
		case <-ticker.C:
			w.reload("interval")
		}
	}
}

// awaitStop calls begin once the process is asked to stop and the file was read again, so that
// the stop uses the settings in effect. It does not wait long for a file that blocks its reader,
// and returns early if ctx is done.
func (w *settingsWatcher) awaitStop(ctx context.Context, begin context.CancelFunc) {
	select {
	case <-w.stop.Done():
	case <-ctx.Done():
		return
	}
	timer := time.NewTimer(stopCheckTimeout)
	defer timer.Stop()
	select {
	case <-w.stopChecked:
	case <-timer.C:
	case <-ctx.Done():
	}
	begin()
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
