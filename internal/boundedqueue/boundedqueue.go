// Package boundedqueue passes items between the goroutines of a process through
// bounded queues. A full ring refuses instead of growing, so that memory stays
// bounded under overload.
package boundedqueue

import "context"

// Queue is a bounded queue, safe for any number of producers and consumers.
type Queue[T any] struct {
	items chan T
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity)}
}

// Offer adds an item and reports false, without waiting, when the ring is full.
func (q *Queue[T]) Offer(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		return false
	}
}

// Take waits for the next item, or for the end of ctx.
func (q *Queue[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-q.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// TryTake returns the next item without waiting, and false if there is none.
func (q *Queue[T]) TryTake() (T, bool) {
	select {
	case item := <-q.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}
