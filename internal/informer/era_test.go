package informer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/informer"
)

const retainTime = 2 * time.Second

// newRetainingInformer returns an informer whose objects' values are the numbers of their
// writes.
func newRetainingInformer() *informer.Informer {
	return &informer.Informer{
		Kind: "endpoints", RetainTime: retainTime, OnChange: func(informer.Snapshot) {},
		Sequence: func(object informer.Object) (informer.Sequence, bool) {
			number, err := strconv.ParseInt(string(object.Value), 10, 64)
			return informer.Sequence{Number: number}, err == nil
		},
	}
}

// objectsOf parses "name=write@revision" items of an era.
func objectsOf(era int64, text string) map[string]informer.Object {
	objects := map[string]informer.Object{}
	for item := range strings.FieldsSeq(text) {
		name, rest, _ := strings.Cut(item, "=")
		value, revisionText, _ := strings.Cut(rest, "@")
		revision, _ := strconv.ParseInt(revisionText, 10, 64)
		objects[name] = informer.Object{Name: name, Era: era, Revision: revision, Value: json.RawMessage(value)}
	}
	return objects
}

func snapshotOf(era, revision int64, text string) informer.Snapshot {
	return informer.Snapshot{Era: era, Revision: revision, Objects: objectsOf(era, text)}
}

// contents returns the objects of the copy as "name=write", ordered by name.
func contents(inf *informer.Informer) string {
	snapshot, _ := inf.Snapshot()
	var items []string
	for _, name := range slices.Sorted(maps.Keys(snapshot.Objects)) {
		items = append(items, fmt.Sprintf("%s=%s", name, snapshot.Objects[name].Value))
	}
	return strings.Join(items, " ")
}

// Guards against what was known before the store returned from an older copy and is then
// forgotten, restored although it was deleted, or kept for good although nobody writes it again.
func TestCopyAfterStoreReturnsFromOlderCopy(t *testing.T) {
	cases := map[string]struct {
		// known and deleted are the copy before, and the objects deleted from it.
		known, deleted string
		// restored is the first copy of the store's next era, then a later one.
		restored, next string
		wantRestored   string
		// wantLater is the copy after retainTime without another change, wantNext that after
		// next.
		wantLater, wantNext string
	}{
		"unchanged":                {known: "a=1@5", restored: "a=1@5", wantRestored: "a=1", wantLater: "a=1", next: "a=1@5", wantNext: "a=1"},
		"older content":            {known: "a=3@9", restored: "a=1@5", wantRestored: "a=3", wantLater: "a=3", next: "a=3@8", wantNext: "a=3"},
		"written further":          {known: "a=3@9", restored: "a=1@5", wantRestored: "a=3", wantLater: "a=3", next: "a=4@8", wantNext: "a=4"},
		"lost":                     {known: "a=1@5 b=1@9", restored: "a=1@5", wantRestored: "a=1 b=1", wantLater: "a=1", next: "a=1@5 b=2@7", wantNext: "a=1 b=2"},
		"written again at once":    {known: "a=1@5 b=1@9", restored: "a=1@5 b=1@6", wantRestored: "a=1 b=1", wantLater: "a=1 b=1", next: "a=1@5", wantNext: "a=1"},
		"deleted before":           {known: "a=1@5", deleted: "b=4@3", restored: "a=1@5 b=2@3", wantRestored: "a=1", wantLater: "a=1", next: "a=1@5 b=2@3", wantNext: "a=1"},
		"deleted, then alive":      {known: "a=1@5", deleted: "b=4@3", restored: "a=1@5 b=2@3", wantRestored: "a=1", wantLater: "a=1", next: "a=1@5 b=5@8", wantNext: "a=1 b=5"},
		"new in the restored copy": {known: "a=1@5", restored: "a=1@5 c=1@4", wantRestored: "a=1 c=1", wantLater: "a=1 c=1", next: "a=1@5", wantNext: "a=1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				inf := newRetainingInformer()
				inf.AdoptSnapshot(snapshotOf(1, 8, c.known+" "+c.deleted))
				inf.AdoptSnapshot(snapshotOf(1, 9, c.known))
				if !inf.AdoptSnapshot(snapshotOf(2, 6, c.restored)) && inf.Position().Era != 2 {
					t.Fatal("the copy of the next era was ignored")
				}
				got := []string{contents(inf)}
				time.Sleep(2 * retainTime)
				got = append(got, contents(inf))
				inf.AdoptSnapshot(snapshotOf(2, 8, c.next))
				got = append(got, contents(inf))
				if diff := cmp.Diff([]string{c.wantRestored, c.wantLater, c.wantNext}, got); diff != "" {
					t.Errorf("copies after the return, later and after the next change (-want +got):\n%s", diff)
				}
				if inf.AdoptSnapshot(snapshotOf(1, 99, "a=9@99")); inf.Position().Era != 2 {
					t.Error("a copy of an earlier era replaced the current one")
				}
			})
		})
	}
}

