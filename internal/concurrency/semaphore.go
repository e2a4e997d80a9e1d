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
	slots chan struct{}
}

func (s *Semaphore) init() {
	s.once.Do(func() { s.slots = make(chan struct{}, max(1, s.Limit)) })
}

// Acquire waits for the turn, or for the end of ctx. After a nil error the caller
// must call Give.
func (s *Semaphore) Acquire(ctx context.Context) error {
	s.init()
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Release ends the turn.
func (s *Semaphore) Release() { <-s.slots }
