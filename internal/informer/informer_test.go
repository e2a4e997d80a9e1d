package informer_test

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/informer"
)

var errBrokenWatch = errors.New("connection closed")

// fakeStore holds one object. Its watches can fail and can omit changes.
type fakeStore struct {
	mu              sync.Mutex
	revision        int64
	changed         chan struct{}
	broken          chan struct{}
	suppressChanges bool
	lists           int
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: 1, changed: make(chan struct{}), broken: make(chan struct{})}
}

func (s *fakeStore) object() informer.Object {
	return informer.Object{Name: "main", Revision: s.revision, Value: json.RawMessage("{}")}
}

func (s *fakeStore) list(context.Context, string, string) (informer.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return informer.Page{Objects: []informer.Object{s.object()}, Revision: s.revision}, nil
}

func (s *fakeStore) watch(ctx context.Context, _ string, after int64, wait time.Duration) (informer.Batch, error) {
	waited := time.NewTimer(wait)
	defer waited.Stop()
	for {
		s.mu.Lock()
		batch := informer.Batch{Revision: s.revision, Changes: []informer.Change{{Object: s.object()}}}
		changed, broken, suppressChanges := s.changed, s.broken, s.suppressChanges
		s.mu.Unlock()
		if batch.Revision > after && !suppressChanges {
			return batch, nil
		}
		select {
		case <-changed:
		case <-broken:
			return informer.Batch{}, errBrokenWatch
		case <-waited.C:
			return informer.Batch{Revision: batch.Revision}, nil
		case <-ctx.Done():
			return informer.Batch{}, ctx.Err()
		}
	}
}

// write increments the revision of the object.
func (s *fakeStore) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// breakWatches makes the pending watches fail.
func (s *fakeStore) breakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.broken)
	s.broken = make(chan struct{})
}

func (s *fakeStore) setSuppressChanges(suppressChanges bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suppressChanges = suppressChanges
}

// runInformer runs a test against an informer of a fake store.
func runInformer(t *testing.T, test func(s *fakeStore, inf *informer.Informer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		inf := &informer.Informer{
			Kind: "configuration", CoalesceDelay: 100 * time.Millisecond, List: s.list, Watch: s.watch, OnChange: func(informer.Snapshot) {},
		}
		group := concurrency.NewGroup(t.Context())
		group.Go(inf.Run)
		time.Sleep(time.Second)
		test(s, inf)
		group.Stop()
		group.Wait()
	})
}

func requireRevision(t *testing.T, inf *informer.Informer, want int64) {
	t.Helper()
	snapshot, _ := inf.Snapshot()
	got := []int64{inf.Revision(), snapshot.Objects["main"].Revision}
	if diff := cmp.Diff([]int64{want, want}, got); diff != "" {
		t.Errorf("revisions of the copy and of its object (-want +got):\n%s", diff)
	}
}

// A broken watch may have missed a change, and the watch that immediately follows may
// miss it too. The informer must find the change by listing again.
func TestMissedChangeIsFoundAfterBrokenWatch(t *testing.T) {
	runInformer(t, func(s *fakeStore, inf *informer.Informer) {
		s.setSuppressChanges(true)
		s.write()
		time.Sleep(time.Second)
		requireRevision(t, inf, 1)
		s.breakWatches()
		time.Sleep(time.Second)
		requireRevision(t, inf, 2)
	})
}

// A change that the watch reports must not cause another list.
func TestWatchedChangeNeedsNoList(t *testing.T) {
	runInformer(t, func(s *fakeStore, inf *informer.Informer) {
		s.write()
		time.Sleep(time.Second)
		requireRevision(t, inf, 2)
		if s.lists != 1 {
			t.Errorf("informer listed %d times, want 1", s.lists)
		}
	})
}

// A list of an older revision must not replace a newer copy.
func TestOlderListIsIgnored(t *testing.T) {
	runInformer(t, func(s *fakeStore, inf *informer.Informer) {
		inf.AdoptSnapshot(informer.Snapshot{Revision: 7, Objects: map[string]informer.Object{"main": {Name: "main", Revision: 7}}})
		s.breakWatches()
		time.Sleep(time.Second)
		requireRevision(t, inf, 7)
	})
}

// While a relist is pending, as during an outage of the object store, the copy must
// remain available to gateways that have none.
func TestSnapshotIsAvailableDuringOutage(t *testing.T) {
	runInformer(t, func(s *fakeStore, inf *informer.Informer) {
		s.setSuppressChanges(true)
		s.breakWatches()
		if snapshot, synced := inf.Snapshot(); !synced || snapshot.Revision != 1 {
			t.Errorf("snapshot available: %t at revision %d, want true at revision 1", synced, snapshot.Revision)
		}
	})
}