// Guards against retained objects that gateways pass to each other for ever, and against a new
// gateway that does not learn of them.
func TestRetainedObjectsReachPeersOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, started := newRetainingInformer(), newRetainingInformer()
		old.AdoptSnapshot(snapshotOf(1, 9, "a=3@8 b=1@9"))
		old.AdoptSnapshot(snapshotOf(2, 6, "a=1@5"))
		started.AdoptSnapshot(snapshotOf(2, 7, "a=1@5 c=1@7"))
		time.Sleep(retainTime / 2)
		delta, _ := old.Delta(started.Position())
		if changed, complete := started.AdoptDelta(delta); !changed || !complete {
			t.Fatalf("changed is %t and complete %t, want both true", changed, complete)
		}
		if diff := cmp.Diff("a=3 b=1 c=1", contents(started)); diff != "" {
			t.Errorf("copy of the new gateway (-want +got):\n%s", diff)
		}
		time.Sleep(retainTime/2 + time.Millisecond)
		delta, _ = old.Delta(informer.Position{})
		if _, complete := started.AdoptDelta(delta); !complete || contents(started) != "a=3 c=1" {
			t.Errorf("the new gateway has %q, want the lost object gone everywhere at once", contents(started))
		}
	})
}

// Guards against a watch from a revision that was given out again: it misses the changes before
// that revision. Also guards against a loop of calls when history expires at once.
func TestWatchFromRevisionGivenOutAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		era := int64(1)
		var lists, watches atomic.Int64
		inf := newRetainingInformer()
		inf.List = func(context.Context, string, string) (informer.Page, error) {
			lists.Add(1)
			objects := objectsOf(era, "a=1@5")
			if era == 2 {
				objects = objectsOf(era, "a=2@6")
			}
			return informer.Page{Era: era, Revision: 7, Objects: slices.Collect(maps.Values(objects))}, nil
		}
		// Other processes verify the copy, so that a watch stays open.
		inf.Verifies = func() bool { return false }
		inf.Watch = func(ctx context.Context, _ string, _ int64, _ time.Duration) (informer.Batch, error) {
			number := watches.Add(1)
			if number == 1 {
				// The store returned from an older copy while the watch was open.
				era = 2
				return informer.Batch{Era: 2, Revision: 8}, nil
			}
			if number < 6 {
				return informer.Batch{}, informer.ErrExpired
			}
			<-ctx.Done()
			return informer.Batch{}, ctx.Err()
		}
		group := concurrency.NewGroup(t.Context())
		group.Go(inf.Run)
		time.Sleep(50 * time.Millisecond)
		if diff := cmp.Diff("a=2", contents(inf)); diff != "" {
			t.Errorf("copy (-want +got):\n%s", diff)
		}
		if made := lists.Load(); made > 3 {
			t.Errorf("%d lists within 50 ms, want at most 3", made)
		}
		time.Sleep(10 * time.Second)
		if made := watches.Load(); made != 6 {
			t.Errorf("%d watches, want the last one to stay open", made)
		}
		group.Stop()
		group.Wait()
	})
}
