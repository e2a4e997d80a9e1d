package connpool

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrBudgetExceeded means that a body was given up because the bodies that are read at the same
// time take too much memory, and this one takes most of it.
var ErrBudgetExceeded = errors.New("response bodies exceed the memory for them")

// unbudgetedBytes is the size up to which a body does not count. It exceeds that of usual bodies
// and events.
const unbudgetedBytes = 16 << 10

// Budget bounds the memory of all response bodies that are read at the same time: endpoints in
// trouble may send bytes without end. If it is used up, the largest body is given up, so that
// those of other endpoints are still read. It is safe for concurrent use.
type Budget struct {
	// Limit is the maximum of the reserved bytes.
	Limit int

	mu           sync.Mutex
	used         int
	reservations map[*reservation]struct{}
}

// reservation is the part of a budget that one body uses.
type reservation struct {
	// bytes is changed by the exchange only, with the budget's lock held.
	bytes int
	// evicted is true once the body was given up. evict aborts its exchange.
	evicted bool
	evict   func()
}

// Used returns the reserved bytes.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// resize changes a reservation to a number of bytes. If the budget is used up, it evicts the largest
// reservations; it returns ErrBudgetExceeded if this is the largest one.
func (b *Budget) resize(r *reservation, bytes int) error {
	if bytes <= unbudgetedBytes && r.bytes == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for !r.evicted && b.used-r.bytes+bytes > b.Limit {
		largest := b.largest()
		if largest == nil || largest.bytes < bytes {
			largest = r
		}
		b.remove(largest)
		largest.evicted = true
		if largest != r {
			// Under the lock, since the connection may carry another request once the
			// reservation is released.
			largest.evict()
		}
	}
	if r.evicted {
		return ErrBudgetExceeded
	}
	if b.reservations == nil {
		b.reservations = map[*reservation]struct{}{}
	}
	b.reservations[r] = struct{}{}
	b.used += bytes - r.bytes
	r.bytes = bytes
	return nil
}

func (b *Budget) largest() *reservation {
	var largest *reservation
	for r := range b.reservations {
		if largest == nil || r.bytes > largest.bytes {
			largest = r
		}
	}
	return largest
}

// release ends a reservation.
func (b *Budget) release(r *reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(r)
}

func (b *Budget) remove(r *reservation) {
	if _, reserved := b.reservations[r]; reserved {
		delete(b.reservations, r)
		b.used -= r.bytes
	}
}
