package agent

import (
	"bufio"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/admission"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/streamcheck"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/pkg/outcome"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

const (
	chatPath = "/v1/chat/completions"
	// priorityHeader tells the engine how urgent a request is, see RFC 9218.
	priorityHeader = "Priority"
)

// app serves entries and other agents.
func (a *Agent) app() *fiber.App {
	app := fiber.New(fiber.Config{Immutable: true})
	a.carrier.RegisterRoutes(app)
	if a.isModel() {
		app.Post(chatPath, a.chat)
	} else {
		app.All("/services/:pool/*", a.call)
	}
	return app
}

// chat gives a request to the engine and passes the checked stream on.
func (a *Agent) chat(c fiber.Ctx) error {
	request, refusal := a.admit(c)
	if refusal != nil {
		return a.refuse(c, fiber.StatusServiceUnavailable, outcome.NotRun, *refusal)
	}
	response, err := a.startChat(c, request.priority)
	if err != nil {
		request.slot.RecordFailure()
		request.end()
		return a.refuseFailed(c, err)
	}
	if isCallersFault(response.Status()) {
		return a.passRejection(c, request, response)
	}
	checker := &streamcheck.Checker{RequestID: c.Get(outcome.RequestIDHeader), Set: request.set}
	// The first event is read before the status is sent, so that a request
	// that fails before it can be retried elsewhere.
	first, err := firstEvent(response, checker)
	if err != nil {
		response.Close()
		request.end()
		a.noteMismatch(err, checker.RequestID)
		return a.refuse(c, fiber.StatusBadGateway, outcome.Unknown, admission.Refusal{Reason: err.Error()})
	}
	request.slot.RecordFirstByte()
	a.setLoad(c)
	c.Set(outcome.SetHeader, request.set)
	c.Set(fiber.HeaderContentType, "text/event-stream")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer request.end()
		defer response.Close()
		a.copyStream(w, first, response, checker)
	})
}

// isCallersFault reports whether a status means that the request is wrong, so
// that no other engine would take it either.
func isCallersFault(status int) bool {
	switch status {
	case fiber.StatusBadRequest, fiber.StatusNotFound, fiber.StatusRequestEntityTooLarge, fiber.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

// passRejection passes on what the engine says about a wrong request. It tells
// nothing about how warm the engine is.
func (a *Agent) passRejection(c fiber.Ctx, request *admitted, response *upstream.Response) error {
	defer request.end()
	defer response.Close()
	body, err := response.ReadBody()
	if err != nil {
		return a.refuseFailed(c, err)
	}
	return a.sendAnswer(c, response, body)
}

func (a *Agent) startChat(c fiber.Ctx, priority int) (*upstream.Response, error) {
	address, err := a.endpointURL(chatPath)
	if err != nil {
		return nil, err
	}
	return a.endpoint.Do(upstream.Request{
		Method: fiber.MethodPost, URL: address, Body: c.Body(),
		Headers: map[string]string{
			fiber.HeaderContentType: fiber.MIMEApplicationJSON,
			outcome.RequestIDHeader: c.Get(outcome.RequestIDHeader),
			outcome.ResumeHeader:    c.Get(outcome.ResumeHeader),
			priorityHeader:          urgency(priority),
		},
	})
}

// urgency writes a workspace's priority as RFC 9218 does: 3 is the default, and
// smaller numbers are more urgent.
func urgency(priority int) string {
	const middle, step = 3, 2
	return fmt.Sprintf("u=%d", middle+step*(ticket.MaxPriority/2-priority))
}

func (a *Agent) refuseFailed(c fiber.Ctx, err error) error {
	what := outcome.Unknown
	if errors.Is(err, upstream.ErrNotConnected) {
		what = outcome.NotRun
	}
	return a.refuse(c, fiber.StatusBadGateway, what, admission.Refusal{Reason: "the endpoint failed: " + err.Error(), RetryAfter: closedRetry})
}

// firstEvent returns the first event, checked.
func firstEvent(response *upstream.Response, checker *streamcheck.Checker) ([]byte, error) {
	if response.Status() != fiber.StatusOK {
		return nil, errors.Newf("endpoint answered with status %d", response.Status())
	}
	return checker.Next(response.ReadLine)
}

// copyStream passes events on until the end marker. A stream that breaks ends
// with an error event, never silently.
func (a *Agent) copyStream(w *bufio.Writer, event []byte, response *upstream.Response, checker *streamcheck.Checker) {
	for {
		a.carrier.Uplink().RecordLiveTraffic(len(event))
		if _, err := w.Write(event); err != nil {
			return
		}
		if err := w.Flush(); err != nil || checker.Ended() {
			return
		}
		var err error
		event, err = checker.Next(response.ReadLine)
		if err != nil {
			a.noteMismatch(err, checker.RequestID)
			_, _ = w.WriteString("event: error\ndata: {}\n\n")
			_ = w.Flush()
			return
		}
	}
}

func (a *Agent) noteMismatch(err error, requestID string) {
	if errors.Is(err, streamcheck.ErrCrossed) || errors.Is(err, streamcheck.ErrWrongSet) {
		a.Log.Emit(event.AnswerMismatched, event.Fields{"requestId": requestID, "error": err.Error()})
	}
}
