package concurrency

import (
	"context"
	"sync"
)

// Semaphore lets a few goroutines at a time do something that waits. Unlike a mutex
// it can be given up while waiting. The zero value lets one through; set Slots
// before the first call.
type Semaphore struct {
	// Limit is the number of goroutines that may have the turn; 0 means 1.
	Limit int

	once sync.Once
	held chan struct{}
}

func (t *Semaphore) init() {
	t.once.Do(func() { t.held = make(chan struct{}, max(1, t.Limit)) })
}

// Acquire waits for the turn, or for the end of ctx. After a nil error the caller
// must call Give.
func (t *Semaphore) Acquire(ctx context.Context) error {
	t.init()
	select {
	case t.held <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Release ends the turn.
func (t *Semaphore) Release() { <-t.held }
