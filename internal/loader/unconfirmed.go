package loader

import (
	"context"
	"sync"

	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/stopwatch"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// unconfirmedLoad is an order of which it is not known that the engine accepted it while the checks
// of its chunks were recent.
type unconfirmedLoad struct {
	incarnation, ordersBefore int64
	version                   int64
	// from is the first layer that the order may have loaded.
	from int
	// rewritten is true if a staged chunk was written since, so that reading the chunks shows no
	// longer what the engine loaded.
	rewritten bool
	// corrupt is true once the engine accepted the order and may have loaded a corrupt chunk.
	corrupt bool
}

// unconfirmedLoads holds the last unconfirmed load, if any. What an engine loaded is withheld from
// gateways until it is confirmed. It is safe for concurrent use.
type unconfirmedLoads struct {
	mu   sync.Mutex
	load *unconfirmedLoad
}

// orderSent records an order before it is sent, and returns the record that it replaces.
func (u *unconfirmedLoads) orderSent(load unconfirmedLoad) *unconfirmedLoad {
	u.mu.Lock()
	defer u.mu.Unlock()
	previous := u.load
	if previous != nil && previous.incarnation == load.incarnation && previous.ordersBefore == load.ordersBefore && previous.version == load.version {
		// The engine accepts one of the two orders at most.
		load.from, load.rewritten = min(load.from, previous.from), previous.rewritten
	}
	u.load = &load
	return previous
}

// restore replaces the record, by none if load is nil.
func (u *unconfirmedLoads) restore(load *unconfirmedLoad) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.load = load
}

// chunkWritten records that a staged chunk is written.
func (u *unconfirmedLoads) chunkWritten() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.load != nil {
		u.load.rewritten = true
	}
}

// current returns the unconfirmed load if the engine with the status has accepted its order.
func (u *unconfirmedLoads) current(status *engine.Status) (unconfirmedLoad, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.load == nil || u.load.incarnation != status.Incarnation || status.Orders <= u.load.ordersBefore {
		return unconfirmedLoad{}, false
	}
	return *u.load, true
}

// accepted reports whether the engine has accepted an order that is not confirmed.
func (u *unconfirmedLoads) accepted(status engine.Status) bool {
	_, accepted := u.current(&status)
	return accepted
}

// needsConfirmation reports whether the chunks of an accepted order are to be read back.
func (u *unconfirmedLoads) needsConfirmation(status engine.Status) bool {
	load, accepted := u.current(&status)
	return accepted && !load.corrupt
}

// corruptVersion returns the version that the engine may have loaded from corrupt chunks, 0 if
// there is none.
func (u *unconfirmedLoads) corruptVersion(status engine.Status) int64 {
	load, accepted := u.current(&status)
	if !accepted || !load.corrupt {
		return 0
	}
	return load.version
}

// withhold removes the weights of an unconfirmed load from the status that gateways receive.
func (u *unconfirmedLoads) withhold(status *engine.Status) {
	if _, accepted := u.current(status); accepted {
		status.Weights = nil
	}
}

// finish ends the unconfirmed load, or marks it as corrupt.
func (u *unconfirmedLoads) finish(intact bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.load != nil && intact {
		u.load = nil
	} else if u.load != nil {
		u.load.corrupt = true
	}
}

// confirmLoad reads back the chunks from which the engine loaded layers. A corrupt chunk stays
// corrupt until it is written again, so a pass that began after the order was accepted and finds
// all intact shows that the engine loaded intact ones.
func (l *Loader) confirmLoad(ctx context.Context) {
	status, err := l.engineStatus(ctx)
	if err != nil || status.Busy {
		return
	}
	load, accepted := l.unconfirmed.current(&status)
	if !accepted || load.corrupt {
		return
	}
	fields := event.Fields{"version": load.version, "rewritten": load.rewritten}
	intact := false
	if manifest := l.weightSets.ofVersion(load.version); manifest != nil && !load.rewritten {
		if intact, err = l.loadedIntact(ctx, manifest, load.from, status.Layers); err != nil {
			return
		}
	}
	l.unconfirmed.finish(intact)
	if intact {
		l.Log.Emit(event.LoadConfirmed, fields)
		return
	}
	l.Log.Emit(event.LoadedCorrupt, fields)
}

// loadedIntact reports whether the staged chunks of the loaded layers from a layer on are intact.
func (l *Loader) loadedIntact(ctx context.Context, manifest *weights.Manifest, from int, loaded engine.LoadedLayers) (bool, error) {
	layout, chunks := l.layoutOf(manifest), manifest.Positions()
	pass := &stagedPass{layout: layout, from: from, to: min(loaded.To, layout.layers), started: stopwatch.Start(l.BootTime)}
	pass.check = func(ctx context.Context, chunk int) (bool, error) {
		return l.stagedIntact(ctx, manifest.Model, chunk, chunks[chunk])
	}
	err := pass.run(ctx)
	return err == nil && pass.corrupt == 0, err
}
