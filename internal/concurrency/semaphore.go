package concurrency

import (
	"context"
	"sync"
)

// Semaphore limits the number of goroutines in a section that may block. Unlike
// with a mutex, a goroutine can stop waiting for it when its context is done. The
// zero value admits one goroutine at a time; set Limit before the first call.
type Semaphore struct {
	// Limit is the number of goroutines that may hold the semaphore; 0 means 1.
	Limit int

	once  sync.Once
	slots chan struct{}
}

func (s *Semaphore) init() {
	s.once.Do(func() { s.slots = make(chan struct{}, max(1, s.Limit)) })
}

// Acquire blocks until the semaphore is available or ctx is done. If it returns
// nil, the caller must call Release.
func (s *Semaphore) Acquire(ctx context.Context) error {
	s.init()
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Release releases the semaphore.
func (s *Semaphore) Release() { <-s.slots }
