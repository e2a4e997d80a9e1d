package checkpoint

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/quarantine"
	"github.com/mimosaward/mimosaward/internal/timeofday"
)

// fakeStore holds the object of the record. Calls fail while down is true.
type fakeStore struct {
	mu     sync.Mutex
	object informer.Object
	down   bool
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) value() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.object.Value
}

func (s *fakeStore) get(context.Context) (informer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return informer.Object{}, informer.ErrUnavailable
	case s.object.Revision == 0:
		return informer.Object{}, informer.ErrNotFound
	}
	return s.object, nil
}

func (s *fakeStore) replace(_ context.Context, revision int64, record Record) (informer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return informer.Object{}, informer.ErrUnavailable
	case revision != s.object.Revision:
		return s.object, informer.ErrConflict
	}
	value, err := json.Marshal(record)
	s.object = informer.Object{Revision: revision + 10, Value: value}
	return s.object, err
}

// keeperOn returns a keeper of a gateway with a rank and a part that it rejects.
func keeperOn(store *fakeStore, rank int, rejected string) (keeper *Keeper, merged *[]string) {
	merged = new([]string)
	return &Keeper{
		Get: store.get,
		Create: func(ctx context.Context, record Record) (informer.Object, error) {
			return store.replace(ctx, 0, record)
		},
		Replace: store.replace,
		Collect: func(time.Time) quarantine.Digest {
			return quarantine.Digest{Rejections: []quarantine.Rejection{{Part: rejected, Strikes: 1, Remaining: time.Minute}}}
		},
		Merge: func(digest quarantine.Digest, _ time.Time) {
			for _, rejection := range digest.Rejections {
				*merged = append(*merged, rejection.Part)
			}
		},
		News: func() <-chan struct{} { return nil }, Rank: func() int { return rank },
		OthersWroteAgo: func() (time.Duration, bool) { return 0, false }, Periodic: func() bool { return true }, Era: func() int64 { return 0 },
		OnRestored: func() {}, Clock: timeofday.New(), Log: event.Discard(),
	}, merged
}

// Guards against a record that nobody writes any more because the gateway whose turn it is does not
// reach the object store, and against a gateway that starts without the record.
func TestAnotherGatewayTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		group := concurrency.NewGroup(t.Context())
		first, _ := keeperOn(store, 0, "a")
		first.Replace = func(context.Context, int64, Record) (informer.Object, error) {
			return informer.Object{}, informer.ErrUnavailable
		}
		group.Go(first.Run)
		time.Sleep(time.Second)
		second, merged := keeperOn(store, 1, "b")
		group.Go(second.Run)
		time.Sleep(takeoverDelay + 3*takeoverRankDelay)
		group.Stop()
		group.Wait()
		record, err := decode(store.value())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]string{"a"}, *merged); diff != "" {
			t.Errorf("parts that the second gateway read (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff("b", record.Rejections[0].Part); diff != "" {
			t.Errorf("recorded part (-want +got):\n%s", diff)
		}
	})
}

// Guards against a gateway that never learns what was recorded since the store was away when it
// started.
func TestRecordIsReadOnceTheStoreReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		writer, _ := keeperOn(store, 0, "a")
		if _, err := writer.write(t.Context()); err != nil {
			t.Fatal(err)
		}
		store.setDown(true)
		reader, merged := keeperOn(store, 0, "b")
		group := concurrency.NewGroup(t.Context())
		group.Go(reader.Run)
		time.Sleep(5 * time.Second)
		if reader.Restored() {
			t.Error("the record counts as read while the store is away")
		}
		store.setDown(false)
		time.Sleep(time.Second)
		group.Stop()
		group.Wait()
		if diff := cmp.Diff([]string{"a"}, *merged); diff != "" || !reader.Restored() {
			t.Errorf("parts that were read, restored: %t (-want +got):\n%s", reader.Restored(), diff)
		}
	})
}

// Guards against a version that is taken for younger than it is since the process was paused, or its
// watch silent, while the version was requested.
func TestLateNoticeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		keeper, _ := keeperOn(store, 0, "a")
		keeper.Restore(t.Context())
		var marks []Mark
		for range 3 {
			keeper.Check(t.Context())
			if _, err := keeper.write(t.Context()); err != nil {
				t.Fatal(err)
			}
			marks = append(marks, keeper.marks[len(keeper.marks)-1])
			time.Sleep(WriteInterval - CheckInterval/2)
		}
		ageOf := func(revision int64) time.Duration {
			at, earlier := keeper.NotWrittenBefore(revision, false)
			if !earlier {
				return 0
			}
			return time.Since(at).Round(10 * time.Millisecond)
		}
		got := map[string]time.Duration{"prompt": ageOf(marks[2].Revision + 1), "after the first write": ageOf(marks[0].Revision + 1)}
		time.Sleep(CheckInterval / 2)
		keeper.Check(t.Context())
		time.Sleep(2500 * time.Millisecond)
		got["during a pause"] = ageOf(marks[2].Revision + 1)
		keeper.Check(t.Context())
		got["during a pause that was noticed"] = ageOf(marks[2].Revision + 1)
		for range 10 {
			time.Sleep(CheckInterval)
			keeper.Check(t.Context())
		}
		got["after a pause"] = ageOf(marks[2].Revision + 1)
		want := map[string]time.Duration{
			"prompt": 0, "after the first write": 3 * (WriteInterval - CheckInterval/2), "during a pause": 2500 * time.Millisecond,
			"during a pause that was noticed": 2500 * time.Millisecond, "after a pause": 0,
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("ages of versions (-want +got):\n%s", diff)
		}
	})
}
