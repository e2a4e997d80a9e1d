package system

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/streamcheck"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/pkg/outcome"
)

// reply is what a caller got.
type reply struct {
	status  int
	outcome outcome.Outcome
	// whole is true for a whole answer of the caller's own request, from one
	// weight set.
	whole bool
	set   string
	err   error
}

// draft asks an entry for a draft and checks the answer token by token.
func (s *system) draft(entry int) reply {
	got, _ := s.timedDraft(entry)
	return got
}

// timedDraft also returns how long the first token took.
func (s *system) timedDraft(entry int) (reply, time.Duration) {
	id, prompt := uuid.NewString(), uuid.NewString()
	body, _ := json.Marshal(map[string]any{
		"model": "draft", "stream": true, "max_tokens": draftTokens, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	start := time.Now()
	response, err := s.client.Do(upstream.Request{
		Method: "POST", URL: fmt.Sprintf("http://entry-%d:80/v1/chat/completions", entry), Body: body,
		Headers: map[string]string{outcome.RequestIDHeader: id, outcome.WorkspaceHeader: "aso-care", "Content-Type": "application/json"},
	})
	waited := time.Since(start)
	if err != nil {
		return reply{err: err}, waited
	}
	defer response.Close()
	got := reply{status: response.Status(), outcome: outcome.Outcome(response.Header(outcome.Header)), set: response.Header(outcome.WeightSetHeader)}
	if got.status != 200 {
		return got, waited
	}
	return s.readDraft(response, got, id, prompt), waited
}

func (s *system) readDraft(response *upstream.Response, got reply, id, prompt string) reply {
	checker := &streamcheck.Checker{RequestID: id, Set: got.set}
	var text strings.Builder
	for !checker.Ended() {
		line, err := response.ReadLine()
		if strings.HasPrefix(string(line), "event: error") {
			got.outcome = outcome.Unknown
			return got
		}
		if got.err = checker.CheckLine(line); got.err != nil {
			return got
		}
		if data, isData := strings.CutPrefix(string(line), "data: {"); isData {
			_, rest, _ := strings.Cut(data, `"content":"`)
			token, _, _ := strings.Cut(rest, `"`)
			text.WriteString(token)
		}
		if err != nil {
			got.err = err
			return got
		}
	}
	content := s.contentOf(got.set)
	var want strings.Builder
	for index := range draftTokens {
		want.WriteString(fakes.Token(content, prompt, index) + " ")
	}
	got.whole = text.String() == want.String()
	if !got.whole {
		s.t.Errorf("draft from set %s is partial or mixed: %q", got.set, text.String())
	}
	return got
}

// book makes one call with an idempotency key.
func (s *system) book(entry int, key string) reply {
	response, err := s.client.Do(upstream.Request{
		Method: "POST", URL: fmt.Sprintf("http://entry-%d:80/services/booking/book", entry), Body: []byte(`{"rail":1}`),
		Headers: map[string]string{outcome.IdempotencyKeyHeader: key, outcome.WorkspaceHeader: "aso-care", "Content-Type": "application/json"},
	})
	if err != nil {
		return reply{err: err, outcome: outcome.Unknown}
	}
	defer response.Close()
	_, err = response.ReadBody()
	return reply{status: response.Status(), outcome: outcome.Outcome(response.Header(outcome.Header)), err: err}
}

// runs returns how often the services ran a key.
func (s *system) runs(key string) int {
	total := 0
	for _, service := range s.services {
		total += service.Counts().Runs[key]
	}
	return total
}
