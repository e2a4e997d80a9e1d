package membudget

import "time"

// User is one user of a budget, such as a body. Its methods are safe for concurrent use; a nil
// User has no bound.
type User struct {
	budget *Budget
	class  Class

	// The other fields are changed with the budget's lock held.
	bytes   int
	evicted bool
	evict   func()
	// waiting is true while the user waits for its caller, and pinned while it can't be given up.
	waiting    bool
	pinned     bool
	progressAt time.Time
}

// NewUser returns a user without memory. evict is called if the user is given up for others; it
// must not block or call the budget, and the user must release what it holds soon after.
func (b *Budget) NewUser(class Class, evict func()) *User {
	if b == nil {
		return nil
	}
	return &User{budget: b, class: class, evict: evict}
}

// Resize changes the memory of the user, which counts as progress. It returns ErrExceeded if the
// user is given up. The user may not have more than before then.
func (u *User) Resize(bytes int) error {
	if u == nil {
		return nil
	}
	return u.budget.resize(u, bytes)
}

// AwaitCaller says that the user makes progress only if its caller does from now on, and that
// evict is called from now on if it is given up. It returns ErrExceeded if that has happened.
func (u *User) AwaitCaller(evict func()) error {
	if u == nil {
		return nil
	}
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.waiting, u.progressAt, u.evict = true, time.Now(), evict
	if u.evicted {
		return ErrExceeded
	}
	return nil
}

// AwaitEndpoint says that the user does not wait for its caller any more.
func (u *User) AwaitEndpoint() {
	if u == nil {
		return
	}
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.waiting = false
}

// Pin says that the user does not wait for its caller any more and is not given up for others.
func (u *User) Pin() error {
	if u == nil {
		return nil
	}
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.waiting, u.pinned = false, true
	if u.evicted {
		return ErrExceeded
	}
	return nil
}

// Release ends the use of memory.
func (u *User) Release() {
	if u != nil {
		u.budget.release(u)
	}
}
