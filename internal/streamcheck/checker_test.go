package streamcheck_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/streamcheck"
)

// chunk returns the data line of one chat completion chunk.
func chunk(id, set, text, finish string) string {
	return fmt.Sprintf(`data: {"id":%q,"system_fingerprint":%q,"choices":[{"delta":{"content":%q},"finish_reason":%s}]}`, id, set, text, finish)
}

func TestChecker(t *testing.T) {
	tests := []struct {
		name  string
		lines []string
		want  error
		ended bool
	}{
		{"complete", []string{chunk("r", "s", "a", "null"), "", chunk("r", "s", "", `"stop"`), "", "data: [DONE]"}, nil, true},
		{"unfinished", []string{chunk("r", "s", "a", "null")}, nil, false},
		{"end marker without a finish reason", []string{chunk("r", "s", "a", "null"), "data: [DONE]"}, streamcheck.ErrIncomplete, false},
		{"another request", []string{chunk("x", "s", "a", "null")}, streamcheck.ErrWrongRequest, false},
		{"another set", []string{chunk("r", "x", "a", "null")}, streamcheck.ErrWrongSet, false},
		{"error event", []string{"event: error", "data: {}"}, streamcheck.ErrIncomplete, false},
		{"not a chunk", []string{"data: hello"}, streamcheck.ErrMalformed, false},
		{"text of an error", []string{chunk("r", "s", "a", "null"), "", "the engine failed"}, streamcheck.ErrMalformed, false},
		{"head of another response", []string{chunk("r", "s", "a", "null"), "", "HTTP/1.1 500 Internal Server Error"}, streamcheck.ErrMalformed, false},
		{"JSON error", []string{`{"error":{"message":"no"}}`}, streamcheck.ErrMalformed, false},
		{"other fields", []string{"id: 1", "event: message", "retry: 5"}, nil, false},
		{"comment", []string{": ping"}, nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			checker := &streamcheck.Checker{RequestID: "r", Set: "s"}
			var got error
			for _, line := range test.lines {
				if got = checker.CheckLine([]byte(line)); got != nil {
					break
				}
			}
			if !errors.Is(got, test.want) || checker.Ended() != test.ended {
				t.Errorf("got %v and ended %t, want %v and %t", got, checker.Ended(), test.want, test.ended)
			}
		})
	}
}

// FuzzChecker checks that no input makes the checker panic, since the bytes of a
// stream come from the engine.
func FuzzChecker(f *testing.F) {
	f.Add(chunk("r", "s", "a", "null"))
	f.Add("data: [DONE]")
	f.Add(`data: {"choices":[]}`)
	f.Fuzz(func(t *testing.T, text string) {
		checker := &streamcheck.Checker{RequestID: "r", Set: "s"}
		for line := range strings.Lines(text) {
			if checker.CheckLine([]byte(line)) != nil {
				return
			}
		}
	})
}
