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
	// prefixBytes is the maximum length of the prefix of the first message that
	// is used for routing, since an engine may have the prefix cached.
	prefixBytes = 256
	// maxResumes is the maximum number of times that a stream is resumed to read
	// its next event.
	maxResumes = 3
)

// chatRequest holds the fields of a chat completion request that routing uses.
type chatRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// stream forwards a chat completion to the caller.
type stream struct {
	request         *request
	forwarder       *forwarder
	upstreamRequest upstream.Request
	checker         *streamcheck.Checker
	// exchange is nil after a failed stream could not be resumed.
	exchange *exchange
}

// handleChat routes a chat completion, checks the response stream and forwards
// it to the caller.
func (e *Entry) handleChat(c fiber.Ctx) error {
	r, ok := e.begin(c, metrics.ChatCompletion)
	if !ok {
		return r.refuse(c, notRun("the entry is leaving"))
	}
	s, failure := r.openStream(c)
	if s == nil {
		r.finish(failure.outcome)
		return r.refuse(c, failure)
	}
	if s.exchange.response.Status() != fiber.StatusOK {
		// The response describes why the engine rejects the request.
		defer s.closeExchange()
		return r.sendResult(c, readResponse(s.exchange))
	}
	first, err := s.next()
	if err != nil {
		s.closeExchange()
		r.finish(outcome.Unknown)
		return r.refuse(c, unknownOutcome(err.Error()))
	}
	e.base.Metrics.ObserveFirstByte(r.workspaceLabel(), metrics.ChatCompletion, time.Since(r.start))
	c.Set(outcome.WeightSetHeader, s.checker.Set)
	c.Set(fiber.HeaderContentType, "text/event-stream")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		result := s.forwardEvents(w, first)
		s.closeExchange()
		r.finish(result)
	})
}

// openStream forwards the request to an endpoint that accepts it. The stream is
// bound to the weight set that this endpoint serves.
func (r *request) openStream(c fiber.Ctx) (*stream, refusal) {
	var completion chatRequest
	if err := json.Unmarshal(c.Body(), &completion); err != nil || len(completion.Messages) == 0 {
		return nil, refusal{status: fiber.StatusBadRequest, outcome: outcome.NotRun, reason: "the body is not a chat completion request"}
	}
	pool, ok := r.modelPool(completion.Model)
	if !ok {
		return nil, refusal{status: fiber.StatusNotFound, outcome: outcome.NotRun, reason: fmt.Sprintf("model %q does not exist", completion.Model)}
	}
	r.entry.budget.RecordAttempt()
	s := &stream{
		request: r,
		forwarder: &forwarder{
			request: r, pool: pool.Name, prefix: prefixKey(completion), client: r.entry.streamClient,
			retryable: true, timeout: r.entry.Settings.Routing.AdmissionTimeout,
		},
		upstreamRequest: upstream.Request{
			Method: fiber.MethodPost, Body: bytes.Clone(c.Body()),
			Headers: map[string]string{
				fiber.HeaderContentType: fiber.MIMEApplicationJSON,
				outcome.RequestIDHeader: r.id,
				outcome.WorkspaceHeader: r.workspace,
			},
		},
	}
	var failure refusal
	if s.exchange, failure = s.forwarder.forward(s.upstreamRequest, chatPath); s.exchange == nil {
		return nil, failure
	}
	s.checker = &streamcheck.Checker{RequestID: r.id, Set: s.exchange.response.Header(outcome.WeightSetHeader)}
	return s, refusal{}
}

func (r *request) modelPool(model string) (ticket.Pool, bool) {
	for _, pool := range r.snapshot.Pools() {
		if pool.Kind == ticket.ModelPool && pool.Model == model {
			return pool, true
		}
	}
	return ticket.Pool{}, false
}

// prefixKey returns a hash of the beginning of the conversation.
func prefixKey(completion chatRequest) string {
	content := completion.Messages[0].Content
	return strconv.FormatUint(xxhash.Sum64String(content[:min(prefixBytes, len(content))]), 36)
}

// next returns the next event of the stream. If the stream fails, next resumes
// it on another endpoint.
func (s *stream) next() ([]byte, error) {
	for resumes := 0; ; resumes++ {
		event, err := s.checker.Next(s.exchange.response.ReadLine)
		if err == nil {
			return event, nil
		}
		if resumes >= maxResumes || !s.resume(err) {
			return nil, err
		}
	}
}

// closeExchange closes the exchange with the current endpoint, if there is one.
func (s *stream) closeExchange() {
	if s.exchange != nil {
		s.exchange.close()
		s.exchange = nil
	}
}

// resume continues the stream on another endpoint that serves the same weight
// set, after the tokens that the checker has counted. It reports false if that is
// not possible.
func (s *stream) resume(cause error) bool {
	entry := s.request.entry
	failedEndpoint := s.exchange.endpoint.Name
	s.closeExchange()
	entry.router.PauseAfterFailure(failedEndpoint)
	if !entry.budget.AllowRetry() {
		return false
	}
	s.upstreamRequest.Headers[outcome.WeightSetHeader] = s.checker.Set
	s.upstreamRequest.Headers[outcome.ResumeFromHeader] = strconv.Itoa(s.checker.Tokens())
	resumed, _ := s.forwarder.forward(s.upstreamRequest, chatPath)
	if resumed == nil {
		return false
	}
	s.exchange = resumed
	if resumed.response.Status() != fiber.StatusOK {
		// The body is the text of an error, not a stream.
		s.closeExchange()
		return false
	}
	entry.Log.Emit(event.StreamResumed, event.Fields{"requestId": s.request.id, "from": failedEndpoint, "to": resumed.endpoint.Name, "cause": cause.Error()})
	return true
}

// forwardEvents forwards events up to the end marker. If the stream cannot be
// completed, it sends an error event that carries a refusal.
func (s *stream) forwardEvents(w *bufio.Writer, lines []byte) outcome.Outcome {
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
	s.request.entry.Log.Emit(event.StreamAborted, event.Fields{"requestId": s.request.id, "error": cause.Error()})
	body, err := json.Marshal(s.request.refusalBody(unknownOutcome(cause.Error())))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", body)
	_ = w.Flush()
}
