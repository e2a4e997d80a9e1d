// Package boundedqueue passes items between the goroutines of a process through
// bounded queues. A full ring refuses instead of growing, so that memory stays
// bounded under overload.
package boundedqueue

import "context"

// Queue is a bounded queue, safe for any number of producers and consumers.
type Queue[T any] struct {
	slots chan T
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{slots: make(chan T, capacity)}
}

// Offer adds an item and reports false, without waiting, when the ring is full.
func (r *Queue[T]) Offer(item T) bool {
	select {
	case r.slots <- item:
		return true
	default:
		return false
	}
}

// Take waits for the next item, or for the end of ctx.
func (r *Queue[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-r.slots:
		return item, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// TryTake returns the next item without waiting, and false if there is none.
func (r *Queue[T]) TryTake() (T, bool) {
	select {
	case item := <-r.slots:
		return item, true
	default:
		var none T
		return none, false
	}
}
