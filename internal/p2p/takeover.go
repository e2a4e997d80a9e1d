package p2p

import (
	"context"
	"sync"

	"github.com/mimosaward/mimosaward/internal/boundedqueue"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// takeOvers fetches chunks on behalf of others, each once however many ask for it. It
// is safe for concurrent use.
type takeOvers struct {
	// fetch tries once to get a chunk.
	fetch  func(ctx context.Context, index int)
	wanted *boundedqueue.Queue[weights.Digest]
	group  *concurrency.Group

	mu     sync.Mutex
	active map[weights.Digest]bool
	index  map[weights.Digest]int
}

func newTakeOvers(chunks []weights.Digest, fetch func(ctx context.Context, index int)) *takeOvers {
	t := &takeOvers{
		fetch:  fetch,
		wanted: boundedqueue.New[weights.Digest](takeOverRing),
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
func (t *takeOvers) Go(ctx context.Context, held func(weights.Digest) bool) {
	t.group = concurrency.NewGroup(ctx)
	for range takeOverWorkers {
		t.group.Go(func(ctx context.Context) { t.work(ctx, held) })
	}
}

// Stop ends the workers.
func (t *takeOvers) Stop() {
	t.group.Stop()
	t.group.Wait()
}

func (t *takeOvers) work(ctx context.Context, held func(weights.Digest) bool) {
	for {
		chunk, err := t.wanted.Take(ctx)
		if err != nil {
			return
		}
		if !held(chunk) {
			t.fetch(ctx, t.index[chunk])
		}
		t.mu.Lock()
		delete(t.active, chunk)
		t.mu.Unlock()
	}
}
