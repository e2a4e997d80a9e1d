package storewatch_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/storewatch"
	"github.com/mimosaward/mimosaward/platform"
)

// objectStore holds objects by kind and name.
type objectStore struct {
	mu       sync.Mutex
	objects  map[string]map[string]informer.Object
	revision int64
	changed  chan struct{}
}

func newObjectStore() *objectStore {
	return &objectStore{objects: map[string]map[string]informer.Object{}, revision: 1, changed: make(chan struct{})}
}

func (s *objectStore) put(kind, name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]informer.Object{}
	}
	s.revision++
	s.objects[kind][name] = informer.Object{Name: name, Revision: s.revision, Value: json.RawMessage(value)}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *objectStore) list(_ context.Context, kind, _ string) (informer.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := informer.Page{Revision: s.revision}
	for _, object := range s.objects[kind] {
		page.Objects = append(page.Objects, object)
	}
	return page, nil
}

func (s *objectStore) watch(ctx context.Context, kind string, after int64, wait time.Duration) (informer.Batch, error) {
	waited := time.NewTimer(wait)
	defer waited.Stop()
	for {
		s.mu.Lock()
		batch, changed := informer.Batch{Revision: s.revision}, s.changed
		for _, object := range s.objects[kind] {
			if object.Revision > after {
				batch.Changes = append(batch.Changes, informer.Change{Object: object})
			}
		}
		s.mu.Unlock()
		if len(batch.Changes) > 0 {
			return batch, nil
		}
		select {
		case <-changed:
		case <-waited.C:
			return batch, nil
		case <-ctx.Done():
			return informer.Batch{}, ctx.Err()
		}
	}
}

func endpointEntry(service, address string, born int64) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-0","slots":6,"state":"ready","born":%d}`, service, address, born)
}

func configurationWith(version int64, services ...string) string {
	var entries []string
	for _, service := range services {
		entries = append(entries, fmt.Sprintf(`{"name":%q}`, service))
	}
	return fmt.Sprintf(`{"version":%d,"services":[%s]}`, version, strings.Join(append(entries, `{"name":"office","origin":"10.0.0.9:90"}`), ","))
}

// withObserver runs a test with an observer of a store and what it logs.
func withObserver(t *testing.T, test func(store *objectStore, observer *storewatch.Observer, log *bytes.Buffer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store, out := newObjectStore(), &bytes.Buffer{}
		log, err := event.NewLogger(out, "json", "info", "gateway-0")
		if err != nil {
			t.Fatal(err)
		}
		observer := (&storewatch.Observer{
			List: store.list, Watch: store.watch, Regions: map[string]string{"zone-0": "region-0"}, Log: log,
			Reserved: func(address string) bool { return address == "10.0.0.1:8005" },
		}).Init()
		group := concurrency.NewGroup(t.Context())
		defer group.Wait()
		defer group.Stop()
		group.Go(observer.Run)
		test(store, observer, out)
	})
}

func endpointIDs(observer *storewatch.Observer, service string) []string {
	var ids []string
	for _, endpoint := range observer.ClusterState().ServiceEndpoints(service) {
		ids = append(ids, endpoint.ID)
	}
	slices.Sort(ids)
	return ids
}

// Guards against an entry that names a service nobody configured, but the address of an endpoint,
// and takes that endpoint's place.
func TestEntryOfUnknownServiceDisplacesNoEndpoint(t *testing.T) {
	withObserver(t, func(store *objectStore, observer *storewatch.Observer, _ *bytes.Buffer) {
		require := func(what string, booking, later []string) {
			t.Helper()
			time.Sleep(5 * time.Second)
			got := [][]string{endpointIDs(observer, "booking"), endpointIDs(observer, "later")}
			if diff := cmp.Diff([][]string{booking, later}, got); diff != "" {
				t.Errorf("%s (-want +got):\n%s", what, diff)
			}
		}
		store.put(platform.KindEndpoints, "a", endpointEntry("booking", "10.0.0.3:90", 1))
		store.put(platform.KindEndpoints, "odd", endpointEntry("later", "10.0.0.3:90", 2))
		store.put(platform.KindConfiguration, platform.ConfigurationName, configurationWith(1, "booking"))
		require("the service of the newer entry is unknown", []string{"a"}, nil)
		store.put(platform.KindConfiguration, platform.ConfigurationName, configurationWith(2, "booking", "later"))
		require("the service was added", nil, []string{"odd"})
		store.put(platform.KindConfiguration, platform.ConfigurationName, configurationWith(3, "booking"))
		require("the service was removed", []string{"a"}, nil)
	})
}

