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

// settingsInterval is how often the settings file is looked at: it may change without a
// signal.
const settingsInterval = 2 * time.Second

// settingsWatch reads the settings file again when it changes. A broken file changes
// nothing.
type settingsWatch struct {
	file    string
	log     *event.Logger
	changed chan deployment.Deployment

	last     deployment.Deployment
	lastText string
}

// run looks at the file at each SIGHUP and from time to time, until ctx ends.
func (w *settingsWatch) run(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	w.read("start")
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			w.read("signal")
		case <-ticker.C:
			w.read("interval")
		}
	}
}

// read reads the file if its text changed since the last time.
func (w *settingsWatch) read(cause string) {
	text, err := os.ReadFile(w.file)
	if err != nil {
		w.log.Emit(event.SettingsIgnored, event.Fields{"cause": cause, "error": err.Error()})
		return
	}
	if string(text) == w.lastText {
		return
	}
	first := w.lastText == ""
	w.lastText = string(text)
	next, err := platform.LoadSettings(w.file)
	if err != nil {
		w.log.Emit(event.SettingsIgnored, event.Fields{"cause": cause, "error": err.Error()})
		return
	}
	if first || reflect.DeepEqual(next, w.last) {
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