// The response to a watch may arrive after a newer copy of a peer was adopted. What has been
// deleted since then must not return: no later watch would report the deletion again.
func TestLateWatchResponseDoesNotRestoreDeletedObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		responses := make(chan informer.Batch)
		inf := &informer.Informer{
			Kind: "endpoints", OnChange: func(informer.Snapshot) {},
			List: func(context.Context, string, string) (informer.Page, error) { return informer.Page{Revision: 5}, nil },
			Watch: func(ctx context.Context, _ string, _ int64, _ time.Duration) (informer.Batch, error) {
				select {
				case batch := <-responses:
					return batch, nil
				case <-ctx.Done():
					return informer.Batch{}, ctx.Err()
				}
			},
		}
		group := concurrency.NewGroup(t.Context())
		group.Go(inf.Run)
		synctest.Wait()
		// An object was created at 7 and deleted at 8.
		inf.AdoptSnapshot(informer.Snapshot{Revision: 9, Objects: map[string]informer.Object{}})
		created := informer.Change{Object: informer.Object{Name: "ended", Revision: 7}}
		for _, batch := range []informer.Batch{
			{Revision: 7, Changes: []informer.Change{created}},
			{Revision: 10, Changes: []informer.Change{created, {Object: informer.Object{Name: "new", Revision: 10}}}},
		} {
			responses <- batch
			synctest.Wait()
			snapshot, _ := inf.Snapshot()
			if _, exists := snapshot.Objects["ended"]; exists {
				t.Errorf("after the response at revision %d, the deleted object exists", batch.Revision)
			}
		}
		if snapshot, _ := inf.Snapshot(); snapshot.Revision != 10 || len(snapshot.Objects) != 1 {
			t.Errorf("copy at revision %d with %d objects, want revision 10 with 1", snapshot.Revision, len(snapshot.Objects))
		}
		group.Stop()
		group.Wait()
	})
}

// An informer that stops reading and starts again must continue after its copy, including
// what it adopted from peers meanwhile, and must not miss a change.
func TestReadsStopAndStartAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		var passive atomic.Bool
		inf := &informer.Informer{
			Kind: "configuration", CoalesceDelay: 100 * time.Millisecond, List: s.list, Watch: s.watch, OnChange: func(informer.Snapshot) {},
			Reads: func() bool { return !passive.Load() },
		}
		group := concurrency.NewGroup(t.Context())
		group.Go(inf.Run)
		time.Sleep(time.Second)
		passive.Store(true)
		s.write()
		time.Sleep(time.Second)
		// The watch that was open reports the change; later ones are not read.
		requireRevision(t, inf, 2)
		s.write()
		time.Sleep(time.Second)
		requireRevision(t, inf, 2)
		inf.AdoptSnapshot(informer.Snapshot{Revision: 3, Objects: map[string]informer.Object{"main": {Name: "main", Revision: 3}}})
		s.write()
		passive.Store(false)
		time.Sleep(200 * time.Millisecond)
		requireRevision(t, inf, 4)
		// A watch fails after the informer has become passive: the next read must recover.
		passive.Store(true)
		s.breakWatches()
		s.write()
		time.Sleep(2 * time.Second)
		passive.Store(false)
		time.Sleep(200 * time.Millisecond)
		requireRevision(t, inf, 5)
		if unavailableSince, _ := inf.Availability(); !unavailableSince.IsZero() {
			t.Error("the object store counts as unavailable after a successful read")
		}
		group.Stop()
		group.Wait()
	})
}

// Guards against a list that begins anew without end, or ends early, because the last object of
// a page has no name.
func TestObjectWithoutNameAtEndOfPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		inf := &informer.Informer{
			Kind: "servers", OnChange: func(informer.Snapshot) {},
			List: func(_ context.Context, _, after string) (informer.Page, error) {
				calls++
				switch {
				case calls > 1000:
					return informer.Page{}, informer.ErrUnavailable
				case after == "":
					return informer.Page{Objects: []informer.Object{{Name: "a", Revision: 1}, {Revision: 2}}, Revision: 9, HasMore: true}, nil
				case after == "a":
					return informer.Page{Objects: []informer.Object{{Name: "b", Revision: 3}}, Revision: 9}, nil
				}
				t.Errorf("unexpected page after %q", after)
				return informer.Page{}, nil
			},
			Watch: func(ctx context.Context, _ string, after int64, wait time.Duration) (informer.Batch, error) {
				concurrency.Sleep(ctx, wait)
				return informer.Batch{Revision: after}, ctx.Err()
			},
		}
		group := concurrency.NewGroup(t.Context())
		defer group.Wait()
		defer group.Stop()
		group.Go(inf.Run)
		time.Sleep(10 * time.Second)
		snapshot, synced := inf.Snapshot()
		if _, exists := snapshot.Objects["b"]; !synced || !exists || calls != 2 {
			t.Errorf("%d calls, copy %v of %v, want 2 calls and the objects of both pages", calls, synced, snapshot.Objects)
		}
	})
}

// Guards against a list without end if no page continues after the previous one.
func TestPagesThatDoNotAdvance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, unavailable := 0, 0
		inf := &informer.Informer{
			Kind: "servers", OnChange: func(informer.Snapshot) {},
			List: func(ctx context.Context, _, _ string) (informer.Page, error) {
				if calls++; calls > 1000 {
					return informer.Page{}, informer.ErrUnavailable
				}
				return informer.Page{Objects: []informer.Object{{Revision: 2}}, Revision: 9, HasMore: true}, ctx.Err()
			},
			OnAvailability: func(available bool, _ error) {
				if !available {
					unavailable++
				}
			},
		}
		group := concurrency.NewGroup(t.Context())
		defer group.Wait()
		defer group.Stop()
		group.Go(inf.Run)
		time.Sleep(10 * time.Second)
		if _, synced := inf.Snapshot(); synced || calls > 50 || unavailable != 1 {
			t.Errorf("%d calls in 10 s, copy %v, reported %d times, want 50 at most, none and 1", calls, synced, unavailable)
		}
	})
}
