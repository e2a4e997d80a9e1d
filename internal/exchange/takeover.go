package exchange

import (
	"context"
	"sync"

	"github.com/mimosaward/mimosaward/internal/duty"
	"github.com/mimosaward/mimosaward/internal/ring"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// takeOvers fetches chunks from outside the region on behalf of a root that is
// gone. It is safe for concurrent use.
type takeOvers struct {
	wanted *ring.Ring[weights.Digest]
	group  *duty.Group

	mu     sync.Mutex
	active map[weights.Digest]bool
	index  map[weights.Digest]int
}

func newTakeOvers(chunks []weights.Digest) *takeOvers {
	t := &takeOvers{
		wanted: ring.New[weights.Digest](takeOverRing),
		active: map[weights.Digest]bool{},
		index:  make(map[weights.Digest]int, len(chunks)),
	}
	for index, chunk := range chunks {
		t.index[chunk] = index
	}
	return t
}

// Offer asks for a chunk, once however many instances want it. If the ring is
// full, those instances will ask again.
func (t *takeOvers) Offer(chunk weights.Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.index[chunk]; !known || t.active[chunk] {
		return
	}
	if t.wanted.Offer(chunk) {
		t.active[chunk] = true
	}
}

// Go starts the workers.
func (t *takeOvers) Go(ctx context.Context, b *burst) {
	t.group = duty.NewGroup(ctx)
	for range takeOverWorkers {
		t.group.Go(func(ctx context.Context) { t.work(ctx, b) })
	}
}

// Stop ends the workers.
func (t *takeOvers) Stop() {
	t.group.Stop()
	t.group.Wait()
}

func (t *takeOvers) work(ctx context.Context, b *burst) {
	for {
		chunk, err := t.wanted.Take(ctx)
		if err != nil {
			return
		}
		if !b.fetcher.Store.Has(chunk) {
			b.tryRound(ctx, b.layout.RootSources(t.index[chunk]), t.index[chunk], eagerness{impatient: true})
		}
		t.mu.Lock()
		delete(t.active, chunk)
		t.mu.Unlock()
	}
}
