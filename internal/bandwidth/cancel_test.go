package bandwidth_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaward/mimosaward/internal/bandwidth"
	"github.com/mimosaward/mimosaward/internal/concurrency"
)

// Guards against slices that wait for the time of others that were given up before they were
// sent: fetches of a superseded set delayed those of the set that replaced it.
func TestCanceledSliceFreesItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &bandwidth.Link{Rate: linkRate}
		if err := link.WaitSlice(t.Context(), linkRate/2); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		waiting := concurrency.NewGroup(ctx)
		for range 8 {
			waiting.Go(func(ctx context.Context) {
				if link.WaitSlice(ctx, linkRate) == nil {
					t.Error("a slice was sent that does not fit")
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		cancel()
		waiting.Wait()
		start := time.Now()
		if err := link.WaitSlice(t.Context(), bandwidth.BlockBytes); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(start); waited > 500*time.Millisecond {
			t.Errorf("a slice waited %s after all others were given up, want at most 500ms", waited)
		}
	})
}

// Guards against the same for the slices of one link between regions.
func TestCanceledSendFreesItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := &bandwidth.Controller{Target: 10 * time.Millisecond, InFlight: concurrency.Semaphore{Limit: 8}}
		transfer := func() (time.Duration, error) { return time.Millisecond, nil }
		bytes := int(controller.Rate() / 2)
		if err := controller.Send(t.Context(), bytes, transfer); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		waiting := concurrency.NewGroup(ctx)
		for range 7 {
			waiting.Go(func(ctx context.Context) {
				if controller.Send(ctx, bytes, transfer) == nil {
					t.Error("a slice was sent that does not fit")
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		cancel()
		waiting.Wait()
		start := time.Now()
		if err := controller.Send(t.Context(), 1, transfer); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(start); waited > 500*time.Millisecond {
			t.Errorf("a slice waited %s after all others were given up, want at most 500ms", waited)
		}
	})
}
