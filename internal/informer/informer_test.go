package informer_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/informer"
)

var errBrokenWatch = errors.New("connection cut")

// fakeStore holds one object; its watches can be cut and made deaf.
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

func (s *fakeStore) watch(ctx context.Context, _ string, after int64) (informer.Batch, error) {
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
		case <-ctx.Done():
			return informer.Batch{}, ctx.Err()
		}
	}
}

// write changes the object.
func (s *fakeStore) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutWatches ends the watches that wait.
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

// follow runs a test with an informer of the store's kind.
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

// A watch that was cut may have missed a change, and the watch that follows at once may
// not hear of it either.
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

// A change that the watch tells needs no list.
func TestWatchedChangeNeedsNoList(t *testing.T) {
	runInformer(t, func(s *fakeStore, inf *informer.Informer) {
		s.write()
		time.Sleep(time.Second)
		requireRevision(t, inf, 2)
		if s.lists != 1 {
			t.Errorf("the informer listed %d times, want once", s.lists)
		}
	})
}

// The copy never goes back, also if a list comes from an older state.
func TestOlderListIsIgnored(t *testing.T) {
	runInformer(t, func(s *fakeStore, inf *informer.Informer) {
		inf.AdoptSnapshot(informer.Snapshot{Revision: 7, Objects: map[string]informer.Object{"main": {Name: "main", Revision: 7}}})
		s.breakWatches()
		time.Sleep(time.Second)
		requireRevision(t, inf, 7)
	})
}

// A copy that must be listed again is still handed to gateways that lack one, as during
// an outage of the store.
func TestSnapshotIsAvailableDuringOutage(t *testing.T) {
	runInformer(t, func(s *fakeStore, inf *informer.Informer) {
		s.setSuppressChanges(true)
		s.breakWatches()
		if snapshot, synced := inf.Snapshot(); !synced || snapshot.Revision != 1 {
			t.Errorf("the copy is held: %t, at revision %d", synced, snapshot.Revision)
		}
	})
}
