package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/quarantine"
)

func request(name any) string { return fmt.Sprint(quarantine.RequestPrefix, name) }

// Guards against a sound prompt part that is rejected instead of the request that crashes
// engines, against a request that is rejected instead of the part, and against bystanders.
func TestRejectedRequests(t *testing.T) {
	cases := map[string]struct {
		play func(q *quarantine.Quarantine, c *clock)
		want []string
	}{
		"request in as many crashes as its part": {func(q *quarantine.Quarantine, c *clock) {
			for engine := range 3 {
				q.RecordCrash(crashOf(engine, "bad", request("deadly"), request(engine)), c.now)
				c.advance(time.Second)
			}
		}, []string{request("deadly")}},
		"part of different requests": {func(q *quarantine.Quarantine, c *clock) {
			for engine := range 4 {
				q.RecordCrash(crashOf(engine, "bad", request(engine)), c.now)
				c.advance(time.Second)
			}
		}, []string{"bad"}},
		"part whose request came again before others": {func(q *quarantine.Quarantine, c *clock) {
			for engine := range 3 {
				q.RecordCrash(crashOf(engine, "bad", request("deadly")), c.now)
				c.advance(time.Second)
			}
			for engine := 3; engine < 6; engine++ {
				q.RecordCrash(crashOf(engine, "bad", request(engine)), c.now)
				c.advance(time.Second)
			}
		}, []string{request("deadly"), "bad"}},
		"bystander that was answered between": {func(q *quarantine.Quarantine, c *clock) {
			for engine := range 5 {
				q.RecordCrash(crashOf(engine, request("deadly"), request("hot")), c.now)
				c.advance(300 * time.Millisecond)
				q.RecordAnswered([]string{request("hot")}, c.now)
			}
		}, []string{request("deadly")}},
		"bystander in two of the crashes": {func(q *quarantine.Quarantine, c *clock) {
			for engine := range 4 {
				parts := []string{request("deadly")}
				if engine < 2 {
					parts = append(parts, request("hot"))
				}
				q.RecordCrash(crashOf(engine, parts...), c.now)
				c.advance(time.Second)
			}
		}, []string{request("deadly")}},
		"attempts of one gateway, each right after the other": {func(q *quarantine.Quarantine, c *clock) {
			for engine := range 3 {
				q.RecordCrash(crashOf(engine, request("deadly")), c.now)
				c.advance(60 * time.Millisecond)
			}
		}, []string{request("deadly")}},
		"all endpoints at one moment": {func(q *quarantine.Quarantine, c *clock) {
			for engine := range 20 {
				q.RecordCrash(crashOf(engine, request("hot")), c.now)
				c.advance(2 * time.Millisecond)
			}
		}, nil},
		"one endpoint start, seen by many gateways": {func(q *quarantine.Quarantine, c *clock) {
			for range 6 {
				q.RecordCrash(crashOf(1, request("hot")), c.now)
				c.advance(time.Second)
			}
		}, nil},
		"two deadly requests": {func(q *quarantine.Quarantine, c *clock) {
			for engine := range 6 {
				q.RecordCrash(crashOf(engine, "first", request([]string{"deadly", "hot"}[engine%2])), c.now)
				c.advance(200 * time.Millisecond)
				q.RecordAnswered([]string{"first"}, c.now)
			}
		}, []string{request("deadly"), request("hot")}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			q, c := newQuarantine("gateway-0"), newClock()
			test.play(q, c)
			c.advance(settled)
			if diff := cmp.Diff(test.want, rejected(q, c.now, request("deadly"), request("hot"), request(0), "bad", "first")); diff != "" {
				t.Errorf("rejected requests and parts (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a fingerprint that has no room in a crash because requests list many prompt parts,
// and against a prompt part whose answers are forgotten because each request has a fingerprint.
func TestFingerprintsAndPartsHaveSeparateBounds(t *testing.T) {
	q, c := newQuarantine("gateway-0"), newClock()
	q.RecordAnswered([]string{"answered"}, c.now)
	for index := range 10_000 {
		q.RecordAnswered([]string{request(index)}, c.now)
	}
	var parts []string
	for index := range 200 {
		parts = append(parts, fmt.Sprint("part-", index))
	}
	for engine := range 3 {
		late := crashOf(engine, append(append([]string{"answered"}, parts...), request("deadly"))...)
		late.Age = time.Duration(3-engine) * time.Second
		q.RecordCrash(late, c.now)
	}
	var crowd []string
	for index := range 200 {
		crowd = append(crowd, request(fmt.Sprint("crowd-", index)))
	}
	q.RecordCrash(crashOf(10, crowd...), c.now)
	digest := q.Digest(c.now)
	for _, crash := range digest.Crashes {
		if len(crash.Parts)+len(crash.Cleared) > 2*96 {
			t.Errorf("crash with %d parts, want at most 96 prompt parts and 96 fingerprints", len(crash.Parts))
		}
	}
	c.advance(settled)
	if diff := cmp.Diff([]string{request("deadly")}, rejected(q, c.now, "answered", request("deadly"))); diff != "" {
		t.Errorf("rejected requests and parts (-want +got):\n%s", diff)
	}
}

func BenchmarkRecordAnswered(b *testing.B) {
	for _, crashes := range []int{0, 5, 256} {
		b.Run(fmt.Sprint(crashes, " crashes"), func(b *testing.B) {
			q, c := newQuarantine("gateway-0"), newClock()
			for engine := range crashes {
				q.RecordCrash(crashOf(engine, request("deadly"), request(engine)), c.now)
			}
			for index := 0; b.Loop(); index++ {
				q.RecordAnswered([]string{request(index)}, c.now)
			}
		})
	}
}
