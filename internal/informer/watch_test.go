package informer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/informer"
)

// Guards against a change that is lost because a watch which should have reported it returned
// nothing: the next watch must not begin after the change.
func TestMissedChangeIsFoundAfterEmptyWatch(t *testing.T) {
	runInformer(t, func(s *fakeStore, inf *informer.Informer) {
		s.setSuppressChanges(true)
		s.write()
		time.Sleep(2 * time.Second)
		requireRevision(t, inf, 1)
		s.setSuppressChanges(false)
		time.Sleep(2 * time.Second)
		requireRevision(t, inf, 2)
	})
}

// Guards against a process that learns by others that its watch has missed a change and still
// relies on it, and against one that relies on others which no longer verify the copy.
func TestUnverifiedWatchIsRepeatedAfterItMissedAChange(t *testing.T) {
	for _, reason := range []string{"newer copy", "nobody verifies"} {
		t.Run(reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				var alone, silent atomic.Bool
				inf := &informer.Informer{
					Kind: "configuration", List: s.list, OnChange: func(informer.Snapshot) {}, Verifies: alone.Load,
					Watch: func(ctx context.Context, kind string, after int64, wait time.Duration) (informer.Batch, error) {
						if silent.Load() {
							<-ctx.Done()
							return informer.Batch{}, ctx.Err()
						}
						return s.watch(ctx, kind, after, wait)
					},
				}
				silent.Store(true)
				group := concurrency.NewGroup(t.Context())
				group.Go(inf.Run)
				time.Sleep(time.Second)
				silent.Store(false)
				if reason == "newer copy" {
					s.write()
					inf.AdoptSnapshot(informer.Snapshot{Revision: 2, Objects: map[string]informer.Object{"main": {Name: "main", Revision: 2}}})
				} else {
					alone.Store(true)
				}
				time.Sleep(time.Second)
				s.write()
				time.Sleep(100 * time.Millisecond)
				requireRevision(t, inf, s.revision)
				group.Stop()
				group.Wait()
			})
		})
	}
}

// Guards against a list that a silent store never answers and that is waited for.
func TestUnansweredListIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		var silent atomic.Bool
		inf := &informer.Informer{
			Kind: "configuration", Watch: s.watch, OnChange: func(informer.Snapshot) {},
			List: func(ctx context.Context, kind, after string) (informer.Page, error) {
				if silent.Load() {
					concurrency.Sleep(ctx, time.Minute)
					return informer.Page{}, context.DeadlineExceeded
				}
				return s.list(ctx, kind, after)
			},
		}
		silent.Store(true)
		group := concurrency.NewGroup(t.Context())
		group.Go(inf.Run)
		time.Sleep(100 * time.Millisecond)
		silent.Store(false)
		time.Sleep(2 * time.Second)
		requireRevision(t, inf, 1)
		group.Stop()
		group.Wait()
	})
}
