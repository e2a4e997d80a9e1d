package lifecycle

import (
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// The test guards against a ledger that overlooks lost requests or reports those that the
// rules allow.
func TestJudgeAttempt(t *testing.T) {
	stopAt := time.Now()
	at := stopAt.Add
	ran := func(from, to time.Duration) []platformtest.Execution {
		return []platformtest.Execution{{Body: "body", StartedAt: at(from), EndedAt: at(to)}}
	}
	const answer = "id-1\nid-1"
	sound := attempt{
		call: &call{id: "id-1", responseBytes: len(answer), body: []byte("body"), budget: 4 * time.Second}, process: &process{stopAt: stopAt},
		sentAt: at(time.Second), endedAt: at(2 * time.Second), status: 200, complete: true, signature: "signed", answeredID: "id-1", body: answer,
	}
	cut := func(sent, ended time.Duration, err error) func(*attempt) {
		return func(a *attempt) {
			a.sentAt, a.endedAt, a.err, a.status, a.complete = at(sent), at(ended), err, 0, false
		}
	}
	answered := func(status int) func(*attempt) { return func(a *attempt) { a.status, a.signature = status, "" } }
	for _, test := range []struct {
		name   string
		change func(a *attempt)
		runs   []platformtest.Execution
		want   []string
	}{
		{"complete", func(*attempt) {}, ran(0, time.Second), nil},
		{"wrong body", func(a *attempt) { a.body = "id-2\nid-2" }, ran(0, time.Second), []string{"body of 9 bytes is not that of the call, which has 9"}},
		{"other response", func(a *attempt) { a.answeredID = "id-2" }, ran(0, time.Second), []string{"response to id-2"}},
		{"no signature", answered(200), ran(0, time.Second), []string{"success that no endpoint signed"}},
		{"ran twice", func(*attempt) {}, append(ran(0, 1), ran(1, 2)...), []string{"ran more than once"}},
		{"refused", answered(503), nil, nil},
		{"refused and ran", answered(503), ran(0, 1), []string{"ran although the response says that it did not"}},
		{"failed", answered(502), ran(0, 1), []string{"unexplained failure"}},
		{"unknown route", answered(404), nil, []string{"unexplained failure"}},
		{"crossed the exit", cut(time.Second, 1100*time.Millisecond, io.ErrUnexpectedEOF), nil, nil},
		{"not read", cut(time.Second, 3*time.Second, syscall.ECONNRESET), nil, nil},
		{"read", cut(time.Second, 3*time.Second, io.ErrUnexpectedEOF), nil, []string{"LOST after it was read"}},
		{"passed on", cut(time.Second, 1100*time.Millisecond, syscall.ECONNRESET), ran(1050*time.Millisecond, 2*time.Second), []string{"LOST after it was passed on"}},
		{"incomplete body", func(a *attempt) { a.complete, a.err = false, io.ErrUnexpectedEOF }, ran(0, 1), []string{"LOST after it was passed on"}},
		{"budget passed", cut(time.Second, 5*time.Second, io.ErrUnexpectedEOF), ran(time.Second, 6*time.Second), nil},
		{"sent early, still running late", cut(2900*time.Millisecond, 6800*time.Millisecond, io.ErrUnexpectedEOF), ran(3*time.Second, 7*time.Second), nil},
		{"sent late, still running late", cut(3100*time.Millisecond, 6800*time.Millisecond, io.ErrUnexpectedEOF), ran(4*time.Second, 7*time.Second), []string{"LOST after it was passed on"}},
		{"sent early, done early", cut(2900*time.Millisecond, 6800*time.Millisecond, io.ErrUnexpectedEOF), ran(3*time.Second, 6*time.Second), []string{"LOST after it was passed on"}},
		{"caller left", func(a *attempt) { a.left, a.complete, a.err = true, false, io.EOF }, ran(0, 1), nil},
		{"other body", func(*attempt) {}, []platformtest.Execution{{Body: "other"}}, []string{"ran with another body"}},
	} {
		judged := sound
		test.change(&judged)
		if diff := cmp.Diff(test.want, newLedger().judgeAttempt(&judged, test.runs)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}
