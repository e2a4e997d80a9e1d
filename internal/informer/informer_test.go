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

var errCut = errors.New("connection cut")

// store holds one object; its watches can be cut and made deaf.
type store struct {
	mu       sync.Mutex
	revision int64
	changed  chan struct{}
	cut      chan struct{}
	deaf     bool
	lists    int
}

func newStore() *store {
	return &store{revision: 1, changed: make(chan struct{}), cut: make(chan struct{})}
}

func (s *store) object() informer.Object {
	return informer.Object{Name: "main", Revision: s.revision, Value: json.RawMessage("{}")}
}

func (s *store) list(context.Context, string, string) (informer.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return informer.Page{Objects: []informer.Object{s.object()}, Revision: s.revision}, nil
}

func (s *store) watch(ctx context.Context, _ string, after int64) (informer.Batch, error) {
	for {
		s.mu.Lock()
		batch := informer.Batch{Revision: s.revision, Changes: []informer.Change{{Object: s.object()}}}
		changed, cut, deaf := s.changed, s.cut, s.deaf
		s.mu.Unlock()
		if batch.Revision > after && !deaf {
			return batch, nil
		}
		select {
		case <-changed:
		case <-cut:
			return informer.Batch{}, errCut
		case <-ctx.Done():
			return informer.Batch{}, ctx.Err()
		}
	}
}

// write changes the object.
func (s *store) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutWatches ends the watches that wait.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *store) setDeaf(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
}

// follow runs a test with an informer of the store's kind.
func follow(t *testing.T, test func(s *store, followed *informer.Informer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		followed := &informer.Informer{
			Kind: "configuration", CoalesceDelay: 100 * time.Millisecond, List: s.list, Watch: s.watch, OnChange: func(informer.Snapshot) {},
		}
		group := concurrency.NewGroup(t.Context())
		group.Go(followed.Run)
		time.Sleep(time.Second)
		test(s, followed)
		group.Stop()
		group.Wait()
	})
}

func requireRevision(t *testing.T, followed *informer.Informer, want int64) {
	t.Helper()
	snapshot, _ := followed.Snapshot()
	got := []int64{followed.Revision(), snapshot.Objects["main"].Revision}
	if diff := cmp.Diff([]int64{want, want}, got); diff != "" {
		t.Errorf("revisions of the copy and of its object (-want +got):\n%s", diff)
	}
}

// A watch that was cut may have missed a change, and the watch that follows at once may
// not hear of it either.
func TestChangeBehindACutWatchIsFound(t *testing.T) {
	follow(t, func(s *store, followed *informer.Informer) {
		s.setDeaf(true)
		s.write()
		time.Sleep(time.Second)
		requireRevision(t, followed, 1)
		s.cutWatches()
		time.Sleep(time.Second)
		requireRevision(t, followed, 2)
	})
}

// A change that the watch tells needs no list.
func TestChangeNeedsNoList(t *testing.T) {
	follow(t, func(s *store, followed *informer.Informer) {
		s.write()
		time.Sleep(time.Second)
		requireRevision(t, followed, 2)
		if s.lists != 1 {
			t.Errorf("the informer listed %d times, want once", s.lists)
		}
	})
}

// The copy never goes back, also if a list comes from an older state.
func TestOlderListChangesNothing(t *testing.T) {
	follow(t, func(s *store, followed *informer.Informer) {
		followed.AdoptSnapshot(informer.Snapshot{Revision: 7, Objects: map[string]informer.Object{"main": {Name: "main", Revision: 7}}})
		s.cutWatches()
		time.Sleep(time.Second)
		requireRevision(t, followed, 7)
	})
}

// A copy that must be listed again is still handed to gateways that lack one, as during
// an outage of the store.
func TestCopyIsHeldWhileTheStoreIsAway(t *testing.T) {
	follow(t, func(s *store, followed *informer.Informer) {
		s.setDeaf(true)
		s.cutWatches()
		if snapshot, held := followed.Snapshot(); !held || snapshot.Revision != 1 {
			t.Errorf("the copy is held: %t, at revision %d", held, snapshot.Revision)
		}
	})
}
