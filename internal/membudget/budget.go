// Package membudget decides which of a process's users give up their memory when they need more
// of it together than the process has. It does no I/O: users are notified through a function.
package membudget

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrExceeded means that a user was given up because all users together need too much memory.
var ErrExceeded = errors.New("the memory for requests and responses is used up")

// FreeBytes is the size up to which a user does not count. It exceeds that of usual bodies and
// events, so that ordinary callers are served while the budget is used up.
const FreeBytes = 16 << 10

// stallTime is how long a user may wait for a caller without progress until it is given up before
// all others.
const stallTime = time.Second

// Budget bounds the memory of all its users. Set the exported fields before the first call. It is
// safe for concurrent use.
type Budget struct {
	// Limit is the maximum of the reserved bytes.
	Limit int
	// Minimum holds the bytes of each class that the other classes can't take.
	Minimum [ClassCount]int
	// OnEvict is called with the class and the bytes of each user that is given up, with the
	// budget's lock held. It may be nil.
	OnEvict func(class Class, bytes int)

	mu    sync.Mutex
	used  int
	by    [ClassCount]int
	users map[*User]struct{}
}

// New returns a budget with a limit, about half of which is divided into the minimums of the
// classes.
func New(limit int) *Budget {
	return &Budget{Limit: limit, Minimum: [ClassCount]int{
		Endpoint: limit / bodyMinimum, RequestBody: limit / bodyMinimum, Connection: limit / connectionMinimum, Message: limit / messageMinimum,
	}}
}

// Divisors of a budget that give the minimums. That of bodies exceeds the largest usual body in
// the smallest instance, whose budget is 51 MiB.
const (
	bodyMinimum       = 6
	connectionMinimum = 16
	messageMinimum    = 8
)

// Used returns the reserved bytes.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// UsedBy returns the reserved bytes of a class.
func (b *Budget) UsedBy(class Class) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.by[class]
}

// capacity returns the most that a class may use.
func (b *Budget) capacity(class Class) int {
	limit := b.Limit
	for other, minimum := range b.Minimum {
		if Class(other) != class {
			limit -= minimum
		}
	}
	return limit
}

// resize changes what a user has reserved. If the budget is used up, it gives up other users, and
// returns ErrExceeded if the user itself is to be given up.
func (b *Budget) resize(u *User, bytes int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	u.progressAt = time.Now()
	if bytes <= FreeBytes && u.bytes == 0 && !u.evicted {
		return nil
	}
	for !u.evicted {
		grown := bytes - u.bytes
		overClass := b.by[u.class]+grown > b.capacity(u.class)
		if grown <= 0 || (!overClass && b.used+grown <= b.Limit) {
			break
		}
		victim := b.victim(u, bytes, overClass)
		b.remove(victim)
		victim.evicted = true
		if b.OnEvict != nil {
			b.OnEvict(victim.class, victim.bytes)
		}
		if victim != u && victim.evict != nil {
			// Under the lock, since what the user holds may belong to another one once it is
			// released.
			victim.evict()
		}
	}
	if u.evicted {
		return ErrExceeded
	}
	if b.users == nil {
		b.users = map[*User]struct{}{}
	}
	b.users[u] = struct{}{}
	b.used += bytes - u.bytes
	b.by[u.class] += bytes - u.bytes
	u.bytes = bytes
	return nil
}

// victim returns the user to give up so that u can have a number of bytes: the largest one that
// waits for its caller without progress, or else the largest one, which may be u. Only the class
// of u is considered if it exceeds its capacity, and otherwise those that exceed their minimum.
func (b *Budget) victim(u *User, bytes int, sameClass bool) *User {
	now := time.Now()
	var largest, stalled *User
	largestBytes := 0
	if sameClass || b.by[u.class]-u.bytes+bytes > b.Minimum[u.class] {
		largest, largestBytes = u, bytes
	}
	for candidate := range b.users {
		inClass := candidate.class == u.class
		switch {
		case candidate == u, candidate.pinned, sameClass && !inClass:
			continue
		case !inClass && b.by[candidate.class] <= b.Minimum[candidate.class]:
			continue
		case inClass && largest == nil:
			// The class of u stays within its minimum, which others have to leave to it.
			continue
		}
		if candidate.waiting && now.Sub(candidate.progressAt) >= stallTime && (stalled == nil || candidate.bytes > stalled.bytes) {
			stalled = candidate
		}
		if candidate.bytes >= largestBytes {
			largest, largestBytes = candidate, candidate.bytes
		}
	}
	switch {
	case stalled != nil:
		return stalled
	case largest != nil:
		return largest
	default:
		return u
	}
}

func (b *Budget) release(u *User) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(u)
	u.bytes = 0
}

func (b *Budget) remove(u *User) {
	if _, reserved := b.users[u]; reserved {
		delete(b.users, u)
		b.used -= u.bytes
		b.by[u.class] -= u.bytes
	}
}
