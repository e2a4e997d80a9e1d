package p2p

import (
	"context"
	"sync"

	"github.com/mimosaward/mimosaward/internal/boundedqueue"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// delegatedFetcher fetches chunks on behalf of other instances. Concurrent requests for
// the same chunk lead to a single fetch. It is safe for concurrent use.
type delegatedFetcher struct {
	// fetch makes one attempt to fetch a chunk.
	fetch func(ctx context.Context, index int)
	queue *boundedqueue.Queue[weights.Digest]
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

// enqueue queues a chunk unless it is already queued or being fetched. If the queue is
// full, the chunk is dropped, since the instances that need it repeat their requests.
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

// start starts the workers. has reports whether a chunk is already in the store.
func (d *delegatedFetcher) start(ctx context.Context, has func(weights.Digest) bool) {
	d.group = concurrency.NewGroup(ctx)
	for range delegatedWorkers {
		d.group.Go(func(ctx context.Context) { d.work(ctx, has) })
	}
}

// stop stops the workers and waits until they have ended.
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
