package concurrency_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

// reportedPanic is a call of a panic handler.
type reportedPanic struct {
	Value  any
	Needed bool
}

// withPanicHandler returns a context whose groups append their panics to the result.
func withPanicHandler(t *testing.T) (context.Context, *[]reportedPanic) {
	var mu sync.Mutex
	var reported []reportedPanic
	return concurrency.WithPanicHandler(t.Context(), func(value any, stack []byte, needed bool) {
		if !strings.Contains(string(stack), "group_test.go") {
			t.Errorf("the reported stack lacks the function that panicked:\n%s", stack)
		}
		mu.Lock()
		defer mu.Unlock()
		reported = append(reported, reportedPanic{Value: value, Needed: needed})
	}), &reported
}

// Guards against a periodic task that a single panic ends for good, unnoticed.
func TestPeriodicTaskContinuesAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, reported := withPanicHandler(t)
		group := concurrency.NewGroup(ctx)
		runs := 0
		group.Every(time.Second, func(context.Context) {
			runs++
			if runs == 2 {
				panic("broken")
			}
		})
		time.Sleep(10 * time.Second)
		group.Stop()
		group.Wait()
		if runs < 9 {
			t.Errorf("%d runs in 10 s, want one each second", runs)
		}
		if diff := cmp.Diff([]reportedPanic{{Value: "broken"}}, *reported); diff != "" {
			t.Errorf("reported panics (-want +got):\n%s", diff)
		}
	})
}

// Guards against a component that ends with a panic in a process that goes on without it and
// never learns of it: the handler is called at once, also for a group inside of a task, and
// once for each panic.
func TestPanicOfComponentIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, reported := withPanicHandler(t)
		group := concurrency.NewGroup(ctx)
		group.Go(func(ctx context.Context) {
			inner := concurrency.NewGroup(ctx)
			inner.Go(func(context.Context) { panic("broken") })
			<-ctx.Done()
			inner.Wait()
		})
		group.GoBrief(func(context.Context) { panic("brief") })
		synctest.Wait()
		if len(*reported) != 2 {
			t.Errorf("reported panics %v while the group runs, want two", *reported)
		}
		group.Stop()
		func() {
			defer func() {
				if recover() == nil {
					t.Error("Wait returned without the panic of the component")
				}
			}()
			group.Wait()
		}()
		needed := map[any]bool{}
		for _, panicked := range *reported {
			needed[panicked.Value] = panicked.Needed
		}
		if diff := cmp.Diff(map[any]bool{"broken": true, "brief": false}, needed); diff != "" || len(*reported) != 2 {
			t.Errorf("%d reported panics (-want +got):\n%s", len(*reported), diff)
		}
	})
}
