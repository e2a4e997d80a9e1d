package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/metrics"
	"github.com/mimosaward/mimosaward/internal/streamcheck"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/pkg/outcome"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

const (
	chatPath = "/v1/chat/completions"
	// prefixBytes is how much of the first message counts as the prefix that an
	// engine may have cached.
	prefixBytes = 256
	// maxResumes bounds how often one stream is resumed.
	maxResumes = 3
)

// chatRequest is the part of a chat completion request that routing needs.
type chatRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// stream is a chat completion on its way to the caller.
type stream struct {
	request *request
	offer   *offer
	message upstream.Request
	checker *streamcheck.Checker
	// current is nil once a broken stream could not be resumed.
	current *taken
}

// chat routes a chat completion and passes the checked stream on.
func (e *Entry) chat(c fiber.Ctx) error {
	r, ok := e.begin(c, metrics.Draft)
	if !ok {
		return r.refuse(c, notRun("the entry is leaving"))
	}
	s, failure := r.openStream(c)
	if s == nil {
		r.finish(failure.outcome)
		return r.refuse(c, failure)
	}
	if s.current.response.Status() != fiber.StatusOK {
		// The engine says what is wrong with the request.
		defer s.leave()
		return r.answerCall(c, readAnswer(s.current))
	}
	first, err := s.next()
	if err != nil {
		s.leave()
		r.finish(outcome.Unknown)
		return r.refuse(c, unknown(err.Error()))
	}
	e.base.Meter.FirstByte(r.label(), metrics.Draft, time.Since(r.start))
	c.Set(outcome.SetHeader, s.checker.Set)
	c.Set(fiber.HeaderContentType, "text/event-stream")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		what := s.copy(w, first)
		s.leave()
		r.finish(what)
	})
}

// openStream finds an endpoint that takes the request. The stream is bound to
// the weight set that this endpoint serves.
func (r *request) openStream(c fiber.Ctx) (*stream, refusal) {
	var wanted chatRequest
	if err := json.Unmarshal(c.Body(), &wanted); err != nil || len(wanted.Messages) == 0 {
		return nil, refusal{status: fiber.StatusBadRequest, outcome: outcome.NotRun, reason: "the body is not a chat completion request"}
	}
	pool, found := r.poolOf(wanted.Model)
	if !found {
		return nil, refusal{status: fiber.StatusNotFound, outcome: outcome.NotRun, reason: fmt.Sprintf("model %q does not exist", wanted.Model)}
	}
	r.entry.budget.RecordAttempt()
	s := &stream{
		request: r,
		offer: &offer{
			request: r, pool: pool.Name, prefix: prefixKey(wanted), client: r.entry.streams,
			repeatable: true, wait: r.entry.Settings.Routing.AdmissionWait,
		},
		message: upstream.Request{
			Method: fiber.MethodPost, Body: bytes.Clone(c.Body()),
			Headers: map[string]string{
				fiber.HeaderContentType: fiber.MIMEApplicationJSON,
				outcome.RequestIDHeader: r.id,
				outcome.WorkspaceHeader: r.workspace,
			},
		},
	}
	var failure refusal
	if s.current, failure = s.offer.place(s.message, chatPath); s.current == nil {
		return nil, failure
	}
	s.checker = &streamcheck.Checker{RequestID: r.id, Set: s.current.response.Header(outcome.SetHeader)}
	return s, refusal{}
}

func (r *request) poolOf(model string) (ticket.Pool, bool) {
	for _, pool := range r.snapshot.Pools() {
		if pool.Kind == ticket.ModelPool && pool.Model == model {
			return pool, true
		}
	}
	return ticket.Pool{}, false
}

// prefixKey identifies the beginning of the conversation.
func prefixKey(wanted chatRequest) string {
	content := wanted.Messages[0].Content
	return strconv.FormatUint(xxhash.Sum64String(content[:min(prefixBytes, len(content))]), 36)
}

// next returns the next event of the stream, resuming it elsewhere if the
// endpoint breaks it.
func (s *stream) next() ([]byte, error) {
	for resumes := 0; ; resumes++ {
		event, err := s.checker.Next(s.current.response.ReadLine)
		if err == nil {
			return event, nil
		}
		if resumes >= maxResumes || !s.resume(err) {
			return nil, err
		}
	}
}

// leave ends the exchange with the present endpoint, if there is one.
func (s *stream) leave() {
	if s.current != nil {
		s.current.close()
		s.current = nil
	}
}

// resume continues the stream on another endpoint that serves the same weight
// set, after the tokens that the caller holds. It reports false if that is not
// possible.
func (s *stream) resume(cause error) bool {
	entry := s.request.entry
	broken := s.current.endpoint.Name
	s.leave()
	entry.router.PauseAfterFailure(broken)
	if !entry.budget.AllowRetry() {
		return false
	}
	s.message.Headers[outcome.SetHeader] = s.checker.Set
	s.message.Headers[outcome.ResumeHeader] = strconv.Itoa(s.checker.Tokens())
	next, _ := s.offer.place(s.message, chatPath)
	if next == nil {
		return false
	}
	s.current = next
	entry.Log.Emit(event.StreamResumed, event.Fields{"requestId": s.request.id, "from": broken, "to": next.endpoint.Name, "cause": cause.Error()})
	return true
}

// copy passes events on until the end marker. A stream that cannot be finished
// ends with an error event that carries a refusal.
func (s *stream) copy(w *bufio.Writer, lines []byte) outcome.Outcome {
	for {
		if _, err := w.Write(lines); err != nil {
			return outcome.Unknown
		}
		if err := w.Flush(); err != nil {
			return outcome.Unknown
		}
		if s.checker.Ended() {
			return outcome.Done
		}
		var err error
		if lines, err = s.next(); err != nil {
			s.writeError(w, err)
			return outcome.Unknown
		}
	}
}

func (s *stream) writeError(w *bufio.Writer, cause error) {
	s.request.entry.Log.Emit(event.StreamBroken, event.Fields{"requestId": s.request.id, "error": cause.Error()})
	body, err := json.Marshal(s.request.body(unknown(cause.Error())))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", body)
	_ = w.Flush()
}
