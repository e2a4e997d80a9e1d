// Package boundedqueue provides a bounded FIFO queue between goroutines. A full
// queue rejects items instead of growing, so that memory stays bounded under
// overload.
package boundedqueue

import "context"

// Queue is a bounded FIFO queue. It is safe for any number of concurrent
// producers and consumers.
type Queue[T any] struct {
	items chan T
}

// New returns a queue that holds at most capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity)}
}

// Offer adds an item without blocking and reports whether there was space for it.
func (q *Queue[T]) Offer(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		return false
	}
}

// Take removes and returns the next item. It blocks until an item is available or
// ctx is done.
func (q *Queue[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-q.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// TryTake removes and returns the next item without blocking, and reports whether
// an item was available.
func (q *Queue[T]) TryTake() (T, bool) {
	select {
	case item := <-q.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}
