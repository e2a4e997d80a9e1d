package p2p

import (
	"context"
	"sync"

	"github.com/mimosaward/mimosaward/internal/boundedqueue"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// delegatedFetcher fetches chunks on behalf of others, each once however many ask for it. It
// is safe for concurrent use.
type delegatedFetcher struct {
	// fetch tries once to get a chunk.
	fetch func(ctx context.Context, index int)
	queue *boundedqueue.Ring[weights.Digest]
	group *concurrency.Group

	mu      sync.Mutex
	pending map[weights.Digest]bool
	indexes map[weights.Digest]int
}

func newDelegatedFetcher(chunks []weights.Digest, fetch func(ctx context.Context, index int)) *delegatedFetcher {
	d := &delegatedFetcher{
		fetch:   fetch,
		queue:   boundedqueue.New[weights.Digest](delegatedQueueSize),
		pending: map[weights.Digest]bool{},
		indexes: make(map[weights.Digest]int, len(chunks)),
	}
	for index, chunk := range chunks {
		d.indexes[chunk] = index
	}
	return d
}

// enqueue asks for a chunk, once however many instances want it. If the ring is
// full, those instances will ask again.
func (d *delegatedFetcher) enqueue(chunk weights.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.indexes[chunk]; !ok || d.pending[chunk] {
		return
	}
	if d.queue.Offer(chunk) {
		d.pending[chunk] = true
	}
}

// start starts the workers.
func (d *delegatedFetcher) start(ctx context.Context, has func(weights.Digest) bool) {
	d.group = concurrency.NewGroup(ctx)
	for range delegatedWorkers {
		d.group.Go(func(ctx context.Context) { d.work(ctx, has) })
	}
}

// stop ends the workers.
func (d *delegatedFetcher) stop() {
	d.group.Stop()
	d.group.Wait()
}

func (d *delegatedFetcher) work(ctx context.Context, has func(weights.Digest) bool) {
	for {
		chunk, err := d.queue.Take(ctx)
		if err != nil {
			return
		}
		if !has(chunk) {
			d.fetch(ctx, d.indexes[chunk])
		}
		d.mu.Lock()
		delete(d.pending, chunk)
		d.mu.Unlock()
	}
}