// Guards against requests that a gateway sends to another process of the system or to itself.
func TestEntryWithAddressOfAnotherProcess(t *testing.T) {
	withObserver(t, func(store *objectStore, observer *storewatch.Observer, log *bytes.Buffer) {
		store.put(platform.KindConfiguration, platform.ConfigurationName, configurationWith(1, "booking"))
		for name, address := range map[string]string{"a": "10.0.0.3:90", "gateway": "10.0.0.1:8005", "same": "[::ffff:10.0.0.1]:8005", "origin": "10.0.0.9:90"} {
			store.put(platform.KindEndpoints, name, endpointEntry("booking", address, 1))
		}
		time.Sleep(5 * time.Second)
		if diff := cmp.Diff([]string{"a"}, endpointIDs(observer, "booking")); diff != "" {
			t.Errorf("endpoints (-want +got):\n%s", diff)
		}
		if count := strings.Count(log.String(), "is the address of another process"); count != 3 {
			t.Errorf("logged %d times, want 3:\n%s", count, log)
		}
	})
}

// Guards against records of a megabyte, and against a record at each change of another entry.
func TestUnreadableEntryIsLoggedOncePerChange(t *testing.T) {
	const maxRecordBytes = 2048
	for what, odd := range map[string]struct{ name, value string }{
		"long number":  {"odd", `{"service":"booking","address":"10.0.0.4:90","zone":"zone-0","slots":` + strings.Repeat("9", 900_000) + `,"state":"ready"}`},
		"long address": {"odd", endpointEntry("booking", strings.Repeat("1", 900_000), 1)},
		"long name":    {strings.Repeat("\u00e9", 400_000), endpointEntry("booking", "10.0.0.4:90", 1)},
		"deep nesting": {"odd", `{"slots":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + "}"},
		"no value":     {"odd", ""},
	} {
		withObserver(t, func(store *objectStore, observer *storewatch.Observer, log *bytes.Buffer) {
			store.put(platform.KindConfiguration, platform.ConfigurationName, configurationWith(1, "booking"))
			store.put(platform.KindEndpoints, odd.name, odd.value)
			for number := range 5 {
				time.Sleep(5 * time.Second)
				store.put(platform.KindEndpoints, "a", endpointEntry("booking", "10.0.0.3:90", int64(number+1)))
			}
			time.Sleep(5 * time.Second)
			store.put(platform.KindEndpoints, odd.name, odd.value)
			time.Sleep(5 * time.Second)
			if diff := cmp.Diff([]string{"a"}, endpointIDs(observer, "booking")); diff != "" {
				t.Errorf("%s: endpoints (-want +got):\n%s", what, diff)
			}
			if count := strings.Count(log.String(), "cannot be decoded"); count != 2 {
				t.Errorf("%s: logged %d times, want 2", what, count)
			}
			for line := range strings.Lines(log.String()) {
				if len(line) > maxRecordBytes {
					t.Errorf("%s: a record has %d bytes, want %d at most", what, len(line), maxRecordBytes)
				}
			}
		})
	}
}

// Guards against a copy that exceeds the size of a call between gateways because of what other
// writers left, so that no gateway receives it from another.
func TestLargeEntriesAreLeftOutOfCopies(t *testing.T) {
	withObserver(t, func(store *objectStore, observer *storewatch.Observer, _ *bytes.Buffer) {
		large := fmt.Sprintf(`{"version":1,"services":[{"name":"booking"}],"other":%q}`, strings.Repeat("x", 900_000))
		store.put(platform.KindConfiguration, platform.ConfigurationName, large)
		store.put(platform.KindEndpoints, "a", endpointEntry("booking", "10.0.0.3:90", 1))
		for number := range 40 {
			for _, kind := range []string{platform.KindEndpoints, platform.KindEvacuations, platform.KindRollouts} {
				store.put(kind, fmt.Sprintf("odd%d", number), fmt.Sprintf("%q", strings.Repeat("x", 900_000)))
			}
		}
		time.Sleep(5 * time.Second)
		if diff := cmp.Diff([]string{"a"}, endpointIDs(observer, "booking")); diff != "" {
			t.Errorf("endpoints (-want +got):\n%s", diff)
		}
		for _, inf := range observer.Informers() {
			delta, _ := inf.Delta(informer.Position{})
			size := 0
			for _, object := range delta.Objects {
				size += len(object.Value) + len(object.Status)
			}
			if size > 1<<20 {
				t.Errorf("the copy of kind %s has %d bytes, want %d at most", inf.Kind, size, 1<<20)
			}
		}
	})
}
