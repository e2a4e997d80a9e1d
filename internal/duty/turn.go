package duty

import (
	"context"
	"sync"
)

// Turn lets one goroutine at a time do something that waits. Unlike a mutex it
// can be given up while waiting. The zero value is ready for use.
type Turn struct {
	once sync.Once
	slot chan struct{}
}

func (t *Turn) init() {
	t.once.Do(func() { t.slot = make(chan struct{}, 1) })
}

// Take waits for the turn, or for the end of ctx. After a nil error the caller
// must call Give.
func (t *Turn) Take(ctx context.Context) error {
	t.init()
	select {
	case t.slot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Give ends the turn.
func (t *Turn) Give() { <-t.slot }
