package peering_test

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/sockets"
)

// sharedStore is an object store whose watches report changes at once. Processes can be cut
// off from it.
type sharedStore struct {
	mu       sync.Mutex
	era      int64
	revision int64
	objects  map[string]map[string]informer.Object
	history  []storedChange
	changed  chan struct{}
	cutOff   map[string]bool
	done     chan struct{}
	// silent is closed when the open watches fall silent.
	silent chan struct{}
	// answersNobody is true while new calls are accepted and never answered.
	answersNobody bool
}

// storeBackup is a copy of a store's contents.
type storeBackup struct {
	revision int64
	objects  map[string]map[string]informer.Object
}

// backup returns a copy of the contents.
func (s *sharedStore) backup() storeBackup {
	s.mu.Lock()
	defer s.mu.Unlock()
	saved := storeBackup{revision: s.revision, objects: map[string]map[string]informer.Object{}}
	for kind, objects := range s.objects {
		saved.objects[kind] = maps.Clone(objects)
	}
	return saved
}

// restore returns the store to a backup: revisions are given out again, in the next era.
func (s *sharedStore) restore(saved storeBackup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.objects = saved.revision, map[string]map[string]informer.Object{}
	for kind, objects := range saved.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.history = slices.DeleteFunc(s.history, func(stored storedChange) bool { return stored.change.Object.Revision > s.revision })
	close(s.changed)
	s.changed = make(chan struct{})
}

type storedChange struct {
	kind   string
	change informer.Change
}

// keepAliveTimeout is the time after which a process detects that a connection is dead, with
// the socket options that gateways set, and connectTimeout that of a new connection.
const (
	keepAliveTimeout = sockets.StoreSilenceTimeout
	connectTimeout   = 300 * time.Millisecond
)

var errCutOff = errors.New("the object store does not respond")

func newSharedStore() *sharedStore {
	return &sharedStore{objects: map[string]map[string]informer.Object{}, changed: make(chan struct{}), cutOff: map[string]bool{}, done: make(chan struct{}), silent: make(chan struct{})}
}

func (s *sharedStore) close() { close(s.done) }

// write changes an object and returns the new revision.
func (s *sharedStore) write(kind, name string) int64 {
	return s.put(kind, name, json.RawMessage("{}"))
}

func (s *sharedStore) put(kind, name string, value json.RawMessage) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]informer.Object{}
	}
	object := informer.Object{Name: name, Revision: s.revision, Value: value}
	s.objects[kind][name] = object
	s.record(kind, informer.Change{Object: object})
	return s.revision
}

func (s *sharedStore) record(kind string, change informer.Change) {
	s.history = append(s.history, storedChange{kind: kind, change: change})
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove deletes an object.
func (s *sharedStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.objects[kind], name)
	s.record(kind, informer.Change{Object: informer.Object{Name: name, Revision: s.revision}, Deleted: true})
}

// cut disconnects a process from the store, or connects it again.
func (s *sharedStore) cut(process string, cutOff bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff[process] = cutOff
	close(s.changed)
	s.changed = make(chan struct{})
}

// silenceWatches makes the connections of all open watches fall silent; new ones work.
func (s *sharedStore) silenceWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.silent)
	s.silent = make(chan struct{})
}

// setAnswersNobody begins or ends an outage in which new calls are accepted and never answered.
func (s *sharedStore) setAnswersNobody(answersNobody bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersNobody = answersNobody
}

// awaitAnswer returns an error when the caller gives up a call that is never answered.
func (s *sharedStore) awaitAnswer(ctx context.Context) error {
	s.mu.Lock()
	lost := s.answersNobody
	s.mu.Unlock()
	if !lost {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-s.done:
	}
	return errCutOff
}

func (s *sharedStore) list(ctx context.Context, process, kind string) (informer.Page, error) {
	if err := s.awaitAnswer(ctx); err != nil {
		return informer.Page{}, err
	}
	s.mu.Lock()
	cutOff := s.cutOff[process]
	objects := slices.SortedFunc(maps.Values(s.objects[kind]), func(a, b informer.Object) int { return cmp.Compare(a.Name, b.Name) })
	for index := range objects {
		objects[index].Era = s.era
	}
	page := informer.Page{Objects: objects, Era: s.era, Revision: s.revision}
	s.mu.Unlock()
	if cutOff {
		concurrency.Sleep(ctx, connectTimeout)
		return informer.Page{}, errCutOff
	}
	return page, nil
}

func (s *sharedStore) watch(ctx context.Context, process, kind string, after int64, wait time.Duration) (informer.Batch, error) {
	if err := s.awaitAnswer(ctx); err != nil {
		return informer.Batch{}, err
	}
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	waited := time.NewTimer(wait)
	defer waited.Stop()
	for {
		batch, changed, cutOff := s.changesAfter(process, kind, after)
		switch {
		case cutOff:
			concurrency.Sleep(ctx, keepAliveTimeout)
			return informer.Batch{}, errCutOff
		case batch.Revision < after:
			return informer.Batch{}, informer.ErrExpired
		case len(batch.Changes) > 0:
			return batch, nil
		}
		select {
		case <-silent:
			concurrency.Sleep(ctx, keepAliveTimeout)
			return informer.Batch{}, errCutOff
		case <-waited.C:
			return batch, nil
		case <-changed:
		case <-s.done:
			return informer.Batch{}, errCutOff
		case <-ctx.Done():
			return informer.Batch{}, ctx.Err()
		}
	}
}

func (s *sharedStore) changesAfter(process, kind string, after int64) (batch informer.Batch, changed <-chan struct{}, cutOff bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch.Era, batch.Revision = s.era, s.revision
	for _, stored := range s.history {
		if stored.kind == kind && stored.change.Object.Revision > after {
			change := stored.change
			change.Object.Era = s.era
			batch.Changes = append(batch.Changes, change)
		}
	}
	return batch, s.changed, s.cutOff[process]
}
