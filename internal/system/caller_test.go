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

// callResult is the result of one request of a caller.
type callResult struct {
	status  int
	outcome outcome.Outcome
	// complete is set if the complete response was received, belongs to the caller's own
	// request and comes from one weight set.
	complete bool
	set      string
	err      error
}

// chatCompletion requests a chat completion from an entry and checks the response
// token by token.
func (s *system) chatCompletion(entry int) callResult {
	got, _ := s.timedChatCompletion(entry)
	return got
}

// timedChatCompletion is like chatCompletion and also returns the time to the first
// token.
func (s *system) timedChatCompletion(entry int) (callResult, time.Duration) {
	id, prompt := uuid.NewString(), uuid.NewString()
	body, _ := json.Marshal(map[string]any{
		"model": "draft", "stream": true, "max_tokens": completionTokens, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	start := time.Now()
	response, err := s.client.Do(upstream.Request{
		Method: "POST", URL: fmt.Sprintf("http://entry-%d:80/v1/chat/completions", entry), Body: body,
		Headers: map[string]string{outcome.RequestIDHeader: id, outcome.WorkspaceHeader: "aso-care", "Content-Type": "application/json"},
	})
	firstTokenTime := time.Since(start)
	if err != nil {
		return callResult{err: err}, firstTokenTime
	}
	defer response.Close()
	got := callResult{status: response.Status(), outcome: outcome.Outcome(response.Header(outcome.Header)), set: response.Header(outcome.WeightSetHeader)}
	if got.status != 200 {
		return got, firstTokenTime
	}
	return s.readChatCompletion(response, got, id, prompt), firstTokenTime
}

func (s *system) readChatCompletion(response *upstream.Response, got callResult, id, prompt string) callResult {
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
	content := s.contentDigest(got.set)
	var want strings.Builder
	for index := range completionTokens {
		want.WriteString(fakes.Token(content, prompt, index) + " ")
	}
	got.complete = text.String() == want.String()
	if !got.complete {
		s.t.Errorf("chat completion from set %s is incomplete or mixed: %q", got.set, text.String())
	}
	return got
}

// book makes one call with an idempotency key to the booking service.
func (s *system) book(entry int, key string) callResult {
	response, err := s.client.Do(upstream.Request{
		Method: "POST", URL: fmt.Sprintf("http://entry-%d:80/services/booking/book", entry), Body: []byte(`{"rail":1}`),
		Headers: map[string]string{outcome.IdempotencyKeyHeader: key, outcome.WorkspaceHeader: "aso-care", "Content-Type": "application/json"},
	})
	if err != nil {
		return callResult{err: err, outcome: outcome.Unknown}
	}
	defer response.Close()
	_, err = response.ReadBody()
	return callResult{status: response.Status(), outcome: outcome.Outcome(response.Header(outcome.Header)), err: err}
}

// runCount returns how often the services executed the call with a key.
func (s *system) runCount(key string) int {
	total := 0
	for _, service := range s.services {
		total += service.Counts().Runs[key]
	}
	return total
}
