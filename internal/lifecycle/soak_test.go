// Package lifecycle tests that gateways and loaders lose no request when they are started,
// stopped, signaled and configured. It runs the programs as processes on loopback addresses,
// in real time, with fakes of the users' platform.
package lifecycle

import (
	"context"
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

var (
	soakSeed     = flag.Uint64("seed", 6, "seed of the randomized run")
	soakDuration = flag.Duration("duration", 12*time.Second, "time for which events start in the randomized run")
	soakGateways = flag.Int("gateways", len(gatewayHosts), "number of gateways in the randomized run, at most 80")
	soakEngines  = flag.Int("engines", len(engineHosts), "number of engines in the randomized run, at most 120")
	soakFaults   = flag.Bool("faults", false, "also kill processes, drop responses and exhaust file descriptors; requests may be lost then")
)

const (
	followerCount = 14
	// holderCount is the number of callers per gateway that keep connections to it.
	holderCount = 3
	// maxListed is how many findings of a run are listed.
	maxListed = 40
)

// TestProcessSoak logs its seed and, on a failure, its events. Callers send requests while the
// processes are restarted and signaled and the desired state changes. The test guards
// against requests that a gateway has read and that get no complete response, that run
// twice, or that run although the response says that they did not.
func TestProcessSoak(t *testing.T) {
	s := newSiteOf(t, *soakGateways, *soakEngines)
	s.start()
	records := newLedger()
	records.faults = *soakFaults
	callers := concurrency.NewGroup(context.Background())
	for index := range followerCount {
		follower := newCaller(s, records, *soakSeed, index, "follower")
		callers.Go(follower.follow)
	}
	for index, d := range slices.Repeat(s.gateways, holderCount) {
		holder := newCaller(s, records, *soakSeed, followerCount+index, "holder")
		callers.Go(func(ctx context.Context) { holder.hold(ctx, d) })
	}
	events := &scenario{site: s, ledger: records, random: rand.New(rand.NewPCG(*soakSeed, 9))}
	events.run(*soakDuration)
	events.checkConfiguration()
	callers.Stop()
	callers.Wait()
	s.close()
	findings := records.judge(s)
	t.Logf("seed %d, %s, faults %t, %d processes: %d attempts: %v", *soakSeed, *soakDuration, *soakFaults, len(s.daemons()), len(records.attempts), records.counts)
	t.Logf("events: %v", events.counts)
	for _, finding := range findings[:min(len(findings), maxListed)] {
		t.Error(finding)
	}
	if len(findings) > maxListed {
		t.Errorf("%d findings in all", len(findings))
	}
	for _, a := range records.unread {
		t.Logf("not read: %s", a)
	}
	if records.counts["200"] == 0 || records.counts["streams"] == 0 {
		t.Error("no call or no stream succeeded")
	}
	if t.Failed() {
		for _, line := range events.log {
			t.Log(line)
		}
	}
}
