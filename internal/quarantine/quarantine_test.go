package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/quarantine"
)

// clock is the time of a test.
type clock struct{ now time.Time }

func (c *clock) advance(duration time.Duration) { c.now = c.now.Add(duration) }

func newClock() *clock { return &clock{now: time.Unix(1000, 0)} }

// newQuarantine returns the quarantine of a gateway that knows others.
func newQuarantine(self string, others ...string) *quarantine.Quarantine {
	return &quarantine.Quarantine{
		Self: self, Gateways: func() []string { return others }, OnRejected: func(quarantine.Decision) {}, OnEnded: func(string) {}, OnTrial: func(string) {},
	}
}

func crashOf(engine int, parts ...string) quarantine.Crash {
	return quarantine.Crash{Endpoint: fmt.Sprint("engine-", engine), Incarnation: 1, Parts: parts}
}

// rejected returns the parts that the quarantine rejects.
func rejected(q *quarantine.Quarantine, now time.Time, parts ...string) []string {
	var found []string
	for _, part := range parts {
		if name, _, _ := q.Rejected([]string{part}, now); name != "" {
			found = append(found, name)
		}
	}
	return found
}

const settled = time.Second

// Parts must be rejected only after enough crashes of different engine starts, at different
// moments, without an answer in between.
func TestRejectedParts(t *testing.T) {
	cases := map[string]struct {
		play func(q *quarantine.Quarantine, c *clock)
		want []string
	}{
		"part in three crashes": {func(q *quarantine.Quarantine, c *clock) {
			for engine := range 3 {
				q.RecordCrash(crashOf(engine, "first", "bad", fmt.Sprint("own-", engine)), c.now)
				c.advance(300 * time.Millisecond)
				q.RecordAnswered([]string{"first", "other"}, c.now)
			}
		}, []string{"bad"}},
		"two crashes": {func(q *quarantine.Quarantine, c *clock) {
			for engine := range 2 {
				q.RecordCrash(crashOf(engine, "bad"), c.now)
				c.advance(time.Second)
			}
		}, nil},
		"one engine start in many requests": {func(q *quarantine.Quarantine, c *clock) {
			for range 5 {
				q.RecordCrash(crashOf(1, "bad"), c.now)
				c.advance(time.Second)
			}
		}, nil},
		"many engines at one moment, as in a power failure": {func(q *quarantine.Quarantine, c *clock) {
			for engine := range 20 {
				q.RecordCrash(crashOf(engine, "first", "bad"), c.now)
				c.advance(2 * time.Millisecond)
			}
		}, nil},
		"many engines at one moment, each with a part that no engine has answered": {func(q *quarantine.Quarantine, c *clock) {
			q.RecordAnswered([]string{"first", "subject"}, c.now)
			c.advance(time.Second)
			for engine := range 5 {
				q.RecordCrash(crashOf(engine, "first", "bad", fmt.Sprint("own-", engine)), c.now)
				c.advance(2 * time.Millisecond)
			}
		}, []string{"bad"}},
		"the same, but one of the engines had no request with it": {func(q *quarantine.Quarantine, c *clock) {
			q.RecordAnswered([]string{"first", "subject"}, c.now)
			c.advance(time.Second)
			for engine := range 5 {
				q.RecordCrash(crashOf(engine, "first", "bad"), c.now)
				c.advance(2 * time.Millisecond)
			}
			q.RecordCrash(crashOf(5, "first", "subject"), c.now)
		}, nil},
		"many engines at one moment, with parts that engines have answered": {func(q *quarantine.Quarantine, c *clock) {
			q.RecordAnswered([]string{"first", "bad"}, c.now)
			c.advance(time.Second)
			for engine := range 5 {
				q.RecordCrash(crashOf(engine, "first", "bad"), c.now)
				c.advance(2 * time.Millisecond)
			}
		}, nil},
		"an answer between crashes": {func(q *quarantine.Quarantine, c *clock) {
			for engine := range 4 {
				q.RecordCrash(crashOf(engine, "bad"), c.now)
				c.advance(time.Second)
				if engine == 1 {
					q.RecordAnswered([]string{"bad"}, c.now)
				}
			}
		}, nil},
		"an answer soon after the last crash": {func(q *quarantine.Quarantine, c *clock) {
			for engine := range 5 {
				q.RecordCrash(crashOf(engine, "bad"), c.now)
				c.advance(150 * time.Millisecond)
			}
			q.RecordAnswered([]string{"bad"}, c.now)
		}, nil},
		"a bystander in crashes that a rejected part explains": {func(q *quarantine.Quarantine, c *clock) {
			for engine := range 6 {
				parts := []string{"bad"}
				if engine > 1 {
					parts = append(parts, "other")
				}
				q.RecordCrash(crashOf(engine, parts...), c.now)
				c.advance(time.Second)
			}
		}, []string{"bad"}},
		"crashes far apart": {func(q *quarantine.Quarantine, c *clock) {
			for engine := range 5 {
				q.RecordCrash(crashOf(engine, "bad"), c.now)
				c.advance(2 * time.Minute)
			}
		}, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			q, c := newQuarantine("gateway-0"), newClock()
			test.play(q, c)
			c.advance(settled)
			if diff := cmp.Diff(test.want, rejected(q, c.now, "first", "bad", "other", "own-0")); diff != "" {
				t.Errorf("rejected parts (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against sound requests that are refused because they share a part with those that crash
// engines, and none of them is answered between the crashes and the decision.
func TestAnsweredPartsAreRejectedLast(t *testing.T) {
	const request = quarantine.RequestPrefix + "1"
	crashes := func(q *quarantine.Quarantine, c *clock, count int, parts ...string) {
		for engine := range count {
			q.RecordCrash(crashOf(engine, parts...), c.now)
			c.advance(200 * time.Millisecond)
		}
	}
	cases := map[string]struct {
		play func(q, other *quarantine.Quarantine, c *clock)
		want []string
	}{
		"answered before the crashes": {func(q, _ *quarantine.Quarantine, c *clock) {
			q.RecordAnswered([]string{"first", "other"}, c.now)
			c.advance(2 * time.Second)
			crashes(q, c, 3, "first", "other", "bad")
		}, []string{"bad"}},
		"answered before, in more crashes": {func(q, _ *quarantine.Quarantine, c *clock) {
			q.RecordAnswered([]string{"first"}, c.now)
			c.advance(2 * time.Second)
			crashes(q, c, 3, "first", "bad")
			q.RecordCrash(crashOf(3, "first"), c.now)
		}, []string{"bad"}},
		"answered before by another gateway": {func(q, other *quarantine.Quarantine, c *clock) {
			other.RecordAnswered([]string{"first"}, c.now)
			c.advance(2 * time.Second)
			crashes(q, c, 3, "first", "bad")
		}, []string{"bad"}},
		"request answered before": {func(q, _ *quarantine.Quarantine, c *clock) {
			q.RecordAnswered([]string{request}, c.now)
			c.advance(2 * time.Second)
			crashes(q, c, 3, "bad", request)
		}, []string{"bad"}},
		"answered before, alone in the crashes": {func(q, _ *quarantine.Quarantine, c *clock) {
			q.RecordAnswered([]string{"bad"}, c.now)
			c.advance(2 * time.Second)
			for engine := range 3 {
				q.RecordCrash(crashOf(engine, "bad", fmt.Sprint("own-", engine)), c.now)
				c.advance(200 * time.Millisecond)
			}
		}, []string{"bad"}},
		"crashes go on without the part that was never answered": {func(q, _ *quarantine.Quarantine, c *clock) {
			q.RecordAnswered([]string{"bad"}, c.now)
			c.advance(2 * time.Second)
			crashes(q, c, 3, "bad", "other")
			c.advance(settled)
			_ = rejected(q, c.now, "bad")
			for engine := range 3 {
				q.RecordCrash(crashOf(10+engine, "bad"), c.now)
				c.advance(200 * time.Millisecond)
			}
		}, []string{"bad", "other"}},
		"answered long before": {func(q, _ *quarantine.Quarantine, c *clock) {
			q.RecordAnswered([]string{"first"}, c.now)
			c.advance(time.Hour)
			crashes(q, c, 3, "first", "bad")
		}, []string{"first", "bad"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			q, other, c := newQuarantine("gateway-0", "gateway-1"), newQuarantine("gateway-1", "gateway-0"), newClock()
			test.play(q, other, c)
			other.Merge(q.Digest(c.now), true, c.now)
			c.advance(100 * time.Millisecond)
			q.Merge(other.Digest(c.now), true, c.now)
			c.advance(settled)
			for _, gateway := range []*quarantine.Quarantine{q, other} {
				if diff := cmp.Diff(test.want, rejected(gateway, c.now, "first", "bad", "other", request)); diff != "" {
					t.Errorf("rejected parts of %s (-want +got):\n%s", gateway.Self, diff)
				}
			}
		})
	}
}

// rejectBad makes the quarantine reject the part "bad" and returns the time until the
// rejection ends.
func rejectBad(q *quarantine.Quarantine, c *clock) time.Duration {
	for engine := range 3 {
		q.RecordCrash(crashOf(engine, "bad"), c.now)
		c.advance(settled)
	}
	_, remaining, _ := q.Rejected([]string{"bad"}, c.now)
	return remaining
}

// Guards against gateways that all try a part again at the end of its rejection: each engine
// that this ends counts against one limit for all gateways.
func TestTrialsAreSingle(t *testing.T) {
	c := newClock()
	names := []string{"gateway-0", "gateway-1", "gateway-2", "gateway-3"}
	var gateways []*quarantine.Quarantine
	for index, name := range names {
		others := append(append([]string{}, names[:index]...), names[index+1:]...)
		gateways = append(gateways, newQuarantine(name, others...))
	}
	rejectBad(gateways[0], c)
	share := func() {
		for _, from := range gateways {
			for _, to := range gateways {
				if from != to {
					to.Merge(from.Digest(c.now), true, c.now)
				}
			}
		}
	}
	var trials []time.Duration
	start := c.now
	for engine := 10; c.now.Sub(start) < time.Hour; c.advance(time.Second) {
		share()
		for _, q := range gateways {
			if part, _, trial := q.Rejected([]string{"bad"}, c.now); trial {
				trials = append(trials, c.now.Sub(start).Round(time.Minute))
				q.RecordCrash(crashOf(engine, "bad"), c.now)
				engine++
			} else if part == "" {
				t.Fatalf("the part is admitted after %s", c.now.Sub(start))
			}
		}
	}
	if diff := cmp.Diff([]time.Duration{time.Minute, 5 * time.Minute, 21 * time.Minute}, trials); diff != "" {
		t.Errorf("times of the requests sent with the part within an hour (-want +got):\n%s", diff)
	}
	c.advance(24 * time.Hour)
	for _, q := range gateways {
		q.RecordAnswered([]string{"bad"}, c.now)
	}
	share()
	if got := rejected(gateways[1], c.now, "bad"); len(got) > 0 {
		t.Errorf("%v is rejected after an answer", got)
	}
}

// A part whose rejection was lifted is rejected for longer the next time.
func TestRepeatedRejectionLastsLonger(t *testing.T) {
	q, c := newQuarantine("gateway-0"), newClock()
	first := rejectBad(q, c)
	q.RecordAnswered([]string{"bad"}, c.now)
	if got := rejected(q, c.now, "bad"); len(got) > 0 {
		t.Errorf("%v is rejected after an answer", got)
	}
	c.advance(settled)
	for engine := 10; engine < 13; engine++ {
		q.RecordCrash(crashOf(engine, "bad"), c.now)
		c.advance(settled)
	}
	if _, second, _ := q.Rejected([]string{"bad"}, c.now); second < 2*first {
		t.Errorf("second rejection lasts %s, the first one %s", second, first)
	}
}

// Gateways must agree in whichever order they learn of crashes and answers.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	c := newClock()
	witness, other := newQuarantine("gateway-0"), newQuarantine("gateway-1")
	for engine := range 3 {
		witness.RecordCrash(crashOf(engine, "bad", "sound"), c.now)
		c.advance(200 * time.Millisecond)
	}
	other.RecordAnswered([]string{"sound"}, c.now)
	c.advance(100 * time.Millisecond)
	early, late := newQuarantine("gateway-2"), newQuarantine("gateway-3")
	crashes := witness.Digest(c.now)
	other.Merge(crashes, true, c.now)
	answers := other.Digest(c.now)
	early.Merge(answers, true, c.now)
	early.Merge(crashes, true, c.now)
	late.Merge(crashes, true, c.now)
	late.Merge(answers, true, c.now)
	witness.Merge(answers, true, c.now)
	c.advance(settled)
	for _, q := range []*quarantine.Quarantine{witness, other, early, late} {
		if diff := cmp.Diff([]string{"bad"}, rejected(q, c.now, "bad", "sound")); diff != "" {
			t.Errorf("parts that %s rejects (-want +got):\n%s", q.Self, diff)
		}
	}
}

// Whatever callers send, the memory and the digests are bounded.
func TestBounds(t *testing.T) {
	q, c := newQuarantine("gateway-0"), newClock()
	for engine := range 600 {
		var parts []string
		for part := range 200 {
			parts = append(parts, fmt.Sprint("part-", engine, "-", part))
		}
		q.RecordCrash(crashOf(engine, parts...), c.now)
	}
	parts := 0
	for _, crash := range q.Digest(c.now).Crashes {
		parts += len(crash.Parts)
	}
	if parts == 0 || parts > 512 {
		t.Errorf("digest with %d parts, want 512 at most", parts)
	}
}
