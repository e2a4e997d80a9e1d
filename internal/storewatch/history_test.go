package storewatch

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
)

// Guards against an age of a version that follows the time of day: a record in the store replaced
// the time that the process had measured by a time of day, and did so again after each change.
func TestRecordedTimesBecomeMonotonicOnce(t *testing.T) {
	observer := (&Observer{Log: event.Discard()}).Init()
	known := time.Now().Add(-time.Second).Truncate(time.Millisecond)
	apply := func(record time.Time) {
		status, err := json.Marshal([]VersionRecord{{Version: 2, KnownSinceUnixMilli: record.UnixMilli()}})
		if err != nil {
			t.Fatal(err)
		}
		observer.mergeStatusHistory("draft", informer.Object{Name: "draft", Status: status})
	}
	observer.rollouts.add("draft", 2, known.Add(500*time.Microsecond))
	apply(known)
	first := observer.Rollouts().KnownSince("draft", 2)
	apply(known)
	again := observer.Rollouts().KnownSince("draft", 2)
	type result struct{ Monotonic, Earlier, Kept bool }
	got := result{Monotonic: first != first.Round(0), Earlier: first.Sub(known).Abs() < time.Millisecond, Kept: again.Equal(first)}
	if diff := cmp.Diff(result{Monotonic: true, Earlier: true, Kept: true}, got); diff != "" {
		t.Errorf("time since which the version is known: %v, then %v (-want +got):\n%s", first, again, diff)
	}
}
