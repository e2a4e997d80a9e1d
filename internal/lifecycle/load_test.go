package lifecycle

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

const (
	loadCallers = 40
	// newVersion is the version of the weights that the engines load under load.
	newVersion = 2
	// rolloutPatience is how long the test waits for the engines. It is a multiple of the
	// rollout bound of the settings, so that a busy machine does not fail the test.
	rolloutPatience = 24 * time.Second
)

// TestLoad serves callers while the engines load a new version of their weights, and logs what
// the callers saw. It guards against an installation that loses, repeats or mixes up requests
// although no process stops and no endpoint fails.
func TestLoad(t *testing.T) {
	s := newSiteOf(t, *soakGateways, *soakEngines)
	s.start()
	records := newLedger()
	callers := concurrency.NewGroup(context.Background())
	for index := range loadCallers {
		follower := newCaller(s, records, *soakSeed, index, "follower")
		callers.Go(follower.follow)
	}
	start := time.Now()
	s.store.RequestRollout(modelName, newVersion)
	loaded := s.awaitVersion(newVersion, rolloutPatience)
	rollout := time.Since(start)
	concurrency.Sleep(context.Background(), *soakDuration-rollout)
	callers.Stop()
	callers.Wait()
	took := time.Since(start)
	s.close()
	for _, finding := range records.judge(s) {
		t.Error(finding)
	}
	if !loaded {
		t.Errorf("not all engines serve version %d of the weights after %s", newVersion, rollout)
	}
	if records.counts["200"] == 0 || records.counts["streams"] == 0 {
		t.Error("no call or no stream succeeded")
	}
	t.Logf("%d gateways, %d engines with loaders, %d callers: %s", len(s.gateways), len(s.loaders), loadCallers, records.summary(took))
	t.Logf("new weights served by all engines after %.1f s", rollout.Seconds())
}

// awaitVersion waits until all engines serve a version, and reports whether they do.
func (s *site) awaitVersion(version int64, patience time.Duration) bool {
	for deadline := time.Now().Add(patience); ; concurrency.Sleep(context.Background(), 100*time.Millisecond) {
		waiting := 0
		for _, endpoint := range s.endpoints {
			if endpoint.Engine != nil && endpoint.Engine.Version() != version {
				waiting++
			}
		}
		if waiting == 0 || time.Now().After(deadline) {
			return waiting == 0
		}
	}
}

// summary describes the judged attempts of a run.
func (l *ledger) summary(took time.Duration) string {
	var plain []time.Duration
	for _, a := range l.attempts {
		if a.complete && a.status == http.StatusOK && !a.call.stream() && a.call.pieces == 1 && a.call.readPause == 0 {
			plain = append(plain, a.endedAt.Sub(a.startedAt)-a.call.processing)
		}
	}
	slices.Sort(plain)
	at := func(percent int) time.Duration { return plain[(len(plain)-1)*percent/100].Round(time.Millisecond / 10) }
	served, refused, left := l.counts["200"], l.counts["503"], l.counts["left"]
	text := fmt.Sprintf("%d requests in %.1f s, %d served (%d streams), %d refused, %d left by their callers, %d others",
		len(l.attempts), took.Seconds(), served, l.counts["streams"], refused, left, len(l.attempts)-served-refused-left)
	if len(plain) > 0 {
		text += fmt.Sprintf("; time above that of the endpoint, plain calls: median %s, 99th percentile %s", at(50), at(99))
	}
	return text
}
